"""The callers' side over mysql-mimic: connections, keys, errors.

One connection carries one caller. Statements go to a
:class:`StatementHandler`; what comes back is written as MySQL packets.
"""

from asyncio import (
    AbstractServer,
    CancelledError,
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    current_task,
    gather,
    start_server,
    timeout as time_limit,
)
from collections.abc import AsyncGenerator, Callable
from hashlib import sha1
from io import BytesIO
from secrets import choice
from ssl import SSLContext
from string import ascii_letters, digits
from typing import Any, Protocol

from expression import Result
from loguru import logger
from mode import Service
from mysql_mimic import ResultSet, Session, packets
from mysql_mimic.auth import (
    AuthInfo,
    Forbidden,
    IdentityProvider,
    NativePasswordAuthPlugin,
    Success,
    User,
)
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.control import LocalControl
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import ServerStatus, read_uint_4, uint_len
from mysql_mimic.utils import aiterate

from redwingpost.adapters.mysql_guards import (
    MAX_LONG_DATA_BYTES,
    is_whole_change_user,
    is_whole_handshake,
)
from redwingpost.adapters.mysql_prepared import (
    ValueType,
    count_placeholders,
    decode_text,
    read_execution,
)
from redwingpost.adapters.mysql_values import make_result_set
from redwingpost.core import Code, MemberError, Refusal
from redwingpost.ports import StatementResult

#: Seconds a client has for the handshake. Without a limit a scanner that
#: connects and says nothing would hold a connection for ever.
HANDSHAKE_LIMIT_S = 10.0

#: Bytes of one caller packet; MySQL's own default for a replica-safe
#: statement is 64 MiB, plans and schedules stay far below 16 MiB.
MAX_PACKET_BYTES = 16 * 1024 * 1024

#: Bytes of a packet before the key is checked: a stranger gets no more.
MAX_HANDSHAKE_BYTES = 64 * 1024

#: Prepared statements of one connection. MySQL allows 16,382 in a whole
#: server; a caller that prepares without closing is stopped here.
MAX_PREPARED = 1024

#: Limit of a stream that takes no further packet, not even an empty one.
_CUT_OFF = -1

_TOO_MANY_PREPARED = 1461
_NONCE_LETTERS = ascii_letters + digits
_NONCE_LENGTH = 20
_ACCESS_DENIED = 1045
_HEADER_BYTES = 4

#: Answer to a statement: a result, a refusal of ours, a member's error.
Answer = Result[StatementResult, Refusal | MemberError]


class StatementHandler(Protocol):
    """What the proxy does for one caller's connection."""

    async def handle(self, sql: str, attributes: dict[str, str]) -> Answer:
        """Run a statement."""

    async def use(self, group: str) -> Result[None, Refusal]:
        """Change the connection's database group."""

    async def reset(self) -> None:
        """Forget the connection's state, as COM_RESET_CONNECTION asks."""

    async def close(self) -> None:
        """Roll back what is open: the client is gone."""

    @property
    def in_transaction(self) -> bool:
        """Say whether a transaction is open."""

    @property
    def autocommit(self) -> bool:
        """Say whether each statement commits by itself."""


class Authenticator(Protocol):
    """Looks up an organisation's keys."""

    def key_hashes(self, organisation: str) -> tuple[str, ...]:
        """Return SHA1(SHA1(key)) in hex of each valid key."""


#: Makes the handler: organisation, key hash, database group, connection.
HandlerFactory = Callable[[str, str, str, int], StatementHandler]


class KeyAuthPlugin(NativePasswordAuthPlugin):
    """MySQL's native password check against all valid keys.

    The name it reports carries the hash of the key that matched, so that
    a later withdrawal can be told from the organisation's other keys.
    """

    def __init__(self, authenticator: Authenticator) -> None:
        self._authenticator = authenticator

    async def auth(
        self, auth_info: AuthInfo | None = None
    ) -> AsyncGenerator[Any, AuthInfo]:
        """Drive the exchange; yields what the library sends."""
        if auth_info and auth_info.handshake_auth_data:
            nonce = auth_info.handshake_auth_data.rstrip(b"\x00")
        else:
            nonce = _make_nonce()
            auth_info = yield nonce + b"\x00"
        name = auth_info.user.name
        key_hash = self._match(name, auth_info.data, nonce)
        if key_hash is None:
            yield Forbidden(Refusal(Code.WRONG_KEY).describe())
        else:
            yield Success(f"{key_hash}:{name}")

    def _match(self, name: str, scramble: bytes, nonce: bytes) -> str | None:
        for key_hash in self._authenticator.key_hashes(name):
            if _scramble_matches(key_hash, scramble, nonce):
                return key_hash
        return None


def _make_nonce() -> bytes:
    return "".join(
        choice(_NONCE_LETTERS) for _ in range(_NONCE_LENGTH)
    ).encode()


def _scramble_matches(key_hash: str, scramble: bytes, nonce: bytes) -> bool:
    if len(scramble) != _NONCE_LENGTH:
        return False
    stored = bytes.fromhex(key_hash)
    mask = sha1(nonce + stored).digest()
    stage_one = bytes(a ^ b for a, b in zip(scramble, mask))
    return sha1(stage_one).digest() == stored


class KeyIdentityProvider(IdentityProvider):
    """Every user name is asked for its key; unknown ones never match.

    Telling unknown organisations apart would let a stranger list them.
    """

    def __init__(self, authenticator: Authenticator) -> None:
        self._plugin = KeyAuthPlugin(authenticator)

    def get_plugins(self) -> list[KeyAuthPlugin]:
        """Return the one plugin."""
        return [self._plugin]

    async def get_user(self, username: str) -> User:
        """Return a user of that name."""
        return User(name=username, auth_plugin=self._plugin.name)


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
        self.start_tls = stream.start_tls

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


class CallerConnection(Connection):
    """A connection that checks its key and reports writes whole."""

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        # Drivers skip SET autocommit where the greeting already says it.
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self._types_by_statement: dict[int, tuple[ValueType, ...]] = {}

    @property
    def client_charset(self) -> CharacterSet:
        """Latin-1, which keeps every byte until the session decodes it.

        A blob inside a literal isn't UTF-8; the library's strict decoding
        would refuse the statement.
        """
        return CharacterSet.latin1

    async def authenticate(self, *args: Any, **kwargs: Any) -> None:
        """Check the key; an unproven caller gets no further.

        The library goes on to the command phase after a failed check.
        Without the second check a stranger could send statements: the
        connection is cut instead.
        """
        self.session.username = None
        await super().authenticate(*args, **kwargs)
        if self.session.username is None:
            raise ConnectionClosed()

    async def connection_phase(self) -> None:
        """Run the handshake within its time and size limits."""
        async with time_limit(HANDSHAKE_LIMIT_S):
            await super().connection_phase()
        self.stream.limit = MAX_PACKET_BYTES

    async def handle_change_user(self, data: bytes) -> None:
        """Change the caller: nothing of the former one is kept."""
        if not is_whole_change_user(data):
            self.stream.limit = _CUT_OFF
            raise MysqlError("malformed packet", ErrorCode.MALFORMED_PACKET)
        await self.session.abandon()
        await super().handle_change_user(data)
        self.session.begin()

    async def handle_reset_connection(self, data: bytes) -> None:
        """Forget the state; the library would only answer OK."""
        await self.session.handler.reset()
        await self.stream.write(self.ok())

    async def handle_field_list(self, data: bytes) -> None:
        """Refuse COM_FIELD_LIST, which MySQL has given up."""
        raise MysqlError("unsupported", ErrorCode.UNKNOWN_COM_ERROR)

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Keep a value for an execution, within the connection's bound.

        Such a packet isn't answered, so a caller that sends too much is
        cut off at its next packet.
        """
        await super().handle_stmt_send_long_data(data)
        held = sum(
            len(buffer)
            for statement in self.prepared_stmts.values()
            for buffer in (statement.param_buffers or {}).values()
        )
        if held > MAX_LONG_DATA_BYTES:
            self.stream.limit = _CUT_OFF

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement; it runs when it is executed."""
        sql = decode_text(data)
        statement = PreparedStatement(
            stmt_id=next(self.prepared_stmt_seq),
            sql=sql,
            num_params=count_placeholders(sql),
        )
        if len(self.prepared_stmts) >= MAX_PREPARED:
            detail = f"more than {MAX_PREPARED} prepared statements"
            raise MysqlError(detail, _TOO_MANY_PREPARED)
        self.prepared_stmts[statement.stmt_id] = statement
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement with its values as safe literals."""
        number = int.from_bytes(data[:4], "little")
        statement = self.get_stmt(number)
        buffers = statement.param_buffers or {}
        statement.param_buffers = None
        execution = read_execution(
            data[4:],
            self.capabilities,
            statement.sql,
            self._types_by_statement.get(number, ()),
            buffers,
        )
        self._types_by_statement[number] = execution.types
        result_set = await self.session.run(
            execution.sql, execution.attributes
        )
        if result_set is None:
            await self.stream.write(self.ok())
            return
        await self._write_binary(result_set, statement, execution.use_cursor)

    async def _write_binary(
        self, results: ResultSet, statement: PreparedStatement, cursor: bool
    ) -> None:
        write = self.stream.write
        await write(uint_len(len(results.columns)), drain=False)
        for column in results.columns:
            packet = packets.make_column_definition_41(
                server_charset=self.server_charset,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
            await write(packet, drain=False)
        rows = (
            packets.make_binary_resultrow(row, results.columns)
            for row in results.rows
        )
        if cursor:
            statement.cursor = aiterate(rows)
            flags = ServerStatus.SERVER_STATUS_CURSOR_EXISTS
            await write(self.ok_or_eof(flags=flags))
            return
        if not self.deprecate_eof():
            await write(self.eof(), drain=False)
        for packet in rows:
            await write(packet, drain=False)
        await write(self.ok_or_eof())

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Drop sent values and the cursor, not the transaction."""
        statement = self.get_stmt(read_uint_4(BytesIO(data)))
        statement.param_buffers = None
        statement.cursor = None
        await self.stream.write(self.ok())

    async def handle_stmt_close(self, data: bytes) -> None:
        """Forget a prepared statement."""
        await super().handle_stmt_close(data)
        self._types_by_statement.pop(int.from_bytes(data[:4], "little"), None)

    def ok(self, **kwargs: Any) -> bytes:
        """Return an OK packet with what the last write reported."""
        result = self.session.take_result()
        if result is not None and "affected_rows" not in kwargs:
            kwargs["affected_rows"] = result.affected_rows
            kwargs["last_insert_id"] = result.last_insert_id
        return super().ok(**kwargs)


class CallerSession(Session):
    """The library's session, delegating to a statement handler."""

    handler: StatementHandler

    def __init__(self, make_handler: HandlerFactory) -> None:
        super().__init__()
        self._make_handler = make_handler
        self._result: StatementResult | None = None
        self._started = False

    async def init(self, connection: Connection) -> None:
        """Start the caller's handler once the key has been proven."""
        await super().init(connection)
        self.begin()

    def begin(self) -> None:
        """Make a handler for the organisation whose key was proven."""
        key_hash, _, organisation = self.username.partition(":")
        self.handler = self._make_handler(
            organisation,
            key_hash,
            self.database or "",
            self.connection.connection_id,
        )
        self._started = True

    def take_result(self) -> StatementResult | None:
        """Return the last plain result once."""
        result, self._result = self._result, None
        return result

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Run a statement that the library read as Latin-1."""
        attributes = {
            _decode_latin1(name): _decode_latin1(str(value))
            for name, value in attrs.items()
        }
        return await self.run(_decode_latin1(sql), attributes)

    async def run(self, sql: str, attrs: dict[str, str]) -> ResultSet | None:
        """Run a statement through the handler."""
        answer = await self.handler.handle(sql, attrs)
        self._show_transaction()
        if answer.is_error():
            raise _make_error(answer.error)
        result = answer.ok
        self._result = None if result.columns else result
        return make_result_set(result)

    def _show_transaction(self) -> None:
        flags = ServerStatus(0)
        if self.handler.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.handler.in_transaction:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.connection.status_flags = flags

    async def use(self, database: str) -> None:
        """Change the database group."""
        database = _decode_latin1(database)
        used = await self.handler.use(database)
        if used.is_error():
            raise _make_error(used.error)
        self.database = database

    async def abandon(self) -> None:
        """Drop the handler with whatever it has open."""
        if self._started:
            self._started = False
            await self.handler.close()

    async def close(self) -> None:
        """Drop the handler: the client is gone."""
        await self.abandon()
        await super().close()


def _decode_latin1(text: str) -> str:
    return decode_text(text.encode("latin-1", "replace"))


def _make_error(error: Refusal | MemberError) -> MysqlError:
    if isinstance(error, MemberError):
        return MysqlError(error.message, error.number)
    return MysqlError(error.describe(), error.code.number)


def _no_tls() -> None:
    return None


class CallerServer(Service):
    """Listens for callers.

    Parameters
    ----------
    ip, port : str, int
        Where to listen; port 0 takes a free one.
    authenticator : Authenticator
        The valid keys.
    make_handler : callable
        Makes the handler of a connection.
    tls : callable, optional
        Returns the context to offer TLS with, or None. Asked at each
        connection, so that a renewed certificate needs no restart.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        authenticator: Authenticator,
        make_handler: HandlerFactory,
        tls: Callable[[], SSLContext | None] = _no_tls,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._ip = ip
        self._port = port
        self._make_handler = make_handler
        self._identities = KeyIdentityProvider(authenticator)
        self._control = LocalControl(server_id=1)
        self._tls = tls
        self._server: AbstractServer | None = None
        self._tasks: set[Task] = set()

    @property
    def port(self) -> int:
        """Return the port in use."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._tasks)

    async def on_start(self) -> None:
        """Open the listening socket."""
        self._server = await start_server(
            self._accept, self._ip, self._port, backlog=4096
        )

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if self._server is not None:
            self._server.close()

    async def on_stop(self) -> None:
        """Close the socket and every connection."""
        self.stop_accepting()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)

    def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        # A plain function: the stream library logs a traceback for each
        # coroutine of its own that is cancelled, which a planned stop
        # does to every connection.
        task = create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        connection = CallerConnection(
            stream=BoundedStream(reader, writer),
            session=CallerSession(self._make_handler),
            control=self._control,
            identity_provider=self._identities,
            ssl=self._tls(),
        )
        connection.connection_id = await self._control.add(connection)
        try:
            await connection.start()
        except (ConnectionClosed, OSError, EOFError, IncompleteReadError):
            logger.debug("connection {} ended", connection.connection_id)
        except (TimeoutError, MysqlError):
            logger.info("connection {}: no handshake", current_task())
        except CancelledError:
            logger.debug("connection {} stopped", connection.connection_id)
        except Exception:
            logger.exception("connection {}", connection.connection_id)
        finally:
            writer.close()
            await self._control.remove(connection.connection_id)
