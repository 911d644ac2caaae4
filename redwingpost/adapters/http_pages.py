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

_READ_BYTES = 16384


class Page(NamedTuple):
    """A status and a body."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


#: Takes a query and returns a page as soon as there is new content.
Feed = Callable[[str], Awaitable[Page]]


class PageServer(Service):
    """Answers GET requests with pages made by functions.

    Parameters
    ----------
    ip, port : str, int
        Where to listen; port 0 selects a free one.
    pages_by_path : dict of str to callable
        Functions that return a Page.
    feeds_by_path : dict of str to callable, optional
        Coroutine functions that take the query and return a Page when
        there is new content (long polling).
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
            while await self._serve_request(framing, reader, writer):
                framing.start_next_cycle()
        except (OSError, RemoteProtocolError, LocalProtocolError):
            # The client disconnected or doesn't speak HTTP.
            pass
        finally:
            writer.close()

    async def _serve_request(
        self, framing: Connection, reader: StreamReader, writer: StreamWriter
    ) -> bool:
        """Answer one request; return whether to keep the connection."""
        page = Page(400)
        while True:
            event = framing.next_event()
            if event is NEED_DATA:
                framing.receive_data(await reader.read(_READ_BYTES))
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
        make_page = self._pages_by_path.get(path)
        if make_page is None:
            return Page(404)
        return make_page() if request.method == b"GET" else Page(405)


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
