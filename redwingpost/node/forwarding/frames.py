"""Framing of messages between VMs: a length, then the message."""

from asyncio import StreamReader, StreamWriter

#: Size of the length before each message, in bytes.
_LENGTH_BYTES = 4

#: Maximum size of a message in bytes: a session's values
#: (``statements.session.MAX_BYTES``), a statement with its argument and its
#: prepared text (1 MiB each), and the other fields.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class FrameError(Exception):
    """The length before a message is out of range."""


async def read_frame(reader: StreamReader) -> bytes:
    """Return the next message.

    Raises
    ------
    FrameError
        If its length is 0 or above ``MAX_MESSAGE_BYTES``.
    """
    head = await reader.readexactly(_LENGTH_BYTES)
    length = int.from_bytes(head, "big")
    if not 0 < length <= MAX_MESSAGE_BYTES:
        raise FrameError(f"{length} bytes")
    return await reader.readexactly(length)


def write_frame(writer: StreamWriter, body: bytes) -> None:
    """Send a message."""
    writer.write(len(body).to_bytes(_LENGTH_BYTES, "big") + body)
