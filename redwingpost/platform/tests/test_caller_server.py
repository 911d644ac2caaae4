"""Callers' connections that are closed while requests arrive."""

from asyncio import sleep, to_thread
from socket import create_connection, socket
from unittest import IsolatedAsyncioTestCase

from redwingpost.core.statements import Answer, Statement
from redwingpost.platform.caller_server import CallerServer
from redwingpost.statements.session import Phase

#: Seconds for an answer on loopback, far above what it takes.
PATIENCE_S = 5.0


class CountingSession:
    """Answers everything and keeps what it was asked to run."""

    phase = Phase.IDLE
    position = None

    def __init__(self) -> None:
        self.requests: list[str] = []

    async def run(self, statement: Statement) -> Answer:
        """Run a statement."""
        self.requests.append(statement.request)
        return Answer()

    async def close(self) -> None:
        """Hold nothing."""


class CloseRestingTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.session = CountingSession()
        self.server = CallerServer("127.0.0.1", 0, self)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.caller = await to_thread(self._connect)
        self.addCleanup(self.caller.close)
        # The server has answered the start and waits for a statement.
        while self.server.open_connections == 0:
            await sleep(0.0)
        await sleep(0.01)

    async def open_session(self, database: str, key: str) -> CountingSession:
        """Open the one session."""
        return self.session

    def _connect(self) -> socket:
        caller = create_connection(("127.0.0.1", self.server.port))
        caller.settimeout(PATIENCE_S)
        caller.sendall(b"STARTUP own key-1\r\n")
        self.assertEqual(b"READY I -\r\n", caller.recv(100))
        return caller

    def _send(self) -> None:
        self.caller.sendall(b"QUERY 7 READ a\r\n")

    async def test_a_resting_connection_is_closed(self) -> None:
        self.assertEqual(1, self.server.close_resting())
        self.assertEqual(b"", await to_thread(self.caller.recv, 100))

    async def test_a_request_that_waits_in_the_socket(self) -> None:
        """A busy VM stops, and looks for connections that rest.

        A request has arrived in the meantime, but the loop hasn't come to
        read it. If its connection were closed, the caller would get no
        answer, although the request may run.
        """
        self._send()
        self.assertEqual(0, self.server.close_resting())
        answer = await to_thread(self.caller.recv, 100)
        self.assertTrue(answer.startswith(b"COMPLETE"), answer)

    async def test_a_request_that_was_read_but_not_looked_at(self) -> None:
        """The bytes are in the process, and the session's turn is next."""
        self._send()
        closed = []
        await sleep(0.0)
        # The loop has read the socket; the handler runs after this.
        closed.append(self.server.close_resting())
        self.assertEqual([0], closed)
        answer = await to_thread(self.caller.recv, 100)
        self.assertTrue(answer.startswith(b"COMPLETE"), answer)

    async def test_nothing_runs_once_its_connection_is_closed(self) -> None:
        """A request arrives just after its connection was closed.

        Nobody will get its answer; if it ran, the caller, who tries again
        elsewhere, would have it run twice.
        """
        self.server.close_resting()
        self._send()
        await sleep(0.05)
        self.assertEqual([], self.session.requests)
