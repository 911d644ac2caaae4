"""Order promotions, tell views, bring members back in line."""

from asyncio import Task, create_task, gather
from collections.abc import Coroutine, Mapping
from random import Random
from typing import Any

from loguru import logger
from prometheus_client import Counter

from redwingpost.adapters.peer import PeerAddress
from redwingpost.agent.conduct import Conductor, send_follow
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

#: Seconds for another observer's answer; one that needs longer is cut
#: off or overloaded, and its word is not waited for.
REPORT_TIMEOUT_S = 0.25

#: Seconds between two orders to follow to the same member.
FOLLOW_PAUSE_S = 0.5

#: Seconds between one observer's turn to give that order and the next's.
FOLLOW_TURN_S = 0.6

#: Seconds of silence that keep a status from being acted upon.
_FRESH_S = 0.45

#: Seconds after which a suspicion that nobody renewed is over.
_SUSPICION_S = 0.6

#: Diagnoses that ask for a promotion.
_ORDERING = {
    Diagnosis.PRIMARY_LOST,
    Diagnosis.LEADERLESS,
    Diagnosis.STRANDED,
    Diagnosis.LEAVING,
    Diagnosis.ISOLATED,
}


class _GroupState:
    """What the promoter keeps of one group."""

    def __init__(self) -> None:
        self.leaderless_since: float | None = None
        self.suspected_since: float | None = None
        self.suspected_at = float("-inf")
        self.quiet_until = float("-inf")
        self.failures = 0
        self.followed_at_by_member: dict[str, float] = {}
        self.astray_since_by_member: dict[str, float] = {}
        self.replication = ReplicationMeter()
        self.work: Task | None = None


class Promoter:
    """Judges the watched groups and acts on it.

    Parameters
    ----------
    context : AgentContext
        What the agent's parts share.
    watches_by_group : mapping
        The observer's watches.
    random : Random, optional
        For jitter.
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
        self._verdicts = Counter(
            "redwing_primary_suspicions",
            "Judgements of a silent primary, by verdict.",
            ["verdict"],
            registry=registry,
        )

    async def close(self) -> None:
        """End what is under way."""
        for task in tuple(self._tasks):
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    def consider(self, watch: Any) -> None:
        """Look at a group; called at each round of probes."""
        state = self._states_by_group.setdefault(watch.group, _GroupState())
        statuses = watch.statuses(_FRESH_S)
        self._publish_leader(watch.group, statuses)
        self._bring_in_line(watch, state, statuses)
        self._time_leaderless(watch, state)
        self._time_replication(watch, state, statuses)
        now = self._context.clock.now()
        if state.work is not None or now < state.quiet_until:
            return
        if self._looks_bad(watch, state):
            state.work = self._spawn(self._judge(watch, state))
        elif now - state.suspected_at > _SUSPICION_S:
            state.suspected_since = None

    def _spawn(self, work: Coroutine[Any, Any, None]) -> Task:
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _view(self, group: str) -> GroupView | None:
        return self._context.state.views.by_group.get(group)

    def _publish_leader(
        self, group: str, statuses: tuple[MemberStatus, ...]
    ) -> None:
        """Tell everyone of a primary whose promotion went untold."""
        leader = leader_of(statuses)
        if leader is None:
            return
        term = last_log_term(leader)
        known = self._view(group)
        if known is None or (known.term, bool(known.primary)) < (term, True):
            view = GroupView(group, term, leader.member, leader.history)
            self._context.announce([view])

    def _bring_in_line(
        self,
        watch: Any,
        state: _GroupState,
        statuses: tuple[MemberStatus, ...],
    ) -> None:
        leader = leader_of(statuses)
        if leader is None:
            return
        now = self._context.clock.now()
        astray = {status.member: status for status in must_follow(statuses)}
        for member in set(state.astray_since_by_member) - set(astray):
            del state.astray_since_by_member[member]
        for member, status in astray.items():
            since = state.astray_since_by_member.setdefault(member, now)
            last = state.followed_at_by_member.get(member, float("-inf"))
            if now - since < self._turn_s(watch):
                continue
            if now - last >= FOLLOW_PAUSE_S:
                state.followed_at_by_member[member] = now
                self._spawn(self._follow(watch, status, leader))
        if self._turn_s(watch) == 0.0:
            self._diverged.watch(watch, statuses, self._spawn)

    def _turn_s(self, watch: Any) -> float:
        """Return after how long this observer does what the first does.

        The first may have died with the primary, and it takes seconds
        until the fleet takes it for gone.
        """
        own = self._context.settings.vm.name
        names = [observer.vm for observer in watch.observers]
        rank = names.index(own) if own in names else len(names)
        return rank * FOLLOW_TURN_S

    async def _follow(
        self, watch: Any, status: MemberStatus, leader: MemberStatus
    ) -> None:
        probe = watch.probes_by_member[status.member]
        term = last_log_term(leader)
        primary = watch.address(leader.member)
        accepted = await send_follow(probe, term, primary)
        logger.info(
            "told {} to follow {} in term {}: {}",
            status.member,
            leader.member,
            term,
            "accepted" if accepted else "refused",
        )

    def _time_leaderless(self, watch: Any, state: _GroupState) -> None:
        if has_leader(self._own(watch).observations):
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
        whole = len(following) == len(watch.members) - 1
        state.replication.observe(
            leader.received,
            following if whole else (),
            self._context.clock.now(),
        )

    def _own(self, watch: Any) -> Report:
        vm = self._context.settings.vm
        return watch.report(vm.name, vm.data_centre)

    def _looks_bad(self, watch: Any, state: _GroupState) -> bool:
        """Say whether this observer's own view is worth asking others."""
        view = self._view(watch.group)
        if view is None or view.primary not in watch.probes_by_member:
            return False
        probe = watch.probes_by_member[view.primary]
        if probe.silent_s() >= SILENCE_S:
            return True
        return self._judge_answering(watch, state) in _ORDERING

    def _judge_answering(self, watch: Any, state: _GroupState) -> Diagnosis:
        """Judge a group whose primary answers."""
        sightings = self._own(watch).observations
        now = self._context.clock.now()
        since = state.leaderless_since
        leaderless_s = 0.0 if since is None else now - since
        verdict = diagnose_leadership(watch.members, sightings, leaderless_s)
        if verdict is not Diagnosis.HEALTHY:
            return verdict
        if state.replication.stalled_s(now) >= ISOLATED_S:
            return Diagnosis.ISOLATED
        view = self._view(watch.group)
        return diagnose_drain(
            view.primary, watch.members, watch.leaving, sightings
        )

    async def _judge(self, watch: Any, state: _GroupState) -> None:
        try:
            reports = await self._gather_reports(watch)
            verdict = self._verdict(watch, state, reports)
            self._verdicts.labels(verdict.value).inc()
            if verdict in _ORDERING:
                await self._perhaps_promote(watch, state, reports, verdict)
        finally:
            state.work = None

    def _verdict(
        self, watch: Any, state: _GroupState, reports: list[Report]
    ) -> Diagnosis:
        view = self._view(watch.group)
        data_centres = {vm.data_centre for vm in watch.observers}
        verdict = diagnose_primary(
            view.primary, watch.members, reports, len(data_centres)
        )
        if verdict is Diagnosis.HEALTHY:
            return self._judge_answering(watch, state)
        return verdict

    async def _gather_reports(self, watch: Any) -> list[Report]:
        own_name = self._context.settings.vm.name
        others = [vm for vm in watch.observers if vm.vm != own_name]
        answers = await gather(*(self._ask(vm, watch.group) for vm in others))
        # The own report is made last, so that it is as fresh as theirs.
        return [self._own(watch), *(a for a in answers if a is not None)]

    async def _ask(self, vm: VmAddress, group: str) -> Report | None:
        answer = await self._context.peers.call(
            PeerAddress(vm.ip, vm.agent_port),
            lambda node: node.watch().watch.observations(group),
            REPORT_TIMEOUT_S,
        )
        if answer.is_error() or not len(answer.ok.seen):
            return None
        sightings = tuple(
            MemberObservation(
                seen.member,
                from_age_ms(seen.silentMs),
                seen.term,
                seen.role == "primary",
                from_age_ms(seen.ageMs),
            )
            for seen in answer.ok.seen
        )
        return Report(answer.ok.vm, answer.ok.dataCentre, sightings)

    async def _perhaps_promote(
        self,
        watch: Any,
        state: _GroupState,
        reports: list[Report],
        verdict: Diagnosis,
    ) -> None:
        now = self._context.clock.now()
        state.suspected_at = now
        if state.suspected_since is None:
            state.suspected_since = now
        rank = self._rank(watch, reports)
        if may_propose(rank, now - state.suspected_since):
            await self._promote(watch, state, verdict)

    async def promote_now(self, watch: Any) -> None:
        """Conduct one promotion, whoever leads and whose turn it is."""
        state = self._states_by_group.setdefault(watch.group, _GroupState())
        await self._promote(watch, state, Diagnosis.LEADERLESS)

    def _rank(self, watch: Any, reports: list[Report]) -> int:
        """Return this VM's rank among the observers that answer."""
        answering = {report.observer for report in reports}
        ranked = [vm.vm for vm in watch.observers if vm.vm in answering]
        name = self._context.settings.vm.name
        return ranked.index(name) if name in ranked else len(ranked)

    async def _promote(
        self, watch: Any, state: _GroupState, verdict: Diagnosis
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
            verdict.value,
            term,
            claimant,
        )
        conductor = Conductor(
            watch.group,
            claimant,
            watch.probes_by_member,
            lambda view: self._context.announce([view]),
        )
        leaving = watch.leaving
        if verdict is Diagnosis.ISOLATED:
            # Ahead of the others by what nobody confirmed, it would be
            # chosen again, and nothing would have changed.
            leaving = leaving | {old.primary}
        ended = await conductor.run(self._candidates(watch, leaving), term)
        if isinstance(ended, Abort):
            self._note_failure(watch.group, state, ended)
            return
        self._note_success(watch.group, state, ended)
        self._spawn(self._audit(old, watch.group, ended, claimant, verdict))

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
        self, group: str, state: _GroupState, ended: Abort
    ) -> None:
        self._promotions.labels("gave up").inc()
        pause = backoff_s(state.failures, self._random.random())
        state.failures += 1
        state.quiet_until = self._context.clock.now() + pause
        logger.warning("{}: gave up: {}", group, ended.reason)

    def _note_success(
        self, group: str, state: _GroupState, ended: Announce
    ) -> None:
        self._promotions.labels("done").inc()
        state.failures = 0
        state.suspected_since = None
        state.leaderless_since = None
        state.replication = ReplicationMeter()
        logger.warning(
            "{}: {} leads term {} from {}",
            group,
            ended.primary,
            ended.term,
            ended.start,
        )

    async def _audit(
        self,
        old: GroupView | None,
        group: str,
        ended: Announce,
        claimant: str,
        verdict: Diagnosis,
    ) -> None:
        """Leave a row where the store can be reached; nothing waits."""
        key = f"{group}/{ended.term:012d}"
        row = {
            "who": claimant,
            "why": verdict.value,
            "from": old.primary if old is not None else "",
            "to": ended.primary,
            "start": str(ended.start),
        }
        written = await self._context.tables.transact(
            (Condition("promotions", key, 0),),
            (Write("promotions", key, row),),
        )
        if written.is_error():
            logger.warning("{}: no audit row: {}", group, written.error)
