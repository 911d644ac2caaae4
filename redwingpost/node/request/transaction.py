"""One caller's transaction, pinned to one connection of one member.

BEGIN is answered at once and sent to a member with the first statement:
until then any member can be chosen, and a caller that only begins holds
no connection.
"""

from asyncio import Task, create_task, wait_for
from typing import NamedTuple

from redwingpost.configuration.routes import Consistency, RouteRule
from redwingpost.core.codes import Code
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement, StatementKind
from redwingpost.groups.choice import LAGGING_PAUSE_S
from redwingpost.groups.reads import oldest_sample_time
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient, is_good
from redwingpost.node.request.attempt import (
    Caller,
    NoAnswer,
    NotSent,
    claim,
    make_ready,
    run_on,
)
from redwingpost.node.request.commits import (
    AcknowledgedCommit,
    confirm_commit,
)
from redwingpost.node.request.reads import (
    MAX_TRIES,
    ReadRequest,
    Result,
    await_leader,
    plan_with_sample,
)
from redwingpost.observability.journal import log_event
from redwingpost.pools.pool import PooledLink
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import (
    DID_NOT_RUN,
    FailureKind,
    MemberFailure,
    Reply,
)

#: Seconds for a rollback before its connection is closed instead, which
#: rolls back as well.
ROLL_BACK_S = 0.5

#: Seconds for BEGIN, which takes no slot of the member: one that doesn't
#: answer within them has stopped answering.
BEGIN_S = 0.4


class Pinned(NamedTuple):
    """Where a transaction runs."""

    client: MemberClient
    item: PooledLink


class Transaction:
    """An open transaction of one session."""

    def __init__(
        self,
        begin: Statement,
        caller: Caller,
        route: RouteRule,
        group: GroupClient,
        sync_replicas: int,
        clock: Clock,
    ) -> None:
        self._begin = begin
        self._caller = caller
        self._route = route
        self._group = group
        self._sync_replicas = sync_replicas
        self._clock = clock
        self._arrived_at = clock.now()
        self._pinned: Pinned | None = None
        self._proof: Task | None = None
        self._has_written = False
        self._is_over = False

    @property
    def is_over(self) -> bool:
        """Whether nothing of it is left at a member."""
        return self._is_over

    async def run(self, statement: Statement) -> Result:
        """Run a read or a write inside the transaction."""
        deadline = self._clock.now() + self._route.timeout_s
        refused = await self._reach_member(statement, deadline)
        if refused is not None:
            return refused
        outcome = await self._send(statement, deadline)
        if not isinstance(outcome, Reply):
            return self._lost(outcome.reason)
        if not is_good(outcome):
            return await self._failed(outcome)
        if not await self._is_proven(deadline):
            await self.roll_back()
            return self._rolled_back("lead not proven")
        if self._caller.state.writes(statement):
            self._has_written = True
        return Answer(outcome.rows, outcome.proof)

    async def commit(self, statement: Statement) -> Result:
        """Commit; the transaction is over whatever comes of it."""
        deadline = self._clock.now() + self._route.timeout_s
        refused = await self._reach_member(statement, deadline)
        if refused is not None:
            return refused
        client = self._pinned.client
        sent_at = self._clock.now()
        watch = self._group.writes
        number = watch.start(sent_at)
        outcome = await self._send(statement, deadline)
        is_answered = isinstance(outcome, Reply)
        watch.end(number, is_answered)
        if not isinstance(outcome, Reply):
            return self._commit_unanswered(statement, outcome)
        if not is_good(outcome):
            return await self._failed(outcome)
        self._give_back(outcome)
        if not self._has_written:
            return Answer(outcome.rows, outcome.proof)
        acknowledged = AcknowledgedCommit(
            statement.request, outcome.position, sent_at, deadline
        )
        is_kept = await confirm_commit(
            self._group,
            client,
            acknowledged,
            self._sync_replicas,
            self._clock,
        )
        if not is_kept:
            return Refusal(Code.COMMIT_UNKNOWN, "lead not proven")
        self._caller.state.note_commit(outcome.position)
        return Answer(outcome.rows, outcome.proof)

    async def roll_back(self) -> None:
        """Undo what was done and give the connection back."""
        if self._pinned is None:
            self._is_over = True
            return
        client, item = self._pinned
        try:
            reply = await wait_for(item.link.roll_back(), ROLL_BACK_S)
        except Exception as error:
            log_event("rollback-by-close", reason=type(error).__name__)
            self._cut()
            return
        if reply.failure is not None:
            self._cut()
            return
        self._give_back(reply)

    async def _reach_member(
        self, statement: Statement, deadline: float
    ) -> Result | None:
        """Begin if need be, and set up; None once a statement can run."""
        if self._pinned is None:
            refused = await self._start(statement, deadline)
            if refused is not None:
                return refused
        client, item = self._pinned
        if not await make_ready(client, item, self._caller.state):
            return self._lost("set-up failed")
        return None

    # Start -------------------------------------------------------------

    async def _start(
        self, statement: Statement, deadline: float
    ) -> Result | None:
        """Begin at a member; None once begun, else why it can't."""
        result: Result = Refusal(Code.NO_PRIMARY, "", 500)
        for _ in range(MAX_TRIES):
            if self._may_use_replicas():
                result = await self._begin_anywhere(deadline)
            else:
                result = await self._begin_at_primary(deadline)
            if result is None:
                return None
            if not _is_passing(result) or self._clock.now() >= deadline:
                break
        self._is_over = True
        return result

    def _may_use_replicas(self) -> bool:
        return (
            self._begin.kind is StatementKind.BEGIN_READ_ONLY
            and self._route.consistency is not Consistency.PRIMARY
        )

    async def _begin_anywhere(self, deadline: float) -> Result | None:
        read = ReadRequest(
            self._begin, self._caller, self._route, self._arrived_at
        )
        plan = await plan_with_sample(self._group, read)
        if plan.needs_proof:
            return await self._begin_at_primary(deadline)
        result: Result | None = Refusal(Code.TARGET_LOST, "", 100)
        for client in self._group.ranked(self._caller.organisation):
            result = await self._begin_at(client, plan.after, deadline)
            if result is None or not _is_passing(result):
                return result
        return result

    async def _begin_at_primary(self, deadline: float) -> Result | None:
        leader = await await_leader(self._group, deadline, self._clock)
        if leader is None:
            return Refusal(Code.NO_PRIMARY, "", 500)
        refused = self._refuse_hopeless(deadline - self._clock.now())
        if refused is not None:
            return refused
        if self._needs_proof():
            self._proof = create_task(self._group.prove())
        result = await self._begin_at(leader, None, deadline)
        if _is_kind(result, FailureKind.NOT_PRIMARY):
            self._group.note_refused_as_replica(leader)
            await self._group.fresh_round()
        return result

    def _refuse_hopeless(self, left_s: float) -> Refusal | None:
        if self._needs_proof():
            return self._group.refuse_unprovable(left_s)
        if self._begin.kind is StatementKind.BEGIN:
            return self._group.refuse_unconfirmable(
                left_s, self._sync_replicas
            )
        return None

    def _needs_proof(self) -> bool:
        if self._route.consistency is Consistency.PRIMARY:
            return True
        since = oldest_sample_time(self._route, self._arrived_at)
        return self._group.evidence.proven_at < since

    async def _begin_at(
        self, client: MemberClient, after: Position | None, deadline: float
    ) -> Result | None:
        item = await claim(client, self._caller, None, deadline, self._clock)
        if isinstance(item, NotSent):
            return Refusal(Code.TARGET_LOST, item.reason, 100)
        left_s = max(deadline - self._clock.now(), 0.01)
        patience = min(left_s, BEGIN_S)
        try:
            outcome = await wait_for(
                run_on(client, item, self._begin, after, None), patience
            )
        except TimeoutError:
            client.failed_at = self._clock.now()
            return Refusal(Code.TARGET_LOST, "no answer to BEGIN", 100)
        if isinstance(outcome, NoAnswer):
            client.discard(item)
            return Refusal(Code.TARGET_LOST, outcome.reason, 100)
        if outcome.failure is None:
            self._pinned = Pinned(client, item)
            client.under_way += 1
            return None
        if outcome.failure.kind is FailureKind.BEHIND:
            client.behind_until = self._clock.now() + LAGGING_PAUSE_S
        if outcome.in_transaction:
            client.discard(item)
        else:
            client.release(item)
        return outcome.failure

    # Statements --------------------------------------------------------

    async def _send(
        self, statement: Statement, deadline: float
    ) -> Reply | NoAnswer:
        client, item = self._pinned
        shape = self._caller.state.shape_of(statement.name)
        left_s = max(deadline - self._clock.now(), 0.01)
        started_at = self._clock.now()
        try:
            outcome = await wait_for(
                run_on(client, item, statement, None, shape), left_s
            )
        except TimeoutError:
            # The wait discarded the connection; count it as cut.
            client.failed_at = self._clock.now()
            self._unpin()
            self._is_over = True
            return NoAnswer("no answer in time")
        finally:
            ran_s = self._clock.now() - started_at
            self._caller.state.trace.note_run(client.entry.member, ran_s)
        if isinstance(outcome, Reply) and outcome.failure is None:
            now = self._clock.now()
            client.latency.observe(now - started_at, now)
        return outcome

    async def _is_proven(self, deadline: float) -> bool:
        """Say whether the primary led when the transaction began."""
        if self._proof is None:
            return True
        left_s = max(deadline - self._clock.now(), 0.001)
        try:
            is_proven = await wait_for(self._proof, left_s)
        except TimeoutError:
            is_proven = False
        client = self._pinned.client
        is_leader = self._group.evidence.leader == client.entry.member
        self._proof = None
        return is_proven and is_leader

    async def _failed(self, reply: Reply) -> Result:
        """Give a failed transaction up at the member at once.

        The caller can only roll back; until it does, the connection and
        what the transaction has locked would be kept for nothing.
        """
        client = self._pinned.client
        await self.roll_back()
        if reply.failure is None:
            return self._rolled_back("the member gave no proof")
        if reply.failure.kind is FailureKind.NOT_PRIMARY:
            self._group.note_refused_as_replica(client)
        return reply.failure

    def _commit_unanswered(
        self, statement: Statement, outcome: NoAnswer
    ) -> Refusal:
        has_written = self._has_written
        if self._pinned is not None:
            self._cut()
        if not has_written:
            # Nothing was written, so nothing can have been kept.
            return self._rolled_back(outcome.reason)
        log_event(
            "commit-unknown",
            request=statement.request,
            group=self._group.name,
            term=self._group.evidence.term,
            **self._caller.state.trace.describe(),
            reason=outcome.reason,
        )
        return Refusal(Code.COMMIT_UNKNOWN, outcome.reason)

    def _lost(self, reason: str) -> Refusal:
        if self._pinned is not None:
            self._cut()
        return self._rolled_back(reason)

    def _rolled_back(self, reason: str) -> Refusal:
        return Refusal(Code.TRANSACTION_ROLLED_BACK, reason, 50)

    # Connection --------------------------------------------------------

    def _give_back(self, reply: Reply) -> None:
        client, item = self._pinned
        self._unpin()
        self._is_over = True
        if reply.in_transaction:
            client.discard(item)
        else:
            client.release(item)

    def _cut(self) -> None:
        client, item = self._pinned
        self._unpin()
        self._is_over = True
        client.discard(item)

    def _unpin(self) -> None:
        self._pinned.client.under_way -= 1
        self._pinned = None


def _is_kind(result: Result | None, kind: FailureKind) -> bool:
    return isinstance(result, MemberFailure) and result.kind is kind


def _is_passing(result: Result) -> bool:
    """Say whether another member, or another moment, may do better."""
    if isinstance(result, MemberFailure):
        return result.kind in DID_NOT_RUN
    return (
        isinstance(result, Refusal)
        and result.code.name == Code.TARGET_LOST.name
    )
