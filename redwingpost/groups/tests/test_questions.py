"""When members are asked whether they live."""

from unittest import TestCase

from redwingpost.groups.questions import (
    ASK_AGAIN_S,
    OVERDUE_S,
    QUIET_S,
    QUIET_STEP_S,
    MemberQuiet,
    alert_round_s,
    is_overdue,
    is_primary_due,
)

_NEVER = float("inf")


class QuestionsTest(TestCase):
    def test_statements_that_wait_in_vain(self) -> None:
        """A cut drops what is sent to a member.

        Callers wait for their whole time limit before anybody looks.
        """
        cases = (
            ("nothing waits", 5.0, 0.0, False),
            ("waits as usual", 5.0, OVERDUE_S / 2.0, False),
            ("waits too long", 5.0, OVERDUE_S, True),
            ("asked just now", ASK_AGAIN_S / 2.0, 5.0, False),
            ("asked before", ASK_AGAIN_S, 5.0, True),
        )
        for name, asked_s, waiting_s, expected in cases:
            with self.subTest(name):
                quiet = MemberQuiet(5.0, asked_s, _NEVER, waiting_s)
                self.assertEqual(expected, is_overdue(quiet))

    def test_one_vm_asks_for_all(self) -> None:
        """A group has no callers for a while.

        Asked by every VM, its primary would answer more questions than
        it ever does statements.
        """
        late = QUIET_S + QUIET_STEP_S
        cases = (
            ("answered lately", 0.1, _NEVER, 0, False),
            ("answered another VM lately", _NEVER, 0.1, 0, False),
            ("first in turn", QUIET_S, QUIET_S, 0, True),
            ("second leaves it to the first", QUIET_S, QUIET_S, 1, False),
            ("the first didn't", late, late, 1, True),
        )
        for name, answered_s, elsewhere_s, place, expected in cases:
            with self.subTest(name):
                quiet = MemberQuiet(answered_s, _NEVER, elsewhere_s, 0.0)
                self.assertEqual(expected, is_primary_due(quiet, place))

    def test_how_many_ask_while_something_looks_wrong(self) -> None:
        """A primary of a fleet of 200 VMs fails, or is only full.

        If all asked its group four times a second, the members would
        answer nothing else, and look lost to more and more VMs.
        """
        for vms, most_a_second in ((7, 28.0), (62, 50.0), (200, 100.0)):
            with self.subTest(vms=vms):
                a_second = sum(1.0 / alert_round_s(n) for n in range(vms))
                self.assertLessEqual(a_second, most_a_second)
                self.assertGreaterEqual(a_second, 28.0)
