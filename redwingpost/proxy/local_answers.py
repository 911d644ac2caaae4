"""Answer statements about the connection itself, without a target.

Drivers begin with ``SET NAMES``, ``SET autocommit`` and ``SELECT @@…``.
Sending those to a target would take slots and have no use, because the
caller's connection is to the proxy.
"""

from collections.abc import Callable
from re import DOTALL, IGNORECASE, compile as re_compile
from typing import NamedTuple, Protocol

from expression import Error, Ok, Result

from redwingpost.core import Code, Refusal
from redwingpost.ports import ColumnInfo, StatementResult

_VAR_STRING = 253
_LONG_LONG = 8
_UTF8MB4 = 45

#: Reported server version; drivers parse the leading version number.
SERVER_VERSION = "8.0.29"

EMPTY_RESULT = StatementResult((), (), 0, 0)


class ConnectionState(Protocol):
    """Connection state that local answers read and set."""

    autocommit: bool
    group: str
    organisation: str
    connection_id: int
    last_insert_id: int

    def make_token(self) -> str:
        """Return the session's token."""


class VariableValue(NamedTuple):
    """A value and its MySQL column type."""

    value: str | int | None
    type_code: int = _VAR_STRING


_FIXED_VALUES_BY_NAME = {
    "version": SERVER_VERSION,
    "version_comment": "redwingpost",
    "max_allowed_packet": 8 * 1024 * 1024,
    "wait_timeout": 28800,
    "interactive_timeout": 28800,
    "net_write_timeout": 60,
    "net_read_timeout": 60,
    "character_set_client": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "character_set_results": "utf8mb4",
    "character_set_server": "utf8mb4",
    "collation_connection": "utf8mb4_0900_ai_ci",
    "collation_server": "utf8mb4_0900_ai_ci",
    "auto_increment_increment": 1,
    "init_connect": "",
    "license": "Apache-2.0",
    "lower_case_table_names": 0,
    "performance_schema": 0,
    "query_cache_size": 0,
    "query_cache_type": "OFF",
    "sql_mode": "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES",
    "system_time_zone": "UTC",
    "time_zone": "+00:00",
    "transaction_isolation": "REPEATABLE-READ",
    "tx_isolation": "REPEATABLE-READ",
    "transaction_read_only": 0,
    "tx_read_only": 0,
}

# The patterns for whole statements are possessive ("++"): one that
# backtracks over blanks takes seconds for a statement of many blanks and
# blocks the event loop for all callers.
_SELECT_ITEM = (
    r"(?:@@(?:session\.|global\.|local\.)?\w++|\w++\s*+\(\s*+\))"
    r"(?:\s++AS\s++[`'\"]?\w++[`'\"]?)?+"
)
_LOCAL_SELECT = re_compile(
    rf"\s*+SELECT\s++({_SELECT_ITEM}(?:\s*+,\s*+{_SELECT_ITEM})*+)"
    r"(?:\s++LIMIT\s++1)?+\s*+;?\s*+$",
    IGNORECASE,
)
_ITEM = re_compile(
    r"\s*(?:@@(?:(?:session|global|local)\.)?(\w+)|(\w+)\s*\(\s*\))"
    r"(?:\s+AS\s+[`'\"]?(\w+)[`'\"]?)?\s*$",
    IGNORECASE,
)
_SET_AUTOCOMMIT = re_compile(
    r"(?:@@)?(?:session\.|local\.|session\s+)?autocommit\s*:?=\s*"
    r"'?(0|1|on|off|true|false)'?\s*$",
    IGNORECASE,
)
_SET_NAMES = re_compile(
    r"(?:NAMES|CHARACTER\s+SET|CHARSET)\s+['\"]?(\w+)['\"]?"
    r"(?:\s+COLLATE\s+['\"]?\w+['\"]?)?\s*$",
    IGNORECASE,
)
#: Variables that drivers set and that the proxy ignores: neither it nor a
#: target depends on them, and results are always utf8mb4.
_SET_IGNORED = re_compile(
    r"(?:@@)?(?:session\.|session\s+|local\.)?"
    r"(?:character_set_\w+|collation_connection|net_\w+_timeout"
    r"|wait_timeout|interactive_timeout|sql_safe_updates"
    r"|max_execution_time|sql_auto_is_null)\s*:?=\s*[^,;]+$",
    IGNORECASE,
)
_SET = re_compile(r"\s*+SET\s++(.*+)", IGNORECASE | DOTALL)
_USE = re_compile(r"\s*+USE\s++`?([\w.-]++)`?\s*+;?\s*+$", IGNORECASE)
_SHOW_WARNINGS = re_compile(
    r"\s*+SHOW\s++(?:WARNINGS|ERRORS)\b[^;]*+;?\s*+$", IGNORECASE
)
_WARNING_COLUMNS = (
    ("Level", VariableValue(None)),
    ("Code", VariableValue(None, _LONG_LONG)),
    ("Message", VariableValue(None)),
)
_UTF8_CHARSETS = frozenset({"utf8mb4", "utf8", "utf8mb3", "default"})


def answer_select(
    sql: str, state: ConnectionState
) -> Result[StatementResult, Refusal] | None:
    """Answer ``SELECT @@…`` and ``SELECT FUNCTION()`` forms.

    Returns
    -------
    Result or None
        None if the statement has to run on a target.
    """
    if _SHOW_WARNINGS.match(sql):
        return Ok(_make_row(_WARNING_COLUMNS, rows=False))
    match = _LOCAL_SELECT.match(sql)
    if match is None:
        return None
    pairs = []
    for item in match.group(1).split(","):
        variable, function, alias = _ITEM.match(item).groups()
        value = _evaluate(variable, function, state)
        if value is None:
            return None
        pairs.append((alias or item.strip(), value))
    return Ok(_make_row(tuple(pairs)))


def _evaluate(
    variable: str | None, function: str | None, state: ConnectionState
) -> VariableValue | None:
    if variable is not None:
        return _variable(variable.lower(), state)
    reader = _FUNCTIONS_BY_NAME.get(function.upper())
    return None if reader is None else reader(state)


def _variable(name: str, state: ConnectionState) -> VariableValue | None:
    if name == "redwing_token":
        return VariableValue(state.make_token())
    if name == "autocommit":
        return VariableValue(int(state.autocommit), _LONG_LONG)
    if name not in _FIXED_VALUES_BY_NAME:
        return None
    value = _FIXED_VALUES_BY_NAME[name]
    type_code = _LONG_LONG if isinstance(value, int) else _VAR_STRING
    return VariableValue(value, type_code)


_FUNCTIONS_BY_NAME: dict[str, Callable[[ConnectionState], VariableValue]] = {
    "DATABASE": lambda state: VariableValue(state.group or None),
    "SCHEMA": lambda state: VariableValue(state.group or None),
    "USER": lambda state: VariableValue(state.organisation),
    "CURRENT_USER": lambda state: VariableValue(state.organisation),
    "SESSION_USER": lambda state: VariableValue(state.organisation),
    "VERSION": lambda _state: VariableValue(SERVER_VERSION),
    "CONNECTION_ID": lambda state: VariableValue(
        state.connection_id, _LONG_LONG
    ),
    "LAST_INSERT_ID": lambda state: VariableValue(
        state.last_insert_id, _LONG_LONG
    ),
}


def _make_row(
    pairs: tuple[tuple[str, VariableValue], ...], rows: bool = True
) -> StatementResult:
    columns = tuple(
        ColumnInfo(name, value.type_code, _UTF8MB4) for name, value in pairs
    )
    row = tuple(
        None if value.value is None else str(value.value) for _, value in pairs
    )
    return StatementResult(columns, (row,) if rows else (), 0, 0)


def parse_use(sql: str) -> str | None:
    """Return the database group that a USE statement names."""
    match = _USE.match(sql)
    return match.group(1) if match else None


def apply_set(
    sql: str, state: ConnectionState
) -> Result[StatementResult, Refusal]:
    """Apply a SET statement to the connection's state.

    Returns
    -------
    Result
        ``Code.UNSUPPORTED`` for variables that would have to be set on a
        connection to a target; the next statement may use another one.
    """
    match = _SET.match(sql)
    body = match.group(1).rstrip().removesuffix(";") if match else sql
    items = body.split(",")
    for item in items:
        if not _apply_item(item.strip(), state):
            detail = f"SET {item.strip()[:60]} is not carried"
            return Error(Refusal(Code.UNSUPPORTED, detail))
    return Ok(EMPTY_RESULT)


def _apply_item(item: str, state: ConnectionState) -> bool:
    autocommit = _SET_AUTOCOMMIT.match(item)
    if autocommit:
        value = autocommit.group(1).lower()
        state.autocommit = value in {"1", "on", "true"}
        return True
    names = _SET_NAMES.match(item)
    if names:
        return names.group(1).lower() in _UTF8_CHARSETS
    return bool(_SET_IGNORED.match(item))
