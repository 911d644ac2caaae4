"""One attempt to run a statement on a pooled connection of one member."""

from asyncio import timeout
from collections.abc import Callable
from typing import NamedTuple

from redwingpost.core.codes import Code
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Shape, Statement
from redwingpost.node.member import (
    MemberClient,
    MemberRefused,
    NoConnectionFree,
)
from redwingpost.node.member_admission import AdmissionRefused, always
from redwingpost.observability.journal import log_event
from redwingpost.pools.pool import PooledLink
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import (
    DID_NOT_RUN,
    FailureKind,
    LinkLost,
    MemberFailure,
    Reply,
)
from redwingpost.statements.session import SessionState
from redwingpost.statements.setup import prepare_step, prepared_name

#: Shortest time (seconds) given to an exchange with a member: less than a
#: round trip would show nothing about the member.
MIN_EXCHANGE_S = 0.01


#: Milliseconds after which a caller may come back whose statement found no
#: connection.
LOST_RETRY_MS = 100


def any_member(client: MemberClient) -> bool:
    """Return True: the statement may be sent to any member."""
    return True


class Caller(NamedTuple):
    """The caller's organisation, session state and priority.

    ``is_entitled`` returns whether its key is still the organisation's. A
    statement may wait for a connection for seconds, in which a configuration
    can take the key away or pass it on. ``key`` and ``version``, that of the
    configuration by which the key was the organisation's, let another VM
    check the same; it can't if the version is 0.
    """

    organisation: str
    state: SessionState
    priority: int
    is_entitled: Callable[[], bool] = always
    key: str = ""
    version: int = 0


class NotSent(NamedTuple):
    """The statement was not sent to the member.

    ``refusal`` is set if no other attempt at ``member`` would help now:
    admission refused it, or the member is cold.
    """

    reason: str
    refusal: Refusal | None = None
    member: str = ""

    def as_refusal(self) -> Refusal:
        """Return what the caller is told."""
        if self.refusal is not None:
            return self.refusal
        return Refusal(Code.TARGET_LOST, self.reason, LOST_RETRY_MS)


class NoAnswer(NamedTuple):
    """The statement was sent but not answered; it may have run."""

    reason: str


Outcome = Reply | NotSent | NoAnswer


class SendGuard(NamedTuple):
    """What must hold at the moment a statement is sent to a member.

    It may have waited for seconds since the member was chosen: for a
    connection, its opening, the session's values.

    Parameters
    ----------
    caller : Caller
        The caller that sent the statement.
    deadline : float
        Once it has passed (seconds), the statement isn't sent.
    clock : Clock
        Tells the time.
    is_wanted : callable
        Asked last; the statement is sent only if it returns True.
    is_new : bool
        Whether it doesn't continue a transaction at the member.
    may_use : callable
        Whether the member may still get the statement, by its role.
    """

    caller: Caller
    deadline: float
    clock: Clock
    is_wanted: Callable[[], bool] = always
    is_new: bool = True
    may_use: Callable[[MemberClient], bool] = any_member

    def refuse(self, client: MemberClient) -> NotSent | None:
        """Return why nothing may be sent for the statement, or None."""
        if self.clock.now() >= self.deadline:
            return NotSent("no time was left")
        return self.refuse_member(client)

    def refuse_member(self, client: MemberClient) -> NotSent | None:
        """Return why it need not wait for the member any more, or None."""
        if not client.may_be_sent_work:
            return NotSent("no statements may be sent there")
        if self.is_new and not client.takes_new_work:
            return NotSent("the member takes no new work")
        if not self.may_use(client):
            return NotSent("it no longer leads")
        if not self.caller.is_entitled():
            return NotSent("the key is no longer the organisation's")
        return None

    def refuse_statement(self, client: MemberClient) -> NotSent | None:
        """Return why the statement may not be sent now, or None."""
        refused = self.refuse(client)
        if refused is not None:
            return refused
        cold = client.refuse_cold()
        if cold is not None:
            return NotSent(cold.detail, cold, client.entry.member)
        if not self.is_wanted():
            # The session may already run its next statement with other
            # session values: this statement would run with those.
            return NotSent("another answer came first")
        return None


async def run_standalone(
    client: MemberClient,
    caller: Caller,
    statement: Statement,
    after: Position | None,
    deadline: float,
    clock: Clock,
    is_wanted: Callable[[], bool] = always,
    may_use: Callable[[MemberClient], bool] = any_member,
) -> Outcome:
    """Run a statement outside a transaction on a pooled connection.

    Parameters
    ----------
    client : MemberClient
        The member.
    caller : Caller
        The caller that sent the statement.
    statement : Statement
        The statement to run.
    after : Position or None
        Position that the member must hold before it runs the statement.
    deadline : float
        When to stop waiting, for a connection and for the answer
        (seconds). Once it has passed, the statement isn't sent.
    clock : Clock
        Measures waiting and running times.
    is_wanted : callable, optional
        Called right before the statement is sent, which it is only if it
        returns True.
    may_use : callable, optional
        Whether the member may still get the statement, by its role.
    """
    guard = SendGuard(caller, deadline, clock, is_wanted, may_use=may_use)
    shape = caller.state.shape_of(statement.name)
    # Kept in a local: a hedged attempt that came second may end while the
    # session runs its next statement, whose trace it must not change.
    trace = caller.state.trace
    client.statements_in_flight += 1
    try:
        pooled = await claim_connection(
            guard, client, shape, statement.request
        )
        if isinstance(pooled, NotSent):
            return pooled
        started_at = clock.now()
        outcome: Outcome | None = None
        trace.note_sent()
        try:
            outcome = await run_until(
                guard, client, pooled, statement, after, shape
            )
        finally:
            if isinstance(outcome, NotSent):
                trace.note_not_run()
            else:
                trace.note_run(client.entry.member, clock.now() - started_at)
    finally:
        client.statements_in_flight -= 1
    if isinstance(outcome, NoAnswer):
        client.discard(pooled)
        return outcome
    if isinstance(outcome, NotSent):
        client.release(pooled)
        return outcome
    if outcome.failure is None:
        now = clock.now()
        pooled.ran_s = now - started_at
        client.latency.observe(now - started_at, now)
    elif outcome.failure.kind in DID_NOT_RUN:
        trace.note_not_run()
        if outcome.failure.kind is FailureKind.FULL:
            client.admission.note_full()
    if _is_unusable(outcome):
        client.discard(pooled)
    else:
        client.release(pooled)
    return outcome


async def claim_connection(
    guard: SendGuard,
    client: MemberClient,
    shape: Shape | None,
    request: str,
    is_transaction: bool = False,
) -> PooledLink | NotSent:
    """Claim a connection and set the session's values on it.

    ``request`` is the statement's id, for the log. ``is_transaction`` says
    that a transaction will hold the connection.
    """
    caller, deadline, clock = guard.caller, guard.deadline, guard.clock
    trace = caller.state.trace
    requested_at = clock.now()
    try:
        pooled = await client.acquire(
            caller.organisation,
            caller.state.values_by_name,
            shape,
            caller.priority,
            deadline,
            is_transaction,
            lambda: guard.refuse_member(client) is None,
        )
    except AdmissionRefused as refused:
        _log_refused(client, caller, request, refused)
        member = client.entry.member
        return NotSent("refused by admission", refused.refusal, member)
    except NoConnectionFree:
        return NotSent("no connection came free")
    except MemberRefused as refused:
        return NotSent(refused.failure.keyword)
    except LinkLost as lost:
        return guard.refuse_member(client) or NotSent(lost.detail)
    finally:
        trace.note_wait(client.entry.member, clock.now() - requested_at)
    not_sent = guard.refuse(client)
    if not_sent is not None:
        client.release(pooled)
        return not_sent
    try:
        async with timeout(max(deadline - clock.now(), MIN_EXCHANGE_S)):
            is_ready = await make_ready(client, pooled, caller.state)
    except TimeoutError:
        client.failed_at = clock.now()
        return NotSent("set-up not answered in time")
    if not is_ready:
        return NotSent("set-up failed")
    return pooled


def _log_refused(
    client: MemberClient,
    caller: Caller,
    request: str,
    refused: AdmissionRefused,
) -> None:
    inputs = refused.inputs
    log_event(
        "admission-refused",
        request=request,
        group=client.entry.group,
        member=client.entry.member,
        organisation=caller.organisation,
        code=refused.refusal.code.name,
        wait_s=round(inputs.wait_s, 4),
        remaining_s=round(inputs.remaining_s, 4),
        limit=inputs.limit,
        waiting=inputs.waiting,
        retry_after_ms=refused.refusal.retry_after_ms,
    )


async def make_ready(
    client: MemberClient, pooled: PooledLink, state: SessionState
) -> bool:
    """Set the session's values on a connection; discard it if that fails."""
    try:
        await client.make_ready(pooled, state)
        return True
    except (MemberRefused, LinkLost):
        client.discard(pooled)
        return False
    except BaseException:
        client.discard(pooled)
        raise


async def run_until(
    guard: SendGuard,
    client: MemberClient,
    pooled: PooledLink,
    statement: Statement,
    after: Position | None,
    shape: Shape | None,
) -> Outcome:
    """Run a statement on a claimed connection, until the guard's deadline.

    Without an answer by then the connection is discarded.
    """
    remaining_s = guard.deadline - guard.clock.now()
    try:
        async with timeout(max(remaining_s, MIN_EXCHANGE_S)):
            return await run_on_connection(
                guard, client, pooled, statement, after, shape
            )
    except TimeoutError:
        client.failed_at = guard.clock.now()
        return NoAnswer("no answer in time")


async def run_on_connection(
    guard: SendGuard,
    client: MemberClient,
    pooled: PooledLink,
    statement: Statement,
    after: Position | None,
    shape: Shape | None,
) -> Outcome:
    """Run a statement on a claimed connection that is set up.

    It is sent only if the guard allows it.

    The connection stays claimed, unless the call is cancelled: then it is
    discarded, as the late answer would be read as that of the next
    statement.
    """
    prepared_as = prepared_name(shape) if shape is not None else ""
    missing = prepare_step(pooled.contents, shape)
    not_sent = guard.refuse_statement(client)
    if not_sent is not None:
        return not_sent
    client.note_sent()
    try:
        reply = await pooled.link.run(statement, after, prepared_as, missing)
    except LinkLost as lost:
        return NoAnswer(lost.detail)
    except BaseException:
        client.discard(pooled)
        raise
    finally:
        client.note_ended()
    client.note_answer()
    if missing is not None and reply.failure is None:
        pooled.contents.apply(missing)
    return reply


def _is_unusable(reply: Reply) -> bool:
    """Return whether the connection must not be used by others."""
    if reply.in_transaction:
        return True
    failure: MemberFailure | None = reply.failure
    return failure is not None and failure.kind is FailureKind.NOT_PREPARED
