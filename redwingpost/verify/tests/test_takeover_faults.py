"""Searches of takeovers by coordinators that know, or send, too little."""

from unittest import TestCase

from redwingpost.verify.search import Found, search
from redwingpost.verify.takeover import (
    Limits,
    TakeoverModel,
    TakeoverRules,
    find_violation,
    hidden_state,
    replaced_state,
)

_LATE = {"may_order_late": True, "no_reads": True}
_FORMER = {**_LATE, "may_lose_duty": True}
_DELAYED = {**_LATE, "may_arrive_late": True}
_EARLY = {**_DELAYED, "arrives_before_order": True}
_UNSEEN = {"restarts": 1, "may_restart_unseen": True, "no_reads": True}
_UNHEARD = {**_UNSEEN, "may_miss_answers": True}
_ONE_AWAY = {"views": ((1,),), "no_reads": True}
_TWO_AWAY = {"views": ((1,), (1, 2)), "no_reads": True}

_HIDDEN = hidden_state()
_REPLACED = replaced_state()


def _search(rules: dict, faults: dict, first, takeovers: int) -> Found:
    model = TakeoverModel(
        TakeoverRules(**rules), limits=Limits(1, takeovers), **faults
    )
    return search(first, model.steps, find_violation)


class FaultSearchTest(TestCase):
    """Callers would miss an acknowledged write."""

    def test_nothing_is_lost(self) -> None:
        """Guards against promotions, and answers, on partial knowledge."""
        cases = (
            ("a former coordinator", {}, _FORMER, _HIDDEN, 2),
            ("late commands", {}, _EARLY, _HIDDEN, 2),
            ("an unseen restart", {}, _UNSEEN, _HIDDEN, 2),
            ("an unseen restart, one answer", {}, _UNHEARD, _HIDDEN, 2),
            ("an unknown primary", {}, _TWO_AWAY, _REPLACED, 1),
        )
        for name, rules, faults, first, takeovers in cases:
            with self.subTest(name):
                found = _search(rules, faults, first, takeovers)
                print(f"searched {found.states} states: {name}")
                self.assertEqual("", found.violation, found.trace)
                self.assertTrue(found.complete)

    def test_each_guard_is_needed(self) -> None:
        cases = (
            (("checks_duty",), _FORMER, _HIDDEN, 2),
            (("doubts_restarts",), _UNHEARD, _HIDDEN, 1),
            (("doubts_restarts", "heeds_pauses"), _UNSEEN, _HIDDEN, 1),
            (("heeds_pauses",), _LATE, _HIDDEN, 2),
            (("checks_record",), _TWO_AWAY, _REPLACED, 1),
            (("checks_record", "checks_terms"), _ONE_AWAY, _REPLACED, 1),
        )
        for guards, faults, first, takeovers in cases:
            with self.subTest(guards):
                rules = dict.fromkeys(guards, False)
                found = _search(rules, faults, first, takeovers)
                self.assertTrue(found.violation)
