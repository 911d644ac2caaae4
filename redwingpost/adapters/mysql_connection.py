"""One caller's connection over mysql-mimic: commands and answers.

Statements are passed to a :class:`StatementHandler`, and its answers are
written as MySQL packets.
"""

from asyncio import timeout as time_limit
from collections.abc import Callable
from io import BytesIO
from typing import Any, Protocol

from expression import Result
from mysql_mimic import ResultSet, Session, packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import ServerStatus, read_uint_4, uint_len
from mysql_mimic.utils import aiterate

from redwingpost.adapters.mysql_guards import (
    MAX_LONG_DATA_BYTES,
    is_complete_change_user,
)
from redwingpost.adapters.mysql_prepared import (
    ValueType,
    count_placeholders,
    decode_text,
    read_execution,
)
from redwingpost.adapters.mysql_stream import (
    HANDSHAKE_TIMEOUT_S,
    MAX_PACKET_BYTES,
)
from redwingpost.adapters.mysql_values import make_result_set
from redwingpost.core import MemberError, Refusal
from redwingpost.ports import StatementResult

#: Most prepared statements of one connection. MySQL allows 16,382 in a
#: whole server; this limit stops a caller that never closes any.
MAX_PREPARED = 1024

_ER_MAX_PREPARED_STMT_COUNT_REACHED = 1461

#: Answer to a statement: a result, the proxy's refusal or a member's error.
Answer = Result[StatementResult, Refusal | MemberError]


class StatementHandler(Protocol):
    """Runs the commands of one caller's connection."""

    async def handle(self, sql: str, attributes: dict[str, str]) -> Answer:
        """Run a statement."""

    async def use(self, group: str) -> Result[None, Refusal]:
        """Change the connection's database group."""

    async def reset(self) -> None:
        """Reset the connection's state, for COM_RESET_CONNECTION."""

    async def close(self) -> None:
        """Roll back an open transaction after the client disconnected."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""

    @property
    def autocommit(self) -> bool:
        """Whether each statement commits by itself."""


#: Makes a handler from organisation, key hash, database group and the
#: connection's number.
HandlerFactory = Callable[[str, str, str, int], StatementHandler]


class CallerConnection(Connection):
    """A connection that checks its key and reports the result of writes."""

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        # Drivers skip SET autocommit if the greeting has the flag set.
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self._types_by_statement: dict[int, tuple[ValueType, ...]] = {}

    @property
    def client_charset(self) -> CharacterSet:
        """Latin-1, which preserves every byte until the session decodes it.

        The library's strict UTF-8 decoding would reject a statement with
        binary data in a literal.
        """
        return CharacterSet.latin1

    async def authenticate(self, *args: Any, **kwargs: Any) -> None:
        """Check the key and close the connection if it is wrong.

        The library enters the command phase after a failed check. Without
        the check of the user name here, a client without a key could send
        statements, and a failed change of user could continue as the
        former user.
        """
        self.session.username = None
        await super().authenticate(*args, **kwargs)
        if self.session.username is None:
            self.stream.refuse_packets()
            raise ConnectionClosed()

    async def connection_phase(self) -> None:
        """Run the handshake within its limits of time and size."""
        async with time_limit(HANDSHAKE_TIMEOUT_S):
            await super().connection_phase()
        self.stream.limit = MAX_PACKET_BYTES

    async def handle_change_user(self, data: bytes) -> None:
        """Change the caller and discard the former one's state."""
        if not is_complete_change_user(data):
            self.stream.refuse_packets()
            raise MysqlError("malformed packet", ErrorCode.MALFORMED_PACKET)
        await self.session.close_handler()
        await super().handle_change_user(data)
        self.session.start_handler()

    async def handle_reset_connection(self, data: bytes) -> None:
        """Reset the state; the library would only answer OK."""
        await self.session.handler.reset()
        await self.stream.write(self.ok())

    async def handle_field_list(self, data: bytes) -> None:
        """Refuse COM_FIELD_LIST, which MySQL has deprecated."""
        raise MysqlError("unsupported", ErrorCode.UNKNOWN_COM_ERROR)

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Store a value for an execution, within the connection's limit.

        This command has no response, so if the limit is exceeded the
        connection closes at the next packet.
        """
        await super().handle_stmt_send_long_data(data)
        held_bytes = sum(
            len(buffer)
            for statement in self.prepared_stmts.values()
            for buffer in (statement.param_buffers or {}).values()
        )
        if held_bytes > MAX_LONG_DATA_BYTES:
            self.stream.refuse_packets()

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
            raise MysqlError(detail, _ER_MAX_PREPARED_STMT_COUNT_REACHED)
        self.prepared_stmts[statement.stmt_id] = statement
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement with its values as escaped literals."""
        stmt_id = int.from_bytes(data[:4], "little")
        statement = self.get_stmt(stmt_id)
        buffers = statement.param_buffers or {}
        statement.param_buffers = None
        execution = read_execution(
            data[4:],
            self.capabilities,
            statement.sql,
            self._types_by_statement.get(stmt_id, ()),
            buffers,
        )
        self._types_by_statement[stmt_id] = execution.types
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
        """Discard stored values and the cursor, not the transaction."""
        statement = self.get_stmt(read_uint_4(BytesIO(data)))
        statement.param_buffers = None
        statement.cursor = None
        await self.stream.write(self.ok())

    async def handle_stmt_close(self, data: bytes) -> None:
        """Remove a prepared statement."""
        await super().handle_stmt_close(data)
        self._types_by_statement.pop(int.from_bytes(data[:4], "little"), None)

    def ok(self, **kwargs: Any) -> bytes:
        """Return an OK packet with the result of the last write."""
        result = self.session.take_result()
        if result is not None and "affected_rows" not in kwargs:
            kwargs["affected_rows"] = result.affected_rows
            kwargs["last_insert_id"] = result.last_insert_id
        return super().ok(**kwargs)


class CallerSession(Session):
    """A session of the library that delegates to a statement handler."""

    handler: StatementHandler

    def __init__(self, make_handler: HandlerFactory) -> None:
        super().__init__()
        self._make_handler = make_handler
        self._result: StatementResult | None = None
        self._started = False

    async def init(self, connection: Connection) -> None:
        """Start the caller's handler after the key check."""
        await super().init(connection)
        self.start_handler()

    def start_handler(self) -> None:
        """Make a handler for the authenticated organisation."""
        key_hash, _, organisation = self.username.partition(":")
        self.handler = self._make_handler(
            organisation,
            key_hash,
            self.database or "",
            self.connection.connection_id,
        )
        self._started = True

    def take_result(self) -> StatementResult | None:
        """Return and clear the last result without columns."""
        result, self._result = self._result, None
        return result

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Run a statement that the library decoded as Latin-1."""
        attributes = {
            _decode_latin1(name): _decode_latin1(str(value))
            for name, value in attrs.items()
        }
        return await self.run(_decode_latin1(sql), attributes)

    async def run(self, sql: str, attrs: dict[str, str]) -> ResultSet | None:
        """Run a statement through the handler."""
        answer = await self.handler.handle(sql, attrs)
        self._update_status_flags()
        if answer.is_error():
            raise _make_error(answer.error)
        result = answer.ok
        self._result = None if result.columns else result
        return make_result_set(result)

    def _update_status_flags(self) -> None:
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

    async def close_handler(self) -> None:
        """Close the handler and roll back an open transaction."""
        if self._started:
            self._started = False
            await self.handler.close()

    async def close(self) -> None:
        """Close the handler after the client disconnected."""
        await self.close_handler()
        await super().close()


def _decode_latin1(text: str) -> str:
    return decode_text(text.encode("latin-1", "replace"))


def _make_error(error: Refusal | MemberError) -> MysqlError:
    if isinstance(error, MemberError):
        return MysqlError(error.message, error.number)
    return MysqlError(error.describe(), error.code.number)
