"""Packet stream of a caller's connection, with size limits and TLS."""

from asyncio import StreamReader, StreamWriter, get_running_loop
from asyncio.sslproto import SSLProtocol
from ssl import SSLContext

from mysql_mimic.stream import ConnectionClosed, MysqlStream

from redwingpost.adapters.mysql_guards import is_complete_handshake

#: Timeout of the handshake (seconds). Without it a scanner that connects
#: and sends nothing would hold a connection for ever.
HANDSHAKE_TIMEOUT_S = 10.0

#: Most bytes of one packet from a caller. MySQL's default for a
#: replica-safe statement is 64 MiB; callers' largest statements (plans
#: and schedules) stay far below 16 MiB.
MAX_PACKET_BYTES = 16 * 1024 * 1024

#: Most bytes of a packet before the key check, when the client is unknown.
MAX_HANDSHAKE_BYTES = 64 * 1024

#: Limit of a stream that refuses every packet, even an empty one.
_REFUSE_ALL = -1

_HEADER_BYTES = 4


class BoundedStream:
    """A packet stream with a limit on the size of packets.

    The library joins continuation packets without limit, so that one
    client could exhaust the memory; here its connection ends instead.
    The library's stream is compiled and can't be subclassed, so it is
    wrapped.
    """

    def __init__(self, reader: StreamReader, writer: StreamWriter) -> None:
        stream = MysqlStream(reader, writer)
        self.limit = MAX_HANDSHAKE_BYTES
        self._reader = reader
        self._sequence = stream.seq
        self.write = stream.write
        self.write_many = stream.write_many
        self.write_text_rows = stream.write_text_rows
        self.drain = stream.drain
        self.reset_seq = stream.reset_seq
        self._writer = writer

    async def read(self) -> bytes:
        """Return one packet's payload."""
        data = b""
        while True:
            header = await self._reader.read(_HEADER_BYTES)
            if not header:
                raise ConnectionClosed()
            if len(header) < _HEADER_BYTES:
                rest = _HEADER_BYTES - len(header)
                header += await self._reader.readexactly(rest)
            length = int.from_bytes(header[:3], "little")
            if header[3] != next(self._sequence):
                raise ConnectionClosed()
            if len(data) + length > self.limit:
                raise ConnectionClosed()
            data += await self._reader.readexactly(length)
            if length < 0xFFFFFF:
                in_handshake = self.limit == MAX_HANDSHAKE_BYTES
                if in_handshake and not is_complete_handshake(data):
                    raise ConnectionClosed()
                return data

    def refuse_packets(self) -> None:
        """Refuse every further packet, even an empty one."""
        self.limit = _REFUSE_ALL

    async def start_tls(self, context: SSLContext) -> None:
        """Switch the connection to TLS.

        A driver sends the first TLS bytes right after its request for
        TLS. If both arrive together, those bytes are already in the
        reader's buffer, and the loop's own ``start_tls`` would wait for
        them: handshakes would fail now and then, mostly on a busy VM. So
        buffered bytes are passed to the TLS protocol first.
        """
        first_bytes = await self._reader.read(MAX_HANDSHAKE_BYTES)
        if not first_bytes:
            raise ConnectionClosed()
        transport = self._writer.transport
        loop = get_running_loop()
        handshake_done = loop.create_future()
        protocol = SSLProtocol(
            loop,
            transport.get_protocol(),
            context,
            handshake_done,
            server_side=True,
            call_connection_made=False,
            ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
        )
        transport.pause_reading()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        protocol.get_buffer(len(first_bytes))[: len(first_bytes)] = first_bytes
        protocol.buffer_updated(len(first_bytes))
        transport.resume_reading()
        await handshake_done
        # Streams have no public method to change their transport.
        self._writer._transport = protocol._app_transport
        self._reader._transport = protocol._app_transport
