"""Result columns: MySQL column types of declared types."""

from collections.abc import Callable
from datetime import date, datetime, timedelta
from decimal import Context, Decimal, InvalidOperation
from struct import pack
from typing import Any, NamedTuple

from mysql_mimic import ResultColumn
from mysql_mimic.charset import CharacterSet
from mysql_mimic.types import ColumnType

#: Declared word in the store's catalogue -> MySQL column type.
TYPE_BY_WORD = {
    "TINYINT": ColumnType.TINY,
    "SMALLINT": ColumnType.SHORT,
    "MEDIUMINT": ColumnType.INT24,
    "INT": ColumnType.LONG,
    "INTEGER": ColumnType.LONGLONG,
    "BIGINT": ColumnType.LONGLONG,
    "YEARINT": ColumnType.YEAR,
    "FLOAT": ColumnType.FLOAT,
    "DOUBLE": ColumnType.DOUBLE,
    "REAL": ColumnType.DOUBLE,
    "DECIMALTEXT": ColumnType.NEWDECIMAL,
    "DATETIMETEXT": ColumnType.DATETIME,
    "TIMESTAMPTEXT": ColumnType.TIMESTAMP,
    "DATETEXT": ColumnType.DATE,
    "TIMETEXT": ColumnType.TIME,
    "JSONTEXT": ColumnType.JSON,
    "CHAR": ColumnType.STRING,
    "VARCHAR": ColumnType.VAR_STRING,
    "ENUMTEXT": ColumnType.STRING,
    "SETTEXT": ColumnType.STRING,
    "TINYTEXT": ColumnType.BLOB,
    "TEXT": ColumnType.BLOB,
    "MEDIUMTEXT": ColumnType.BLOB,
    "LONGTEXT": ColumnType.BLOB,
    "BINARYBLOB": ColumnType.STRING,
    "VARBINARYBLOB": ColumnType.VAR_STRING,
    "TINYBLOB": ColumnType.BLOB,
    "BLOB": ColumnType.BLOB,
    "MEDIUMBLOB": ColumnType.BLOB,
    "LONGBLOB": ColumnType.BLOB,
}

#: MySQL's DECIMAL has at most 65 digits.
_DECIMAL_CONTEXT = Context(prec=65)


class Declared(NamedTuple):
    """A declared type: word and sizes, as ``DECIMALTEXT``, (10, 2)."""

    word: str
    sizes: tuple[int, ...] = ()


def parse_declared(text: str) -> Declared:
    """Parse a declared type of the store's catalogue.

    Examples
    --------
    >>> parse_declared("DECIMALTEXT(10, 2)")
    Declared(word='DECIMALTEXT', sizes=(10, 2))
    """
    word, _, sizes = text.partition("(")
    numbers = sizes.rstrip(") ").split(",") if sizes else []
    return Declared(
        word.strip().upper(),
        tuple(int(n) for n in numbers if n.strip().isdigit()),
    )


def _binary_tiny(column: ResultColumn, value: Any) -> bytes:
    return pack("<b", int(value))


def _binary_year(column: ResultColumn, value: Any) -> bytes:
    return pack("<h", int(value))


def _binary_datetime(column: ResultColumn, value: Any) -> bytes:
    moment = datetime.fromisoformat(str(value))
    head = pack(
        "<HBBBBB",
        moment.year,
        moment.month,
        moment.day,
        moment.hour,
        moment.minute,
        moment.second,
    )
    if moment.microsecond:
        return b"\x0b" + head + pack("<I", moment.microsecond)
    return b"\x07" + head


def _binary_date(column: ResultColumn, value: Any) -> bytes:
    day = date.fromisoformat(str(value)[:10])
    return b"\x04" + pack("<HBB", day.year, day.month, day.day)


def _binary_time(column: ResultColumn, value: Any) -> bytes:
    text = str(value)
    negative = text.startswith("-")
    hours, minutes, seconds = text.lstrip("-").split(":")
    span = timedelta(
        hours=int(hours), minutes=int(minutes), seconds=float(seconds)
    )
    seconds_of_day = span.seconds
    return b"\x0c" + pack(
        "<?IBBBI",
        negative,
        span.days,
        seconds_of_day // 3600,
        seconds_of_day // 60 % 60,
        seconds_of_day % 60,
        span.microseconds,
    )


_BINARY_ENCODERS = {
    ColumnType.TINY: _binary_tiny,
    ColumnType.YEAR: _binary_year,
    ColumnType.DATETIME: _binary_datetime,
    ColumnType.TIMESTAMP: _binary_datetime,
    ColumnType.DATE: _binary_date,
    ColumnType.TIME: _binary_time,
}


def declared_column(name: str, declared: Declared) -> ResultColumn:
    """Return the result column of a declared type.

    Blobs have the character set ``binary``: with any other, drivers
    decode them as text and fail.
    """
    kind = TYPE_BY_WORD[declared.word]
    charset = (
        CharacterSet.binary
        if declared.word.endswith("BLOB")
        else CharacterSet.utf8mb4
    )
    return ResultColumn(
        name,
        kind,
        charset,
        binary_encoder=_BINARY_ENCODERS.get(kind),
    )


def inferred_column(name: str, values: list[Any]) -> ResultColumn:
    """Return an expression's column, typed by its first non-null value."""
    first = next((value for value in values if value is not None), None)
    if isinstance(first, bytes):
        return ResultColumn(name, ColumnType.BLOB, CharacterSet.binary)
    if isinstance(first, int):
        return ResultColumn(name, ColumnType.LONGLONG)
    if isinstance(first, float):
        return ResultColumn(name, ColumnType.DOUBLE)
    if isinstance(first, Decimal):
        return ResultColumn(name, ColumnType.NEWDECIMAL)
    return ResultColumn(name, ColumnType.VAR_STRING)


def _decimal_formatter(digits: int) -> Callable[[Any], Any]:
    step = Decimal(1).scaleb(-digits)

    def scale(value: Any) -> Any:
        try:
            decimal = Decimal(str(value)).quantize(
                step, context=_DECIMAL_CONTEXT
            )
        except InvalidOperation:
            return str(value)
        return f"{decimal:f}"

    return scale


def _as_bytes(value: Any) -> bytes:
    return value if isinstance(value, bytes) else str(value).encode()


def _as_text(value: Any) -> str:
    if isinstance(value, bytes):
        return value.decode(errors="surrogateescape")
    return str(value)


def converter(declared: Declared) -> Callable[[Any], Any] | None:
    """Return a function that converts stored values to a declared type.

    None means that no conversion is needed.
    """
    if declared.word == "DECIMALTEXT":
        return _decimal_formatter(
            declared.sizes[1] if len(declared.sizes) > 1 else 0
        )
    if declared.word.endswith("BLOB"):
        return _as_bytes
    if declared.word.endswith(("TEXT", "CHAR")):
        return _as_text
    return None
