"""MySQL functions and collations for the store's connections."""

from decimal import Decimal, InvalidOperation
from hashlib import md5, sha1
from re import search
from sqlite3 import Connection
from typing import Any


def _concat(*parts: Any) -> str | None:
    if any(part is None for part in parts):
        return None
    return "".join(str(part) for part in parts)


def _left(text: Any, count: int) -> str | None:
    return None if text is None else str(text)[:count]


def _right(text: Any, count: int) -> str | None:
    if text is None:
        return None
    return str(text)[-count:] if count else ""


def _if(condition: Any, yes: Any, no: Any) -> Any:
    return yes if condition else no


def _regexp(pattern: str, text: str | None) -> bool | None:
    return None if text is None else search(pattern, text) is not None


def _sha1(text: Any) -> str | None:
    return None if text is None else sha1(str(text).encode()).hexdigest()


def _md5(text: Any) -> str | None:
    return None if text is None else md5(str(text).encode()).hexdigest()


def _char_length(text: Any) -> int | None:
    return None if text is None else len(str(text))


def compare_decimals(left: str, right: str) -> int:
    """Compare two decimals that are stored as text.

    Examples
    --------
    >>> compare_decimals("9.50", "10")
    -1
    >>> compare_decimals("2.0", "2.00")
    0
    """
    try:
        first, second = Decimal(left), Decimal(right)
    except InvalidOperation:
        return (left > right) - (left < right)
    return (first > second) - (first < second)


_FUNCTIONS = (
    ("CONCAT", -1, _concat),
    ("LEFT", 2, _left),
    ("RIGHT", 2, _right),
    ("IF", 3, _if),
    ("REGEXP", 2, _regexp),
    ("SHA1", 1, _sha1),
    ("MD5", 1, _md5),
    ("CHAR_LENGTH", 1, _char_length),
    ("CHARACTER_LENGTH", 1, _char_length),
)


def install_functions(connection: Connection) -> None:
    """Register MySQL's functions and the decimal collation."""
    for name, count, function in _FUNCTIONS:
        connection.create_function(name, count, function, deterministic=True)
    connection.create_collation("MYSQL_DECIMAL", compare_decimals)
