"""Statements and transactions that this home runs for one other VM."""

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

from redwingpost.admission.stopping import StopGate
from redwingpost.core.codes import Code
from redwingpost.core.registry import Registry
from redwingpost.core.requests import Refusal
from redwingpost.node.forwarding.frames import (
    MAX_MESSAGE_BYTES,
    write_frame,
)
from redwingpost.node.forwarding.local_loads import LocalLoads
from redwingpost.node.forwarding.messages import (
    Action,
    Busy,
    Done,
    Resumed,
    Work,
)
from redwingpost.node.group import GroupClient
from redwingpost.node.request.attempt import Caller
from redwingpost.node.request.reads import ReadRequest, ReadRunner, Result
from redwingpost.node.request.transaction import Transaction
from redwingpost.node.request.writes import WriteRunner
from redwingpost.observability.journal import log_event
from redwingpost.observability.trace import StatementTrace
from redwingpost.ports.clock import Clock
from redwingpost.statements.session import SessionState
from redwingpost.wire.work import pack_busy, pack_done, pack_resumed

#: Seconds between busy messages to a VM whose statements run here. After
#: ``forwarder.READ_SILENCE_S`` without any it retries reads at another home.
BUSY_INTERVAL_S = 0.1


#: Seconds between reports of loads to a VM that has nothing running here:
#: two in the time for which it keeps them.
REPORT_INTERVAL_S = 0.45

#: Seconds after a VM's last statement for which it gets reports: most VMs
#: with callers send several statements to each home in this time, and a VM
#: without callers costs nothing.
REPORT_AFTER_USE_S = 3.0


#: Seconds for which outcomes are kept after they were sent, in case that the
#: connection had gone silent before, and their size on one connection.
KEPT_OUTCOMES_S = 3.0
MAX_KEPT_BYTES = 1024 * 1024


class _SentDone(NamedTuple):
    """The message of an outcome, and when it was sent (seconds)."""

    sent_at: float
    frame: bytes


class HomeDependencies(NamedTuple):
    """What a home uses to run statements.

    ``stop_gate`` tells what is still taken while this VM stops;
    ``reports_load`` returns whether to report the load of a group;
    ``is_holder`` whether an organisation still holds a key that it held by a
    version of the configuration.
    """

    group_by_name: dict[str, GroupClient]
    reads: ReadRunner
    writes: WriteRunner
    clock: Clock
    stop_gate: StopGate
    reports_load: Callable[[str], bool]
    is_holder: Callable[[str, str, int], bool]


class _HeldTransaction(NamedTuple):
    """A transaction of another VM's caller, and its session's state."""

    transaction: Transaction
    state: SessionState


Handler = Callable[["Peer", Work], Awaitable[Done]]

#: Handlers by the value of the action.
HANDLERS: Registry[Handler] = Registry("home action")

_NO_TRANSACTION = Refusal(
    Code.TRANSACTION_ROLLED_BACK, "the home doesn't hold it", 50
)
_TOO_LATE = Refusal(Code.TARGET_LOST, "its time ended before it was read", 100)
_TOO_LATE_IN_TRANSACTION = _TOO_LATE._replace(
    code=Code.TRANSACTION_ROLLED_BACK
)
_STOPPING = Refusal(Code.TRANSACTION_ROLLED_BACK, "its home is stopping", 50)


class Peer:
    """Connection from one other VM, with its statements and transactions."""

    def __init__(
        self,
        writer: StreamWriter,
        dependencies: HomeDependencies,
        loads: LocalLoads,
    ) -> None:
        self.dependencies = dependencies
        self.held_by_number: dict[int, _HeldTransaction] = {}
        self._writer = writer
        self._loads = loads
        self._task_by_number: dict[int, Task] = {}
        self._task_by_transaction: dict[int, Task] = {}
        self._done_by_number: dict[int, _SentDone] = {}
        self._kept_bytes = 0
        self._last_number = 0
        self._busy_timer: TimerHandle | None = None
        #: Number by which the other VM can resume the connection, or 0.
        self.channel = 0
        self._started_at = dependencies.clock.now()

    @property
    def is_busy(self) -> bool:
        """Whether a statement runs or a transaction is open."""
        return bool(self._task_by_number or self.held_by_number)

    def uses(self, writer: StreamWriter) -> bool:
        """Return whether a connection is the one that is in use."""
        return writer is self._writer

    def resume(self, writer: StreamWriter, numbers: tuple[int, ...]) -> None:
        """Go on with another connection in place of a silent one.

        Tells which of the other VM's pending messages have arrived, and
        sends the outcomes again that may have been lost.
        """
        silent, self._writer = self._writer, writer
        # Nothing that is still on its way there may run: it is sent again.
        silent.transport.abort()
        finished = [item for item in numbers if item in self._done_by_number]
        running = [item for item in numbers if item in self._task_by_number]
        resumed = Resumed(True, self._last_number, (*finished, *running))
        write_frame(writer, pack_resumed(resumed))
        for number in finished:
            write_frame(writer, self._done_by_number[number].frame)

    def start(self, work: Work) -> None:
        """Start to run a statement in a task of its own."""
        self._last_number = work.number
        if work.withdrawn:
            self._withdraw(work.withdrawn)
            return
        self._started_at = self.dependencies.clock.now()
        self._send_busy_within(BUSY_INTERVAL_S)
        task = create_task(self._run(work))
        self._task_by_number[work.number] = task
        task.add_done_callback(
            lambda _: self._task_by_number.pop(work.number, None)
        )
        if work.transaction and work.action is not Action.ROLL_BACK:
            self._task_by_transaction[work.transaction] = task

    async def close(self) -> None:
        """Cancel running statements; roll back open transactions."""
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

    def _send_busy(self) -> None:
        """Send the waiting VM a sign of life and the groups' loads.

        Loads are sent for a while after its last statement, less often: it
        needs those of several homes to choose between them.
        """
        self._busy_timer = None
        if self._writer.is_closing():
            return
        idle_s = self.dependencies.clock.now() - self._started_at
        loads = self._loads.of_all_groups()
        if not self._task_by_number and (
            idle_s > REPORT_AFTER_USE_S or not loads
        ):
            return
        now = self.dependencies.clock.now()
        busy = Busy(len(self._task_by_number), loads, now)
        write_frame(self._writer, pack_busy(busy))
        self._send_busy_within(
            BUSY_INTERVAL_S if self._task_by_number else REPORT_INTERVAL_S
        )

    def tell_clock(self) -> None:
        """Send a reading of this VM's clock."""
        now = self.dependencies.clock.now()
        busy = Busy(len(self._task_by_number), (), now)
        write_frame(self._writer, pack_busy(busy))

    def _send_busy_within(self, seconds: float) -> None:
        """Send the next busy message in ``seconds``, or as planned before."""
        loop = get_running_loop()
        timer = self._busy_timer
        if timer is not None:
            if timer.when() <= loop.time() + seconds:
                return
            timer.cancel()
        self._busy_timer = loop.call_later(seconds, self._send_busy)

    def _withdraw(self, number: int) -> None:
        """Cancel a read that its sender has given up.

        An attempt that a member already has is left to finish there.
        """
        task = self._task_by_number.get(number)
        if task is not None:
            task.cancel()

    async def cancel_running(self, transaction: int) -> None:
        """Cancel the running statement of a transaction."""
        task = self._task_by_transaction.get(transaction)
        if task is None or task.done():
            return
        task.cancel()
        await gather(task, return_exceptions=True)

    async def abandon(self, transaction: int) -> None:
        """Remove a transaction and roll it back if it is open.

        Only forgotten, it would keep its connection and the member's locks.
        """
        held = self.held_by_number.get(transaction)
        self.discard(transaction)
        if held is not None and not held.transaction.is_over:
            await held.transaction.roll_back()

    def discard(self, transaction: int) -> None:
        """Remove a transaction that is over."""
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
            await self.abandon(work.transaction)
            done = _done(
                work, Refusal(Code.OUTCOME_UNKNOWN, "failed at its home")
            )
        if not self._writer.is_closing():
            load = self._loads.of_group(work.route.group)
            now = self.dependencies.clock.now()
            done = done._replace(load=load, clock_s=now)
            frame = pack_done(done)
            if len(frame) > MAX_MESSAGE_BYTES:
                # Sent, it would end the connection and all that runs on it.
                log_event(
                    "answer-too-large",
                    request=work.statement.request,
                    size=len(frame),
                )
                refusal = Refusal(Code.TOO_LARGE, f"{len(frame)} bytes")
                frame = pack_done(done._replace(result=refusal))
            if self.channel:
                self._keep(work.number, frame)
            write_frame(self._writer, frame)

    def _keep(self, number: int, frame: bytes) -> None:
        """Keep an outcome for a while, as it may have to be sent again."""
        now = self.dependencies.clock.now()
        self._done_by_number[number] = _SentDone(now, frame)
        self._kept_bytes += len(frame)
        while self._done_by_number:
            oldest = next(iter(self._done_by_number))
            sent = self._done_by_number[oldest]
            is_young = now - sent.sent_at <= KEPT_OUTCOMES_S
            if is_young and self._kept_bytes <= MAX_KEPT_BYTES:
                return
            del self._done_by_number[oldest]
            self._kept_bytes -= len(sent.frame)


def _make_state(work: Work) -> SessionState:
    state = SessionState()
    _update_state(state, work)
    return state


def _update_state(state: SessionState, work: Work) -> None:
    """Update a session's state from its newest statement's message."""
    state.values_by_name = work.values_by_name
    if work.shape is not None:
        state.prepare(work.statement.name, work.shape)
    state.note_commit(work.route.group, work.written)
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
    written = state.written_in(work.route.group)
    return Done(work.number, result, written, is_over, parts)


def _caller(peer: Peer, work: Work, state: SessionState) -> Caller:
    def is_entitled() -> bool:
        return peer.dependencies.is_holder(
            work.organisation, work.key, work.rules_version
        )

    return Caller(work.organisation, state, work.route.priority, is_entitled)


def _refuse_if_unready(peer: Peer, work: Work) -> Refusal | None:
    """Return why no new statement can begin here, or None."""
    if peer.dependencies.stop_gate.is_stopping:
        return Refusal(Code.DRAINING)
    if work.route.group not in peer.dependencies.group_by_name:
        return Refusal(Code.STARTING, "no member is listed")
    return None


def _expires_at(work: Work) -> float:
    """Return when this VM may no longer send it to a member (seconds).

    Its sender tells its caller only after that that the outcome is unknown.
    Then the caller may set other session values, or write again.
    """
    return work.expires_at or float("inf")


@HANDLERS.register(Action.ALONE.value)
async def _run_alone(peer: Peer, work: Work) -> Done:
    dependencies = peer.dependencies
    if dependencies.clock.now() >= _expires_at(work):
        return _done(work, _TOO_LATE)
    refused = _refuse_if_unready(peer, work)
    if refused is not None:
        return _done(work, refused)
    state = _make_state(work)
    group = dependencies.group_by_name[work.route.group]
    group.note_use()
    group.note_term(work.written.term)
    caller = _caller(peer, work, state)
    # The other VM received it at this time or earlier.
    arrived_at = dependencies.clock.now() - work.waited_s
    request = ReadRequest(
        work.statement, caller, work.route, arrived_at, _expires_at(work)
    )
    if state.writes(work.statement):
        result = await dependencies.writes.run(
            group, request, work.sync_replicas
        )
    else:
        result = await dependencies.reads.run(group, request)
    return _done(work, result, state)


@HANDLERS.register(Action.RUN.value)
async def _run_in_transaction(peer: Peer, work: Work) -> Done:
    return await _in_transaction(
        peer,
        work,
        lambda held: held.transaction.run(work.statement, _expires_at(work)),
    )


@HANDLERS.register(Action.COMMIT.value)
async def _commit(peer: Peer, work: Work) -> Done:
    return await _in_transaction(
        peer,
        work,
        lambda held: held.transaction.commit(
            work.statement, _expires_at(work)
        ),
    )


@HANDLERS.register(Action.ROLL_BACK.value)
async def _roll_back(peer: Peer, work: Work) -> Done:
    await peer.cancel_running(work.transaction)
    await peer.abandon(work.transaction)
    return _done(work, _NO_TRANSACTION)


async def _in_transaction(
    peer: Peer,
    work: Work,
    run: Callable[[_HeldTransaction], Awaitable[Result]],
) -> Done:
    held = peer.held_by_number.get(work.transaction)
    if held is None and work.begin is None:
        return _done(work, _NO_TRANSACTION)
    if peer.dependencies.clock.now() >= _expires_at(work):
        await peer.abandon(work.transaction)
        refused = _TOO_LATE if held is None else _TOO_LATE_IN_TRANSACTION
        return _done(work, refused)
    if held is None:
        refused = _refuse_if_unready(peer, work)
        if refused is not None:
            return _done(work, refused)
        held = _begin(peer, work)
    dependencies = peer.dependencies
    timeout_s = work.route.timeout_s
    if not dependencies.stop_gate.takes(dependencies.clock.now(), timeout_s):
        await peer.abandon(work.transaction)
        return _done(work, _STOPPING)
    _update_state(held.state, work)
    result = await run(held)
    is_over = held.transaction.is_over
    if is_over:
        peer.discard(work.transaction)
    return _done(work, result, held.state, is_over)


def _begin(peer: Peer, work: Work) -> _HeldTransaction:
    state = SessionState()
    group = peer.dependencies.group_by_name[work.route.group]
    group.note_use()
    group.note_term(work.written.term)
    transaction = Transaction(
        work.begin,
        _caller(peer, work, state),
        work.route,
        group,
        work.sync_replicas,
        peer.dependencies.clock,
    )
    held = _HeldTransaction(transaction, state)
    peer.held_by_number[work.transaction] = held
    return held
