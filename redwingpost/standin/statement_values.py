"""Values that replace functions and variables in a statement.

Replication transfers statements, so expressions whose value differs
between members are replaced by their values before a statement runs.
"""

from collections.abc import Callable
from datetime import datetime
from typing import Any, NamedTuple
from uuid import uuid4


class SessionValues(NamedTuple):
    """Values of the connection that a statement may refer to."""

    now: datetime
    last_insert_id: int = 0
    row_count: int = 0
    connection: int = 0
    database: str = ""
    variables: dict[str, Any] = {}
    system: dict[str, Any] = {}


def _now(values: SessionValues, digits: int) -> str:
    text = values.now.strftime("%Y-%m-%d %H:%M:%S")
    if digits:
        text += f".{values.now.microsecond:06d}"[: digits + 1]
    return text


#: Function -> its value, given the requested fractional digits.
VALUES_BY_FUNCTION: dict[str, Callable[[SessionValues, int], Any]] = {
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
#: Functions that MySQL accepts without brackets.
WITHOUT_BRACKETS = ("CURRENT_TIMESTAMP", "CURRENT_DATE", "LOCALTIMESTAMP")

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


def system_value(text: str, values: SessionValues) -> Any:
    """Return a system variable, ``@@name``; session values take priority."""
    name = text.lower().lstrip("@").rpartition(".")[2]
    return values.system.get(name, _SYSTEM_VALUES.get(name))
