"""Convert a member's text values to the form a caller's driver expects.

A member's values arrive as text. The text protocol passes them on
unchanged; the binary protocol of prepared statements requires typed
values.
"""

from collections.abc import Callable
from datetime import date, datetime, timedelta
from functools import lru_cache
from re import compile as re_compile
from struct import Struct, pack
from typing import Any

from mysql_mimic import ResultColumn, ResultSet
from mysql_mimic.charset import CharacterSet
from mysql_mimic.types import ColumnType, str_len

from redwingpost.core import Registry
from redwingpost.ports import ColumnInfo, StatementResult

#: Character set number of binary columns in the MySQL protocol.
BINARY_CHARSET = 63

_SIGNED_64 = Struct("<q")
_UNSIGNED_64 = Struct("<Q")
_MAX_SIGNED_64 = 2**63 - 1
_TIME = re_compile(r"(-?)(\d+):(\d\d):(\d\d)(?:\.(\d{1,6}))?$")

#: Functions that convert a value's text to Python, by column type.
_READERS: Registry[Callable[[str], Any]] = Registry("column type")


def _reader_for(*types: ColumnType) -> Callable:
    def add(reader: Callable[[str], Any]) -> Callable[[str], Any]:
        for column_type in types:
            _READERS.register(column_type.name)(reader)
        return reader

    return add


@_reader_for(
    ColumnType.TINY,
    ColumnType.SHORT,
    ColumnType.LONG,
    ColumnType.INT24,
    ColumnType.YEAR,
)
def _read_integer(text: str) -> int:
    return int(text)


@_reader_for(ColumnType.FLOAT, ColumnType.DOUBLE)
def _read_float(text: str) -> float:
    return float(text)


@_reader_for(ColumnType.DATETIME, ColumnType.TIMESTAMP)
def _read_datetime(text: str) -> datetime:
    return datetime.fromisoformat(text)


@_reader_for(ColumnType.DATE)
def _read_date(text: str) -> date:
    return date.fromisoformat(text)


def _read_time(text: str) -> timedelta:
    match = _TIME.match(text)
    if match is None:
        raise ValueError(f"not a TIME: {text!r}")
    sign, hours, minutes, seconds, fraction = match.groups()
    value = timedelta(
        hours=int(hours),
        minutes=int(minutes),
        seconds=int(seconds),
        microseconds=int((fraction or "").ljust(6, "0")),
    )
    return -value if sign else value


def _encode_long_long(_column: ResultColumn, value: Any) -> bytes:
    # An UNSIGNED BIGINT above 2^63-1 has the same eight bytes in the
    # protocol; packing it as signed would raise.
    number = int(value)
    packer = _UNSIGNED_64 if number > _MAX_SIGNED_64 else _SIGNED_64
    return packer.pack(number)


def _encode_time(_column: ResultColumn, value: Any) -> bytes:
    # The library encodes a negative TIME from Python's normalised form
    # (negative days), so that -01:00:00 would arrive as -47:00:00.
    length = _read_time(value)
    total = abs(length)
    minutes, seconds = divmod(total.seconds, 60)
    hours, minutes = divmod(minutes, 60)
    negative = int(length < timedelta())
    body = pack("<BIBBB", negative, total.days, hours, minutes, seconds) + (
        pack("<I", total.microseconds) if total.microseconds else b""
    )
    return str_len(body)


def _encode_bytes(_column: ResultColumn, value: Any) -> bytes:
    return str_len(value if isinstance(value, bytes) else str(value).encode())


def _typed_encoder(
    column_type: ColumnType, read: Callable[[str], Any]
) -> Callable[[ResultColumn, Any], bytes]:
    plain = ResultColumn("", column_type)

    def encode(_column: ResultColumn, value: Any) -> bytes:
        text = value.decode() if isinstance(value, bytes) else value
        return plain.binary_encode(read(text))

    return encode


def _binary_encoder(
    column_type: ColumnType,
) -> Callable[[ResultColumn, Any], bytes]:
    if column_type is ColumnType.LONGLONG:
        return _encode_long_long
    if column_type is ColumnType.TIME:
        return _encode_time
    if column_type.name in _READERS.names():
        return _typed_encoder(column_type, _READERS.get(column_type.name))
    return _encode_bytes


def _encode_text(_column: ResultColumn, value: Any) -> bytes:
    return value if isinstance(value, bytes) else str(value).encode()


@lru_cache(maxsize=4096)
def make_column(info: ColumnInfo) -> ResultColumn:
    """Return the column to send to drivers for a member's column.

    Cached: an installation has few distinct columns, and building one
    costs more than encoding a short row.
    """
    binary = info.charset == BINARY_CHARSET
    column_type = ColumnType(info.type_code)
    column = ResultColumn(
        info.name,
        column_type,
        CharacterSet.binary if binary else CharacterSet.utf8mb4,
        text_encoder=_encode_text,
        binary_encoder=_binary_encoder(column_type),
    )
    # Values are already text, which the library's fast path copies.
    column.use_default_text_encoder = True
    column.codec = "utf-8"
    return column


def make_result_set(result: StatementResult) -> ResultSet | None:
    """Return the library's result set, or None for a plain OK."""
    if not result.columns:
        return None
    columns = [make_column(info) for info in result.columns]
    return ResultSet(rows=result.rows, columns=columns)
