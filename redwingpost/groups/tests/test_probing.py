"""Tests of when members are probed."""

from unittest import TestCase

from redwingpost.groups.probing import (
    IDLE_PROBE_S,
    IDLE_PROBE_STEP_S,
    OVERDUE_S,
    PROBE_INTERVAL_S,
    MemberSilence,
    alert_interval_s,
    is_overdue,
    is_primary_probe_due,
)

_NEVER = float("inf")


class ProbeTimingTest(TestCase):
    def test_overdue_statement_triggers_a_probe(self) -> None:
        """Guards against callers that wait for their whole timeout.

        A network partition drops what is sent to a member, and no VM probes
        it before then.
        """
        cases = (
            ("nothing waits", 5.0, 0.0, False),
            ("waits as usual", 5.0, OVERDUE_S / 2.0, False),
            ("waits too long", 5.0, OVERDUE_S, True),
            ("probed just now", PROBE_INTERVAL_S / 2.0, 5.0, False),
            ("probed before", PROBE_INTERVAL_S, 5.0, True),
        )
        for name, probed_s, waiting_s, expected in cases:
            with self.subTest(name):
                silence = MemberSilence(5.0, probed_s, _NEVER, waiting_s)
                self.assertEqual(expected, is_overdue(silence))

    def test_one_vm_probes_an_idle_primary(self) -> None:
        """Guards against probes of an idle group's primary by every VM.

        The primary would answer more probes than it ever runs statements.
        """
        late = IDLE_PROBE_S + IDLE_PROBE_STEP_S
        cases = (
            ("answered recently", 0.1, _NEVER, 0, False),
            ("answered another VM recently", _NEVER, 0.1, 0, False),
            ("first VM in order", IDLE_PROBE_S, IDLE_PROBE_S, 0, True),
            (
                "second leaves it to the first",
                IDLE_PROBE_S,
                IDLE_PROBE_S,
                1,
                False,
            ),
            ("the first didn't", late, late, 1, True),
        )
        for name, answered_s, elsewhere_s, rank, expected in cases:
            with self.subTest(name):
                silence = MemberSilence(answered_s, _NEVER, elsewhere_s, 0.0)
                self.assertEqual(expected, is_primary_probe_due(silence, rank))

    def test_probe_rate_of_a_suspect_group_is_bounded(self) -> None:
        """Guards against members that answer nothing but probes.

        In a fleet of 200 VMs a primary fails, or is only full. If all VMs
        probed its group four times a second, the members would seem lost to
        more and more VMs.
        """
        for vms, max_per_s in ((7, 28.0), (62, 50.0), (200, 100.0)):
            with self.subTest(vms=vms):
                probes_per_s = sum(
                    1.0 / alert_interval_s(rank) for rank in range(vms)
                )
                self.assertLessEqual(probes_per_s, max_per_s)
                self.assertGreaterEqual(probes_per_s, 28.0)
