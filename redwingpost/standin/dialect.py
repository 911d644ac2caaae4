"""From a MySQL statement to what SQLite runs.

A statement is scanned once: its literals become parameters, so that
statements which differ only in values share one *shape*, whose rewriting
is cached. What isn't the same on every member (``NOW()``, ``UUID()``,
user variables) is replaced by its value, because replication ships
statements.
"""

from collections.abc import Callable
from datetime import datetime
from functools import lru_cache
from re import IGNORECASE, compile as compile_pattern, search, sub
from typing import Any, NamedTuple
from uuid import uuid4

from redwingpost.standin.ddl import rewrite_create_table
from redwingpost.standin.literals import (
    Token,
    bytes_value,
    hex_value,
    number_value,
    quote,
    scan,
    string_value,
)

READS = frozenset(("SELECT", "WITH", "VALUES", "TABLE"))
WRITES = frozenset(("INSERT", "UPDATE", "DELETE", "REPLACE"))
DEFINITIONS = frozenset(("CREATE", "DROP", "ALTER", "TRUNCATE", "RENAME"))


class SessionValues(NamedTuple):
    """What a statement may ask of its connection."""

    now: datetime
    last_insert_id: int = 0
    row_count: int = 0
    connection: int = 0
    database: str = ""
    variables: dict[str, Any] = {}
    system: dict[str, Any] = {}


class Plan(NamedTuple):
    """How a shape runs.

    ``statements`` are in SQLite's dialect; ``probe`` is the same insert
    with OR IGNORE, which tells an ON DUPLICATE KEY UPDATE's inserts from
    its updates. ``kind`` is the first word.
    """

    kind: str
    statements: tuple[str, ...]
    probe: str = ""
    locks: bool = False
    temporary: bool = False
    answers: bool = False


class Statement(NamedTuple):
    """A statement ready to run: its plan, parameters, stated sleep (s)."""

    plan: Plan
    parameters: tuple[Any, ...]
    sleep: float


def _now(values: SessionValues, digits: int) -> str:
    text = values.now.strftime("%Y-%m-%d %H:%M:%S")
    if digits:
        text += f".{values.now.microsecond:06d}"[: digits + 1]
    return text


_VALUES_BY_FUNCTION: dict[str, Callable[[SessionValues, int], Any]] = {
    "NOW": _now,
    "CURRENT_TIMESTAMP": _now,
    "LOCALTIMESTAMP": _now,
    "SYSDATE": _now,
    "UTC_TIMESTAMP": _now,
    "CURDATE": lambda values, _: values.now.strftime("%Y-%m-%d"),
    "CURRENT_DATE": lambda values, _: values.now.strftime("%Y-%m-%d"),
    "CURTIME": lambda values, _: values.now.strftime("%H:%M:%S"),
    "UNIX_TIMESTAMP": lambda values, _: int(values.now.timestamp()),
    "UUID": lambda values, _: str(uuid4()),
    "LAST_INSERT_ID": lambda values, _: values.last_insert_id,
    "ROW_COUNT": lambda values, _: values.row_count,
    "CONNECTION_ID": lambda values, _: values.connection,
    "DATABASE": lambda values, _: values.database or None,
    "SCHEMA": lambda values, _: values.database or None,
    "VERSION": lambda values, _: "8.0.29-redwing-standin",
}
_WITHOUT_BRACKETS = ("CURRENT_TIMESTAMP", "CURRENT_DATE", "LOCALTIMESTAMP")


class _Writer:
    """Collects a shape and its parameters."""

    def __init__(self) -> None:
        self.pieces: list[str] = []
        self.parameters: list[Any] = []
        self.sleep = 0.0
        self.inline = False
        self.keep_numbers = False

    def value(self, value: Any, number: bool = False) -> None:
        """Add a literal, as a parameter where the place allows it."""
        inline = self.inline or (number and self.keep_numbers)
        if inline and not (isinstance(value, str) and "\0" in value):
            self.pieces.append(str(value) if number else quote(value))
            return
        self.pieces.append("?")
        self.parameters.append(value)


def _call_end(tokens: list[Token], place: int) -> tuple[int, str]:
    """Return the place after a call's brackets and the text in them."""
    start = place + 1
    while start < len(tokens) and tokens[start].kind == "space":
        start += 1
    if start >= len(tokens) or tokens[start].text != "(":
        return place, ""
    inside = []
    for end in range(start + 1, len(tokens)):
        if tokens[end].text == ")":
            return end, "".join(inside).strip()
        inside.append(tokens[end].text)
    return place, ""


def _word(
    tokens: list[Token], place: int, writer: _Writer, values: SessionValues
) -> int:
    """Write a word or the value of a function; return its last place."""
    text = tokens[place].text
    upper = text.upper()
    if upper == "FROM":
        writer.inline = False
    elif upper == "BY":
        writer.keep_numbers = True
    elif upper == "LIMIT":
        writer.keep_numbers = False
    elif upper == "SLEEP":
        end, inside = _call_end(tokens, place)
        if end > place:
            writer.sleep += _seconds(inside)
            writer.pieces.append("0")
            return end
    elif upper in _VALUES_BY_FUNCTION:
        end, inside = _call_end(tokens, place)
        plain = not inside or inside.isdigit()
        if plain and (end > place or upper in _WITHOUT_BRACKETS):
            digits = int(inside) if inside else 0
            found = _VALUES_BY_FUNCTION[upper](values, min(digits, 6))
            writer.value(found)
            return end
    writer.pieces.append(text)
    return place


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def translate(sql: str, values: SessionValues) -> Statement:
    """Return a statement in SQLite's dialect.

    Examples
    --------
    >>> values = SessionValues(datetime(2026, 1, 2, 3, 4, 5))
    >>> found = translate("INSERT INTO t VALUES (1, 'a\\\\'b', NOW())", values)
    >>> found.plan.statements
    ('INSERT INTO t VALUES (?, ?, ?)',)
    >>> found.parameters
    (1, "a'b", '2026-01-02 03:04:05')
    """
    tokens = scan(sql.strip().rstrip(";").rstrip())
    first = next((t.text.upper() for t in tokens if t.kind == "word"), "")
    writer = _Writer()
    writer.inline = first in READS or first in DEFINITIONS
    place = 0
    while place < len(tokens):
        place = _token(tokens, place, writer, values, first) + 1
    shape = "".join(writer.pieces).strip()
    return Statement(
        plan_shape(first, shape), tuple(writer.parameters), writer.sleep
    )


def _token(
    tokens: list[Token],
    place: int,
    writer: _Writer,
    values: SessionValues,
    first: str,
) -> int:
    """Write one token; return the place of the last one used."""
    kind, text = tokens[place]
    if kind == "string":
        writer.value(string_value(text))
    elif kind == "bytes":
        writer.value(bytes_value(text))
    elif kind == "hex":
        writer.value(hex_value(text))
    elif kind == "number":
        _number(tokens, place, writer)
    elif kind == "uservar":
        writer.value(values.variables.get(text[1:].lower()))
        _name_variable(tokens, place, writer, first)
    elif kind == "sysvar":
        writer.value(_system_value(text, values))
        _name_variable(tokens, place, writer, first)
    elif kind == "word":
        if first in DEFINITIONS:
            writer.pieces.append(text)
        else:
            return _word(tokens, place, writer, values)
    elif kind != "introducer":
        writer.pieces.append(text)
    return place


def _number(tokens: list[Token], place: int, writer: _Writer) -> None:
    """Write a number whole; a sign before a long one belongs to it.

    Minus a parameter would be computed as a float: the smallest BIGINT
    and a DECIMAL of twenty digits would come back rounded.
    """
    value = number_value(tokens[place].text)
    if isinstance(value, str) and _has_sign(tokens, place):
        writer.pieces.pop()
        value = f"-{value}"
    if isinstance(value, str) and value.lstrip("-").isdigit():
        writer.pieces.append(value)
    else:
        writer.value(value, number=True)


def _has_sign(tokens: list[Token], place: int) -> bool:
    if place < 1 or tokens[place - 1].text != "-":
        return False
    before = (t for t in reversed(tokens[: place - 1]) if t.kind != "space")
    return next(before, Token("space", "")).text in ("(", ",", "=", "<", ">")


def _name_variable(
    tokens: list[Token], place: int, writer: _Writer, first: str
) -> None:
    """Name a selected variable's column after it, as MySQL does."""
    rest = (t.text for t in tokens[place + 1 :] if t.kind != "space")
    if first == "SELECT" and next(rest, ",") == ",":
        writer.pieces.append(f" AS `{tokens[place].text}`")


_SYSTEM_VALUES = {
    "autocommit": 1,
    "max_allowed_packet": 67108864,
    "read_only": 0,
    "sql_mode": "STRICT_TRANS_TABLES",
    "time_zone": "SYSTEM",
    "transaction_isolation": "REPEATABLE-READ",
    "version": "8.0.29-redwing-standin",
    "version_comment": "redwing stand-in",
    "wait_timeout": 28800,
}


def _system_value(text: str, values: SessionValues) -> Any:
    name = text.lower().lstrip("@").rpartition(".")[2]
    return values.system.get(name, _SYSTEM_VALUES.get(name))


_DUPLICATE = compile_pattern(
    r"\s+(?:AS\s+(?P<alias>\w+)\s+)?ON\s+DUPLICATE\s+KEY\s+UPDATE\s+",
    IGNORECASE,
)
_LOCKING = compile_pattern(
    r"\s+(?:FOR\s+(?:UPDATE|SHARE)(?:\s+(?:NOWAIT|SKIP\s+LOCKED))?"
    r"|LOCK\s+IN\s+SHARE\s+MODE)\s*$",
    IGNORECASE,
)


@lru_cache(maxsize=4096)
def plan_shape(first: str, shape: str) -> Plan:
    """Return how a shape runs; cached, for most statements repeat."""
    if first in READS:
        return _plan_read(first, shape)
    if first in WRITES:
        return _plan_write(first, shape)
    if first in DEFINITIONS:
        return _plan_definition(first, shape)
    return Plan(first, (shape,))


def _common(shape: str) -> str:
    shape = shape.replace("<=>", " IS ").replace("&&", " AND ")
    return sub(r"(?i)\bLIMIT\s+(\?|\d+)\s*,\s*(\?|\d+)", _limit, shape)


def _limit(match) -> str:
    # SQLite knows "LIMIT offset, count" too; parameters keep their order.
    return f"LIMIT {match[1]}, {match[2]}"


def _plan_read(first: str, shape: str) -> Plan:
    locking = _LOCKING.search(shape)
    if locking is not None:
        shape = shape[: locking.start()]
    exclusive = locking is not None and "UPDATE" in locking.group().upper()
    shape = sub(r"(?i)\bFROM\s+DUAL\b", "", shape)
    return Plan(first, (_common(shape),), locks=exclusive, answers=True)


def _plan_write(first: str, shape: str) -> Plan:
    shape = sub(r"(?i)^INSERT\s+IGNORE\b", "INSERT OR IGNORE", shape)
    shape = sub(r"(?i)^UPDATE\s+IGNORE\b", "UPDATE OR IGNORE", shape)
    shape = sub(
        r"(?i)^(INSERT\s+(?:OR\s+IGNORE\s+)?)(?!INTO|OR)(\w)",
        r"\1INTO \2",
        shape,
    )
    shape = sub(r"(?i)\(\s*\)\s*VALUES\s*\(\s*\)", "DEFAULT VALUES", shape)
    match = _DUPLICATE.search(shape)
    if match is None:
        return Plan(first, (_common(shape),))
    insert, updates = shape[: match.start()], shape[match.end() :]
    updates = sub(
        r"(?i)\bVALUES\s*\(\s*([^)]+?)\s*\)", r"excluded.\1", updates
    )
    if match["alias"]:
        updates = sub(rf"\b{match['alias']}\.", "excluded.", updates)
    probe = sub(r"(?i)^INSERT\b", "INSERT OR IGNORE", insert)
    upsert = f"{insert} ON CONFLICT DO UPDATE SET {updates}"
    return Plan(first, (upsert,), probe=probe)


def _plan_definition(first: str, shape: str) -> Plan:
    if first == "TRUNCATE":
        table = sub(r"(?i)^TRUNCATE\s+(?:TABLE\s+)?", "", shape)
        return Plan(first, (f"DELETE FROM {table}",))
    temporary = search(r"(?i)^(CREATE|DROP)\s+TEMPORARY\b", shape) is not None
    if search(r"(?i)^(CREATE|DROP)\s+(DATABASE|SCHEMA)\b", shape):
        return Plan(first, ())
    statements = rewrite_create_table(shape)
    if first == "DROP":
        statements = [_drop(shape)]
    if first == "RENAME":
        renamed = sub(r"(?i)^RENAME\s+TABLE\s+", "ALTER TABLE ", shape)
        statements = [sub(r"(?i)\s+TO\s+", " RENAME TO ", renamed)]
    return Plan(first, tuple(statements), temporary=temporary)


def _drop(shape: str) -> str:
    shape = sub(r"(?i)^DROP\s+TEMPORARY\s+", "DROP ", shape)
    return sub(r"(?i)^(DROP\s+INDEX\s+\S+)\s+ON\s+(\S+)$", _drop_index, shape)


def _drop_index(match) -> str:
    label = match[1].split()[-1].strip("`")
    return f"DROP INDEX `{match[2].strip('`')}__{label}`"
