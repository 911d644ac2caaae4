"""One attempt to run a statement on a pooled connection of one member."""

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


class Caller(NamedTuple):
    """The caller's organisation, session state and priority."""

    organisation: str
    state: SessionState
    priority: int


class NotSent(NamedTuple):
    """The statement was not sent to the member.

    ``refusal`` is given if no other attempt at that member would help now.
    """

    reason: str
    refusal: Refusal | None = None

    def refuse(self) -> Refusal:
        """Return the refusal of a statement that isn't sent elsewhere."""
        return self.refusal or Refusal(Code.TARGET_LOST, self.reason, 100)


class NoAnswer(NamedTuple):
    """The statement was sent but not answered; it may have run."""

    reason: str


Outcome = Reply | NotSent | NoAnswer


async def run_standalone(
    client: MemberClient,
    caller: Caller,
    statement: Statement,
    after: Position | None,
    deadline: float,
    clock: Clock,
    is_wanted: Callable[[], bool] = lambda: True,
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
        When to stop waiting for a connection (seconds).
    clock : Clock
        Measures waiting and running times.
    is_wanted : callable, optional
        Called once a connection is claimed; the statement is sent only if
        it returns True.
    """
    shape = caller.state.shape_of(statement.name)
    # Kept in a local: a hedged attempt that came second may end while the
    # session runs its next statement, whose trace it must not change.
    trace = caller.state.trace
    client.statements_in_flight += 1
    try:
        pooled = await claim_connection(client, caller, shape, deadline, clock)
        if isinstance(pooled, NotSent):
            return pooled
        if not client.may_be_sent_work:
            client.release(pooled)
            return NotSent("no statements may be sent there")
        if not is_wanted():
            # The session may already run its next statement with other
            # session values: this statement would run with those.
            client.release(pooled)
            return NotSent("another answer came first")
        started_at = clock.now()
        trace.note_sent()
        try:
            outcome = await run_on_connection(
                client, pooled, statement, after, shape
            )
        finally:
            trace.note_run(client.entry.member, clock.now() - started_at)
    finally:
        client.statements_in_flight -= 1
    if isinstance(outcome, NoAnswer):
        client.discard(pooled)
        return outcome
    if isinstance(outcome, NotSent):
        trace.note_not_run()
        client.release(pooled)
        return outcome
    if outcome.failure is None:
        now = clock.now()
        client.latency.observe(now - started_at, now)
    elif outcome.failure.kind in DID_NOT_RUN:
        trace.note_not_run()
    if _is_unusable(outcome):
        client.discard(pooled)
    else:
        client.release(pooled)
    return outcome


async def claim_connection(
    client: MemberClient,
    caller: Caller,
    shape: Shape | None,
    deadline: float,
    clock: Clock,
) -> PooledLink | NotSent:
    """Claim a connection and set the session's values on it."""
    trace = caller.state.trace
    requested_at = clock.now()
    try:
        pooled = await client.acquire(
            caller.organisation,
            caller.state.values_by_name,
            shape,
            caller.priority,
            deadline,
        )
    except NoConnectionFree:
        return NotSent("no connection came free")
    except MemberRefused as refused:
        return NotSent(refused.failure.keyword)
    except LinkLost as lost:
        return NotSent(lost.detail)
    finally:
        trace.note_wait(client.entry.member, clock.now() - requested_at)
    is_ready = await make_ready(client, pooled, caller.state)
    return pooled if is_ready else NotSent("set-up failed")


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


async def run_on_connection(
    client: MemberClient,
    pooled: PooledLink,
    statement: Statement,
    after: Position | None,
    shape: Shape | None,
) -> Outcome:
    """Run a statement on a claimed connection that is set up.

    It is not sent if the member is cold and may get no statement now.

    The connection stays claimed, unless the call is cancelled: then it is
    discarded, as the late answer would be read as that of the next
    statement.
    """
    prepared_as = prepared_name(shape) if shape is not None else ""
    missing = prepare_step(pooled.contents, shape)
    refused = client.refuse_cold()
    if refused is not None:
        return NotSent(refused.detail, refused)
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
