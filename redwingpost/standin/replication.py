"""Replication between members: replicas pull over TCP.

A follower requests the entries after its log and sends its history. The
primary delays the answer until it has such entries, for at most
``pull_hold_ms``. The answer contains the index of the primary's last
entry (``head``): once the follower has applied it, its data are no older
than the time at which it *sent* the request.
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

_FRAME_LENGTH = Struct("<I")
_ENCODER = Encoder()

#: Entries in one answer; bounds what a follower receives at once.
MAX_ANSWER_ENTRIES = 500

#: Seconds after which an unanswered pull is sent again on a new
#: connection. Without a timeout the follower of a member that crashed without
#: closing its connection would wait forever while its data grow older.
PULL_TIMEOUT_S = 2.0


class Pull(NamedTuple):
    """A follower's request for entries after its log."""

    member: str
    term: int
    length: int
    applied: int
    history: tuple[Position, ...]


class PullAnswer(NamedTuple):
    """The primary's answer to a pull.

    ``keep`` is the last index up to which the follower's log equals the
    primary's; ``entries`` start after it. ``image``, the primary's data
    at the last entry, is set if the follower has applied entries after
    ``keep``.
    """

    refused: bool
    term: int = 0
    keep: int = 0
    entries: tuple[LogEntry, ...] = ()
    head: int = 0
    image: bytes = b""


_PULL_DECODER = Decoder(Pull)
_ANSWER_DECODER = Decoder(PullAnswer)


def answer_pull(pull: Pull, log: ReplicationLog, term: int) -> PullAnswer:
    """Return the entries that a follower lacks, without an image.

    Examples
    --------
    >>> log = ReplicationLog()
    >>> _ = log.append(LogEntry(1))
    >>> answer_pull(Pull("b", 1, 0, 0, ()), log, 1).entries
    (LogEntry(term=1, statements=()),)
    """
    keep = common_index(pull.history, pull.length, log.history, len(log))
    limit = len(log) if keep < pull.applied else MAX_ANSWER_ENTRIES
    entries = tuple(log.after(keep, limit))
    return PullAnswer(False, term, keep, entries, len(log))


async def send_frame(writer: StreamWriter, message: tuple) -> None:
    """Write a message, preceded by its length."""
    body = _ENCODER.encode(message)
    writer.write(_FRAME_LENGTH.pack(len(body)) + body)
    await writer.drain()


async def _read_frame(reader: StreamReader) -> bytes:
    head = await reader.readexactly(_FRAME_LENGTH.size)
    return await reader.readexactly(_FRAME_LENGTH.unpack(head)[0])


async def read_pull(reader: StreamReader) -> Pull:
    """Read a follower's request."""
    return _PULL_DECODER.decode(await _read_frame(reader))


class PullChannel:
    """A follower's connection to the primary.

    Parameters
    ----------
    own_ip : str
        The follower's address, by which link faults are selected.
    ip, port : str, int
        The primary's replication port.
    """

    def __init__(self, own_ip: str, ip: str, port: int) -> None:
        self._own_ip = own_ip
        self._address = (ip, port)
        self._reader: StreamReader | None = None
        self._writer: StreamWriter | None = None

    async def request(self, pull: Pull) -> PullAnswer:
        """Send a pull and return its answer.

        Raises
        ------
        OSError, EOFError, TimeoutError
            If no complete answer arrived; the channel is closed then.
        """
        try:
            async with time_limit(PULL_TIMEOUT_S):
                return await self._request(pull)
        except BaseException:
            self.close()
            raise

    async def _request(self, pull: Pull) -> PullAnswer:
        if self._writer is None:
            ip, port = self._address
            self._reader, self._writer = await open_connection(
                ip, port, local_addr=(self._own_ip, 0)
            )
        await send_frame(self._writer, pull)
        return _ANSWER_DECODER.decode(await _read_frame(self._reader))

    def close(self) -> None:
        """Abort the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
