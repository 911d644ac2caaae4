"""Statements on the session: BEGIN, COMMIT, SET, SHOW and others."""

from collections.abc import Awaitable, Callable
from re import IGNORECASE, compile as compile_pattern, match as match_pattern
from sqlite3 import Error as StoreError
from typing import Any

from mysql_mimic import ResultColumn, ResultSet
from mysql_mimic.types import ColumnType

from redwingpost.core import Registry
from redwingpost.standin.ddl import split_list
from redwingpost.standin.dialect import translate
from redwingpost.standin.mysql_errors import from_store

Handler = Callable[[Any, str], Awaitable[ResultSet | None]]

STATEMENTS: Registry[Handler] = Registry("session statement")

_FIRST_WORD = compile_pattern(r"(?:\s|/\*.*?\*/)*(\w+)", IGNORECASE)
_ASSIGNMENT = compile_pattern(
    r"(?is)^\s*(?P<scope>@@(?:session|global)?\.?|@|session\s+|global\s+)?"
    r"(?P<name>[\w.$]+)\s*:?=\s*(?P<value>.+?)\s*$"
)

_ISOLATION = compile_pattern(
    r"(?is)(?:session\s+|global\s+)?transaction\s+isolation" r"\s+level\s+(.+)"
)


def find_session_statement(text: str) -> Handler | None:
    """Return the handler of a session statement, None for any other."""
    match = _FIRST_WORD.match(text)
    word = match.group(1).upper() if match else ""
    return STATEMENTS.get(word) if word in _STATEMENT_NAMES else None


@STATEMENTS.register("BEGIN")
async def begin(session: Any, text: str) -> None:
    """Open a transaction; MySQL commits an open one first."""
    await commit(session, text)
    session.transaction.begin()


STATEMENTS.register("START")(begin)


@STATEMENTS.register("COMMIT")
async def commit(session: Any, text: str) -> None:
    """Commit; hold a slot for the commit if anything was written."""
    if session.transaction.commit():
        await session.member.serve_write(0.0, False)


@STATEMENTS.register("ROLLBACK")
async def rollback(session: Any, text: str) -> None:
    """Undo the transaction, or the part after a savepoint."""
    partial = match_pattern(
        r"(?is)\s*ROLLBACK\s+(?:WORK\s+)?TO\s+(?:SAVEPOINT\s+)?`?(\w+)", text
    )
    if partial is None:
        session.transaction.rollback()
        return
    await _savepoint(session, f"ROLLBACK TO `{partial.group(1)}`")


@STATEMENTS.register("SAVEPOINT")
async def savepoint(session: Any, text: str) -> None:
    """Set a savepoint inside the open transaction."""
    name = text.split()[-1].strip("`;")
    if session.transaction.is_open:
        await _savepoint(session, f"SAVEPOINT `{name}`")


@STATEMENTS.register("RELEASE")
async def release(session: Any, text: str) -> None:
    """Release a savepoint."""
    name = text.split()[-1].strip("`;")
    await _savepoint(session, f"RELEASE `{name}`")


async def _savepoint(session: Any, sql: str) -> None:
    await session.transaction.lock()
    try:
        session.transaction.execute(sql, ())
    except StoreError as error:
        raise from_store(error) from error


@STATEMENTS.register("SET")
async def assign(session: Any, text: str) -> None:
    """Set user and system variables; store unknown ones unchecked."""
    body = text.strip().rstrip(";")[3:].strip()
    isolation = _ISOLATION.match(body)
    if isolation is not None:
        level = "-".join(isolation.group(1).upper().split())
        session.system_variables["transaction_isolation"] = level
        return
    if match_pattern(r"(?i)(names|character\s+set)\b", body):
        return
    for part in split_list(body):
        match = _ASSIGNMENT.match(part)
        if match is not None:
            _assign(session, match)


def _assign(session: Any, match) -> None:
    name = match["name"].lower().rpartition(".")[2]
    value = _evaluate(session, match["value"])
    if (match["scope"] or "") == "@":
        session.user_variables[match["name"].lower()] = value
    elif name == "autocommit":
        _set_autocommit(session, str(value).upper() in ("1", "ON", "TRUE"))
    else:
        session.system_variables[name] = value


def _set_autocommit(session: Any, enabled: bool) -> None:
    if enabled and not session.autocommit:
        session.transaction.commit()
    session.autocommit = enabled


def _evaluate(session: Any, expression: str) -> Any:
    statement = translate(f"SELECT {expression}", session.values())
    sql = statement.plan.statements[0]
    try:
        row = session.transaction.store.execute(sql, statement.parameters)
        return row.fetchone()[0]
    except StoreError:
        return expression.strip("'\"")


@STATEMENTS.register("USE")
async def use(session: Any, text: str) -> None:
    """Select a database; a member has only one, so any name is accepted."""
    session.database = text.split()[-1].strip("`;")


@STATEMENTS.register("SHOW")
async def show(session: Any, text: str) -> ResultSet:
    """Answer SHOW TABLES; any other SHOW returns no rows."""
    rows = []
    if match_pattern(r"(?i)\s*SHOW\s+(?:FULL\s+)?TABLES", text):
        rows = session.transaction.store.execute(
            "SELECT name FROM sqlite_master WHERE type = 'table'"
            " AND name NOT LIKE 'sqlite_%' ORDER BY name"
        ).fetchall()
    column = ResultColumn("Tables_in_group", ColumnType.VAR_STRING)
    return ResultSet(rows, [column])


@STATEMENTS.register("DO")
async def do(session: Any, text: str) -> None:
    """Hold a slot for the SLEEP time of an expression: ``DO SLEEP(1)``."""
    statement = translate(f"SELECT {text.strip()[2:]}", session.values())
    await session.member.serve_read(statement.sleep_s)


_STATEMENT_NAMES = frozenset(STATEMENTS.names())
