"""A small HTTP/1.1 server on asyncio streams."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit


class Request:
    """A request; ``peer`` is the address that it came from."""

    def __init__(self, method, target, headers, body, peer):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body
        self.peer = peer


class HttpServer:
    """Answers with what ``handle(request)`` returns: (status, value).

    A status of None ends the connection without an answer. ``headers()``
    returns the headers of each answer.
    """

    def __init__(self, handle, headers=dict):
        self._handle = handle
        self._headers = headers
        self._server = None
        self._writers = set()

    async def start(self, ip):
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        return self._server.sockets[0].getsockname()[1]

    def drop_connections(self):
        """End all open connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def close(self):
        """Stop listening and end all connections."""
        self._server.close()
        self.drop_connections()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        peer = writer.get_extra_info("peername")[0]
        status, value = await self._handle(
            Request(method, target, headers, body, peer)
        )
        if status is None:
            return False
        text = json.dumps(value).encode() if value is not None else b""
        fields = {
            **self._headers(),
            "Content-Type": "application/json",
            "Content-Length": str(len(text)),
        }
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
        await writer.drain()
        return True
