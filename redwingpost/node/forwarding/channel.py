"""Kept connections to other VMs, over which homes are asked."""

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
from itertools import count

from redwingpost.adapters.http_client import tune_socket
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.forwarding.frames import (
    FrameError,
    read_frame,
    write_frame,
)
from redwingpost.node.forwarding.messages import Busy, Done, Work
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.wire.work import MessageError, pack_work, unpack

#: Seconds for a connection to another VM: several round trips.
CONNECT_S = 0.3


class HomeLost(Exception):
    """The home didn't answer.

    Parameters
    ----------
    sent : bool
        Whether the statement may have reached it.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent


class HomeChannel:
    """One connection to a home; statements share it."""

    def __init__(
        self, reader: StreamReader, writer: StreamWriter, clock: Clock
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._numbers = count(1)
        self._waiting_by_number: dict[int, Future] = {}
        self.heard_at = clock.now()
        self.is_open = True
        self._task: Task = create_task(self._listen())

    def next_number(self) -> int:
        """Return a number that no other message here has."""
        return next(self._numbers)

    async def ask(self, work: Work, patience_s: float) -> Done:
        """Send a statement and return what became of it.

        Raises
        ------
        HomeLost
            Where nothing came back.
        """
        future = self.send(work)
        try:
            return await wait_for(future, patience_s)
        except TimeoutError as error:
            raise HomeLost("no answer in time", sent=True) from error
        finally:
            self.forget(work)

    def send(self, work: Work) -> Future:
        """Send a statement; the future gets what became of it."""
        self.tell(work)
        future = get_running_loop().create_future()
        self._waiting_by_number[work.number] = future
        return future

    def tell(self, work: Work) -> None:
        """Send a statement of which nobody awaits the outcome."""
        if not self.is_open:
            raise HomeLost("closed", sent=False)
        write_frame(self._writer, pack_work(work))

    def forget(self, work: Work) -> None:
        """Await the outcome of a statement no longer."""
        self._waiting_by_number.pop(work.number, None)

    def close(self) -> None:
        """Close; whoever waits gets nothing."""
        if not self.is_open:
            return
        self.is_open = False
        self._writer.close()
        self._task.cancel()
        for future in self._waiting_by_number.values():
            if not future.done():
                future.set_exception(HomeLost("closed", sent=True))
        self._waiting_by_number.clear()

    async def _listen(self) -> None:
        try:
            while True:
                message = unpack(await read_frame(self._reader))
                self.heard_at = self._clock.now()
                if not isinstance(message, Busy):
                    self._settle(message)
        except (OSError, IncompleteReadError):
            # The home went away: whoever waits is told below.
            pass
        except (FrameError, MessageError) as error:
            log_event("home-unreadable", detail=str(error))
        finally:
            self.close()

    def _settle(self, done: Work | Done) -> None:
        if not isinstance(done, Done):
            raise MessageError("no outcome")
        future = self._waiting_by_number.pop(done.number, None)
        if future is not None and not future.done():
            future.set_result(done)


class Channels:
    """A connection to each home that was asked.

    ``limit_s`` is how long opening one may take (seconds).
    """

    def __init__(self, clock: Clock, limit_s: float = CONNECT_S) -> None:
        self._clock = clock
        self._limit_s = limit_s
        self._channel_by_ip: dict[tuple[str, int], HomeChannel] = {}
        self._lock_by_ip: dict[tuple[str, int], Lock] = {}

    async def get(self, home: VmAddress) -> HomeChannel:
        """Return the connection to a home; open it if need be.

        Raises
        ------
        HomeLost
            Where it can't be opened.
        """
        key = (home.ip, home.port)
        async with self._lock_by_ip.setdefault(key, Lock()):
            known = self._channel_by_ip.get(key)
            if known is None or not known.is_open:
                known = self._channel_by_ip[key] = await self._open(home)
            return known

    def close(self) -> None:
        """Close all."""
        for channel in tuple(self._channel_by_ip.values()):
            channel.close()

    async def _open(self, home: VmAddress) -> HomeChannel:
        try:
            reader, writer = await wait_for(
                open_connection(home.ip, home.port), self._limit_s
            )
        except (OSError, TimeoutError) as error:
            reason = type(error).__name__
            log_event("home-out-of-reach", home=home.vm, detail=reason)
            raise HomeLost(reason, sent=False) from error
        tune_socket(writer)
        return HomeChannel(reader, writer, self._clock)
