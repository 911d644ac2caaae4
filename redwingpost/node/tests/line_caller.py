"""A caller of the line protocol, for tests."""

from asyncio import StreamReader, StreamWriter, open_connection
from typing import NamedTuple


class Told(NamedTuple):
    """The outcome of a statement; ``code`` is empty after a success.

    ``state`` is the session's state as sent with ``READY``.
    """

    rows: tuple[str, ...]
    code: str
    state: str
    proof: str = ""


class LineCaller:
    """One connection and its session."""

    def __init__(self, reader: StreamReader, writer: StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._number = 0

    @classmethod
    async def connect(cls, ip: str, port: int) -> "LineCaller":
        """Open a connection without a session."""
        return cls(*await open_connection(ip, port))

    async def start(self, database: str, key: str) -> str:
        """Open the session; return "READY" or the refusal's code."""
        self.send(f"STARTUP {database} {key}")
        keyword, _, rest = (await self.line()).partition(" ")
        return keyword if keyword == "READY" else rest.partition(" ")[0]

    async def run(self, text: str) -> Told:
        """Run a statement with a new id."""
        self._number += 1
        return await self.run_as(f"r{id(self):x}{self._number}", text)

    async def run_as(self, request: str, text: str) -> Told:
        """Run a statement under an id."""
        self.send(f"QUERY {request} {text}")
        rows = []
        code = proof = ""
        while True:
            keyword, _, rest = (await self.line()).partition(" ")
            if keyword == "DATAROW":
                rows.append(rest)
            elif keyword == "COMPLETE":
                proof = rest
            elif keyword == "ERROR":
                code = rest.partition(" ")[0]
            elif keyword == "READY":
                return Told(tuple(rows), code, rest[:1], proof)

    def send(self, line: str) -> None:
        """Send a line."""
        self._writer.write(f"{line}\r\n".encode("latin-1"))

    async def line(self) -> str:
        """Return the next line."""
        raw = await self._reader.readuntil(b"\r\n")
        return raw[:-2].decode("latin-1")

    def close(self) -> None:
        """Close the connection without a message."""
        self._writer.close()
