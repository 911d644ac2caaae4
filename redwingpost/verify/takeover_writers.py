"""Model of writers' commits, for the search of takeovers.

A primary acknowledges a commit once one replica has received it. While a
takeover may be in progress, the writer's VM tells its caller so only after
replicas have confirmed it (``redwingpost.groups.confirmation``).
"""

from collections.abc import Iterator

from redwingpost.core.positions import Position
from redwingpost.groups.confirmation import (
    FAILS_ELSEWHERE_S,
    SETTLED_S,
    CommitStatus,
    ReplicaAnswer,
    TakeoverSigns,
    check_commit,
    needs_confirmation,
)
from redwingpost.groups.confirmation import Commit as CheckedCommit
from redwingpost.groups.evidence import accepts_commits
from redwingpost.ports.database import StatusReport
from redwingpost.verify.takeover_state import (
    Faults,
    Member,
    Pending,
    Step,
    TakeoverRules,
    TakeoverState,
)


class WriterSteps:
    """Generates the steps by which commits are acknowledged."""

    def __init__(self, rules: TakeoverRules, faults: Faults) -> None:
        self._rules = rules
        self._faults = faults

    def steps(self, state: TakeoverState) -> Iterator[Step]:
        """Yield the name and the resulting state of every possible step."""
        for item in state.pending:
            if self._is_kept(state, item):
                following = state._replace(pending=state.pending - {item})
                yield (
                    f"commit {item.commit[0]} is confirmed",
                    _acknowledge(following, item),
                )

    def receive(
        self, state: TakeoverState, number: int, other: int
    ) -> TakeoverState:
        """Copy a primary's log to a replica; the primary acknowledges it."""
        primary = state.members[number]
        following = state.with_member(
            other, state.members[other].take_log(primary)
        )
        known = {item.commit for item in state.pending} | state.acknowledged
        is_stale = state.newest_primary().term > primary.term
        needs_holder = self._needs_holder(state)
        new_commits = frozenset(
            Pending(commit, number, is_stale, position, needs_holder)
            for position, commit in enumerate(primary.log, start=1)
            if commit not in known
            and not (self._faults.no_old_acks and commit[1] < primary.term)
        )
        if needs_holder or self._needs_confirmation(following, primary):
            return following._replace(pending=state.pending | new_commits)
        for item in new_commits:
            following = _acknowledge(following, item)
        return following

    def _needs_confirmation(
        self, state: TakeoverState, primary: Member
    ) -> bool:
        """Return whether a writer's VM has signs of a takeover in progress.

        VMs report to each other which primaries they can't reach.
        """
        if not self._rules.confirms_commits:
            return False
        is_failing = not (primary.is_reachable or self._faults.may_be_unheard)
        signs = TakeoverSigns(
            any(
                member.is_known_restarted
                or member.has_joined
                and self._rules.counts_joined
                for member in state.members
            ),
            FAILS_ELSEWHERE_S if is_failing else 0.0,
            is_suspect=False,
            heard_half_s=SETTLED_S,
        )
        return needs_confirmation(signs)

    def _needs_holder(self, state: TakeoverState) -> bool:
        """Return whether VMs know of a member that has never answered."""
        return (
            self._rules.vouches_proven
            and state.is_entry_known
            and any(member.is_unproven for member in state.members)
        )

    def _is_kept(self, state: TakeoverState, item: Pending) -> bool:
        """Return whether answers that a VM may get confirm a commit."""
        members = self._answering(state, item.primary)
        cases = [members]
        if self._faults.may_miss_answers:
            cases += [[member] for member in members]
        return any(self._is_confirmed_by(state, item, case) for case in cases)

    def _is_confirmed_by(
        self, state: TakeoverState, item: Pending, members: list[Member]
    ) -> bool:
        is_failing = not state.members[item.primary].is_reachable
        if not self._rules.heeds_pauses:
            members = [m for m in members if _accepts(m, item.commit[1])]
        must_hold = item.needs_holder or self._rules.always_held
        answers = [
            self._answer(
                member,
                is_failing,
                may_vouch=not must_hold or item.commit in member.log,
            )
            for member in members
        ]
        silent = len(state.rostered()) - 1 - len(members)
        answers += [ReplicaAnswer(None, is_trusted=False)] * silent
        position = None
        if self._rules.held_by_voucher:
            position = Position(item.commit[1], item.position)
        commit = CheckedCommit(
            item.commit[1],
            position,
            may_be_replaced=is_failing and self._rules.doubts_restarts,
        )
        return check_commit(commit, answers) is CommitStatus.KEPT

    def _answering(self, state: TakeoverState, primary: int) -> list[Member]:
        """Return the replicas that answer a VM on the primary's side."""
        is_partitioned = state.members[primary].is_partitioned
        return [
            member
            for number, member in enumerate(state.members)
            if number != primary
            and not member.is_down
            and not member.is_absent
            and not member.is_cut_off
            and member.is_partitioned == is_partitioned
        ]

    def _answer(
        self, member: Member, is_failing: bool, may_vouch: bool
    ) -> ReplicaAnswer:
        """Return a replica's answer, and whether it counts as proof.

        ``is_failing``: the coordinator doesn't reach the primary.
        """
        distrusts = self._rules.counts_joined or (
            self._rules.distrusts_joined and is_failing
        )
        is_trusted = may_vouch and not (
            member.is_known_restarted or member.has_joined and distrusts
        )
        is_running_on = not (
            member.has_restarted or member.has_joined or self._rules.asks_all
        )
        return ReplicaAnswer(report(member), is_trusted, is_running_on)


def _accepts(member: Member, term: int) -> bool:
    return accepts_commits(report(member), term)


def report(member: Member) -> StatusReport:
    """Return the report that a member would give."""
    head = Position(*member.head)
    return StatusReport(
        member.is_primary, member.term, head, member.paused_for, 0, 0, 0
    )


def _acknowledge(state: TakeoverState, item: Pending) -> TakeoverState:
    """Acknowledge a commit to its writer; check that it is kept."""
    following = state._replace(acknowledged=state.acknowledged | {item.commit})
    if item.is_stale:
        return following._replace(violation="acknowledged when replaced")
    newest = state.newest_primary()
    if newest is None or newest.term <= item.commit[1]:
        return following
    if item.commit not in newest.log:
        return following._replace(violation="an acknowledged commit is lost")
    return following
