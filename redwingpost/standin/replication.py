"""Replication between members: replicas pull over TCP.

A follower asks for the entries beyond its log and tells its history; the
primary holds the question until there are some, or a moment. The answer
carries the primary's head: once a follower has applied it, its data are
no older than the moment it *asked*.
"""

from asyncio import (
    StreamReader,
    StreamWriter,
    open_connection,
    timeout as time_limit,
)
from struct import Struct
from typing import NamedTuple

from msgspec.msgpack import Decoder, Encoder

from redwingpost.core import Position
from redwingpost.standin.replication_log import (
    LogEntry,
    ReplicationLog,
    common_index,
)

_LENGTH = Struct("<I")
_ENCODER = Encoder()

#: Entries in one answer; bounds what a follower applies in one go.
BATCH = 500

#: A pull that isn't answered for so long is asked again on a new
#: connection: without it a follower of a member that died without a
#: word would wait forever and its age would only grow. Seconds.
PULL_TIMEOUT_S = 2.0


class Pull(NamedTuple):
    """A follower's question."""

    member: str
    term: int
    length: int
    applied: int
    history: tuple[Position, ...]


class PullAnswer(NamedTuple):
    """The primary's answer.

    ``keep`` is the index up to which the follower's log is the
    primary's; entries follow it. ``image`` is set where the follower has
    applied more than that: the primary's data at the last entry.
    """

    refused: bool
    term: int = 0
    keep: int = 0
    entries: tuple[LogEntry, ...] = ()
    head: int = 0
    image: bytes = b""


_PULLS = Decoder(Pull)
_ANSWERS = Decoder(PullAnswer)


def answer_pull(pull: Pull, log: ReplicationLog, term: int) -> PullAnswer:
    """Return the entries that a follower lacks (image still unset).

    Examples
    --------
    >>> log = ReplicationLog()
    >>> _ = log.append(LogEntry(1))
    >>> answer_pull(Pull("b", 1, 0, 0, ()), log, 1).entries
    (LogEntry(term=1, statements=()),)
    """
    keep = common_index(pull.history, pull.length, log.history, len(log))
    limit = len(log) if keep < pull.applied else BATCH
    entries = tuple(log.after(keep, limit))
    return PullAnswer(False, term, keep, entries, len(log))


async def send_frame(writer: StreamWriter, message: tuple) -> None:
    """Write a message with its length before it."""
    body = _ENCODER.encode(message)
    writer.write(_LENGTH.pack(len(body)) + body)
    await writer.drain()


async def _read_frame(reader: StreamReader) -> bytes:
    head = await reader.readexactly(_LENGTH.size)
    return await reader.readexactly(_LENGTH.unpack(head)[0])


async def read_pull(reader: StreamReader) -> Pull:
    """Read a follower's question."""
    return _PULLS.decode(await _read_frame(reader))


class PullChannel:
    """A follower's connection to the primary.

    Parameters
    ----------
    own_ip : str
        The follower's address, which link faults are judged by.
    ip, port : str, int
        Where the primary answers pulls.
    """

    def __init__(self, own_ip: str, ip: str, port: int) -> None:
        self._own_ip = own_ip
        self._address = (ip, port)
        self._reader: StreamReader | None = None
        self._writer: StreamWriter | None = None

    async def ask(self, pull: Pull) -> PullAnswer:
        """Send a pull and return its answer.

        Raises
        ------
        OSError, EOFError, TimeoutError
            If no whole answer came; the channel is closed then.
        """
        try:
            async with time_limit(PULL_TIMEOUT_S):
                return await self._ask(pull)
        except BaseException:
            self.close()
            raise

    async def _ask(self, pull: Pull) -> PullAnswer:
        if self._writer is None:
            ip, port = self._address
            self._reader, self._writer = await open_connection(
                ip, port, local_addr=(self._own_ip, 0)
            )
        await send_frame(self._writer, pull)
        return _ANSWERS.decode(await _read_frame(self._reader))

    def close(self) -> None:
        """Drop the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
