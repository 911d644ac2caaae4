"""What one other VM has under way at a home of its callers' groups."""

from asyncio import (
    CancelledError,
    StreamWriter,
    Task,
    TimerHandle,
    create_task,
    gather,
    get_running_loop,
)
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from redwingpost.core.codes import Code
from redwingpost.core.registry import Registry
from redwingpost.core.requests import Refusal
from redwingpost.node.forwarding.frames import write_frame
from redwingpost.node.forwarding.messages import Action, Busy, Done, Work
from redwingpost.node.group import GroupClient
from redwingpost.node.request.attempt import Caller
from redwingpost.node.request.reads import ReadRequest, ReadRunner, Result
from redwingpost.node.request.transaction import Transaction
from redwingpost.node.request.writes import WriteRunner
from redwingpost.observability.journal import log_event
from redwingpost.observability.trace import StatementTrace
from redwingpost.ports.clock import Clock
from redwingpost.statements.session import SessionState
from redwingpost.wire.work import pack_busy, pack_done

#: Seconds between words to a VM whose statements are under way here; it
#: asks elsewhere after three that don't come.
BUSY_S = 0.1


class HomeParts(NamedTuple):
    """What a home runs statements with."""

    group_by_name: dict[str, GroupClient]
    reads: ReadRunner
    writes: WriteRunner
    clock: Clock
    is_stopping: Callable[[], bool]


class _Held(NamedTuple):
    """A transaction of another VM's caller, and its session's state."""

    transaction: Transaction
    state: SessionState


Handler = Callable[["Peer", Work], Awaitable[Done]]

#: What a home does, by the action's value.
HANDLERS: Registry[Handler] = Registry("home action")

_NO_TRANSACTION = Refusal(
    Code.TRANSACTION_ROLLED_BACK, "the home doesn't hold it", 50
)


class Peer:
    """What one other VM has under way here."""

    def __init__(self, writer: StreamWriter, parts: HomeParts) -> None:
        self.parts = parts
        self.held_by_number: dict[int, _Held] = {}
        self._writer = writer
        self._task_by_number: dict[int, Task] = {}
        self._task_by_transaction: dict[int, Task] = {}
        self._busy_timer: TimerHandle | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a statement runs or a transaction is open."""
        return bool(self._task_by_number or self.held_by_number)

    def take(self, work: Work) -> None:
        """Begin with a statement; don't wait."""
        if self._busy_timer is None:
            loop = get_running_loop()
            self._busy_timer = loop.call_later(BUSY_S, self._tell_busy)
        task = create_task(self._run(work))
        self._task_by_number[work.number] = task
        task.add_done_callback(
            lambda _: self._task_by_number.pop(work.number, None)
        )
        if work.transaction and work.action is not Action.ROLL_BACK:
            self._task_by_transaction[work.transaction] = task

    async def end(self) -> None:
        """Give up whatever runs and roll back what is open."""
        if self._busy_timer is not None:
            self._busy_timer.cancel()
        tasks = tuple(self._task_by_number.values())
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
        held = tuple(self.held_by_number.values())
        self.held_by_number.clear()
        await gather(*(item.transaction.roll_back() for item in held))
        self._writer.close()

    def _tell_busy(self) -> None:
        """Tell the other VM that this one lives, while it waits."""
        self._busy_timer = None
        if not self._task_by_number or self._writer.is_closing():
            return
        write_frame(self._writer, pack_busy(Busy(len(self._task_by_number))))
        loop = get_running_loop()
        self._busy_timer = loop.call_later(BUSY_S, self._tell_busy)

    async def interrupt(self, transaction: int) -> None:
        """Stop what runs in a transaction."""
        task = self._task_by_transaction.get(transaction)
        if task is None or task.done():
            return
        task.cancel()
        await gather(task, return_exceptions=True)

    def forget(self, transaction: int) -> None:
        """Drop a transaction that is over."""
        self.held_by_number.pop(transaction, None)
        self._task_by_transaction.pop(transaction, None)

    async def _run(self, work: Work) -> None:
        try:
            done = await HANDLERS.get(work.action.value)(self, work)
        except CancelledError:
            raise
        except Exception as error:
            log_event(
                "forwarded-failed",
                request=work.statement.request,
                error=f"{type(error).__name__}: {error}",
            )
            self.forget(work.transaction)
            done = _done(
                work, Refusal(Code.OUTCOME_UNKNOWN, "failed at its home")
            )
        if not self._writer.is_closing():
            write_frame(self._writer, pack_done(done))


def _state_of(work: Work) -> SessionState:
    state = SessionState()
    _refresh(state, work)
    return state


def _refresh(state: SessionState, work: Work) -> None:
    """Give a session's state what came with its newest statement."""
    state.values_by_name = work.values_by_name
    if work.shape is not None:
        state.prepare(work.statement.name, work.shape)
    state.written = max(state.written, work.written)
    state.trace = StatementTrace()


def _done(
    work: Work,
    result: Result,
    state: SessionState | None = None,
    is_over: bool = True,
) -> Done:
    if state is None:
        parts = StatementTrace().parts()
        return Done(work.number, result, work.written, is_over, parts)
    parts = state.trace.parts()
    return Done(work.number, result, state.written, is_over, parts)


def _refuse_new(peer: Peer, work: Work) -> Refusal | None:
    """Say why nothing new can begin here."""
    if peer.parts.is_stopping():
        return Refusal(Code.DRAINING)
    if work.route.group not in peer.parts.group_by_name:
        return Refusal(Code.STARTING, "no member is listed")
    return None


@HANDLERS.register(Action.ALONE.value)
async def _run_alone(peer: Peer, work: Work) -> Done:
    refused = _refuse_new(peer, work)
    if refused is not None:
        return _done(work, refused)
    parts = peer.parts
    state = _state_of(work)
    group = parts.group_by_name[work.route.group]
    group.note_use()
    caller = Caller(work.organisation, state, work.route.priority)
    # It arrived at the other VM at this moment or before it.
    arrived_at = parts.clock.now() - work.waited_s
    request = ReadRequest(work.statement, caller, work.route, arrived_at)
    if state.writes(work.statement):
        result = await parts.writes.run(group, request, work.sync_replicas)
    else:
        result = await parts.reads.run(group, request)
    return _done(work, result, state)


@HANDLERS.register(Action.RUN.value)
async def _run_in_transaction(peer: Peer, work: Work) -> Done:
    return await _in_transaction(
        peer, work, lambda held: held.transaction.run(work.statement)
    )


@HANDLERS.register(Action.COMMIT.value)
async def _commit(peer: Peer, work: Work) -> Done:
    return await _in_transaction(
        peer, work, lambda held: held.transaction.commit(work.statement)
    )


@HANDLERS.register(Action.ROLL_BACK.value)
async def _roll_back(peer: Peer, work: Work) -> Done:
    await peer.interrupt(work.transaction)
    held = peer.held_by_number.get(work.transaction)
    peer.forget(work.transaction)
    if held is not None and not held.transaction.is_over:
        await held.transaction.roll_back()
    return _done(work, _NO_TRANSACTION)


async def _in_transaction(
    peer: Peer, work: Work, run: Callable[[_Held], Awaitable[Result]]
) -> Done:
    held = peer.held_by_number.get(work.transaction)
    if held is None and work.begin is None:
        return _done(work, _NO_TRANSACTION)
    if held is None:
        refused = _refuse_new(peer, work)
        if refused is not None:
            return _done(work, refused)
        held = _begin(peer, work)
    _refresh(held.state, work)
    result = await run(held)
    is_over = held.transaction.is_over
    if is_over:
        peer.forget(work.transaction)
    return _done(work, result, held.state, is_over)


def _begin(peer: Peer, work: Work) -> _Held:
    state = SessionState()
    group = peer.parts.group_by_name[work.route.group]
    group.note_use()
    transaction = Transaction(
        work.begin,
        Caller(work.organisation, state, work.route.priority),
        work.route,
        group,
        work.sync_replicas,
        peer.parts.clock,
    )
    held = _Held(transaction, state)
    peer.held_by_number[work.transaction] = held
    return held
