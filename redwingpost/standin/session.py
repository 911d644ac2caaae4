"""A driver's session on a member, which runs all its statements."""

from asyncio import CancelledError
from datetime import datetime
from re import IGNORECASE, compile as compile_pattern
from sqlite3 import Error as StoreError, Warning as StoreWarning
from typing import Any

from mysql_mimic import ResultColumn, ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.types import ServerStatus
from mysql_mimic.variables import GlobalVariables, SessionVariables

from redwingpost.standin.columns import (
    converter,
    declared_column,
    inferred_column,
)
from redwingpost.standin.connection import MemberConnection, decode_statement
from redwingpost.standin.control import find_control
from redwingpost.standin.dialect import Statement, translate
from redwingpost.standin.mysql_errors import (
    SYNTAX,
    MemberError,
    from_store,
    read_only,
)
from redwingpost.standin.plans import DEFINITIONS, READS, WRITES
from redwingpost.standin.session_statements import find_session_statement
from redwingpost.standin.statement_values import SessionValues
from redwingpost.standin.transactions import Transaction

_STORE_ERRORS = (StoreError, StoreWarning, OverflowError, ValueError)
_FROM = compile_pattern(r"\bFROM\b", IGNORECASE)
_INSERTED_TABLE = compile_pattern(r"\bINTO\s+(`[^`]+`|[\w$]+)", IGNORECASE)


class MemberSession(BaseSession):
    """A connection's state: transaction, variables, last results."""

    def __init__(self, member: Any) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self.member = member
        self.generation = member.generation
        self.transaction = Transaction(member)
        self.connection: MemberConnection | None = None
        self.user_variables: dict[str, Any] = {}
        self.system_variables: dict[str, Any] = {}
        self.autocommit = True
        self.last_insert_id = 0
        self.row_count = 0
        self._result = (0, 0)

    async def init(self, connection: MemberConnection) -> None:
        """Set the connection after the handshake."""
        self.connection = connection
        self._publish_status()

    async def close(self) -> None:
        """Roll back an open transaction and close the store connection."""
        self.transaction.close()

    def take_result(self) -> tuple[int, int]:
        """Return affected rows and last insert id of the last write."""
        result, self._result = self._result, (0, 0)
        return result

    def clear(self) -> None:
        """Reset the session to the state of a new connection."""
        self.transaction.renew()
        self.user_variables.clear()
        self.system_variables.clear()
        self.autocommit = True
        self.last_insert_id = self.row_count = 0
        self._publish_status()

    async def handle_query(self, sql: str, attrs: dict[str, str]):
        """Run one statement and return its result set, if any."""
        text = decode_statement(sql)
        await self._wait_while_paused()
        self.member.record_statement(text)
        self._result = (0, 0)
        try:
            answer = await self._dispatch(text)
        finally:
            self._publish_status()
        await self._wait_while_paused()
        if self.member.loses_answer(text):
            self._abort_connection()
        return answer

    async def _wait_while_paused(self) -> None:
        """Wait while the member is paused; abort if it died meanwhile."""
        await self.member.wait_while_paused()
        if self.generation != self.member.generation:
            self._abort_connection()

    def _abort_connection(self) -> None:
        # A cancellation ends the connection's loop without a packet; any
        # other exception would be answered with an error packet.
        self.connection.drop()
        raise CancelledError

    def _publish_status(self) -> None:
        flags = ServerStatus(0)
        if self.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.transaction.is_open:
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        if self.connection is not None:
            self.connection.status_flags = flags

    async def _dispatch(self, text: str):
        control = find_control(text)
        if control is not None:
            run, arguments = control
            return await run(self, *arguments)
        handler = find_session_statement(text)
        if handler is not None:
            return await handler(self, text)
        try:
            statement = translate(text, self.values())
        except (ValueError, RecursionError) as error:
            raise MemberError(SYNTAX, str(error)) from error
        return await self._run(statement)

    def values(self) -> SessionValues:
        """Return the values for functions and variables in a statement."""
        return SessionValues(
            now=datetime.now(),
            last_insert_id=self.last_insert_id,
            row_count=self.row_count,
            connection=self.connection.connection_id,
            database=self.database or "",
            variables=self.user_variables,
            system={**self.system_variables, "hostname": self.member.name},
        )

    async def _run(self, statement: Statement):
        kind = statement.plan.kind
        if not self.autocommit and kind in READS | WRITES:
            self.transaction.begin()
        if kind in READS:
            return await self._read(statement)
        if kind in WRITES:
            return await self._write(statement)
        if kind in DEFINITIONS:
            return await self._define(statement)
        raise MemberError(
            SYNTAX, "You have an error in your SQL syntax near " + repr(kind)
        )

    async def _read(self, statement: Statement) -> ResultSet:
        plan = statement.plan
        sql = plan.statements[0]
        if statement.sleep_s or _FROM.search(sql):
            await self.member.serve_read(statement.sleep_s)
            await self._wait_while_paused()
        if plan.locks and self.transaction.is_open:
            if self.member.term_state.is_primary:
                await self.transaction.lock()
        try:
            cursor = self.transaction.read(sql, statement.parameters)
            rows = cursor.fetchall()
        except _STORE_ERRORS as error:
            raise from_store(error) from error
        return self._result_set(sql, cursor.description or (), rows)

    def _result_set(self, sql: str, description, rows: list) -> ResultSet:
        declared = self.member.store.declared_types(sql)
        columns: list[ResultColumn] = []
        converters = {}
        for index, described in enumerate(description):
            name = described[0]
            kind = declared[index] if index < len(declared) else None
            column = declared_column(name, kind) if kind else None
            if column is None:
                values = [row[index] for row in rows]
                columns.append(inferred_column(name, values))
                continue
            columns.append(column)
            convert = converter(kind)
            if convert is not None:
                converters[index] = convert
        if converters:
            rows = [_converted(row, converters) for row in rows]
        return ResultSet(rows, columns)

    async def _write(self, statement: Statement) -> None:
        if not self.member.term_state.is_primary:
            self.transaction.raise_if_fenced()
            raise read_only()
        in_transaction = self.transaction.is_open
        if self.transaction.is_writing:
            await self.member.serve_step(statement.sleep_s)
        else:
            await self.member.serve_write(statement.sleep_s, in_transaction)
        await self._wait_while_paused()
        await self.transaction.lock()
        await self._wait_while_paused()
        self.transaction.raise_if_fenced()
        try:
            self._execute(statement)
        except _STORE_ERRORS as error:
            if not in_transaction:
                self.transaction.rollback()
            raise from_store(error) from error
        if not in_transaction:
            self.transaction.commit()

    def _execute(self, statement: Statement) -> None:
        plan = statement.plan
        affected = 0
        if plan.probe:
            affected = self._upsert(statement)
        else:
            for sql in plan.statements:
                cursor = self.transaction.execute(sql, statement.parameters)
                affected = max(cursor.rowcount, 0)
                self._record_insert_id(plan.kind, sql, cursor)
        self.row_count = affected
        inserted = self.last_insert_id if plan.kind == "INSERT" else 0
        self._result = (affected, inserted)

    def _upsert(self, statement: Statement) -> int:
        """Insert or update; count an update as two rows, as MySQL does."""
        plan = statement.plan
        count = plan.probe.count("?")
        store = self.transaction.store
        store.execute("SAVEPOINT probe")
        probe_cursor = store.execute(plan.probe, statement.parameters[:count])
        inserted = probe_cursor.rowcount
        store.execute("ROLLBACK TO probe")
        store.execute("RELEASE probe")
        sql = plan.statements[0]
        cursor = self.transaction.execute(sql, statement.parameters)
        self._record_insert_id(plan.kind, sql, cursor)
        return inserted + 2 * (cursor.rowcount - inserted)

    def _record_insert_id(self, kind: str, sql: str, cursor) -> None:
        if kind != "INSERT" or cursor.rowcount < 1:
            return
        match = _INSERTED_TABLE.search(sql)
        table = match.group(1).strip("`") if match else ""
        if self.member.store.has_auto_increment(table, self.transaction.store):
            self.last_insert_id = cursor.lastrowid - cursor.rowcount + 1
        else:
            self.last_insert_id = 0

    async def _define(self, statement: Statement) -> None:
        plan = statement.plan
        if plan.temporary:
            self._define_temporary(plan.statements)
            return
        if not self.member.term_state.is_primary:
            self.transaction.raise_if_fenced()
            raise read_only()
        self.transaction.commit()
        await self.member.serve_write(statement.sleep_s, False)
        await self.transaction.lock()
        await self._wait_while_paused()
        try:
            for sql in plan.statements:
                self.transaction.execute(sql, ())
        except _STORE_ERRORS as error:
            self.transaction.rollback()
            raise from_store(error) from error
        self.transaction.commit()

    def _define_temporary(self, statements: tuple[str, ...]) -> None:
        try:
            for sql in statements:
                self.transaction.store.execute(sql)
        except _STORE_ERRORS as error:
            raise from_store(error) from error


def _converted(row: tuple, converters: dict) -> list:
    changed = list(row)
    for index, convert in converters.items():
        if changed[index] is not None:
            changed[index] = convert(changed[index])
    return changed
