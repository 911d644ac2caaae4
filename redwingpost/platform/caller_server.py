"""Callers' connections: lines in, typed statements to a session."""

from asyncio import (
    CancelledError,
    IncompleteReadError,
    LimitOverrunError,
    Server,
    StreamReader,
    StreamReaderProtocol,
    StreamWriter,
    Task,
    current_task,
    get_running_loop,
    wait,
)
from select import POLLIN, poll
from typing import Any, Protocol

from mode import Service

from redwingpost.adapters.http_client import tune_socket
from redwingpost.core.codes import Code
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement
from redwingpost.platform.lines import (
    ENCODING,
    MAX_MESSAGE_BYTES,
    Malformed,
    Startup,
    Terminate,
    parse_caller_line,
    render_answer,
    render_error,
)
from redwingpost.platform.member_link import read_line
from redwingpost.ports.database import MemberFailure
from redwingpost.statements.session import Phase

#: Seconds for closed connections to give up what they hold.
CLOSE_S = 0.3


class Session(Protocol):
    """A caller's session as the server drives it."""

    phase: Phase
    position: Position | None

    async def run(
        self, statement: Statement
    ) -> Answer | MemberFailure | Refusal:
        """Run one statement and return what to answer."""

    async def close(self) -> None:
        """Give up whatever the session holds."""


class SessionMaker(Protocol):
    """Opens sessions."""

    async def open_session(self, database: str, key: str) -> Session | Refusal:
        """Return a session, or why there can't be one."""


class WatchedReader(StreamReader):
    """Knows whether bytes came in that nobody has read yet."""

    has_unread = False

    def feed_data(self, data: bytes) -> None:
        """Take in what the transport has received."""
        self.has_unread = True
        super().feed_data(data)


class CallerConnection:
    """One caller's connection."""

    def __init__(self, reader: WatchedReader, writer: StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._session: Session | None = None
        self._is_waiting = False
        self._is_closed = False

    @property
    def is_resting(self) -> bool:
        """Whether nothing is outstanding and no transaction is open.

        A request may have arrived although its handler still waits: on a
        busy VM a turn of the loop takes a tenth of a second. Closed then,
        its caller would get no answer. So neither the socket nor the
        reader may hold bytes.
        """
        if self._session is None or not self._is_waiting:
            return False
        if self._session.phase is not Phase.IDLE:
            return False
        return not (self._reader.has_unread or self._is_readable())

    def close(self) -> None:
        """Close the connection; a request that comes now never runs."""
        self._is_closed = True
        self._writer.close()

    def _is_readable(self) -> bool:
        waiting = poll()
        waiting.register(self._writer.get_extra_info("socket"), POLLIN)
        return bool(waiting.poll(0))

    async def serve(self, sessions: SessionMaker) -> None:
        """Serve the connection until either side ends it."""
        try:
            if await self._start(sessions):
                while await self._serve_line():
                    pass
        except (OSError, IncompleteReadError):
            # The caller left; what it held is given up below.
            pass
        except LimitOverrunError:
            self._send(render_error(Refusal(Code.TOO_LARGE)))
        finally:
            if self._session is not None:
                await self._session.close()
            self._writer.close()

    async def _start(self, sessions: SessionMaker) -> bool:
        message = parse_caller_line(await read_line(self._reader))
        self._reader.has_unread = False
        if not isinstance(message, Startup):
            self._send(render_error(Refusal(Code.UNSUPPORTED, "no start")))
            return False
        opened = await sessions.open_session(message.database, message.key)
        if isinstance(opened, Refusal):
            self._send(render_error(opened))
            return False
        self._session = opened
        self._send("READY I -")
        return True

    async def _serve_line(self) -> bool:
        self._is_waiting = True
        line = await read_line(self._reader)
        self._is_waiting = False
        self._reader.has_unread = False
        if self._is_closed:
            # Nobody would get the answer, and the caller tries elsewhere.
            return False
        message = parse_caller_line(line)
        if isinstance(message, (Terminate, Startup)):
            return False
        if isinstance(message, Malformed):
            outcome = Refusal(Code.UNSUPPORTED, message.detail)
            if not message.request:
                # Where the line's bounds are in doubt, so is what follows.
                self._send(render_error(outcome))
                return False
        else:
            outcome = await self._session.run(message)
        phase, position = self._session.phase, self._session.position
        self._writer.write(render_answer(outcome, phase, position))
        await self._writer.drain()
        return True

    def _send(self, line: str) -> None:
        self._writer.write(f"{line}\r\n".encode(ENCODING, "replace"))


class CallerServer(Service):
    """Listens for callers.

    Parameters
    ----------
    ip, port : str, int
        Where to listen; port 0 takes a free one.
    sessions : SessionMaker
        Opens their sessions.
    """

    def __init__(
        self, ip: str, port: int, sessions: SessionMaker, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._ip = ip
        self._port = port
        self._sessions = sessions
        self._server: Server | None = None
        self._open: set[CallerConnection] = set()
        self._handlers: set[Task] = set()

    @property
    def port(self) -> int:
        """Return the port in use."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def open_connections(self) -> int:
        """Return how many callers are connected."""
        return len(self._open)

    async def on_start(self) -> None:
        """Listen."""
        self._server = await get_running_loop().create_server(
            self._make_protocol, self._ip, self._port, backlog=1024
        )

    async def on_stop(self) -> None:
        """Stop listening and close what is left."""
        self.stop_listening()
        for connection in tuple(self._open):
            connection.close()
        if self._handlers:
            await wait(self._handlers, timeout=CLOSE_S)

    def stop_listening(self) -> None:
        """Take no further connections."""
        if self._server is not None:
            self._server.close()

    def close_resting(self) -> int:
        """Close connections with nothing outstanding; return how many."""
        resting = [item for item in self._open if item.is_resting]
        for connection in resting:
            connection.close()
        return len(resting)

    def _make_protocol(self) -> StreamReaderProtocol:
        reader = WatchedReader(limit=MAX_MESSAGE_BYTES + 2)
        return StreamReaderProtocol(reader, self._accept)

    async def _accept(
        self, reader: WatchedReader, writer: StreamWriter
    ) -> None:
        tune_socket(writer)
        connection = CallerConnection(reader, writer)
        self._open.add(connection)
        handler = current_task()
        self._handlers.add(handler)
        try:
            await connection.serve(self._sessions)
        except CancelledError:
            # The loop ends: the connection is closed by now.
            pass
        finally:
            self._open.discard(connection)
            self._handlers.discard(handler)
