"""Serve reads that stand alone: plan, place, hedge, prove."""

from asyncio import (
    FIRST_COMPLETED,
    Task,
    create_task,
    wait,
    wait_for,
)
from typing import NamedTuple

from redwingpost.configuration.routes import RouteRule
from redwingpost.core.codes import Code
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement
from redwingpost.groups.choice import LAGGING_PAUSE_S
from redwingpost.groups.reads import ReadPlan, plan_read
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient, is_good
from redwingpost.node.request.attempt import (
    Caller,
    NoAnswer,
    NotSent,
    Outcome,
    run_alone,
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
#: change shows within tens of milliseconds; a lost primary takes longer
#: than callers wait, and they may find another VM better off.
LEADER_WAIT_S = 0.5

#: Members tried for one read, the first included.
MAX_TRIES = 4


class ReadRequest(NamedTuple):
    """A read with its route; times are seconds."""

    statement: Statement
    caller: Caller
    route: RouteRule
    arrived_at: float

    @property
    def deadline(self) -> float:
        """When the statement's time is over."""
        return self.arrived_at + self.route.timeout_s


Result = Answer | MemberFailure | Refusal


class Race:
    """Attempts at one read; over once the caller has its answer."""

    is_over = False


class ReadRunner:
    """Runs reads of one node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budget = RetryBudget()
        self._left_running: set[Task] = set()

    async def run(self, group: GroupClient, read: ReadRequest) -> Result:
        """Return the answer to a read, or why there is none."""
        self._budget.earn()
        for _ in range(MAX_TRIES):
            plan = await plan_with_sample(group, read)
            if plan.needs_proof:
                result = await self._at_primary(group, read)
            else:
                result = await self._anywhere(group, read, plan)
            if result is not None:
                return result
            if self._left_s(read) <= 0.0:
                break
        return Refusal(Code.NOT_FRESH, "no member proved fresh in time", 200)

    async def _at_primary(
        self, group: GroupClient, read: ReadRequest
    ) -> Result | None:
        """Run at the primary; None where its lead wasn't proven."""
        leader = await await_leader(group, read.deadline, self._clock)
        if leader is None:
            return Refusal(Code.NO_PRIMARY, "", 500)
        refused = group.refuse_unprovable(self._left_s(read))
        if refused is not None:
            return refused
        proof = create_task(group.prove())
        outcome = await self._race(read, [leader, leader], None)
        result = self._judge(group, leader, outcome)
        if not isinstance(result, Answer):
            proof.cancel()
            return result
        try:
            is_proven = await wait_for(proof, max(self._left_s(read), 0.001))
        except TimeoutError:
            is_proven = False
        if is_proven and group.evidence.leader == leader.entry.member:
            return result
        await group.fresh_round()
        return None

    async def _anywhere(
        self, group: GroupClient, read: ReadRequest, plan: ReadPlan
    ) -> Result | None:
        """Run at the best member; None where none of them could."""
        ranked = group.ranked(read.caller.organisation)
        if not ranked:
            await group.wait_change(min(0.2, self._left_s(read)))
            return None
        outcome = await self._race(read, ranked, plan.after)
        if isinstance(outcome, NoAnswer):
            return Refusal(Code.TIMED_OUT, outcome.reason)
        if isinstance(outcome, NotSent):
            return Refusal(Code.TARGET_LOST, outcome.reason, 100)
        if is_good(outcome):
            return Answer(outcome.rows, outcome.proof)
        return self._judge_failure(outcome.failure)

    async def _race(
        self,
        read: ReadRequest,
        clients: list[MemberClient],
        after: Position | None,
    ) -> Outcome:
        """Try members in turn; a late one gets a rival.

        Returns the first success, else the last failure. An attempt that
        lost after it was sent is left to finish: cutting it off would cost
        the member a slot all the same and this VM the connection. One that
        still waits for a connection is never sent.
        """
        race = Race()
        try:
            return await self._run_race(race, read, clients, after)
        finally:
            race.is_over = True

    async def _run_race(
        self,
        race: Race,
        read: ReadRequest,
        clients: list[MemberClient],
        after: Position | None,
    ) -> Outcome:
        waiting = list(clients)
        running: set[Task] = set()
        last: Outcome = NotSent("no member to ask")
        while waiting or running:
            if not running:
                running.add(self._start(race, read, waiting.pop(0), after))
            patience = self._patience(read, clients, bool(waiting))
            if patience <= 0.0:
                last = NoAnswer("no answer in time")
                break
            done, running = await wait(
                running, timeout=patience, return_when=FIRST_COMPLETED
            )
            for task in done:
                last = task.result()
                if isinstance(last, Reply) and is_final(last):
                    self._leave(running)
                    return last
            if not done and waiting and self._budget.spend():
                running.add(self._start(race, read, waiting.pop(0), after))
            elif not done:
                waiting.clear()
        self._leave(running)
        return last

    def _start(
        self,
        race: Race,
        read: ReadRequest,
        client: MemberClient,
        after: Position | None,
    ) -> Task:
        return create_task(self._attempt(race, read, client, after))

    async def _attempt(
        self,
        race: Race,
        read: ReadRequest,
        client: MemberClient,
        after: Position | None,
    ) -> Outcome:
        attempt = run_alone(
            client,
            read.caller,
            read.statement,
            after,
            read.deadline,
            self._clock,
            lambda: not race.is_over,
        )
        try:
            outcome = await wait_for(attempt, max(self._left_s(read), 0.01))
        except TimeoutError:
            client.failed_at = self._clock.now()
            return NoAnswer("no answer in time")
        if isinstance(outcome, Reply) and outcome.failure is not None:
            if outcome.failure.kind is FailureKind.BEHIND:
                client.behind_until = self._clock.now() + LAGGING_PAUSE_S
        return outcome

    def _patience(
        self, read: ReadRequest, clients: list[MemberClient], can_hedge: bool
    ) -> float:
        left_s = self._left_s(read)
        if not can_hedge:
            return left_s
        return min(left_s, clients[0].latency.late_after_s)

    def _leave(self, tasks: set[Task]) -> None:
        for task in tasks:
            self._left_running.add(task)
            task.add_done_callback(self._left_running.discard)

    def _judge(
        self, group: GroupClient, leader: MemberClient, outcome: Outcome
    ) -> Result | None:
        if isinstance(outcome, NoAnswer):
            return Refusal(Code.TIMED_OUT, outcome.reason)
        if isinstance(outcome, NotSent):
            return Refusal(Code.TARGET_LOST, outcome.reason, 100)
        if is_good(outcome):
            return Answer(outcome.rows, outcome.proof)
        if outcome.failure and outcome.failure.kind is FailureKind.NOT_PRIMARY:
            group.note_refused_as_replica(leader)
            return None
        return self._judge_failure(outcome.failure)

    def _judge_failure(self, failure: MemberFailure | None) -> Result:
        if failure is None:
            # Without the member's proof the rows may be anybody's.
            return Refusal(Code.TIMED_OUT, "the member gave no proof")
        return failure

    def _left_s(self, read: ReadRequest) -> float:
        return read.deadline - self._clock.now()


def is_final(reply: Reply) -> bool:
    """Say whether another member couldn't give a better answer."""
    if reply.failure is None:
        return True
    kind = reply.failure.kind
    return kind not in DID_NOT_RUN and kind is not FailureKind.FAILED


async def plan_with_sample(group: GroupClient, read: ReadRequest) -> ReadPlan:
    """Return a read's plan; takes a sample where none is young enough."""
    state = read.caller.state

    def make() -> ReadPlan:
        return plan_read(
            read.route, group.evidence, state.written, read.arrived_at
        )

    plan = make()
    if plan.needs_proof and read.route.max_staleness_s > 0.0:
        await group.run_round()
        plan = make()
    return plan


async def await_leader(
    group: GroupClient, deadline: float, clock: Clock
) -> MemberClient | None:
    """Return the primary, waiting a moment for it to be known."""
    until = min(deadline, clock.now() + LEADER_WAIT_S)
    while group.leader() is None and clock.now() < until:
        await group.wait_change(until - clock.now())
    return None if group.is_out_of_reach() else group.leader()
