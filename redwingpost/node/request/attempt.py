"""One statement on one member: claim, set up, run, give back."""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.core.positions import Position
from redwingpost.core.statements import Shape, Statement
from redwingpost.node.member import MemberClient, MemberRefused, NoPlace
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
    """Whose statement it is and how urgent."""

    organisation: str
    state: SessionState
    priority: int


class NotSent(NamedTuple):
    """The statement never reached the member."""

    reason: str


class NoAnswer(NamedTuple):
    """The statement was sent; what became of it isn't known."""

    reason: str


Outcome = Reply | NotSent | NoAnswer


async def run_alone(
    client: MemberClient,
    caller: Caller,
    statement: Statement,
    after: Position | None,
    until: float,
    clock: Clock,
    is_wanted: Callable[[], bool] = lambda: True,
) -> Outcome:
    """Run a statement that stands alone on a pooled connection.

    Parameters
    ----------
    client : MemberClient
        The member.
    caller : Caller
        Whose statement it is.
    statement : Statement
        What to run.
    after : Position or None
        What the member must hold first.
    until : float
        When to give up waiting for a connection (seconds).
    clock : Clock
        For the measured time.
    is_wanted : callable, optional
        Says, once there is a connection, whether to send the statement
        at all.
    """
    shape = caller.state.shape_of(statement.name)
    # Kept here: an attempt that lost a race ends while the session runs
    # its next statement, whose times it must not change.
    trace = caller.state.trace
    client.under_way += 1
    try:
        item = await claim(client, caller, shape, until, clock)
        if isinstance(item, NotSent):
            return item
        if not is_wanted():
            # The session may be at its next statement by now, and have
            # set other values: this one would run with those.
            client.release(item)
            return NotSent("another answer came first")
        started_at = clock.now()
        trace.note_sent()
        try:
            outcome = await run_on(client, item, statement, after, shape)
        finally:
            trace.note_run(client.entry.member, clock.now() - started_at)
    finally:
        client.under_way -= 1
    if isinstance(outcome, NoAnswer):
        client.discard(item)
        return outcome
    if outcome.failure is None:
        now = clock.now()
        client.latency.observe(now - started_at, now)
    elif outcome.failure.kind in DID_NOT_RUN:
        trace.note_not_run()
    if _is_unusable(outcome):
        client.discard(item)
    else:
        client.release(item)
    return outcome


async def claim(
    client: MemberClient,
    caller: Caller,
    shape: Shape | None,
    until: float,
    clock: Clock,
) -> PooledLink | NotSent:
    """Claim a connection that is ready for a session's statement."""
    trace = caller.state.trace
    asked_at = clock.now()
    try:
        item = await client.acquire(
            caller.organisation,
            caller.state.values_by_name,
            shape,
            caller.priority,
            until,
        )
    except NoPlace:
        return NotSent("no connection came free")
    except MemberRefused as refused:
        return NotSent(refused.failure.word)
    except LinkLost as lost:
        return NotSent(lost.detail)
    finally:
        trace.note_wait(client.entry.member, clock.now() - asked_at)
    is_ready = await make_ready(client, item, caller.state)
    return item if is_ready else NotSent("set-up failed")


async def make_ready(
    client: MemberClient, item: PooledLink, state: SessionState
) -> bool:
    """Set a claimed connection up; one that can't be is dropped."""
    try:
        await client.make_ready(item, state)
        return True
    except (MemberRefused, LinkLost):
        client.discard(item)
        return False
    except BaseException:
        client.discard(item)
        raise


async def run_on(
    client: MemberClient,
    item: PooledLink,
    statement: Statement,
    after: Position | None,
    shape: Shape | None,
) -> Reply | NoAnswer:
    """Run a statement on a connection that is ready.

    The connection stays claimed, but for one whose caller gave up: the
    answer to come would be taken for that of the next statement.
    """
    prepared_as = prepared_name(shape) if shape is not None else ""
    missing = prepare_step(item.contents, shape)
    client.note_sent()
    try:
        reply = await item.link.run(statement, after, prepared_as, missing)
    except LinkLost as lost:
        return NoAnswer(lost.detail)
    except BaseException:
        client.discard(item)
        raise
    finally:
        client.note_ended()
    client.note_answer()
    if missing is not None and reply.failure is None:
        item.contents.apply(missing)
    return reply


def _is_unusable(reply: Reply) -> bool:
    """Say whether the connection may no longer serve others."""
    if reply.in_transaction:
        return True
    failure: MemberFailure | None = reply.failure
    return failure is not None and failure.kind is FailureKind.NOT_PREPARED
