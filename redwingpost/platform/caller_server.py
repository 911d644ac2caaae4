"""Server for callers: reads lines and runs them in a session."""

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

#: Seconds for the answers to statements that still run at the end.
END_TIMEOUT_S = 0.2

#: Seconds for the handlers of closed connections to release their sessions.
CLOSE_TIMEOUT_S = 0.3


class Session(Protocol):
    """A caller's session as the server uses it."""

    phase: Phase
    position: Position | None

    async def run(
        self, statement: Statement
    ) -> Answer | MemberFailure | Refusal:
        """Run one statement and return its outcome."""

    def interrupt(self, statement: Statement) -> Refusal:
        """Return what is known of a statement whose run was cancelled."""

    async def close(self) -> None:
        """Release the session's resources."""


class SessionFactory(Protocol):
    """Opens sessions."""

    async def open_session(self, database: str, key: str) -> Session | Refusal:
        """Return a session, or the reason for its refusal."""


class UnreadTrackingReader(StreamReader):
    """Stream reader that records whether bytes arrived since the last line.

    ``has_unread`` is cleared by the connection after each line.
    """

    has_unread = False

    def feed_data(self, data: bytes) -> None:
        """Append bytes that the transport received."""
        self.has_unread = True
        super().feed_data(data)


class CallerConnection:
    """One caller's connection."""

    def __init__(
        self, reader: UnreadTrackingReader, writer: StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._session: Session | None = None
        self._handler: Task | None = None
        self._is_awaiting_line = False
        self._is_running = False
        self._is_ending = False
        self._is_closed = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is pending and no transaction is open.

        A request may have arrived although its handler still waits: on a
        busy VM one iteration of the event loop takes 0.1 s. If the
        connection were closed then, the caller would get no answer. So
        neither the socket nor the reader may hold bytes.
        """
        if self._session is None or not self._is_awaiting_line:
            return False
        if self._session.phase is not Phase.IDLE:
            return False
        return not self._has_unread()

    def close(self) -> None:
        """Close the connection; requests that arrive later don't run."""
        self._is_closed = True
        self._writer.close()

    def end(self) -> None:
        """Close the connection once what was read has its answer.

        A statement that still runs is answered with what is known of it.
        """
        self._is_ending = True
        if self._is_running:
            self._handler.cancel()
        elif self._is_awaiting_line and not self._has_unread():
            self.close()

    def _has_unread(self) -> bool:
        return self._reader.has_unread or self._is_readable()

    def _is_readable(self) -> bool:
        waiting = poll()
        waiting.register(self._writer.get_extra_info("socket"), POLLIN)
        return bool(waiting.poll(0))

    async def serve(self, sessions: SessionFactory) -> None:
        """Serve the connection until either side closes it."""
        self._handler = current_task()
        try:
            if await self._start(sessions):
                while await self._serve_line():
                    pass
        except (OSError, IncompleteReadError):
            # The caller disconnected; its session is closed below.
            pass
        except LimitOverrunError:
            self._send(render_error(Refusal(Code.TOO_LARGE)))
        finally:
            if self._session is not None:
                await self._session.close()
            self._writer.close()

    async def _start(self, sessions: SessionFactory) -> bool:
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
        self._is_awaiting_line = True
        line = await read_line(self._reader)
        self._is_awaiting_line = False
        self._reader.has_unread = False
        if self._is_closed:
            # The caller can't get the answer and retries on another VM;
            # the statement would run twice.
            return False
        message = parse_caller_line(line)
        if isinstance(message, (Terminate, Startup)):
            return False
        if isinstance(message, Malformed):
            outcome = Refusal(Code.UNSUPPORTED, message.detail)
            if not message.request:
                # The end of the line is uncertain, so the lines after it
                # can't be trusted either.
                self._send(render_error(outcome))
                return False
        else:
            outcome = await self._run(message)
        phase, position = self._session.phase, self._session.position
        self._writer.write(render_answer(outcome, phase, position))
        await self._writer.drain()
        return not self._is_ending

    async def _run(
        self, statement: Statement
    ) -> Answer | MemberFailure | Refusal:
        self._is_running = True
        try:
            return await self._session.run(statement)
        except CancelledError:
            if not self._is_ending:
                raise
            current_task().uncancel()
            return self._session.interrupt(statement)
        finally:
            self._is_running = False

    def _send(self, line: str) -> None:
        self._writer.write(f"{line}\r\n".encode(ENCODING, "replace"))


class CallerServer(Service):
    """Accepts callers' connections and serves each in a task.

    Parameters
    ----------
    ip, port : str, int
        Address to listen on; port 0 selects a free one.
    sessions : SessionFactory
        Opens the callers' sessions.
    """

    def __init__(
        self, ip: str, port: int, sessions: SessionFactory, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self._ip = ip
        self._port = port
        self._sessions = sessions
        self._server: Server | None = None
        self._connections: set[CallerConnection] = set()
        self._handler_tasks: set[Task] = set()

    @property
    def port(self) -> int:
        """Return the port in use."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def open_connections(self) -> int:
        """Return how many callers are connected."""
        return len(self._connections)

    async def on_start(self) -> None:
        """Start listening."""
        self._server = await get_running_loop().create_server(
            self._make_protocol, self._ip, self._port, backlog=1024
        )

    async def on_stop(self) -> None:
        """Stop listening; answer what still runs, then close."""
        self.stop_listening()
        for connection in tuple(self._connections):
            connection.end()
        if self._handler_tasks:
            await wait(self._handler_tasks, timeout=END_TIMEOUT_S)
        for connection in tuple(self._connections):
            connection.close()
        if self._handler_tasks:
            await wait(self._handler_tasks, timeout=CLOSE_TIMEOUT_S)

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> int:
        """Close idle connections; return their number."""
        idle_connections = [item for item in self._connections if item.is_idle]
        for connection in idle_connections:
            connection.close()
        return len(idle_connections)

    def _make_protocol(self) -> StreamReaderProtocol:
        reader = UnreadTrackingReader(limit=MAX_MESSAGE_BYTES + 2)
        return StreamReaderProtocol(reader, self._accept)

    async def _accept(
        self, reader: UnreadTrackingReader, writer: StreamWriter
    ) -> None:
        tune_socket(writer)
        connection = CallerConnection(reader, writer)
        self._connections.add(connection)
        handler = current_task()
        self._handler_tasks.add(handler)
        try:
            await connection.serve(self._sessions)
        except CancelledError:
            # The event loop shuts down; the connection is already closed.
            pass
        finally:
            self._connections.discard(connection)
            self._handler_tasks.discard(handler)
