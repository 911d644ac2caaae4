"""HTTP requests over connections that hang or are silently broken."""

from asyncio import (
    Future,
    StreamReader,
    StreamWriter,
    get_running_loop,
    sleep,
    start_server,
    wait_for,
)
from contextlib import ExitStack
from socket import socket
from unittest import IsolatedAsyncioTestCase

from redwingpost.adapters.http_client import (
    HttpClient,
    HttpLost,
    HttpPool,
)
from redwingpost.ports.clock import VirtualClock

#: Far above the duration of any request here, far below a feed's wait.
_TIMEOUT_S = 10.0
_FEED_WAIT_S = 31.0

#: Far above the pause between consecutive calls of one operation.
_IDLE_S = 5.0


class SilentAfterOne:
    """Answers one request on each connection, then no more."""

    def __init__(self) -> None:
        self.connections = 0

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Answer only the first request."""
        self.connections += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await reader.read()
        writer.close()


class HttpClientTest(IsolatedAsyncioTestCase):
    async def test_a_connection_that_never_opens(self) -> None:
        """A cut drops the packets that open a connection.

        TCP resends them after increasing pauses. A feed that may wait for
        half a minute would wait as long for its connection, and callers
        would be served with an old configuration long after the cut has
        ended.
        """
        with ExitStack() as stack:
            server = stack.enter_context(socket())
            server.bind(("127.0.0.1", 0))
            server.listen(0)
            address = server.getsockname()
            # These fill the backlog of new connections.
            for _ in range(3):
                waiting = stack.enter_context(socket())
                waiting.setblocking(False)
                waiting.connect_ex(address)
            client = HttpClient(*address)
            request = client.request("GET", "/feed", _FEED_WAIT_S)
            with self.assertRaises(HttpLost) as raised:
                await wait_for(request, _TIMEOUT_S)
            self.assertFalse(raised.exception.sent)

    async def test_a_request_that_is_given_up(self) -> None:
        """Guards against an order that is sent after it was given up."""
        ended: Future[object] = get_running_loop().create_future()

        async def serve(reader: StreamReader, writer: StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            try:
                ended.set_result(await reader.read())
            except ConnectionResetError:
                ended.set_result(ConnectionResetError)
            writer.close()

        server = await start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = HttpClient(*server.sockets[0].getsockname())
        with self.assertRaises(HttpLost) as raised:
            await client.request("POST", "/promote", 0.1)
        self.assertTrue(raised.exception.sent)
        self.assertIs(ConnectionResetError, await wait_for(ended, _TIMEOUT_S))

    async def test_a_request_that_comes_too_late(self) -> None:
        """Guards against an order that is sent after its right has ended."""
        arrived = []

        async def serve(reader: StreamReader, writer: StreamWriter) -> None:
            arrived.append(await reader.read())
            writer.close()

        server = await start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = HttpClient(*server.sockets[0].getsockname())
        request = client.request(
            "POST", "/promote", _TIMEOUT_S, may_send=lambda: False
        )
        with self.assertRaises(HttpLost) as raised:
            await wait_for(request, _TIMEOUT_S)
        self.assertFalse(raised.exception.sent)
        client.close()
        while not arrived:
            await sleep(0.01)
        self.assertEqual([b""], arrived)


class HttpPoolTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.served = SilentAfterOne()
        server = await start_server(self.served.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.clock = VirtualClock()
        self.pool = HttpPool("127.0.0.1", port, self.clock)
        self.addCleanup(self.pool.close)

    async def test_a_connection_that_broke_while_idle(self) -> None:
        """A connection silently breaks while it is idle.

        The next call on it would wait for its whole timeout; if it
        claims the duty of replacing a primary, writers wait as long.
        """
        for _ in range(2):
            answer = await wait_for(
                self.pool.request("GET", "/", _TIMEOUT_S), _TIMEOUT_S / 2
            )
            self.assertEqual(200, answer.status)
            self.clock.advance(_IDLE_S)
        self.assertEqual(2, self.served.connections)
