"""Runs reads outside transactions: chooses a member, hedges, proves."""

from asyncio import (
    FIRST_COMPLETED,
    Task,
    create_task,
    wait,
    wait_for,
)
from collections.abc import Callable
from typing import NamedTuple

from redwingpost.configuration.routes import RouteRule
from redwingpost.core.codes import Code
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement
from redwingpost.groups.choice import LAGGING_PAUSE_S
from redwingpost.groups.reads import ReadPlan, plan_read
from redwingpost.node.group import EVACUATED_RETRY_MS, GroupClient
from redwingpost.node.member import MemberClient, is_proven_success
from redwingpost.node.request.attempt import (
    Caller,
    NoAnswer,
    NotSent,
    Outcome,
    any_member,
    run_standalone,
)
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import (
    DID_NOT_RUN,
    FailureKind,
    MemberFailure,
    Reply,
)
from redwingpost.retries.budget import RetryBudget

#: Seconds that a statement waits for a primary to be known: a planned
#: change of primary takes tens of milliseconds; replacing a lost one takes
#: longer than callers wait, and another VM may reach it for them.
LEADER_TIMEOUT_S = 0.5

#: Seconds between checks whether the members may be queried again, while a
#: newer primary than the known one is looked for.
NEW_TERM_CHECK_S = 0.05

#: Attempts at one statement, the first included.
MAX_TRIES = 4


class ReadRequest(NamedTuple):
    """A statement outside a transaction, its caller and route.

    ``arrived_at`` is in seconds: on another VM than the caller's an upper
    bound, since a read's age counts from it. ``expires_at`` is the limit
    that the caller's VM set there (seconds).
    """

    statement: Statement
    caller: Caller
    route: RouteRule
    arrived_at: float
    expires_at: float = float("inf")

    @property
    def deadline(self) -> float:
        """When the route's timeout ends, or the limit (seconds)."""
        return min(self.arrived_at + self.route.timeout_s, self.expires_at)


Result = Answer | MemberFailure | Refusal


class HedgeState:
    """State shared by the hedged attempts at one read.

    ``is_over`` is set once the caller has its answer. ``may_use`` tells
    whether a member may still get the read, by its role.
    """

    is_over = False

    def __init__(self, may_use: Callable[[MemberClient], bool]) -> None:
        self.may_use = may_use


class ReadRunner:
    """Runs the reads of one VM."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budget = RetryBudget()
        self._unfinished_attempts: set[Task] = set()

    async def run(self, group: GroupClient, read: ReadRequest) -> Result:
        """Return the answer to a read, or the failure or refusal."""
        self._budget.earn()
        for _ in range(MAX_TRIES):
            plan = await plan_with_sample(group, read)
            if plan.needs_proof:
                result = await self._run_at_primary(group, read)
            else:
                result = await self._run_at_any_member(group, read, plan)
            if result is not None:
                return result
            if self._remaining_s(read) <= 0.0:
                break
        return Refusal(Code.NOT_FRESH, "no member proved fresh in time", 200)

    async def _run_at_primary(
        self, group: GroupClient, read: ReadRequest
    ) -> Result | None:
        """Run at the primary; return None if its lead wasn't proven."""
        written = read.caller.state.written_in(group.name)
        leader = await await_leader(
            group, read.deadline, self._clock, written.term
        )
        refused = group.refuse_primary(read.route.regions)
        if refused is not None:
            return refused
        if leader is None:
            return group.refuse_without_primary()
        refused = group.refuse_unprovable(self._remaining_s(read))
        if refused is not None:
            return refused
        proof = create_task(group.prove())
        outcome = await self._run_hedged(
            read, [leader, leader], None, group.is_leader
        )
        if isinstance(outcome, NotSent) and group.leader() is not leader:
            proof.cancel()
            return None
        result = self._to_result(group, leader, outcome)
        if not isinstance(result, Answer):
            proof.cancel()
            return result
        try:
            is_proven = await wait_for(
                proof, max(self._remaining_s(read), 0.001)
            )
        except TimeoutError:
            is_proven = False
        if is_proven and group.evidence.leader == leader.entry.member:
            return result
        await group.fresh_round()
        return None

    async def _run_at_any_member(
        self, group: GroupClient, read: ReadRequest, plan: ReadPlan
    ) -> Result | None:
        """Run at the best member; return None if there is none at present."""
        regions = read.route.regions
        ranked = group.ranked(read.caller.organisation, regions)
        if not ranked and group.is_evacuated:
            return Refusal(Code.EVACUATED, "", EVACUATED_RETRY_MS)
        refused = None if ranked else group.refuse_reads(regions)
        if refused is not None:
            return refused
        if not ranked:
            await group.wait_for_change(min(0.2, self._remaining_s(read)))
            return None
        outcome = await self._run_hedged(read, ranked, plan.after)
        if isinstance(outcome, NoAnswer):
            return Refusal(Code.TIMED_OUT, outcome.reason)
        if isinstance(outcome, NotSent):
            return outcome.as_refusal()
        if is_proven_success(outcome):
            return Answer(outcome.rows, outcome.proof)
        return self._to_failure_result(outcome.failure)

    async def _run_hedged(
        self,
        read: ReadRequest,
        clients: list[MemberClient],
        after: Position | None,
        may_use: Callable[[MemberClient], bool] = any_member,
    ) -> Outcome:
        """Try members in turn; hedge an attempt that takes too long.

        Returns the first final reply, else the last outcome. Once the caller
        has its answer, an attempt that was sent is left to finish: to cancel
        it would occupy the member's slot just as long and cost this VM the
        connection. One that still waits for a connection is never sent.
        """
        hedge = HedgeState(may_use)
        try:
            return await self._run_hedged_attempts(hedge, read, clients, after)
        finally:
            hedge.is_over = True

    async def _run_hedged_attempts(
        self,
        hedge: HedgeState,
        read: ReadRequest,
        clients: list[MemberClient],
        after: Position | None,
    ) -> Outcome:
        untried = list(clients)
        running: set[Task] = set()
        last: Outcome = NotSent("no member to ask")
        while untried or running:
            if self._remaining_s(read) <= 0.0:
                last = _more_telling(last, _out_of_time(read))
                break
            if not running:
                running.add(self._start(hedge, read, untried.pop(0), after))
            wait_s = self._hedge_wait_s(read, clients, bool(untried))
            done, running = await wait(
                running, timeout=wait_s, return_when=FIRST_COMPLETED
            )
            for task in done:
                outcome = task.result()
                if isinstance(outcome, Reply) and is_final(outcome):
                    self._leave_running(running)
                    return outcome
                last = _more_telling(last, outcome)
                if isinstance(outcome, NotSent) and outcome.refusal:
                    # The same member would refuse it again.
                    refusing = outcome.member
                    untried = [
                        client
                        for client in untried
                        if client.entry.member != refusing
                    ]
            if not done and untried and self._budget.spend():
                running.add(self._start(hedge, read, untried.pop(0), after))
            elif not done:
                untried.clear()
        self._leave_running(running)
        return last

    def _start(
        self,
        hedge: HedgeState,
        read: ReadRequest,
        client: MemberClient,
        after: Position | None,
    ) -> Task:
        return create_task(self._attempt(hedge, read, client, after))

    async def _attempt(
        self,
        hedge: HedgeState,
        read: ReadRequest,
        client: MemberClient,
        after: Position | None,
    ) -> Outcome:
        outcome = await run_standalone(
            client,
            read.caller,
            read.statement,
            after,
            read.deadline,
            self._clock,
            lambda: not hedge.is_over,
            hedge.may_use,
        )
        if isinstance(outcome, Reply) and outcome.failure is not None:
            if outcome.failure.kind is FailureKind.BEHIND:
                client.lagging_until = self._clock.now() + LAGGING_PAUSE_S
        return outcome

    def _hedge_wait_s(
        self, read: ReadRequest, clients: list[MemberClient], can_hedge: bool
    ) -> float:
        remaining_s = self._remaining_s(read)
        if not can_hedge:
            return remaining_s
        return min(remaining_s, clients[0].latency.late_after_s)

    def _leave_running(self, tasks: set[Task]) -> None:
        for task in tasks:
            self._unfinished_attempts.add(task)
            task.add_done_callback(self._unfinished_attempts.discard)

    def _to_result(
        self, group: GroupClient, leader: MemberClient, outcome: Outcome
    ) -> Result | None:
        if isinstance(outcome, NoAnswer):
            return Refusal(Code.TIMED_OUT, outcome.reason)
        if isinstance(outcome, NotSent):
            return outcome.as_refusal()
        if is_proven_success(outcome):
            return Answer(outcome.rows, outcome.proof)
        if outcome.failure and outcome.failure.kind is FailureKind.NOT_PRIMARY:
            group.note_refused_as_replica(leader)
            return None
        return self._to_failure_result(outcome.failure)

    def _to_failure_result(self, failure: MemberFailure | None) -> Result:
        if failure is None:
            # Without its proof, nothing shows that the member ran the read.
            return Refusal(Code.TIMED_OUT, "the member gave no proof")
        return failure

    def _remaining_s(self, read: ReadRequest) -> float:
        return read.deadline - self._clock.now()


def _out_of_time(read: ReadRequest) -> NoAnswer | NotSent:
    """Return the outcome of a read whose time ended without an answer."""
    if read.caller.state.trace.may_have_run:
        return NoAnswer("no answer in time")
    return NotSent("sent to no member in time")


def _more_telling(before: Outcome, newest: Outcome) -> Outcome:
    """Return the outcome of two attempts that the caller must learn.

    An attempt that was not sent doesn't undo an earlier one that may have
    run. Of several refusals by admission, the soonest retry counts.
    """
    if not isinstance(newest, NotSent):
        return newest
    if isinstance(before, NoAnswer):
        return before
    if not isinstance(before, NotSent) or before.refusal is None:
        return newest
    if newest.refusal is None:
        return before
    return min(before, newest, key=lambda one: one.refusal.retry_after_ms)


def is_final(reply: Reply) -> bool:
    """Return whether no other member could give a better answer."""
    if reply.failure is None:
        return True
    kind = reply.failure.kind
    return kind not in DID_NOT_RUN and kind is not FailureKind.FAILED


async def plan_with_sample(group: GroupClient, read: ReadRequest) -> ReadPlan:
    """Return a read's plan; take a sample first if none is recent enough."""
    state = read.caller.state

    def make() -> ReadPlan:
        return plan_read(
            read.route,
            group.evidence,
            state.written_in(group.name),
            read.arrived_at,
        )

    plan = make()
    if plan.needs_proof and read.route.max_staleness_s > 0.0:
        await group.run_round()
        plan = make()
    return plan


async def await_leader(
    group: GroupClient, deadline: float, clock: Clock, term: int
) -> MemberClient | None:
    """Return the primary, waiting up to ``LEADER_TIMEOUT_S`` for one.

    Parameters
    ----------
    group : GroupClient
        The group.
    deadline : float
        When to stop waiting at the latest (seconds).
    clock : Clock
        Measures the wait.
    term : int
        Of the session's last commit: a primary of an earlier term has been
        replaced.

    Returns
    -------
    MemberClient or None
        None if none is known then or it is unreachable, and at once if none
        can be expected.
    """
    group.note_term(term)
    group.look_for_new_term()
    until = min(deadline, clock.now() + LEADER_TIMEOUT_S)
    while (
        (group.leader() is None or group.is_term_replaced)
        and group.is_primary_expected()
        and not group.is_new_term_out_of_reach
        and clock.now() < until
    ):
        pause_s = until - clock.now()
        if group.is_term_replaced:
            group.look_for_new_term()
            pause_s = min(pause_s, NEW_TERM_CHECK_S)
        await group.wait_for_change(pause_s)
    if group.is_primary_unreachable() or group.is_term_replaced:
        return None
    return group.leader()
