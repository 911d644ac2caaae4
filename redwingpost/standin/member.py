"""A member of a database group: MySQL server with replicated log."""

from asyncio import (
    CancelledError,
    Event,
    StreamReader,
    StreamWriter,
    gather,
    get_running_loop,
    sleep,
    start_server,
)
from collections import deque
from collections.abc import Callable
from pathlib import Path

from mode import Service

from redwingpost.standin.connection import (
    ConnectionRegistry,
    MemberIdentity,
    MemberServer,
)
from redwingpost.standin.limits import FifoLimiter, WriterLock
from redwingpost.standin.promises import TermState
from redwingpost.standin.replica import Replica
from redwingpost.standin.replication import (
    PullAnswer,
    answer_pull,
    read_pull,
    send_frame,
)
from redwingpost.standin.replication_log import LogEntry
from redwingpost.standin.session import MemberSession
from redwingpost.standin.settings import Endpoint, GroupSettings
from redwingpost.standin.store import Store
from redwingpost.standin.transactions import Transaction

#: Connection attempts that may wait for accept(2). With a small backlog
#: the kernel would refuse a burst of drivers before the connection limit.
BACKLOG = 512

#: Loop iterations between a readable listening socket and the transport
#: of the accepted connection: the accept, and the task that it starts.
ACCEPT_ITERATIONS = 2

Address = tuple[str, int]


class Member(Service):
    """A member's server, data and promises.

    State that survives a crash (data, log, promises and the followed
    member) is kept across ``die`` and ``restart``. The next
    ``lost_answers`` answers to statements that contain
    ``lost_answers_match`` are lost: the connection is aborted instead.
    ``generation`` counts the member's crashes.

    Parameters
    ----------
    name : str
        Name of the member in the configuration.
    endpoint : Endpoint
        Address for drivers.
    settings : GroupSettings
        Limits and durations of the group.
    path : Path
        The member's data file.
    find_peer : callable
        Returns the address of a member's replication port by its name,
        None if there is no such member.
    """

    def __init__(
        self,
        name: str,
        endpoint: Endpoint,
        settings: GroupSettings,
        path: Path,
        find_peer: Callable[[str], Address | None],
    ) -> None:
        super().__init__()
        self.name = name
        self.endpoint = endpoint
        self.settings = settings
        self.port = endpoint.port
        self.replication_port = 0
        self.store = Store(path)
        self.term_state = TermState(name)
        self.replica = Replica(
            self.term_state,
            self.store,
            endpoint.ip,
            settings.apply_lag_ms / 1000,
        )
        self.slots = FifoLimiter(settings.slots)
        self.connections = ConnectionRegistry(settings.connections)
        self.writing: Transaction | None = None
        self.generation = 0
        self.is_alive = False
        self.slow_factor = 1.0
        self.statements: deque[str] = deque(maxlen=settings.statements_kept)
        self.lost_answers = 0
        self.lost_answers_match = ""
        self.writer_lock = WriterLock()
        self.lock_wait_s = settings.lock_wait_ms / 1000
        self._running = Event()
        self._running.set()
        self._find_peer = find_peer
        self._server: MemberServer | None = None
        self._replication_server = None
        self._pull_writers: set[StreamWriter] = set()

    async def on_start(self) -> None:
        """Open the ports for drivers and for replicas."""
        await self.listen()

    async def on_stop(self) -> None:
        """Close all connections and the store."""
        await self.die()
        self.store.close()

    async def listen(self) -> None:
        """Open the ports; after a restart they have the same numbers."""
        ip = self.endpoint.ip
        self.slots = FifoLimiter(self.settings.slots)
        self.writer_lock = WriterLock()
        self._server = MemberServer(
            session_factory=lambda: MemberSession(self),
            control=self.connections,
            identity_provider=MemberIdentity(self._delay_handshake),
            host=ip,
            port=self.port,
            backlog=BACKLOG,
        )
        await self._server.start_server()
        self.port = self._server.sockets()[0].getsockname()[1]
        self._replication_server = await start_server(
            self._answer_pulls, ip, self.replication_port
        )
        bound = self._replication_server.sockets[0].getsockname()
        self.replication_port = bound[1]
        self.is_alive = True
        self.restart_replica()

    async def die(self) -> None:
        """Simulate a crash: abort all connections and close the ports."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.generation += 1
        await gather(*self.replica.stop(), return_exceptions=True)
        if self.writing is not None:
            self.writing.rollback()
        await self._stop_listening()
        self.connections.end_all()
        for writer in list(self._pull_writers):
            writer.transport.abort()
        self._running.set()
        # The aborted connections must end before the ports are reopened.
        await sleep(0.01)

    async def _stop_listening(self) -> None:
        """Close the listening sockets after pending accepts are complete.

        The loop creates the transport of an accepted connection one
        iteration after the accept, and logs an assertion error if the
        server was closed in between.
        """
        servers = (self._server, self._replication_server)
        loop = get_running_loop()
        for listening in (
            *self._server.sockets(),
            *self._replication_server.sockets,
        ):
            loop.remove_reader(listening.fileno())
        for _ in range(ACCEPT_ITERATIONS):
            await sleep(0)
        for server in servers:
            server.close()

    async def restart(self) -> None:
        """Start again after ``die`` with the state that survives a crash."""
        if not self.is_alive:
            await self.listen()

    def pause(self) -> None:
        """Delay all answers and replication until ``resume``."""
        self._running.clear()

    def resume(self) -> None:
        """End the pause."""
        self._running.set()

    async def wait_while_paused(self) -> None:
        """Wait until the member is not paused."""
        if not self._running.is_set():
            await self._running.wait()

    async def _delay_handshake(self) -> None:
        await sleep(self.settings.connect_ms / 1000)
        await self.wait_while_paused()

    async def serve_read(self, sleep_s: float) -> None:
        """Hold a slot for a read's duration plus its SLEEP time, seconds."""
        await self._serve(self.settings.read_ms, sleep_s)

    async def serve_write(self, sleep_s: float, is_step: bool) -> None:
        """Hold a slot for a write's duration plus its SLEEP time.

        A write inside an open transaction (``is_step``) takes
        ``step_ms``; the longer ``write_ms`` is the duration of a commit.
        """
        settings = self.settings
        cost_ms = settings.step_ms if is_step else settings.write_ms
        await self._serve(cost_ms, sleep_s)

    async def serve_step(self, sleep_s: float) -> None:
        """Wait for a write of a transaction that has written before.

        It doesn't wait for a slot again, as in MySQL, where a thread that
        is inside InnoDB continues (``innodb_concurrency_tickets``). The
        store has one lock for all writers where InnoDB has row locks: if
        its holder waited for a slot behind the sessions that wait for the
        lock, no write could proceed.
        """
        cost_s = self.settings.step_ms / 1000 * self.slow_factor
        await sleep(cost_s + sleep_s)

    async def _serve(self, cost_ms: float, sleep_s: float) -> None:
        slots = self.slots
        await slots.acquire()
        try:
            duration_s = cost_ms / 1000 * self.slow_factor + sleep_s
            if duration_s > 0:
                await sleep(duration_s)
        finally:
            slots.release()

    def record_statement(self, text: str) -> None:
        """Keep a statement, so that a test can search it for keys."""
        self.statements.append(text)

    def loses_answer(self, text: str) -> bool:
        """Return whether the answer to ``text`` is lost, and count it."""
        if self.lost_answers <= 0 or self.lost_answers_match not in text:
            return False
        self.lost_answers -= 1
        return True

    async def wait_position(
        self, term: int, timeout_s: float, holds: Callable[[], bool]
    ) -> bool:
        """Wait until ``holds()`` is true under the promise of ``term``.

        Returns False when a higher term is promised or after the timeout.
        """
        loop = get_running_loop()
        deadline_at = loop.time() + timeout_s
        while True:
            promised = self.term_state.promise.term
            if promised > term:
                return False
            if promised == term and holds():
                return True
            left_s = deadline_at - loop.time()
            if left_s <= 0:
                return False
            await self.replica.changed.wait(left_s)

    def claim(self, term: int, claimant: str) -> bool:
        """Promise a term; if accepted, abort a lower term's open write."""
        accepted = self.term_state.claim(term, claimant)
        if accepted:
            self._fence()
        return accepted

    def _fence(self) -> None:
        """Abort an open write of a former primary; notify waiting tasks."""
        if not self.term_state.is_primary and self.writing is not None:
            self.writing.abort_fenced()
        self.replica.changed.notify()

    async def promote(self, term: int, claimant: str) -> bool:
        """Apply the relay log and become the primary of ``term``.

        Returns False if ``term`` is not promised to ``claimant``.
        """
        if not self.term_state.may_promote(term, claimant):
            return False
        if self.term_state.is_primary:
            return True
        await self.replica.apply_all()
        # Another claim may have been accepted while the relay log was
        # applied; becoming the primary now would break that promise.
        if not self.term_state.may_promote(term, claimant):
            return False
        if not self.term_state.is_primary:
            self.term_state.lead(term)
            self.replica.commit(LogEntry(term))
            self.restart_replica()
        return True

    def follow(self, term: int, primary: str, ip: str, port: int) -> bool:
        """Start to replicate from ``primary``.

        Returns False if there is no such member or a promise forbids it.
        """
        if self._find_peer(primary) is None:
            return False
        was_following = (self.term_state.follows, self.term_state.follows_term)
        if not self.term_state.follow(term, primary):
            return False
        self._fence()
        if was_following != (primary, term):
            self.restart_replica()
        return True

    def restart_replica(self) -> None:
        """Restart applying, and pulling from the followed member if any."""
        address = None
        if self.term_state.is_following:
            address = self._find_peer(self.term_state.follows)
        self.replica.start(self.wait_while_paused, address)

    async def _answer_pulls(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        self._pull_writers.add(writer)
        try:
            while self.is_alive:
                await self._answer_pull(reader, writer)
        except (OSError, EOFError, CancelledError):
            pass
        finally:
            self._pull_writers.discard(writer)
            writer.close()

    async def _answer_pull(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        pull = await read_pull(reader)
        await self.wait_while_paused()
        log, term_state = self.replica.log, self.term_state
        if len(log) <= pull.length and term_state.is_primary:
            await self.replica.changed.wait(self.settings.pull_hold_ms / 1000)
            await self.wait_while_paused()
        if not term_state.is_primary or term_state.primary_term != pull.term:
            await send_frame(writer, PullAnswer(True, term_state.promise.term))
            return
        answer = answer_pull(pull, log, term_state.primary_term)
        if answer.keep < pull.applied:
            answer = answer._replace(image=self.store.snapshot())
        await send_frame(writer, answer)
