"""Searches of takeovers with a listed member that has never answered."""

from unittest import TestCase

from redwingpost.verify.search import Found, search
from redwingpost.verify.takeover import (
    Limits,
    TakeoverModel,
    TakeoverRules,
    TakeoverState,
    find_violation,
    unproven_state,
)

_KNOWN = unproven_state(is_running=True, is_known=True)
_UNKNOWN = unproven_state(is_running=True, is_known=False)
_NOBODY = unproven_state(is_running=False, is_known=True)


def _search(
    rules: dict, faults: dict, first: TakeoverState, invariant=find_violation
) -> Found:
    model = TakeoverModel(
        TakeoverRules(**rules), limits=Limits(1, 1), no_reads=True, **faults
    )
    return search(first, model.steps, invariant)


def _is_crash_survived(state: TakeoverState) -> str:
    """Return whether a primary leads after another one has crashed."""
    is_down = state.members[0].is_down
    newest = state.newest_primary()
    return "replaced" if is_down and newest and newest.term > 1 else ""


class EntrySearchTest(TestCase):
    """A takeover does without a member that never answered a VM.

    A caller would miss a write that only this member and the old primary
    hold.
    """

    def test_nothing_is_lost_without_an_unproven_member(self) -> None:
        late = {"may_answer_late": True, "may_be_hidden": True}
        cases = (
            ("nobody", _NOBODY, {}),
            ("reaches no VM", _UNKNOWN, {"may_be_hidden": True}),
            ("answers late", _UNKNOWN, late),
            ("late orders", _UNKNOWN, {**late, "may_order_late": True}),
            ("at another's address", _KNOWN, {"may_take_place": True}),
        )
        for name, first, faults in cases:
            with self.subTest(name):
                found = _search({"skips_unproven": True}, faults, first)
                print(f"searched {found.states} states: an entry, {name}")
                self.assertEqual("", found.violation, found.trace)
                self.assertTrue(found.complete)

    def test_each_rule_for_unproven_members_is_needed(self) -> None:
        cases = (
            ("vouches_proven", {}, _KNOWN),
            ("waits_for_holders", {}, _UNKNOWN),
            ("inherits_proof", {"may_take_place": True}, _KNOWN),
            ("doubts_newcomers", {"may_answer_late": True}, _KNOWN),
        )
        for guard, faults, first in cases:
            with self.subTest(guard):
                rules = {"skips_unproven": True, guard: False}
                found = _search(rules, faults, first)
                self.assertIn("lost", found.violation)

    def test_a_crashed_primary_is_replaced(self) -> None:
        for skips in (True, False):
            with self.subTest(skips=skips):
                rules = {"skips_unproven": skips}
                found = _search(rules, {}, _NOBODY, _is_crash_survived)
                self.assertEqual(skips, bool(found.violation))
