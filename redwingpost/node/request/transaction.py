"""One caller's transaction, pinned to one connection of one member.

BEGIN is answered at once and sent to a member only before the first
statement: until then any member can be chosen, and a caller that sends
nothing after BEGIN holds no connection.
"""

from asyncio import Task, create_task, wait_for
from collections.abc import Callable
from typing import NamedTuple

from redwingpost.configuration.routes import Consistency, RouteRule
from redwingpost.core.codes import Code
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement, StatementKind
from redwingpost.groups.choice import LAGGING_PAUSE_S
from redwingpost.groups.reads import read_needs
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient, is_proven_success
from redwingpost.node.request.attempt import (
    Caller,
    NoAnswer,
    NotSent,
    Outcome,
    SendGuard,
    any_member,
    claim_connection,
    make_ready,
    run_on_connection,
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

#: Seconds for a rollback before the connection is closed instead, which
#: also rolls back.
ROLL_BACK_TIMEOUT_S = 0.5

#: Seconds for BEGIN, which takes no slot of the member: a member that
#: doesn't answer it in this time has stopped answering.
BEGIN_TIMEOUT_S = 0.4

#: Statements that a cold member must be able to get before a transaction
#: begins there: BEGIN, one statement and COMMIT. With fewer it would be
#: rolled back by the limit.
SHORTEST_TRANSACTION = 3


class PinnedConnection(NamedTuple):
    """The member and the connection that a transaction runs on."""

    client: MemberClient
    pooled: PooledLink


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
        self._pinned: PinnedConnection | None = None
        self._proof: Task | None = None
        self._has_written = False
        self._is_over = False
        self._was_evicted = False

    @property
    def has_written(self) -> bool:
        """Whether a write of the transaction has succeeded."""
        return self._has_written

    @property
    def is_over(self) -> bool:
        """Whether the transaction is no longer open at a member."""
        return self._is_over

    async def run(
        self, statement: Statement, expires_at: float = float("inf")
    ) -> Result:
        """Run a read or a write inside the transaction.

        From ``expires_at`` on (seconds) it is sent to no member.
        """
        deadline = self._deadline(expires_at)
        refused = await self._prepare_connection(statement, deadline)
        if refused is not None:
            return refused
        outcome = await self._send(statement, deadline)
        if isinstance(outcome, NotSent):
            return self._end_unsent(outcome)
        if not isinstance(outcome, Reply):
            return self._end_lost(outcome.reason)
        if not is_proven_success(outcome):
            return await self._end_failed(outcome)
        if not await self._is_proven(deadline):
            await self.roll_back()
            return self._rolled_back_refusal("lead not proven")
        if self._caller.state.writes(statement):
            self._has_written = True
        if self._pinned is not None:
            client, pooled = self._pinned
            client.rest(pooled, self._evict)
        return Answer(outcome.rows, outcome.proof)

    async def commit(
        self, statement: Statement, expires_at: float = float("inf")
    ) -> Result:
        """Commit; the transaction has ended whatever the result.

        From ``expires_at`` on (seconds) COMMIT is sent to no member.
        """
        deadline = self._deadline(expires_at)
        refused = await self._prepare_connection(statement, deadline)
        if refused is not None:
            return refused
        client = self._pinned.client
        sent_at = self._clock.now()
        watch = self._group.writes
        number = watch.start(sent_at)
        outcome = await self._send(statement, deadline)
        is_answered = not isinstance(outcome, NoAnswer)
        watch.end(number, is_answered)
        if isinstance(outcome, NotSent):
            return self._end_unsent(outcome)
        if not isinstance(outcome, Reply):
            return self._commit_unanswered(statement, outcome)
        if not is_proven_success(outcome):
            return await self._end_failed(outcome)
        self._release_connection(outcome)
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
        self._caller.state.note_commit(self._group.name, outcome.position)
        return Answer(outcome.rows, outcome.proof)

    async def roll_back(self) -> None:
        """Roll back and release the connection."""
        if self._pinned is None:
            self._is_over = True
            return
        client, pooled = self._pinned
        client.resume(pooled)
        try:
            reply = await wait_for(
                pooled.link.roll_back(), ROLL_BACK_TIMEOUT_S
            )
        except Exception as error:
            log_event("rollback-by-close", reason=type(error).__name__)
            self._discard_connection()
            return
        if reply.failure is not None:
            self._discard_connection()
            return
        self._release_connection(reply)

    def _deadline(self, expires_at: float) -> float:
        """Return when the time of a statement that arrives now ends."""
        return min(self._clock.now() + self._route.timeout_s, expires_at)

    async def _prepare_connection(
        self, statement: Statement, deadline: float
    ) -> Result | None:
        """Begin if needed and set session values; return None on success."""
        if self._was_evicted:
            return self._rolled_back_refusal("it rested while others waited")
        if self._pinned is None:
            refused = await self._start(statement, deadline)
            if refused is not None:
                return refused
        client, pooled = self._pinned
        client.resume(pooled)
        if not client.may_be_sent_work:
            # Closing the connection rolls back at the member.
            return self._end_lost("no statements may be sent there")
        if not await make_ready(client, pooled, self._caller.state):
            return self._end_lost("set-up failed")
        return None

    # Start -------------------------------------------------------------

    async def _start(
        self, statement: Statement, deadline: float
    ) -> Result | None:
        """Begin at a member; return None, or the failure or refusal."""
        result: Result = Refusal(Code.NO_PRIMARY, "", 500)
        for _ in range(MAX_TRIES):
            if self._may_use_replicas():
                result = await self._begin_at_any_member(deadline)
            else:
                result = await self._begin_at_primary(deadline)
            if result is None:
                return None
            if not _is_transient(result) or self._clock.now() >= deadline:
                break
        self._is_over = True
        return result

    def _may_use_replicas(self) -> bool:
        return (
            self._begin.kind is StatementKind.BEGIN_READ_ONLY
            and self._route.consistency is not Consistency.PRIMARY
        )

    async def _begin_at_any_member(self, deadline: float) -> Result | None:
        read = ReadRequest(
            self._begin, self._caller, self._route, self._arrived_at
        )
        plan = await plan_with_sample(self._group, read)
        if plan.needs_proof:
            return await self._begin_at_primary(deadline)
        regions = self._route.regions
        ranked = self._group.ranked(
            self._caller.organisation, regions, SHORTEST_TRANSACTION
        )
        result: Result | None = Refusal(Code.TARGET_LOST, "", 100)
        if not ranked:
            refused = self._group.refuse_reads(regions, SHORTEST_TRANSACTION)
            result = refused or result
        for client in ranked:
            result = await self._begin_at(client, plan.after, deadline)
            if result is None or not (
                _is_transient(result) or _is_refused_by_admission(result)
            ):
                return result
        return result

    async def _begin_at_primary(self, deadline: float) -> Result | None:
        written = self._caller.state.written_in(self._group.name)
        leader = await await_leader(
            self._group, deadline, self._clock, written.term
        )
        refused = self._group.refuse_primary(
            self._route.regions, SHORTEST_TRANSACTION
        )
        if refused is not None:
            return refused
        if leader is None:
            return self._group.refuse_without_primary()
        refused = self._refuse_if_unconfirmable(deadline - self._clock.now())
        if refused is not None:
            return refused
        if self._needs_proof():
            self._proof = create_task(self._group.prove())
        result = await self._begin_at(
            leader, None, deadline, self._group.is_leader
        )
        if _is_kind(result, FailureKind.NOT_PRIMARY):
            self._group.note_refused_as_replica(leader)
            await self._group.fresh_round()
        return result

    def _refuse_if_unconfirmable(self, remaining_s: float) -> Refusal | None:
        if self._needs_proof():
            return self._group.refuse_unprovable(remaining_s)
        if self._begin.kind is StatementKind.BEGIN:
            return self._group.refuse_unconfirmable(
                remaining_s, self._sync_replicas
            )
        return None

    def _needs_proof(self) -> bool:
        if self._route.consistency is Consistency.PRIMARY:
            return True
        written = self._caller.state.written_in(self._group.name)
        needs = read_needs(self._route, written, self._arrived_at)
        return not self._group.evidence.covers(needs)

    async def _begin_at(
        self,
        client: MemberClient,
        after: Position | None,
        deadline: float,
        may_use: Callable[[MemberClient], bool] = any_member,
    ) -> Result | None:
        guard = SendGuard(self._caller, deadline, self._clock, may_use=may_use)
        pooled = await claim_connection(
            guard,
            client,
            None,
            self._begin.request,
            is_transaction=True,
        )
        if isinstance(pooled, NotSent):
            return pooled.as_refusal()
        remaining_s = max(deadline - self._clock.now(), 0.01)
        timeout_s = min(remaining_s, BEGIN_TIMEOUT_S)
        try:
            outcome = await wait_for(
                run_on_connection(
                    guard, client, pooled, self._begin, after, None
                ),
                timeout_s,
            )
        except TimeoutError:
            client.failed_at = self._clock.now()
            return Refusal(Code.TARGET_LOST, "no answer to BEGIN", 100)
        if isinstance(outcome, NoAnswer):
            client.discard(pooled)
            return Refusal(Code.TARGET_LOST, outcome.reason, 100)
        if isinstance(outcome, NotSent):
            client.release(pooled)
            return outcome.as_refusal()
        if outcome.failure is None:
            self._pinned = PinnedConnection(client, pooled)
            client.statements_in_flight += 1
            return None
        if outcome.failure.kind is FailureKind.BEHIND:
            client.lagging_until = self._clock.now() + LAGGING_PAUSE_S
        if outcome.in_transaction:
            client.discard(pooled)
        else:
            client.release(pooled)
        return outcome.failure

    # Statements --------------------------------------------------------

    async def _send(self, statement: Statement, deadline: float) -> Outcome:
        client, pooled = self._pinned
        shape = self._caller.state.shape_of(statement.name)
        remaining_s = max(deadline - self._clock.now(), 0.01)
        started_at = self._clock.now()
        try:
            outcome = await wait_for(
                run_on_connection(
                    SendGuard(
                        self._caller, deadline, self._clock, is_new=False
                    ),
                    client,
                    pooled,
                    statement,
                    None,
                    shape,
                ),
                remaining_s,
            )
        except TimeoutError:
            # The cancelled call has discarded the connection.
            client.failed_at = self._clock.now()
            self._unpin()
            self._is_over = True
            return NoAnswer("no answer in time")
        finally:
            ran_s = self._clock.now() - started_at
            self._caller.state.trace.note_run(client.entry.member, ran_s)
        if not isinstance(outcome, Reply):
            return outcome
        if outcome.failure is None:
            now = self._clock.now()
            client.latency.observe(now - started_at, now)
        elif outcome.failure.kind is FailureKind.FULL:
            client.admission.note_full()
        return outcome

    async def _is_proven(self, deadline: float) -> bool:
        """Return whether the primary led when the transaction began."""
        if self._proof is None:
            return True
        remaining_s = max(deadline - self._clock.now(), 0.001)
        try:
            is_proven = await wait_for(self._proof, remaining_s)
        except TimeoutError:
            is_proven = False
        client = self._pinned.client
        is_leader = self._group.evidence.leader == client.entry.member
        self._proof = None
        return is_proven and is_leader

    async def _end_failed(self, reply: Reply) -> Result:
        """Roll a failed transaction back at the member at once.

        The caller can only roll back; until it does, the connection and
        the transaction's locks would be held without use.
        """
        client = self._pinned.client
        await self.roll_back()
        if reply.failure is None:
            return self._rolled_back_refusal("the member gave no proof")
        if reply.failure.kind is FailureKind.NOT_PRIMARY:
            self._group.note_refused_as_replica(client)
        return reply.failure

    def _commit_unanswered(
        self, statement: Statement, outcome: NoAnswer
    ) -> Refusal:
        has_written = self._has_written
        if self._pinned is not None:
            self._discard_connection()
        if not has_written:
            # Nothing was written, so nothing can have been committed.
            return self._rolled_back_refusal(outcome.reason)
        log_event(
            "commit-unknown",
            request=statement.request,
            group=self._group.name,
            term=self._group.evidence.term,
            **self._caller.state.trace.describe(),
            reason=outcome.reason,
        )
        return Refusal(Code.COMMIT_UNKNOWN, outcome.reason)

    def _evict(self, rested_s: float) -> None:
        """End the transaction: others wait, and it has rested for long.

        Closing the connection rolls back at the member.
        """
        client = self._pinned.client
        log_event(
            "transaction-evicted",
            group=self._group.name,
            member=client.entry.member,
            organisation=self._caller.organisation,
            rested_s=round(rested_s, 3),
        )
        self._was_evicted = True
        self._discard_connection()

    def _end_lost(self, reason: str) -> Refusal:
        if self._pinned is not None:
            self._discard_connection()
        return self._rolled_back_refusal(reason)

    def _end_unsent(self, outcome: NotSent) -> Refusal:
        """End a transaction whose statement a cold member may not get.

        Closing the connection rolls back there without another statement.
        """
        ended = self._end_lost(outcome.reason)
        return ended._replace(
            retry_after_ms=outcome.as_refusal().retry_after_ms
        )

    def _rolled_back_refusal(self, reason: str) -> Refusal:
        return Refusal(Code.TRANSACTION_ROLLED_BACK, reason, 50)

    # Connection --------------------------------------------------------

    def _release_connection(self, reply: Reply) -> None:
        client, pooled = self._pinned
        self._unpin()
        self._is_over = True
        if reply.in_transaction:
            client.discard(pooled)
        else:
            client.release(pooled)

    def _discard_connection(self) -> None:
        client, pooled = self._pinned
        self._unpin()
        self._is_over = True
        client.discard(pooled)

    def _unpin(self) -> None:
        self._pinned.client.statements_in_flight -= 1
        self._pinned = None


def _is_kind(result: Result | None, kind: FailureKind) -> bool:
    return isinstance(result, MemberFailure) and result.kind is kind


def _is_transient(result: Result) -> bool:
    """Return whether another member or a later attempt may succeed."""
    if isinstance(result, MemberFailure):
        return result.kind in DID_NOT_RUN
    return (
        isinstance(result, Refusal)
        and result.code.name == Code.TARGET_LOST.name
    )


def _is_refused_by_admission(result: Result) -> bool:
    """Return whether the member has no capacity; another one may have."""
    return isinstance(result, Refusal) and result.code.name in (
        Code.OVER_CAPACITY.name,
        Code.DEADLINE_TOO_SHORT.name,
    )
