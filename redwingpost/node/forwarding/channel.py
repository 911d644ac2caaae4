"""Persistent connections to homes on other VMs."""

from asyncio import (
    Event,
    Future,
    IncompleteReadError,
    Lock,
    StreamReader,
    Semaphore,
    StreamWriter,
    Task,
    TimerHandle,
    create_task,
    get_running_loop,
    open_connection,
    timeout,
    wait_for,
)
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import count
from random import getrandbits

from redwingpost.adapters.http_client import tune_socket
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.forwarding.frames import (
    FrameError,
    read_frame,
    write_frame,
)
from redwingpost.node.forwarding.load_reports import LoadReports
from redwingpost.node.forwarding.messages import (
    AskClock,
    Busy,
    Done,
    Load,
    Resume,
    Resumed,
    Work,
)
from redwingpost.node.forwarding.silence import MAX_LATE_S, SilenceWatch
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.routing.peer_clock import PeerClock
from redwingpost.wire.work import (
    MessageError,
    pack_ask_clock,
    pack_resume,
    pack_work,
    unpack,
)

#: Timeout in seconds for opening a connection: several round trips.
CONNECT_TIMEOUT_S = 0.3


#: Seconds for a home's answer to a request to resume a connection.
RESUME_TIMEOUT_S = 0.5

#: Seconds for a reading of a home's clock. A home that doesn't answer in this
#: time stands still or is overloaded; the system accepts connections for it.
CLOCK_TIMEOUT_S = 0.5

#: Shortest time between checks for silence (seconds).
MIN_CHECK_S = 0.02

#: Connections that are resumed at the same time: all of them can go silent
#: in one moment.
MAX_RESUMING = 8

Message = AskClock | Busy | Done | Resume | Resumed | Work

#: Opens another connection to a home.
Reopen = Callable[[], Awaitable[tuple[StreamReader, StreamWriter]]]


class NotResumed(Exception):
    """The home can't go on with a connection's work on another one."""


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


def _ignore_silence(outcome: str, detail: str, silent_s: float) -> None:
    """Take no note of a silent connection."""


class HomeChannel:
    """A connection to a home, shared by concurrent statements.

    If it goes silent while statements are pending, another connection takes
    its place, on which the home goes on with them: none is lost, none runs
    twice.

    Parameters
    ----------
    reader, writer : StreamReader, StreamWriter
        The open connection.
    clock : Clock
        Gives the times of messages.
    note_loads : callable
        Receives the loads that the home reports.
    reopen : callable, optional
        Opens another connection to the same home; raises ``HomeLost``. By
        default the connection isn't resumed.
    note_silent : callable, optional
        Called when the connection was silent, with what became of it, why,
        and for how long it was silent (seconds).
    """

    def __init__(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        clock: Clock,
        note_loads: Callable[[tuple[Load, ...]], None],
        reopen: Reopen | None = None,
        note_silent: Callable[[str, str, float], None] = _ignore_silence,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._note_loads = note_loads
        self._reopen = reopen
        self._note_silent = note_silent
        #: By which the home finds this connection's work, 0 if never needed.
        self._number = getrandbits(63) + 1 if reopen is not None else 0
        self._numbers = count(1)
        self._future_by_number: dict[int, Future] = {}
        #: Messages that the home has not answered, to be sent again if they
        #: never reached it.
        self._body_by_number: dict[int, bytes] = {}
        self._peer_clock = PeerClock()
        self._has_reading = Event()
        self._silence = SilenceWatch(clock.now())
        self._silence_timer: TimerHandle | None = None
        self._resuming: Task | None = None
        self.is_open = True
        self._task: Task = create_task(self._receive_messages())

    @property
    def last_received_at(self) -> float:
        """Return when the home's last message came (seconds)."""
        return self._silence.last_received_at

    async def ensure_clock(self) -> None:
        """Ask for a reading of the home's clock, unless one is recent.

        Raises
        ------
        HomeLost
            If the home doesn't answer in ``CLOCK_TIMEOUT_S``.
        """
        if self._peer_clock.is_known(self._clock.now()):
            return
        if not self.is_open:
            raise HomeLost("closed", sent=False)
        self._has_reading.clear()
        write_frame(self._writer, pack_ask_clock())
        try:
            await wait_for(self._has_reading.wait(), CLOCK_TIMEOUT_S)
        except TimeoutError as error:
            raise HomeLost("no reading of its clock", sent=False) from error
        if not self.is_open:
            raise HomeLost("closed", sent=False)

    def to_home_clock(self, at: float) -> float:
        """Return the least that the home's clock shows at ``at`` (seconds)."""
        return self._peer_clock.to_peer(at, self._clock.now())

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
        body = pack_work(work._replace(channel=self._number))
        write_frame(self._writer, body)
        if self._number and not work.withdrawn:
            self._body_by_number[work.number] = body
            self._silence.note_sent(self._clock.now())
            self._watch_silence()

    def discard(self, work: Work) -> None:
        """Ignore the outcome of a statement from now on.

        It isn't sent again if it never reached the home.
        """
        self._future_by_number.pop(work.number, None)
        self._body_by_number.pop(work.number, None)
        if not self._body_by_number:
            self._silence.note_settled()

    def close(self) -> None:
        """Close the connection; pending requests raise ``HomeLost``."""
        if not self.is_open:
            return
        self.is_open = False
        self._has_reading.set()
        self._writer.close()
        self._task.cancel()
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        if self._resuming is not None:
            self._resuming.cancel()
        for future in self._future_by_number.values():
            if not future.done():
                future.set_exception(HomeLost("closed", sent=True))
        self._future_by_number.clear()
        self._body_by_number.clear()

    # Messages ----------------------------------------------------------

    async def _receive_messages(self) -> None:
        reader = self._reader
        try:
            while True:
                self._receive(unpack(await read_frame(reader)))
        except (OSError, IncompleteReadError):
            # The home is gone, or has taken up another connection.
            pass
        except (FrameError, MessageError) as error:
            log_event("home-unreadable", detail=str(error))
        finally:
            if reader is self._reader and self._resuming is None:
                self.close()

    def _receive(self, message: Message) -> None:
        if isinstance(message, Busy | Done):
            self._note_reading(message.clock_s)
        if isinstance(message, Busy):
            self._note_received()
            self._note_loads(message.loads)
            return
        if not isinstance(message, Done):
            raise MessageError("no outcome")
        self._body_by_number.pop(message.number, None)
        self._note_received()
        if message.load is not None:
            self._note_loads((message.load,))
        future = self._future_by_number.pop(message.number, None)
        if future is not None and not future.done():
            future.set_result(message)

    def _fail(self, number: int, lost: HomeLost) -> None:
        self._body_by_number.pop(number, None)
        future = self._future_by_number.pop(number, None)
        if future is not None and not future.done():
            future.set_exception(lost)

    def _note_reading(self, reading: float) -> None:
        now = self._clock.now()
        self._peer_clock.note_reading(reading, now)
        if self._peer_clock.is_known(now):
            self._has_reading.set()

    def _note_received(self) -> None:
        is_pending = bool(self._body_by_number)
        self._silence.note_received(self._clock.now(), is_pending)

    # Silence -----------------------------------------------------------

    def _watch_silence(self) -> None:
        if self._silence_timer is None and self._resuming is None:
            now = self._clock.now()
            due_at = max(self._silence.suspect_at, now + MIN_CHECK_S)
            self._silence_timer = get_running_loop().call_later(
                due_at - now, self._check_silence, due_at
            )

    def _check_silence(self, due_at: float) -> None:
        self._silence_timer = None
        if not self.is_open or not self._body_by_number:
            return
        now = self._clock.now()
        if now - due_at > MAX_LATE_S:
            self._silence.note_late_check(now)
        if now >= self._silence.suspect_at:
            self._resuming = create_task(self._resume())
        else:
            self._watch_silence()

    async def _resume(self) -> None:
        """Let another connection take the place of this silent one."""
        silent_s = self._clock.now() - self.last_received_at
        is_resumed, detail = True, ""
        try:
            await self._try_resume()
        except (HomeLost, OSError, IncompleteReadError, TimeoutError) as error:
            self._silence.note_attempt(self._clock.now())
            is_resumed, detail = False, str(error) or type(error).__name__
        except (FrameError, MessageError, NotResumed) as error:
            # What became of the statements is unknown.
            self._resuming = None
            self._note_silent("lost", str(error), silent_s)
            self.close()
            return
        finally:
            self._resuming = None
        self._note_silent(
            "resumed" if is_resumed else "kept", detail, silent_s
        )
        if not is_resumed and self._task.done():
            self.close()
            return
        if self._body_by_number:
            self._watch_silence()

    async def _try_resume(self) -> None:
        reader, writer = await self._reopen()
        try:
            resume = Resume(self._number)
            await self._ask(reader, writer, resume)
            if self._clock.now() < self._silence.suspect_at:
                self._silence.note_false_alarm()
                raise HomeLost("not silent after all", sent=False)
            numbers = tuple(self._body_by_number)
            resume = resume._replace(numbers=numbers, confirms=True)
            try:
                resumed = await self._ask(reader, writer, resume)
            except (OSError, IncompleteReadError, TimeoutError) as error:
                # The home may have closed the silent connection.
                raise NotResumed(type(error).__name__) from error
        except BaseException:
            writer.close()
            raise
        self._move_to(reader, writer, resumed)

    async def _ask(
        self, reader: StreamReader, writer: StreamWriter, resume: Resume
    ) -> Resumed:
        """Send a request to resume; return the home's consent."""
        write_frame(writer, pack_resume(resume))
        async with timeout(RESUME_TIMEOUT_S):
            resumed = unpack(await read_frame(reader))
        if not isinstance(resumed, Resumed):
            raise MessageError("no answer to the resumption")
        if not resumed.is_known:
            raise NotResumed("unknown at its home")
        return resumed

    def _move_to(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        resumed: Resumed,
    ) -> None:
        """Use another connection from now on; send again what was lost."""
        silent, self._writer = self._writer, writer
        self._reader = reader
        self._task.cancel()
        # Its unsent bytes would never be acknowledged.
        silent.transport.abort()
        for number, body in tuple(self._body_by_number.items()):
            if number > resumed.last:
                write_frame(writer, body)
            elif number not in resumed.numbers:
                self._fail(number, HomeLost("outcome lost", sent=True))
        # Only the home's messages about statements are signs that it works.
        self._silence.note_attempt(self._clock.now())
        self._task = create_task(self._receive_messages())


class Channels:
    """Connections to homes, one for each address.

    ``connect_timeout_s`` is the timeout for opening one (seconds).
    ``note_silent`` is told what became of one that went silent: "resumed"
    on another, "kept" as the home didn't answer there either, or "lost".
    ``reports`` are the loads that the homes report.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        note_silent: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self._clock = clock
        self._note_silent = note_silent
        self._connect_timeout_s = connect_timeout_s
        self.reports = LoadReports()
        self._channel_by_ip: dict[tuple[str, int], HomeChannel] = {}
        self._lock_by_ip: dict[tuple[str, int], Lock] = {}
        self._failed_at_by_ip: dict[tuple[str, int], float] = {}
        self._resuming = Semaphore(MAX_RESUMING)

    async def get(self, home: VmAddress) -> HomeChannel:
        """Return the connection to a home; open it if necessary.

        Raises
        ------
        HomeLost
            If it can't be opened.
        """
        key = (home.ip, home.port)
        requested_at = self._clock.now()
        async with self._lock_by_ip.setdefault(key, Lock()):
            if self._failed_at_by_ip.get(key, float("-inf")) > requested_at:
                raise HomeLost("just not reached", sent=False)
            try:
                return await self._get(key, home)
            except HomeLost:
                self._failed_at_by_ip[key] = self._clock.now()
                raise

    async def _get(self, key: tuple[str, int], home: VmAddress) -> HomeChannel:
        channel = self._channel_by_ip.get(key)
        if channel is None or not channel.is_open:
            channel = self._channel_by_ip[key] = await self._open(home)
        try:
            await channel.ensure_clock()
        except HomeLost as lost:
            # Nothing has come from the home for long: the connection may be
            # silent.
            channel.close()
            log_event("home-out-of-reach", home=home.vm, detail=lost.detail)
            raise
        return channel

    def close(self) -> None:
        """Close all connections."""
        for channel in tuple(self._channel_by_ip.values()):
            channel.close()

    async def _open(self, home: VmAddress) -> HomeChannel:
        reader, writer = await self._connect(home)
        return HomeChannel(
            reader,
            writer,
            self._clock,
            lambda loads: self.reports.note(home.vm, loads, self._clock.now()),
            lambda: self._reopen(home),
            partial(self._log_silent, home.vm),
        )

    def _log_silent(
        self, vm: str, outcome: str, detail: str, silent_s: float
    ) -> None:
        self._note_silent(outcome)
        log_event(
            f"channel-{outcome}",
            home=vm,
            silent_s=round(silent_s, 3),
            detail=detail,
        )

    async def _reopen(
        self, home: VmAddress
    ) -> tuple[StreamReader, StreamWriter]:
        async with self._resuming:
            return await self._connect(home)

    async def _connect(
        self, home: VmAddress
    ) -> tuple[StreamReader, StreamWriter]:
        try:
            reader, writer = await wait_for(
                open_connection(home.ip, home.port), self._connect_timeout_s
            )
        except (OSError, TimeoutError) as error:
            reason = type(error).__name__
            log_event("home-out-of-reach", home=home.vm, detail=reason)
            raise HomeLost(reason, sent=False) from error
        tune_socket(writer)
        return reader, writer
