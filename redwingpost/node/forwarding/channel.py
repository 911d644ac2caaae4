"""Persistent connections to homes on other VMs."""

from asyncio import (
    Future,
    IncompleteReadError,
    Lock,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    get_running_loop,
    open_connection,
    wait_for,
)
from collections.abc import Callable
from itertools import count

from redwingpost.adapters.http_client import tune_socket
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.forwarding.frames import (
    FrameError,
    read_frame,
    write_frame,
)
from redwingpost.node.forwarding.load_reports import LoadReports
from redwingpost.node.forwarding.messages import Busy, Done, Load, Work
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.wire.work import MessageError, pack_work, unpack

#: Timeout in seconds for opening a connection: several round trips.
CONNECT_TIMEOUT_S = 0.3


class HomeLost(Exception):
    """The home didn't answer.

    Parameters
    ----------
    detail : str
        Reason for the log and the refusal.
    sent : bool
        Whether the statement may have reached the home.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent


class HomeChannel:
    """One connection to a home, shared by concurrent statements."""

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        clock: Clock,
        note_loads: Callable[[tuple[Load, ...]], None],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._note_loads = note_loads
        self._numbers = count(1)
        self._future_by_number: dict[int, Future] = {}
        self.last_received_at = clock.now()
        self.is_open = True
        self._task: Task = create_task(self._receive_messages())

    def next_number(self) -> int:
        """Return a new message number, unique on this connection."""
        return next(self._numbers)

    async def request(self, work: Work, timeout_s: float) -> Done:
        """Send a statement and wait for its outcome.

        Parameters
        ----------
        work : Work
            The statement.
        timeout_s : float
            How long to wait (seconds).

        Raises
        ------
        HomeLost
            If no outcome arrives in time or the connection is closed.
        """
        future = self.send(work)
        try:
            return await wait_for(future, timeout_s)
        except TimeoutError as error:
            raise HomeLost("no answer in time", sent=True) from error
        finally:
            self.discard(work)

    def send(self, work: Work) -> Future:
        """Send a statement; return a future for its outcome."""
        self.send_without_reply(work)
        future = get_running_loop().create_future()
        self._future_by_number[work.number] = future
        return future

    def send_without_reply(self, work: Work) -> None:
        """Send a statement whose outcome is ignored."""
        if not self.is_open:
            raise HomeLost("closed", sent=False)
        write_frame(self._writer, pack_work(work))

    def discard(self, work: Work) -> None:
        """Ignore the outcome of a statement from now on."""
        self._future_by_number.pop(work.number, None)

    def close(self) -> None:
        """Close the connection; pending requests raise ``HomeLost``."""
        if not self.is_open:
            return
        self.is_open = False
        self._writer.close()
        self._task.cancel()
        for future in self._future_by_number.values():
            if not future.done():
                future.set_exception(HomeLost("closed", sent=True))
        self._future_by_number.clear()

    async def _receive_messages(self) -> None:
        try:
            while True:
                message = unpack(await read_frame(self._reader))
                self.last_received_at = self._clock.now()
                if isinstance(message, Busy):
                    self._note_loads(message.loads)
                else:
                    self._resolve(message)
        except (OSError, IncompleteReadError):
            # The home is gone. Pending requests fail in close() below.
            pass
        except (FrameError, MessageError) as error:
            log_event("home-unreadable", detail=str(error))
        finally:
            self.close()

    def _resolve(self, done: Work | Done) -> None:
        if not isinstance(done, Done):
            raise MessageError("no outcome")
        if done.load is not None:
            self._note_loads((done.load,))
        future = self._future_by_number.pop(done.number, None)
        if future is not None and not future.done():
            future.set_result(done)


class Channels:
    """Connections to homes, one for each address.

    ``connect_timeout_s`` is the timeout for opening one (seconds).
    ``reports`` are the loads that the homes report.
    """

    def __init__(
        self, clock: Clock, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self.reports = LoadReports()
        self._channel_by_ip: dict[tuple[str, int], HomeChannel] = {}
        self._lock_by_ip: dict[tuple[str, int], Lock] = {}

    async def get(self, home: VmAddress) -> HomeChannel:
        """Return the connection to a home; open it if necessary.

        Raises
        ------
        HomeLost
            If it can't be opened.
        """
        key = (home.ip, home.port)
        async with self._lock_by_ip.setdefault(key, Lock()):
            existing = self._channel_by_ip.get(key)
            if existing is None or not existing.is_open:
                existing = self._channel_by_ip[key] = await self._open(home)
            return existing

    def close(self) -> None:
        """Close all connections."""
        for channel in tuple(self._channel_by_ip.values()):
            channel.close()

    async def _open(self, home: VmAddress) -> HomeChannel:
        try:
            reader, writer = await wait_for(
                open_connection(home.ip, home.port), self._connect_timeout_s
            )
        except (OSError, TimeoutError) as error:
            reason = type(error).__name__
            log_event("home-out-of-reach", home=home.vm, detail=reason)
            raise HomeLost(reason, sent=False) from error
        tune_socket(writer)
        return HomeChannel(
            reader,
            writer,
            self._clock,
            lambda loads: self.reports.note(home.vm, loads, self._clock.now()),
        )
