"""One member of a database group: a MySQL server with a replica's log."""

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
    ConnectionBook,
    MemberIdentity,
    MemberServer,
)
from redwingpost.standin.limits import FifoLimiter, WriterLock
from redwingpost.standin.promises import PromiseBook
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

#: Connection attempts that may wait for accept(2); a burst of drivers
#: would otherwise be refused by the kernel instead of by the limit.
BACKLOG = 512

#: Turns of the loop from a readable listening socket to its transport:
#: the accept, and the task that it starts.
ACCEPT_TURNS = 2

Address = tuple[str, int]


class Member(Service):
    """A member's server, its data and its promises.

    What would survive a crash (data, log, promises, who is followed)
    lives in the object across ``die`` and ``restart``.

    Parameters
    ----------
    name : str
        The member's name in the configuration.
    endpoint : Endpoint
        Where drivers reach it.
    settings : GroupSettings
        Limits and times of the group.
    path : Path
        Its data file.
    find_peer : callable
        Member name -> address of its replication port.
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
        self.book = PromiseBook(name)
        self.replica = Replica(
            self.book, self.store, endpoint.ip, settings.apply_lag_ms / 1000
        )
        self.slots = FifoLimiter(settings.slots)
        self.connections = ConnectionBook(settings.connections)
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
        self._replication = None
        self._pulling: set[StreamWriter] = set()

    async def on_start(self) -> None:
        """Listen to drivers and to followers."""
        await self.listen()

    async def on_stop(self) -> None:
        """Close everything and let the data go."""
        await self.die()
        self.store.close()

    async def listen(self) -> None:
        """Open the ports, the same as before after a restart."""
        ip = self.endpoint.ip
        self.slots = FifoLimiter(self.settings.slots)
        self.writer_lock = WriterLock()
        self._server = MemberServer(
            session_factory=lambda: MemberSession(self),
            control=self.connections,
            identity_provider=MemberIdentity(self._greet),
            host=ip,
            port=self.port,
            backlog=BACKLOG,
        )
        await self._server.start_server()
        self.port = self._server.sockets()[0].getsockname()[1]
        self._replication = await start_server(
            self._answer_pulls, ip, self.replication_port
        )
        bound = self._replication.sockets[0].getsockname()
        self.replication_port = bound[1]
        self.is_alive = True
        self.restart_replica()

    async def die(self) -> None:
        """Stop as a crash would: connections break, nothing is said."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.generation += 1
        await gather(*self.replica.stop(), return_exceptions=True)
        if self.writing is not None:
            self.writing.rollback()
        await self._stop_listening()
        self.connections.end_all()
        for writer in list(self._pulling):
            writer.transport.abort()
        self._running.set()
        # Let the broken connections end before the ports may come back.
        await sleep(0.01)

    async def _stop_listening(self) -> None:
        """Close the listening sockets once accepted ones have settled.

        The loop makes an accepted connection's transport a turn after
        the accept, and logs an assertion where the server has been
        closed in between.
        """
        servers = (self._server, self._replication)
        loop = get_running_loop()
        for listening in (*self._server.sockets(), *self._replication.sockets):
            loop.remove_reader(listening.fileno())
        for _ in range(ACCEPT_TURNS):
            await sleep(0)
        for server in servers:
            server.close()

    async def restart(self) -> None:
        """Come back after ``die`` with what survives a crash."""
        if not self.is_alive:
            await self.listen()

    def pause(self) -> None:
        """Hold every answer and every step of replication."""
        self._running.clear()

    def resume(self) -> None:
        """Go on after ``pause``."""
        self._running.set()

    async def gate(self) -> None:
        """Wait while the member is paused."""
        if not self._running.is_set():
            await self._running.wait()

    async def _greet(self) -> None:
        await sleep(self.settings.connect_ms / 1000)
        await self.gate()

    async def serve_read(self, stated_s: float) -> None:
        """Hold a slot as long as a read takes, and as long as it says."""
        await self._serve(self.settings.read_ms, stated_s)

    async def serve_write(self, stated_s: float, is_step: bool) -> None:
        """Hold a slot as long as a write takes.

        A write inside an open transaction (``is_step``) is cheap, the
        commit is what costs.
        """
        settings = self.settings
        cost = settings.step_ms if is_step else settings.write_ms
        await self._serve(cost, stated_s)

    async def serve_step(self, stated_s: float) -> None:
        """Take a step of a transaction that has written before.

        It doesn't queue for a slot again: MySQL lets a thread that is
        inside go on (``innodb_concurrency_tickets``). The store here has
        one lock for all writers where InnoDB has row locks; a holder that
        queued behind its own waiters would stop every write.
        """
        cost_s = self.settings.step_ms / 1000 * self.slow_factor
        await sleep(cost_s + stated_s)

    async def _serve(self, cost_ms: float, stated_s: float) -> None:
        slots = self.slots
        await slots.acquire()
        try:
            duration = cost_ms / 1000 * self.slow_factor + stated_s
            if duration > 0:
                await sleep(duration)
        finally:
            slots.release()

    def note_statement(self, text: str) -> None:
        """Keep a statement for the search for keys."""
        self.statements.append(text)

    def loses_answer(self, text: str) -> bool:
        """Say whether this answer is to be lost, and count it."""
        if self.lost_answers <= 0 or self.lost_answers_match not in text:
            return False
        self.lost_answers -= 1
        return True

    async def wait_position(
        self, term: int, timeout_s: float, holds: Callable[[], bool]
    ) -> bool:
        """Wait until ``holds()`` while the promise is ``term``."""
        loop = get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            promised = self.book.promise.term
            if promised > term:
                return False
            if promised == term and holds():
                return True
            left = deadline - loop.time()
            if left <= 0:
                return False
            await self.replica.changed.wait(left)

    def claim(self, term: int, claimant: str) -> bool:
        """Promise a term and fence what a lower one left open."""
        accepted = self.book.claim(term, claimant)
        if accepted:
            self._fence()
        return accepted

    def _fence(self) -> None:
        if not self.book.is_primary and self.writing is not None:
            self.writing.doom()
        self.replica.changed.notify()

    async def promote(self, term: int, claimant: str) -> bool:
        """Lead ``term`` once the relay log is applied."""
        if not self.book.may_promote(term, claimant):
            return False
        if self.book.is_primary:
            return True
        await self.replica.apply_all()
        # Another claim may have come in while the relay log was applied;
        # leading now would break the promise made to it.
        if not self.book.may_promote(term, claimant):
            return False
        if not self.book.is_primary:
            self.book.lead(term)
            self.replica.commit(LogEntry(term))
            self.restart_replica()
        return True

    def follow(self, term: int, primary: str, ip: str, port: int) -> bool:
        """Take the log of ``primary`` from now on."""
        if self._find_peer(primary) is None:
            return False
        was_following = (self.book.follows, self.book.follows_term)
        if not self.book.follow(term, primary):
            return False
        self._fence()
        if was_following != (primary, term):
            self.restart_replica()
        return True

    def restart_replica(self) -> None:
        """Apply, and pull from the member that is followed, if any."""
        address = None
        if self.book.is_following:
            address = self._find_peer(self.book.follows)
        self.replica.start(self.gate, address)

    async def _answer_pulls(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        self._pulling.add(writer)
        try:
            while self.is_alive:
                await self._answer_pull(reader, writer)
        except (OSError, EOFError, CancelledError):
            pass
        finally:
            self._pulling.discard(writer)
            writer.close()

    async def _answer_pull(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        pull = await read_pull(reader)
        await self.gate()
        log, book = self.replica.log, self.book
        if len(log) <= pull.length and book.is_primary:
            await self.replica.changed.wait(self.settings.pull_hold_ms / 1000)
            await self.gate()
        if not book.is_primary or book.primary_term != pull.term:
            await send_frame(writer, PullAnswer(True, book.promise.term))
            return
        answer = answer_pull(pull, log, book.primary_term)
        if answer.keep < pull.applied:
            answer = answer._replace(image=self.store.snapshot())
        await send_frame(writer, answer)
