"""Order promotions, publish views and make members follow the primary."""

from asyncio import Task, create_task, gather
from collections.abc import Coroutine, Mapping
from random import Random
from typing import Any

from loguru import logger
from prometheus_client import Counter

from redwingpost.adapters.peer import PeerAddress
from redwingpost.agent.promotion_runner import PromotionRunner, send_follow
from redwingpost.agent.context import AgentContext
from redwingpost.agent.diverged import DivergenceReporter
from redwingpost.core import GroupView, VmAddress
from redwingpost.ports import Condition, MemberStatus, Write
from redwingpost.promotion import (
    ISOLATED_S,
    SILENCE_S,
    Abort,
    Announce,
    Candidate,
    Diagnosis,
    MemberObservation,
    ReplicationMeter,
    Report,
    backoff_s,
    diagnose_drain,
    diagnose_leadership,
    diagnose_primary,
    has_leader,
    last_log_term,
    leader_of,
    may_propose,
    must_follow,
    next_term,
)
from redwingpost.wire.codec import from_age_ms

#: Timeout of another observer's report (seconds). An observer that takes
#: longer is unreachable or overloaded, and its report is left out.
REPORT_TIMEOUT_S = 0.25

#: Seconds between two orders to follow for the same member.
FOLLOW_INTERVAL_S = 0.5

#: Seconds by which each observer waits longer than the one ranked before
#: it until it gives that order.
FOLLOW_RANK_DELAY_S = 0.6

#: Seconds without an answer after which a member's status is not used.
_MAX_STATUS_AGE_S = 0.45

#: Seconds after which a suspicion that was not renewed ends.
_SUSPICION_TIMEOUT_S = 0.6

#: Diagnoses that require a promotion.
_PROMOTING_DIAGNOSES = {
    Diagnosis.PRIMARY_LOST,
    Diagnosis.LEADERLESS,
    Diagnosis.STRANDED,
    Diagnosis.LEAVING,
    Diagnosis.ISOLATED,
}


class _GroupState:
    """The promoter's state of one group."""

    def __init__(self) -> None:
        self.leaderless_since: float | None = None
        self.suspected_since: float | None = None
        self.suspected_at = float("-inf")
        self.backoff_until = float("-inf")
        self.failures = 0
        self.followed_at_by_member: dict[str, float] = {}
        self.not_following_since_by_member: dict[str, float] = {}
        self.replication = ReplicationMeter()
        self.task: Task | None = None


class Promoter:
    """Diagnoses the observed groups and orders promotions.

    Parameters
    ----------
    context : AgentContext
        The agent's shared context.
    watches_by_group : mapping
        The observer's watches.
    random : Random, optional
        Source of the back-off's jitter.
    """

    def __init__(
        self,
        context: AgentContext,
        watches_by_group: Mapping[str, Any],
        random: Random | None = None,
    ) -> None:
        self._context = context
        self._watches_by_group = watches_by_group
        self._random = random or Random()
        self._states_by_group: dict[str, _GroupState] = {}
        self._elections = 0
        self._tasks: set[Task] = set()
        self._diverged = DivergenceReporter(context)
        registry = context.registry
        self._promotions = Counter(
            "redwing_promotions",
            "Promotions that this agent conducted, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self._suspicions = Counter(
            "redwing_primary_suspicions",
            "Judgements of a silent primary, by verdict.",
            ["verdict"],
            registry=registry,
        )

    async def close(self) -> None:
        """Cancel the running tasks."""
        for task in tuple(self._tasks):
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    def evaluate(self, watch: Any) -> None:
        """Evaluate a group's statuses; called at each round of probes."""
        state = self._states_by_group.setdefault(watch.group, _GroupState())
        statuses = watch.statuses(_MAX_STATUS_AGE_S)
        self._publish_leader(watch.group, statuses)
        self._order_follows(watch, state, statuses)
        self._time_leaderless(watch, state)
        self._time_replication(watch, state, statuses)
        now = self._context.clock.now()
        if state.task is not None or now < state.backoff_until:
            return
        if self._suspects_failure(watch, state):
            state.task = self._spawn(self._confirm_and_promote(watch, state))
        elif now - state.suspected_at > _SUSPICION_TIMEOUT_S:
            state.suspected_since = None

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> Task:
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _view(self, group: str) -> GroupView | None:
        return self._context.state.views.by_group.get(group)

    def _publish_leader(
        self, group: str, statuses: tuple[MemberStatus, ...]
    ) -> None:
        """Announce a primary whose promotion was not announced."""
        leader = leader_of(statuses)
        if leader is None:
            return
        term = last_log_term(leader)
        known = self._view(group)
        if known is None or (known.term, bool(known.primary)) < (term, True):
            view = GroupView(group, term, leader.member, leader.history)
            self._context.announce([view])

    def _order_follows(
        self,
        watch: Any,
        state: _GroupState,
        statuses: tuple[MemberStatus, ...],
    ) -> None:
        leader = leader_of(statuses)
        if leader is None:
            return
        now = self._context.clock.now()
        not_following = {
            status.member: status for status in must_follow(statuses)
        }
        for member in set(state.not_following_since_by_member) - set(
            not_following
        ):
            del state.not_following_since_by_member[member]
        for member, status in not_following.items():
            since = state.not_following_since_by_member.setdefault(member, now)
            last = state.followed_at_by_member.get(member, float("-inf"))
            if now - since < self._rank_delay_s(watch):
                continue
            if now - last >= FOLLOW_INTERVAL_S:
                state.followed_at_by_member[member] = now
                self._spawn(self._follow(watch, status, leader))
        if self._rank_delay_s(watch) == 0.0:
            self._diverged.check_replicas(watch, statuses, self._spawn)

    def _rank_delay_s(self, watch: Any) -> float:
        """Return how long this observer waits for those ranked before it.

        The first may have failed together with the primary, and it takes
        seconds until the fleet marks it gone.
        """
        own = self._context.settings.vm.name
        names = [observer.vm for observer in watch.observers]
        rank = names.index(own) if own in names else len(names)
        return rank * FOLLOW_RANK_DELAY_S

    async def _follow(
        self, watch: Any, status: MemberStatus, leader: MemberStatus
    ) -> None:
        probe = watch.probes_by_member[status.member]
        term = last_log_term(leader)
        primary = watch.address(leader.member)
        accepted = await send_follow(probe, term, primary)
        logger.info(
            "ordered {} to follow {} in term {}: {}",
            status.member,
            leader.member,
            term,
            "accepted" if accepted else "refused",
        )

    def _time_leaderless(self, watch: Any, state: _GroupState) -> None:
        if has_leader(self._own_report(watch).observations):
            state.leaderless_since = None
        elif state.leaderless_since is None:
            state.leaderless_since = self._context.clock.now()

    def _time_replication(
        self,
        watch: Any,
        state: _GroupState,
        statuses: tuple[MemberStatus, ...],
    ) -> None:
        leader = leader_of(statuses)
        if leader is None:
            return
        following = tuple(
            status.received
            for status in statuses
            if status.follows == leader.member
            and status.promised_term == last_log_term(leader)
        )
        is_complete = len(following) == len(watch.members) - 1
        state.replication.observe(
            leader.received,
            following if is_complete else (),
            self._context.clock.now(),
        )

    def _own_report(self, watch: Any) -> Report:
        vm = self._context.settings.vm
        return watch.report(vm.name, vm.data_centre)

    def _suspects_failure(self, watch: Any, state: _GroupState) -> bool:
        """Return whether to fetch the other observers' reports."""
        view = self._view(watch.group)
        if view is None or view.primary not in watch.probes_by_member:
            return False
        probe = watch.probes_by_member[view.primary]
        if probe.silent_s() >= SILENCE_S:
            return True
        return (
            self._diagnose_answering_primary(watch, state)
            in _PROMOTING_DIAGNOSES
        )

    def _diagnose_answering_primary(
        self, watch: Any, state: _GroupState
    ) -> Diagnosis:
        """Diagnose a group whose primary answers."""
        observations = self._own_report(watch).observations
        now = self._context.clock.now()
        since = state.leaderless_since
        leaderless_s = 0.0 if since is None else now - since
        diagnosis = diagnose_leadership(
            watch.members, observations, leaderless_s
        )
        if diagnosis is not Diagnosis.HEALTHY:
            return diagnosis
        if state.replication.stalled_s(now) >= ISOLATED_S:
            return Diagnosis.ISOLATED
        view = self._view(watch.group)
        return diagnose_drain(
            view.primary, watch.members, watch.leaving, observations
        )

    async def _confirm_and_promote(
        self, watch: Any, state: _GroupState
    ) -> None:
        try:
            reports = await self._gather_reports(watch)
            diagnosis = self._diagnose(watch, state, reports)
            self._suspicions.labels(diagnosis.value).inc()
            if diagnosis in _PROMOTING_DIAGNOSES:
                await self._promote_if_due(watch, state, reports, diagnosis)
        finally:
            state.task = None

    def _diagnose(
        self, watch: Any, state: _GroupState, reports: list[Report]
    ) -> Diagnosis:
        view = self._view(watch.group)
        data_centres = {vm.data_centre for vm in watch.observers}
        diagnosis = diagnose_primary(
            view.primary, watch.members, reports, len(data_centres)
        )
        if diagnosis is Diagnosis.HEALTHY:
            return self._diagnose_answering_primary(watch, state)
        return diagnosis

    async def _gather_reports(self, watch: Any) -> list[Report]:
        own_name = self._context.settings.vm.name
        others = [vm for vm in watch.observers if vm.vm != own_name]
        answers = await gather(
            *(self._fetch_report(vm, watch.group) for vm in others)
        )
        # The own report is made last, so that it is as fresh as the others.
        return [
            self._own_report(watch),
            *(a for a in answers if a is not None),
        ]

    async def _fetch_report(self, vm: VmAddress, group: str) -> Report | None:
        answer = await self._context.peers.call(
            PeerAddress(vm.ip, vm.agent_port),
            lambda node: node.watch().watch.observations(group),
            REPORT_TIMEOUT_S,
        )
        if answer.is_error() or not len(answer.ok.seen):
            return None
        observations = tuple(
            MemberObservation(
                seen.member,
                from_age_ms(seen.silentMs),
                seen.term,
                seen.role == "primary",
                from_age_ms(seen.ageMs),
            )
            for seen in answer.ok.seen
        )
        return Report(answer.ok.vm, answer.ok.dataCentre, observations)

    async def _promote_if_due(
        self,
        watch: Any,
        state: _GroupState,
        reports: list[Report],
        diagnosis: Diagnosis,
    ) -> None:
        now = self._context.clock.now()
        state.suspected_at = now
        if state.suspected_since is None:
            state.suspected_since = now
        rank = self._rank(watch, reports)
        if may_propose(rank, now - state.suspected_since):
            await self._promote(watch, state, diagnosis)

    async def promote_now(self, watch: Any) -> None:
        """Run one promotion regardless of the primary and of the rank."""
        state = self._states_by_group.setdefault(watch.group, _GroupState())
        await self._promote(watch, state, Diagnosis.LEADERLESS)

    def _rank(self, watch: Any, reports: list[Report]) -> int:
        """Return this VM's rank among the observers that reported."""
        answering = {report.observer for report in reports}
        ranked = [vm.vm for vm in watch.observers if vm.vm in answering]
        name = self._context.settings.vm.name
        return ranked.index(name) if name in ranked else len(ranked)

    async def _promote(
        self, watch: Any, state: _GroupState, diagnosis: Diagnosis
    ) -> None:
        vm = self._context.settings.vm.name
        self._elections += 1
        incarnation = self._context.state.incarnation
        claimant = f"{vm}/{incarnation}/{self._elections}"
        old = self._view(watch.group)
        term = next_term(self._known_terms(watch))
        logger.warning(
            "{}: {}; claiming term {} as {}",
            watch.group,
            diagnosis.value,
            term,
            claimant,
        )
        runner = PromotionRunner(
            watch.group,
            claimant,
            watch.probes_by_member,
            lambda view: self._context.announce([view]),
        )
        leaving = watch.leaving
        if diagnosis is Diagnosis.ISOLATED:
            # The isolated primary has unconfirmed entries that the others
            # lack, so the election would choose it again.
            leaving = leaving | {old.primary}
        outcome = await runner.run(self._candidates(watch, leaving), term)
        if isinstance(outcome, Abort):
            self._note_failure(watch.group, state, outcome)
            return
        self._note_success(watch.group, state, outcome)
        self._spawn(
            self._audit(old, watch.group, outcome, claimant, diagnosis)
        )

    def _known_terms(self, watch: Any) -> tuple[int, ...]:
        view = self._view(watch.group)
        known = [view.term if view is not None else 0]
        known.extend(
            probe.status.promised_term
            for probe in watch.probes_by_member.values()
            if probe.status is not None
        )
        return tuple(known)

    def _candidates(
        self, watch: Any, leaving: frozenset[str]
    ) -> tuple[Candidate, ...]:
        data_centre = self._context.settings.vm.data_centre
        return tuple(
            Candidate(
                member,
                int(watch.address(member).data_centre != data_centre),
                member in leaving,
            )
            for member in watch.members
        )

    def _note_failure(
        self, group: str, state: _GroupState, outcome: Abort
    ) -> None:
        self._promotions.labels("gave up").inc()
        backoff = backoff_s(state.failures, self._random.random())
        state.failures += 1
        state.backoff_until = self._context.clock.now() + backoff
        logger.warning("{}: promotion aborted: {}", group, outcome.reason)

    def _note_success(
        self, group: str, state: _GroupState, outcome: Announce
    ) -> None:
        self._promotions.labels("done").inc()
        state.failures = 0
        state.suspected_since = None
        state.leaderless_since = None
        state.replication = ReplicationMeter()
        logger.warning(
            "{}: {} is the primary of term {} from {}",
            group,
            outcome.primary,
            outcome.term,
            outcome.start,
        )

    async def _audit(
        self,
        old: GroupView | None,
        group: str,
        outcome: Announce,
        claimant: str,
        diagnosis: Diagnosis,
    ) -> None:
        """Write an audit row if the store is available; not awaited."""
        key = f"{group}/{outcome.term:012d}"
        row = {
            "who": claimant,
            "why": diagnosis.value,
            "from": old.primary if old is not None else "",
            "to": outcome.primary,
            "start": str(outcome.start),
        }
        written = await self._context.tables.transact(
            (Condition("promotions", key, 0),),
            (Write("promotions", key, row),),
        )
        if written.is_error():
            logger.warning(
                "{}: audit row not written: {}", group, written.error
            )
