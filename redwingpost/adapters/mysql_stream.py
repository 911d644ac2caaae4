"""Packets of a caller's connection: bounded, and over TLS if asked."""

from asyncio import StreamReader, StreamWriter, get_running_loop
from asyncio.sslproto import SSLProtocol
from ssl import SSLContext

from mysql_mimic.stream import ConnectionClosed, MysqlStream

from redwingpost.adapters.mysql_guards import is_whole_handshake

#: Seconds a client has for the handshake. Without a limit a scanner that
#: connects and says nothing would hold a connection for ever.
HANDSHAKE_LIMIT_S = 10.0

#: Bytes of one caller packet; MySQL's own default for a replica-safe
#: statement is 64 MiB, plans and schedules stay far below 16 MiB.
MAX_PACKET_BYTES = 16 * 1024 * 1024

#: Bytes of a packet before the key is checked: a stranger gets no more.
MAX_HANDSHAKE_BYTES = 64 * 1024

#: Limit of a stream that takes no further packet, not even an empty one.
_CUT_OFF = -1

_HEADER_BYTES = 4


class BoundedStream:
    """Packets of bounded size.

    The library joins continuation packets without limit, so that one
    client could fill the memory; it is cut off instead. The library's
    stream is compiled and can't be inherited from, so it is wrapped.
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
                if in_handshake and not is_whole_handshake(data):
                    raise ConnectionClosed()
                return data

    def cut_off(self) -> None:
        """Take no further packet, not even an empty one."""
        self.limit = _CUT_OFF

    async def start_tls(self, context: SSLContext) -> None:
        """Go on over TLS.

        A driver doesn't wait between its request for TLS and the first
        bytes of it. Where both arrive together the reader has them, and
        the loop's own ``start_tls`` would wait for bytes that have come:
        the handshake fails now and then, above all on a busy VM. So what
        has been read is handed to the TLS protocol first.
        """
        hello = await self._reader.read(MAX_HANDSHAKE_BYTES)
        if not hello:
            raise ConnectionClosed()
        transport = self._writer.transport
        loop = get_running_loop()
        done = loop.create_future()
        protocol = SSLProtocol(
            loop,
            transport.get_protocol(),
            context,
            done,
            server_side=True,
            call_connection_made=False,
            ssl_handshake_timeout=HANDSHAKE_LIMIT_S,
        )
        transport.pause_reading()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        protocol.get_buffer(len(hello))[: len(hello)] = hello
        protocol.buffer_updated(len(hello))
        transport.resume_reading()
        await done
        # Streams have no public way to change their transport either.
        self._writer._transport = protocol._app_transport
        self._reader._transport = protocol._app_transport
