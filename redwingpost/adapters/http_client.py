"""A small HTTP/1.1 client on one persistent connection.

``h11`` frames the messages. ``aiohttp`` costs 18 MB and a third of a
second at import, a quarter of what a whole node process may use.
"""

from asyncio import StreamReader, StreamWriter, open_connection, wait_for
from collections.abc import Callable
from contextlib import suppress
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SO_LINGER,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)
from struct import pack
from typing import NamedTuple

from h11 import (
    CLIENT,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
    Response,
)

from redwingpost.ports.clock import Clock

#: Most bytes per read.
_READ_BYTES = 65536

#: Milliseconds after which unacknowledged bytes end a connection. Without
#: it a connection across a partition would hang.
_USER_TIMEOUT_MS = 3000

#: TCP keep-alive: an idle connection is probed after this many seconds,
#: at this interval (seconds), and ends after this many unanswered probes.
#: Otherwise a broken connection could not be distinguished from an idle one.
_KEEPALIVE_IDLE_S = 3
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2

#: Timeout for opening a connection (seconds). TCP resends packets that a
#: cut dropped after 1, 3 and 7 s, so that a new attempt connects sooner
#: once the cut has ended.
CONNECT_TIMEOUT_S = 1.0

#: Seconds without a byte after which a response that has begun counts as
#: lost. There is no shorter limit on the whole transfer: a configuration of
#: hundreds of kilobytes takes seconds over a link of 2 Mbit/s, and a VM that
#: gave up and started again would never have it.
STALL_TIMEOUT_S = 1.5

#: Seconds for the transfer of one response, at most.
MAX_TRANSFER_S = 30.0

#: Seconds for which an idle pooled connection is reused. If it broke
#: meanwhile, a call on it waits for its whole timeout; a new connection
#: costs one round trip.
MAX_IDLE_S = 1.0


#: Value of ``SO_LINGER`` with which a close resets the connection.
_NO_LINGER = pack("ii", 1, 0)


class HttpAnswer(NamedTuple):
    """Status, body and headers of a complete response.

    Names of headers are in lower case.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value; None if it is missing."""
        return dict(self.headers).get(name)


class HttpLost(Exception):
    """No complete response was received.

    Parameters
    ----------
    detail : str
        What failed.
    sent : bool
        Whether the request may have arrived.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class HttpClient:
    """Sends one request at a time; reconnects when necessary.

    Parameters
    ----------
    ip, port : str, int
        Address of the server.
    """

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._reader: StreamReader | None = None
        self._writer: StreamWriter | None = None
        self._framing = Connection(our_role=CLIENT)

    async def request(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        may_send: Callable[[], bool] = lambda: True,
    ) -> HttpAnswer:
        """Send a request and return the complete response.

        ``timeout_s`` limits the wait for the response to begin; after that
        the transfer may take as long as bytes keep arriving. ``may_send`` is
        asked once the connection is open: that may take a second.

        Raises
        ------
        HttpLost
            If the connection fails, the request times out, or it may not be
            sent any more.
        """
        sent = False
        self.close_if_ended()
        try:
            if self._writer is None:
                connect_timeout_s = min(timeout_s, CONNECT_TIMEOUT_S)
                await wait_for(self._connect(), connect_timeout_s)
            if not may_send():
                raise HttpLost("too late to send", sent)
            sent = True
            exchange = self._exchange(method, target, body, headers, timeout_s)
            return await wait_for(exchange, timeout_s + MAX_TRANSFER_S)
        except (OSError, RemoteProtocolError, TimeoutError) as error:
            self.close(resets=sent)
            detail = f"{type(error).__name__} {error}".strip()
            raise HttpLost(detail, sent) from error
        except BaseException:
            # After a cancelled exchange the rest of its response would be
            # read as the response to the next request.
            self.close()
            raise

    def close_if_ended(self) -> None:
        """Close a connection that ended while it was idle.

        Otherwise the next request would fail on it, although the server
        is reachable.
        """
        reader = self._reader
        if reader is None:
            return
        if reader.at_eof() or reader.exception() is not None:
            self.close()

    def close(self, resets: bool = False) -> None:
        """Close the connection; the next request opens another.

        ``resets``: a request that was given up isn't sent any more.
        """
        if self._writer is not None and resets:
            reset_connection(self._writer)
        elif self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _connect(self) -> None:
        self._reader, self._writer = await open_connection(
            self._ip, self._port
        )
        tune_socket(self._writer)
        self._framing = Connection(our_role=CLIENT)

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        timeout_s: float,
    ) -> HttpAnswer:
        fields = [("Host", f"{self._ip}:{self._port}"), *headers]
        if body or method in ("POST", "PUT"):
            fields.append(("Content-Length", str(len(body))))
        head = Request(method=method, target=target, headers=fields)
        parts = [self._framing.send(head)]
        if body:
            parts.append(self._framing.send(Data(data=body)))
        parts.append(self._framing.send(EndOfMessage()))
        self._writer.write(b"".join(part for part in parts if part))
        answer = await self._receive(timeout_s)
        if self._framing.our_state is self._framing.their_state:
            self._framing.start_next_cycle()
        else:
            self.close()
        return answer

    async def _receive(self, timeout_s: float) -> HttpAnswer:
        """Return the response; fail after ``timeout_s`` without its start."""
        status = 0
        headers: tuple[tuple[bytes, bytes], ...] = ()
        body = bytearray()
        while True:
            event = self._framing.next_event()
            if event is NEED_DATA:
                pending = self._reader.read(_READ_BYTES)
                received = await wait_for(pending, timeout_s)
                self._framing.receive_data(received)
                timeout_s = STALL_TIMEOUT_S
            elif isinstance(event, Response):
                status = event.status_code
                headers = tuple(event.headers)
            elif isinstance(event, Data):
                body += event.data
            elif isinstance(event, EndOfMessage):
                return HttpAnswer(status, bytes(body), headers)
            elif isinstance(event, ConnectionClosed):
                raise ConnectionResetError("closed before the response")


class HttpPool:
    """Sends concurrent requests, each on a separate connection.

    On a shared connection a lost response would delay the requests behind
    it until they time out.
    """

    def __init__(self, ip: str, port: int, clock: Clock) -> None:
        self._ip = ip
        self._port = port
        self._clock = clock
        self._idle: list[tuple[HttpClient, float]] = []

    async def request(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        may_send: Callable[[], bool] = lambda: True,
    ) -> HttpAnswer:
        """Send a request as ``HttpClient.request`` does."""
        client = self._take_idle()
        try:
            return await client.request(
                method, target, timeout_s, body, headers, may_send
            )
        finally:
            self._idle.append((client, self._clock.now()))

    def close(self) -> None:
        """Close the idle connections."""
        for client, _ in self._idle:
            client.close()
        self._idle.clear()

    def _take_idle(self) -> HttpClient:
        """Return an idle client that may be reused, or a new one."""
        oldest_usable_at = self._clock.now() - MAX_IDLE_S
        while self._idle:
            client, used_at = self._idle.pop()
            if used_at >= oldest_usable_at:
                return client
            client.close()
        return HttpClient(self._ip, self._port)


def reset_connection(writer: StreamWriter) -> None:
    """Close without sending what the system still holds.

    After an ordinary close it goes on sending for seconds.
    """
    # The far end may have closed it, and the loop its socket with it.
    with suppress(OSError):
        socket = writer.get_extra_info("socket")
        socket.setsockopt(SOL_SOCKET, SO_LINGER, _NO_LINGER)
    writer.transport.abort()


def tune_socket(writer: StreamWriter) -> None:
    """Disable Nagle's algorithm and detect unreachable peers."""
    socket = writer.get_extra_info("socket")
    socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, _KEEPALIVE_PROBES)
