"""Plans: how the store runs each shape of a statement.

A shape is a statement whose literals are parameters. MySQL's clauses that
SQLite lacks (ON DUPLICATE KEY UPDATE, INSERT IGNORE, FOR UPDATE, TRUNCATE)
are rewritten here, once for each shape.
"""

from functools import lru_cache
from re import IGNORECASE, compile as compile_pattern, search, sub
from typing import NamedTuple

from redwingpost.standin.ddl import rewrite_create_table

READS = frozenset(("SELECT", "WITH", "VALUES", "TABLE"))
WRITES = frozenset(("INSERT", "UPDATE", "DELETE", "REPLACE"))
DEFINITIONS = frozenset(("CREATE", "DROP", "ALTER", "TRUNCATE", "RENAME"))


class Plan(NamedTuple):
    """How the store runs a shape.

    ``kind`` is the statement's first word; ``statements`` are in SQLite's
    dialect. For an ON DUPLICATE KEY UPDATE ``probe`` is the same insert
    with OR IGNORE, which counts the rows that would be inserted and not
    updated. ``locks`` marks a SELECT … FOR UPDATE, ``temporary`` a
    definition of a temporary table, ``answers`` a statement that returns
    rows.
    """

    kind: str
    statements: tuple[str, ...]
    probe: str = ""
    locks: bool = False
    temporary: bool = False
    answers: bool = False


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
    """Return the plan of a shape; cached because most shapes repeat."""
    if first in READS:
        return _plan_read(first, shape)
    if first in WRITES:
        return _plan_write(first, shape)
    if first in DEFINITIONS:
        return _plan_definition(first, shape)
    return Plan(first, (shape,))


def _rewrite_common(shape: str) -> str:
    shape = shape.replace("<=>", " IS ").replace("&&", " AND ")
    return sub(r"(?i)\bLIMIT\s+(\?|\d+)\s*,\s*(\?|\d+)", _rewrite_limit, shape)


def _rewrite_limit(match) -> str:
    # SQLite supports "LIMIT offset, count" too; the order is the same.
    return f"LIMIT {match[1]}, {match[2]}"


def _plan_read(first: str, shape: str) -> Plan:
    locking = _LOCKING.search(shape)
    if locking is not None:
        shape = shape[: locking.start()]
    exclusive = locking is not None and "UPDATE" in locking.group().upper()
    shape = sub(r"(?i)\bFROM\s+DUAL\b", "", shape)
    return Plan(
        first, (_rewrite_common(shape),), locks=exclusive, answers=True
    )


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
        return Plan(first, (_rewrite_common(shape),))
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
        statements = [_rewrite_drop(shape)]
    if first == "RENAME":
        renamed = sub(r"(?i)^RENAME\s+TABLE\s+", "ALTER TABLE ", shape)
        statements = [sub(r"(?i)\s+TO\s+", " RENAME TO ", renamed)]
    return Plan(first, tuple(statements), temporary=temporary)


def _rewrite_drop(shape: str) -> str:
    shape = sub(r"(?i)^DROP\s+TEMPORARY\s+", "DROP ", shape)
    return sub(
        r"(?i)^(DROP\s+INDEX\s+\S+)\s+ON\s+(\S+)$", _rewrite_drop_index, shape
    )


def _rewrite_drop_index(match) -> str:
    label = match[1].split()[-1].strip("`")
    return f"DROP INDEX `{match[2].strip('`')}__{label}`"
