"""Searches of takeovers and proven reads, also with rules disabled.

Each case prints how many states it visited, so that an unintended smaller
search shows in the output of the run.
"""

from unittest import TestCase

from redwingpost.verify.search import search
from redwingpost.verify.takeover import (
    TakeoverModel,
    TakeoverRules,
    find_violation,
    first_state,
)

#: States to visit in a search that can't be complete within the time of a
#: test run.
_LIMIT = 110_000

#: The same for a violation that takes more steps to reach.
_READ_LIMIT = 300_000

#: Rules without the confirmation of commits and of primaries, which are
#: requested only while a takeover may be in progress. Otherwise the other
#: rules must be sufficient.
_WITHOUT_CONFIRMATIONS = TakeoverRules(
    confirms_commits=False, asks_primary=False
)


def _read_violation(state) -> str:
    return state.violation if "read" in state.violation else ""


def _write_violation(state) -> str:
    return state.violation if "read" not in state.violation else ""


def _log_violation(state) -> str:
    return state.violation if "lost" in state.violation else ""


class TakeoverSearchTest(TestCase):
    """Primaries crash, are replaced twice, and step down late.

    Coordinators crash during a takeover, replicas follow late, and a reader
    has an outdated primary. A caller would notice a lost commit, or a read
    that lacks an acknowledged one.
    """

    def test_no_invariant_is_violated(self) -> None:
        model = TakeoverModel(TakeoverRules())
        found = search(first_state(), model.steps, find_violation)
        print(f"searched {found.states} states: takeovers and reads")
        self.assertEqual("", found.violation, found.trace)
        self.assertTrue(found.complete)

    def test_invariants_hold_without_confirmations(self) -> None:
        model = TakeoverModel(_WITHOUT_CONFIRMATIONS)
        found = search(first_state(), model.steps, find_violation)
        print(f"searched {found.states} states: without confirmations")
        self.assertEqual("", found.violation, found.trace)
        self.assertTrue(found.complete)

    def test_nothing_is_lost_when_a_member_is_off_the_list(self) -> None:
        """A primary crashes for good while one replica receives nothing.

        The other replica leads and is then to be replaced as well. Of the
        remaining members only the one without the commits answers.
        """
        model = TakeoverModel(TakeoverRules(), may_vanish=True)
        found = search(first_state(), model.steps, _log_violation, _LIMIT)
        print(
            f"searched {found.states} states, not all: a member off the list"
        )
        self.assertEqual("", found.violation, found.trace)

    def test_nothing_is_lost_when_a_gone_member_comes_back(self) -> None:
        """A crashed member is dropped from the list and returns later.

        It isn't paused and confirms commits to a primary that is just being
        replaced by a replica that lacks them, so that acknowledged commits
        would be lost.
        """
        model = TakeoverModel(
            TakeoverRules(), may_vanish=True, may_return=True
        )
        found = search(first_state(), model.steps, _log_violation, _LIMIT)
        print(f"searched {found.states} states, not all: one comes back")
        self.assertEqual("", found.violation, found.trace)

    def test_nothing_is_lost_when_a_member_joins(self) -> None:
        """A member joins at any step of a takeover and confirms commits.

        Guards against a promotion by the members known at its start, also
        where only the coordinator can't reach the primary.
        """
        cases = (
            ("a member joins", {}),
            ("a member joins, a hidden primary", {"may_be_hidden": True}),
        )
        for name, faults in cases:
            with self.subTest(name):
                model = TakeoverModel(TakeoverRules(), may_join=True, **faults)
                found = search(
                    first_state(may_join=True),
                    model.steps,
                    _log_violation,
                    _LIMIT,
                )
                print(f"searched {found.states} states, not all: {name}")
                self.assertEqual("", found.violation, found.trace)

    def test_reads_are_correct_when_a_member_joins(self) -> None:
        """Guards against a proof by a member that no takeover has paused."""
        model = TakeoverModel(
            TakeoverRules(), may_join=True, may_be_hidden=True
        )
        found = search(
            first_state(may_join=True), model.steps, _read_violation, _LIMIT
        )
        print(
            f"searched {found.states} states, not all: reads, a member joins"
        )
        self.assertEqual("", found.violation, found.trace)

    def test_each_guard_against_joining_members_is_needed(self) -> None:
        # Without the rules that would hide it.
        alone = {"doubts_restarts": False, "heeds_pauses": False}
        cases = (
            ("reads_members", {}, {}),
            ("distrusts_joined", {"may_be_hidden": True}, alone),
        )
        for guard, faults, others in cases:
            with self.subTest(guard):
                rules = TakeoverRules(**{guard: False}, **others)
                model = TakeoverModel(rules, may_join=True, **faults)
                found = search(
                    first_state(may_join=True), model.steps, _log_violation
                )
                self.assertTrue(found.violation)

    def test_reads_are_correct_when_replicas_lose_a_pause(self) -> None:
        """A paused replica restarts and receives commits again.

        A commit that it confirms then may be lost with the old primary (the
        design note describes this gap). Reads must still see every
        acknowledged commit.
        """
        model = TakeoverModel(TakeoverRules(), restarts=1)
        found = search(first_state(), model.steps, _read_violation, _LIMIT)
        print(f"searched {found.states} states, not all: with a restart")
        self.assertEqual("", found.violation, found.trace)

    def test_nothing_is_lost_with_partitions_or_restarts(self) -> None:
        """Members are partitioned together, restart, or are hidden.

        Two members behind one partition go on acknowledging commits. A
        replica that restarts loses its pause. A VM that has just started
        has no earlier reports. A caller would miss an acknowledged write.
        """
        cases = (
            ("two behind a partition", {"may_partition": True}),
            ("a restart at any step", {"restarts": 1}),
            (
                "a restart, and a hidden primary",
                {"restarts": 1, "may_be_hidden": True},
            ),
        )
        for name, faults in cases:
            with self.subTest(name):
                model = TakeoverModel(TakeoverRules(), **faults)
                found = search(
                    first_state(), model.steps, _log_violation, _LIMIT
                )
                print(f"searched {found.states} states, not all: {name}")
                self.assertEqual("", found.violation, found.trace)

    def test_a_replaced_primary_acknowledges_nothing(self) -> None:
        """Guards against writes acknowledged by a hidden primary.

        A replica that has lost its pause confirms them, before or after the
        promotion takes effect.
        """
        faults = {"restarts": 1, "may_be_hidden": True}
        model = TakeoverModel(TakeoverRules(), **faults)
        found = search(first_state(), model.steps, _write_violation, _LIMIT)
        print(f"searched {found.states} states, not all: acknowledgements")
        self.assertEqual("", found.violation, found.trace)

    def test_reads_are_correct_when_a_replica_is_isolated(self) -> None:
        """Guards against a proof by a replica that missed a takeover."""
        model = TakeoverModel(TakeoverRules(), may_partition_replica=True)
        found = search(
            first_state(), model.steps, _read_violation, _READ_LIMIT
        )
        print(
            f"searched {found.states} states, not all: a replica partitioned"
        )
        self.assertEqual("", found.violation, found.trace)

    def test_each_guard_is_needed(self) -> None:
        cases = (
            ("pauses_others", 0),
            ("checks_complete", 0),
            ("respects_pause", 0),
            ("proves_after_start", 0),
            ("excludes_restarted", 1),
        )
        for guard, restarts in cases:
            with self.subTest(guard):
                rules = _WITHOUT_CONFIRMATIONS._replace(**{guard: False})
                model = TakeoverModel(rules, restarts)
                invariant = _read_violation if restarts else find_violation
                found = search(first_state(), model.steps, invariant)
                self.assertTrue(found.violation)

    def test_each_confirmation_is_needed(self) -> None:
        hidden = {"restarts": 1, "may_be_hidden": True}
        cut_off = {"may_partition_replica": True}
        cases = (
            ("confirms_commits", "is lost", hidden),
            ("confirms_commits", "when replaced", hidden),
            ("asks_primary", "a read", cut_off),
        )
        for guard, violation, faults in cases:
            with self.subTest(guard, violation=violation):
                model = TakeoverModel(
                    TakeoverRules(**{guard: False}), **faults
                )
                found = search(
                    first_state(),
                    model.steps,
                    lambda state, violation=violation: (
                        state.violation if violation in state.violation else ""
                    ),
                )
                self.assertTrue(found.violation)

    def test_the_floor_is_needed_when_a_member_is_off_the_list(self) -> None:
        rules = TakeoverRules(checks_floor=False)
        model = TakeoverModel(rules, may_vanish=True)
        found = search(first_state(), model.steps, _log_violation)
        self.assertTrue(found.violation)

    def test_each_guard_against_silent_members_is_needed(self) -> None:
        returns = {"may_vanish": True, "may_return": True}
        unreachable = {
            "restarts": 1,
            "may_be_hidden": True,
            "no_restart_after_order": True,
        }
        cases = (
            ("counts_unlisted", {"may_partition": True}, True),
            ("counts_unlisted", returns, True),
            ("stops_first", {"restarts": 1}, True),
            # Without the confirmation of commits, which would hide it.
            ("repeats_pause", unreachable, False),
        )
        for guard, faults, confirms in cases:
            with self.subTest(guard, **faults):
                rules = TakeoverRules(
                    **{guard: False}, confirms_commits=confirms
                )
                model = TakeoverModel(rules, **faults)
                found = search(first_state(), model.steps, _log_violation)
                self.assertTrue(found.violation)

    def test_repeated_pauses_suffice_until_the_order(self) -> None:
        faults = {
            "restarts": 1,
            "may_be_hidden": True,
            "no_restart_after_order": True,
        }
        rules = TakeoverRules(confirms_commits=False)
        model = TakeoverModel(rules, **faults)
        found = search(first_state(), model.steps, _log_violation, _LIMIT)
        print(f"searched {found.states} states, not all: until the order")
        self.assertEqual("", found.violation, found.trace)
