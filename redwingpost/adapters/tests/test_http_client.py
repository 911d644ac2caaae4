"""HTTP requests over connections that hang or have gone silent."""

from asyncio import StreamReader, StreamWriter, start_server, wait_for
from contextlib import ExitStack
from socket import socket
from unittest import IsolatedAsyncioTestCase

from redwingpost.adapters.http_client import (
    HttpClient,
    HttpLost,
    HttpPool,
)
from redwingpost.ports.clock import VirtualClock

#: Far above what any request here takes, far below a feed's wait.
_PATIENCE_S = 10.0
_FEED_WAIT_S = 31.0

#: Far above the pause between calls of one matter.
_REST_S = 5.0


class SilentAfterOne:
    """Answers one request on each connection, then nothing more."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Answer the first request only."""
        self.connections += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await reader.read()
        writer.close()


class HttpClientTest(IsolatedAsyncioTestCase):
    async def test_a_connection_that_never_opens(self) -> None:
        """A cut drops the packets that open a connection.

        The system sends them again after ever longer pauses. A feed that
        may wait for half a minute would wait as long for its connection,
        and callers would be served by an old configuration long after
        the cut has ended.
        """
        with ExitStack() as stack:
            server = stack.enter_context(socket())
            server.bind(("127.0.0.1", 0))
            server.listen(0)
            address = server.getsockname()
            # The queue of new connections is full after these.
            for _ in range(3):
                waiting = stack.enter_context(socket())
                waiting.setblocking(False)
                waiting.connect_ex(address)
            client = HttpClient(*address)
            request = client.request("GET", "/feed", _FEED_WAIT_S)
            with self.assertRaises(HttpLost) as raised:
                await wait_for(request, _PATIENCE_S)
            self.assertFalse(raised.exception.sent)


class HttpPoolTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.served = SilentAfterOne()
        server = await start_server(self.served.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.clock = VirtualClock()
        self.pool = HttpPool("127.0.0.1", port, self.clock)
        self.addCleanup(self.pool.close)

    async def test_a_connection_that_went_silent_while_it_rested(
        self,
    ) -> None:
        """A connection goes silent while nobody uses it.

        The next call would wait for its whole time limit; if it claims
        the duty of replacing a primary, writers wait as long.
        """
        for _ in range(2):
            answer = await wait_for(
                self.pool.request("GET", "/", _PATIENCE_S), _PATIENCE_S / 2
            )
            self.assertEqual(200, answer.status)
            self.clock.advance(_REST_S)
        self.assertEqual(2, self.served.connections)
