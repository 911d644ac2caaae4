"""Searches of takeovers whose orders take effect late, or twice."""

from unittest import TestCase

from redwingpost.verify.search import Found, search
from redwingpost.verify.takeover import (
    Limits,
    TakeoverModel,
    TakeoverRules,
    find_violation,
    first_state,
)

_LATE = {"may_order_late": True, "no_reads": True}
_HIDDEN = {**_LATE, "may_be_hidden": True, "restarts": 1}
_BACK = {**_LATE, "may_be_hidden": True, "may_come_back": True}
_OWN = {**_LATE, "no_old_acks": True}
_REPEATED = {**_LATE, "may_repeat_orders": True}


def _search(rules: dict, faults: dict, limits: Limits) -> Found:
    model = TakeoverModel(TakeoverRules(**rules), limits=limits, **faults)
    first = first_state(may_join=faults.get("may_join", False))
    return search(first, model.steps, find_violation)


class LateOrderSearchTest(TestCase):
    """An order takes effect after its coordinator has crashed or given up.

    A caller would miss a write that another primary acknowledged meanwhile.
    """

    def test_nothing_is_lost_to_a_late_order(self) -> None:
        """Guards against a second promotion before the first has effect.

        Also against a copy of an order that outlasts its record, and a proof
        by the member of an order under way.
        """
        cases = (
            ("late orders", _LATE, Limits()),
            ("an order sent again", _REPEATED, Limits(commits=1)),
            ("sent again by a later takeover", _OWN, Limits(1, takeovers=3)),
            ("late orders and a restart", _HIDDEN, Limits(takeovers=1)),
        )
        for name, faults, limits in cases:
            with self.subTest(name):
                found = _search({}, faults, limits)
                print(f"searched {found.states} states: {name}")
                self.assertEqual("", found.violation, found.trace)
                self.assertTrue(found.complete)

    def test_nothing_is_lost_when_a_primary_comes_back(self) -> None:
        """Guards against commits beside an order that nobody waits for.

        A replica that joins or restarts isn't paused, and no VM has a sign of
        the takeover any more.
        """
        limits = Limits(1, 1)
        cases = (
            ("joins", {**_BACK, "may_join": True}, "counts_joined"),
            ("joins", {**_BACK, "may_join": True}, "always_held"),
            ("restarts", {**_BACK, "restarts": 1}, "always_held"),
        )
        both = {"counts_joined": True, "always_held": True}
        for name, faults, guard in cases:
            with self.subTest(name, guard=guard):
                found = _search(both, faults, limits)
                print(f"searched {found.states} states: comes back, {name}")
                self.assertEqual("", found.violation, found.trace)
                self.assertTrue(found.complete)
                found = _search({**both, guard: False}, faults, limits)
                self.assertIn("lost", found.violation)

    def test_each_guard_against_late_orders_is_needed(self) -> None:
        cases = (
            ("one_order", _LATE, Limits(commits=1)),
            ("counts_copies", _REPEATED, Limits(commits=1)),
            ("renews_record", _OWN, Limits(1, takeovers=3)),
            ("held_by_voucher", _HIDDEN, Limits(1, 1)),
        )
        for guard, faults, limits in cases:
            with self.subTest(guard):
                found = _search({guard: False}, faults, limits)
                self.assertIn("lost", found.violation)
