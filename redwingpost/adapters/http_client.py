"""A lean HTTP/1.1 client on one kept connection.

``h11`` frames the messages. ``aiohttp`` costs 18 MB and a third of a
second at start (measured at import), a quarter of what a whole node may
use.
"""

from asyncio import StreamReader, StreamWriter, open_connection, wait_for
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)
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

#: Bytes read at once.
_CHUNK = 65536

#: Milliseconds after which unacknowledged bytes end a connection: one
#: that is cut off would hang otherwise.
_USER_TIMEOUT_MS = 3000

#: A connection that rests is probed after this many seconds, and ended
#: after as many probes without an answer: one that went silent would
#: otherwise look like one on which nothing happens.
_PROBE_AFTER_S = 3
_PROBE_EVERY_S = 1
_PROBES = 2

#: Seconds for a connection to open. Packets lost to a cut are sent again
#: after 1, 3 and 7 s: a new try comes sooner once the cut has ended.
CONNECT_S = 1.0

#: Seconds that a pooled connection may rest and be trusted all the same.
#: One that went silent meanwhile holds a call for its whole time limit;
#: a new one costs a round trip.
REST_S = 1.0


class HttpAnswer(NamedTuple):
    """A whole response."""

    status: int
    body: bytes


class HttpLost(Exception):
    """No whole response came.

    Parameters
    ----------
    sent : bool
        Whether the request may have arrived.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class HttpClient:
    """Sends one request at a time; connects again when it must.

    Parameters
    ----------
    ip, port : str, int
        The server.
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
    ) -> HttpAnswer:
        """Send a request and return the whole response.

        Raises
        ------
        HttpLost
            If the connection fails or the time is over.
        """
        sent = False
        self.drop_if_dead()
        try:
            if self._writer is None:
                patience = min(timeout_s, CONNECT_S)
                await wait_for(self._connect(), patience)
            sent = True
            exchange = self._exchange(method, target, body, headers)
            return await wait_for(exchange, timeout_s)
        except (OSError, RemoteProtocolError, TimeoutError) as error:
            self.close()
            detail = f"{type(error).__name__} {error}".strip()
            raise HttpLost(detail, sent) from error
        except BaseException:
            # A cancelled exchange leaves half a response behind, which
            # the next request would take for its own.
            self.close()
            raise

    def drop_if_dead(self) -> None:
        """Close a connection that ended while it rested.

        The next request would fail on it at once, although the server
        can be reached.
        """
        reader = self._reader
        if reader is None:
            return
        if reader.at_eof() or reader.exception() is not None:
            self.close()

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._writer is not None:
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
    ) -> HttpAnswer:
        lines = [("Host", f"{self._ip}:{self._port}"), *headers]
        if body or method in ("POST", "PUT"):
            lines.append(("Content-Length", str(len(body))))
        head = Request(method=method, target=target, headers=lines)
        parts = [self._framing.send(head)]
        if body:
            parts.append(self._framing.send(Data(data=body)))
        parts.append(self._framing.send(EndOfMessage()))
        self._writer.write(b"".join(part for part in parts if part))
        answer = await self._receive()
        if self._framing.our_state is self._framing.their_state:
            self._framing.start_next_cycle()
        else:
            self.close()
        return answer

    async def _receive(self) -> HttpAnswer:
        status = 0
        body = bytearray()
        while True:
            event = self._framing.next_event()
            if event is NEED_DATA:
                self._framing.receive_data(await self._reader.read(_CHUNK))
            elif isinstance(event, Response):
                status = event.status_code
            elif isinstance(event, Data):
                body += event.data
            elif isinstance(event, EndOfMessage):
                return HttpAnswer(status, bytes(body))
            elif isinstance(event, ConnectionClosed):
                raise ConnectionResetError("closed before the response")


class HttpPool:
    """Sends requests side by side, each on a connection of its own.

    A connection whose answer is lost would hold up the requests behind
    it until their time is over.
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
    ) -> HttpAnswer:
        """Send a request as ``HttpClient.request`` does."""
        client = self._take()
        try:
            return await client.request(
                method, target, timeout_s, body, headers
            )
        finally:
            self._idle.append((client, self._clock.now()))

    def close(self) -> None:
        """Close the connections that rest."""
        for client, _ in self._idle:
            client.close()
        self._idle.clear()

    def _take(self) -> HttpClient:
        """Return a client whose connection can be trusted, or a new one."""
        trusted_since = self._clock.now() - REST_S
        while self._idle:
            client, used_at = self._idle.pop()
            if used_at >= trusted_since:
                return client
            client.close()
        return HttpClient(self._ip, self._port)


def tune_socket(writer: StreamWriter) -> None:
    """Send small messages at once; notice a peer that is cut off."""
    socket = writer.get_extra_info("socket")
    socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _PROBE_AFTER_S)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _PROBE_EVERY_S)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, _PROBES)
