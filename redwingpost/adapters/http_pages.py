"""Serve a few pages over HTTP/1.1: readiness and metrics.

``h11`` frames the messages, for the reason given in
``redwingpost.adapters.http_client``.
"""

from asyncio import Server, StreamReader, StreamWriter, start_server
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from h11 import (
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)
from mode import Service

_CHUNK = 16384


class Page(NamedTuple):
    """A status and a body."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


#: Gets a query and returns a page once there is something to tell.
Feed = Callable[[str], Awaitable[Page]]


class PageServer(Service):
    """Answers GET with what a page's function returns.

    Parameters
    ----------
    ip, port : str, int
        Where to listen; port 0 takes a free one.
    pages_by_path : dict of str to callable
        Each returns a Page.
    feeds_by_path : dict of str to callable, optional
        Each gets the query and returns a Page when it has one.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        pages_by_path: dict[str, Callable[[], Page]],
        feeds_by_path: dict[str, Feed] | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._ip = ip
        self._port = port
        self._pages_by_path = pages_by_path
        self._feeds_by_path = feeds_by_path or {}
        self._server: Server | None = None

    @property
    def port(self) -> int:
        """Return the port in use."""
        return self._server.sockets[0].getsockname()[1]

    async def on_start(self) -> None:
        """Listen."""
        self._server = await start_server(self._serve, self._ip, self._port)

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        framing = Connection(our_role=SERVER)
        try:
            while await self._answer_one(framing, reader, writer):
                framing.start_next_cycle()
        except (OSError, RemoteProtocolError, LocalProtocolError):
            # The asker went away or doesn't speak HTTP: nothing to say.
            pass
        finally:
            writer.close()

    async def _answer_one(
        self, framing: Connection, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        """Answer one request; False where the connection must end."""
        page = Page(400)
        while True:
            event = framing.next_event()
            if event is NEED_DATA:
                framing.receive_data(await reader.read(_CHUNK))
            elif isinstance(event, Request):
                page = await self._page(event)
            elif isinstance(event, EndOfMessage):
                break
            elif isinstance(event, ConnectionClosed) or event is PAUSED:
                return False
        writer.write(render(framing, page))
        await writer.drain()
        return framing.our_state is framing.their_state

    async def _page(self, request: Request) -> Page:
        path, _, query = request.target.decode("latin-1").partition("?")
        feed = self._feeds_by_path.get(path)
        if feed is not None and request.method == b"GET":
            return await feed(query)
        make = self._pages_by_path.get(path)
        if make is None:
            return Page(404)
        return make() if request.method == b"GET" else Page(405)


def render(framing: Connection, page: Page) -> bytes:
    """Return the bytes of one response."""
    head = Response(
        status_code=page.status,
        headers=[
            ("Content-Type", page.content_type),
            ("Content-Length", str(len(page.body))),
        ],
    )
    parts = [framing.send(head)]
    if page.body:
        parts.append(framing.send(Data(data=page.body)))
    parts.append(framing.send(EndOfMessage()))
    return b"".join(part for part in parts if part)
