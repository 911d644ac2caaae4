"""Messages on a connection between VMs: a length, then the message."""

from asyncio import StreamReader, StreamWriter

#: Bytes of the length before each message.
_LENGTH_BYTES = 4

#: Bytes of a message at most: the largest statement or row, and the rest.
MAX_BYTES = 4 * 1024 * 1024


class FrameError(Exception):
    """A length that no message has."""


async def read_frame(reader: StreamReader) -> bytes:
    """Return the next message.

    Raises
    ------
    FrameError
        Where its length can't be right.
    """
    head = await reader.readexactly(_LENGTH_BYTES)
    length = int.from_bytes(head, "big")
    if not 0 < length <= MAX_BYTES:
        raise FrameError(f"{length} bytes")
    return await reader.readexactly(length)


def write_frame(writer: StreamWriter, body: bytes) -> None:
    """Send a message."""
    writer.write(len(body).to_bytes(_LENGTH_BYTES, "big") + body)
