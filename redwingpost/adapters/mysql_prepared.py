"""Prepared statements: read their values, write them as safe literals.

The library puts values into the text as they are, so that a quote in a
value would end its literal and run the rest as SQL, and a question mark
in a value would swallow the next one. Here placeholders are found outside
literals and comments, once, and each value is escaped by its type.

References
----------
MySQL 8.0 Internals, "COM_STMT_EXECUTE", "Binary Protocol Value".
"""

from collections.abc import Callable
from functools import lru_cache
from io import BytesIO
from re import DOTALL, compile as re_compile
from struct import error as StructError
from typing import Any, NamedTuple

from mysql_mimic.errors import ErrorCode, MysqlError
from mysql_mimic.types import (
    Capabilities,
    ColumnType,
    read_double,
    read_float,
    read_int_1,
    read_int_2,
    read_int_4,
    read_int_8,
    read_str_len,
    read_uint_1,
    read_uint_2,
    read_uint_4,
    read_uint_8,
    read_uint_len,
)

from redwingpost.core import Registry

_CURSOR_READ_ONLY = 0x01
_PARAMETER_COUNT_AVAILABLE = 0x08
_UNSIGNED = 0x80

#: Values of one statement; MySQL's own limit.
MAX_VALUES = 65_535

# What doesn't close reaches to the end and isn't tried again: see the
# patterns of ``proxy.classify``.
_PLACEHOLDER = re_compile(
    r"'(?:[^'\\]|\\.|'')*+(?:'|\\?\Z)"
    r'|"(?:[^"\\]|\\.|"")*+(?:"|\\?\Z)'
    r"|`(?:[^`]|``)*+(?:`|\Z)"
    r"|--(?=\s|$)[^\n]*|#[^\n]*|/\*.*?(?:\*/|\Z)"
    r"|(\?)",
    DOTALL,
)
_ESCAPES = str.maketrans(
    {
        "\0": "\\0",
        "\n": "\\n",
        "\r": "\\r",
        "\x1a": "\\Z",
        "'": "\\'",
        '"': '\\"',
        "\\": "\\\\",
    }
)


class ValueType(NamedTuple):
    """A value's type as the driver bound it."""

    name: str
    type_code: int
    unsigned: bool


class Execution(NamedTuple):
    """One execution of a prepared statement."""

    sql: str
    attributes: dict[str, str]
    types: tuple[ValueType, ...]
    use_cursor: bool


#: Reader of a value: stream, unsigned -> SQL literal.
Reader = Callable[[BytesIO, bool], str]
_READERS: Registry[Reader] = Registry("parameter type")


def _reads(*types: ColumnType) -> Callable[[Reader], Reader]:
    def add(reader: Reader) -> Reader:
        for column_type in types:
            _READERS.register(column_type.name)(reader)
        return reader

    return add


def decode_text(raw: bytes) -> str:
    """Return a driver's bytes as text that keeps every byte.

    Examples
    --------
    >>> decode_text(b"\\xff").encode(errors="surrogateescape")
    b'\\xff'
    """
    return bytes(raw).decode(errors="surrogateescape")


def quote(raw: bytes) -> str:
    """Return bytes as a quoted SQL literal.

    Examples
    --------
    >>> print(quote(b"O'Higgins"))
    'O\\'Higgins'
    """
    return f"'{decode_text(raw).translate(_ESCAPES)}'"


@_reads(
    ColumnType.VARCHAR,
    ColumnType.VAR_STRING,
    ColumnType.STRING,
    ColumnType.ENUM,
    ColumnType.SET,
    ColumnType.JSON,
    ColumnType.DECIMAL,
    ColumnType.NEWDECIMAL,
)
def _read_text(stream: BytesIO, _unsigned: bool) -> str:
    return quote(read_str_len(stream))


@_reads(
    ColumnType.BLOB,
    ColumnType.TINY_BLOB,
    ColumnType.MEDIUM_BLOB,
    ColumnType.LONG_BLOB,
    ColumnType.BIT,
)
def _read_blob(stream: BytesIO, _unsigned: bool) -> str:
    return _quote_blob(read_str_len(stream))


def _quote_blob(raw: bytes) -> str:
    # Drivers send text as a BLOB too; hex would make it a binary string
    # to the member, so only what isn't text is written as hex.
    try:
        bytes(raw).decode()
    except UnicodeDecodeError:
        return f"0x{bytes(raw).hex()}"
    return quote(raw)


@_reads(ColumnType.TINY, ColumnType.BOOL)
def _read_tiny(stream: BytesIO, unsigned: bool) -> str:
    return str((read_uint_1 if unsigned else read_int_1)(stream))


@_reads(ColumnType.SHORT, ColumnType.YEAR)
def _read_short(stream: BytesIO, unsigned: bool) -> str:
    return str((read_uint_2 if unsigned else read_int_2)(stream))


@_reads(ColumnType.LONG, ColumnType.INT24)
def _read_long(stream: BytesIO, unsigned: bool) -> str:
    return str((read_uint_4 if unsigned else read_int_4)(stream))


@_reads(ColumnType.LONGLONG)
def _read_long_long(stream: BytesIO, unsigned: bool) -> str:
    return str((read_uint_8 if unsigned else read_int_8)(stream))


@_reads(ColumnType.FLOAT)
def _read_float(stream: BytesIO, _unsigned: bool) -> str:
    return repr(read_float(stream))


@_reads(ColumnType.DOUBLE)
def _read_double(stream: BytesIO, _unsigned: bool) -> str:
    return repr(read_double(stream))


@_reads(ColumnType.NULL)
def _read_null(_stream: BytesIO, _unsigned: bool) -> str:
    return "NULL"


@_reads(ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP)
def _read_datetime(stream: BytesIO, _unsigned: bool) -> str:
    length = read_uint_1(stream)
    year, month, day = 0, 0, 0
    if length >= 4:
        year = read_uint_2(stream)
        month, day = read_uint_1(stream), read_uint_1(stream)
    text = f"{year:04}-{month:02}-{day:02}"
    if length >= 7:
        text += f" {_read_clock(stream)}"
    if length >= 11:
        text += f".{read_uint_4(stream):06}"
    return f"'{text}'"


@_reads(ColumnType.TIME)
def _read_time(stream: BytesIO, _unsigned: bool) -> str:
    length = read_uint_1(stream)
    if length == 0:
        return "'00:00:00'"
    sign = "-" if read_uint_1(stream) else ""
    days = read_uint_4(stream)
    hours, minutes, seconds = (read_uint_1(stream) for _ in range(3))
    text = f"{sign}{days * 24 + hours:02}:{minutes:02}:{seconds:02}"
    if length >= 12:
        text += f".{read_uint_4(stream):06}"
    return f"'{text}'"


def _read_clock(stream: BytesIO) -> str:
    hours, minutes, seconds = (read_uint_1(stream) for _ in range(3))
    return f"{hours:02}:{minutes:02}:{seconds:02}"


@lru_cache(maxsize=1024)
def split_placeholders(sql: str) -> tuple[str, ...]:
    """Return the pieces of a statement between its placeholders.

    Examples
    --------
    >>> split_placeholders("SELECT '?', ? FROM t WHERE a = ?")
    ("SELECT '?', ", ' FROM t WHERE a = ', '')
    """
    pieces = []
    start = 0
    for match in _PLACEHOLDER.finditer(sql):
        if match.group(1):
            pieces.append(sql[start : match.start()])
            start = match.end()
    pieces.append(sql[start:])
    return tuple(pieces)


def count_placeholders(sql: str) -> int:
    """Return how many values a statement takes."""
    return len(split_placeholders(sql)) - 1


def read_execution(
    data: bytes,
    capabilities: Capabilities,
    sql: str,
    known_types: tuple[ValueType, ...],
    buffers: dict[int, bytearray],
) -> Execution:
    """Read a COM_STMT_EXECUTE payload.

    Parameters
    ----------
    data : bytes
        The payload behind the statement's number.
    capabilities : Capabilities
        Of the connection.
    sql : str
        The prepared statement.
    known_types : tuple of ValueType
        Types of the last execution: a driver leaves unchanged ones out.
    buffers : dict
        Values sent beforehand with COM_STMT_SEND_LONG_DATA, by place.

    Raises
    ------
    MysqlError
        For a payload that breaks the protocol.
    """
    try:
        return _read_execution(data, capabilities, sql, known_types, buffers)
    except (StructError, ValueError, IndexError, KeyError, EOFError) as error:
        raise MysqlError(
            "malformed packet", ErrorCode.MALFORMED_PACKET
        ) from error


def _read_execution(
    data: bytes,
    capabilities: Capabilities,
    sql: str,
    known_types: tuple[ValueType, ...],
    buffers: dict[int, bytearray],
) -> Execution:
    stream = BytesIO(data)
    flags = read_uint_1(stream)
    read_uint_4(stream)
    pieces = split_placeholders(sql)
    wanted = len(pieces) - 1
    named = Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
    count = wanted
    if named and (wanted or flags & _PARAMETER_COUNT_AVAILABLE):
        count = read_uint_len(stream)
    if not wanted <= count <= MAX_VALUES:
        raise ValueError(f"{count} values for {wanted} placeholders")
    types, literals = known_types, []
    if count:
        nulls = stream.read((count + 7) // 8)
        if read_uint_1(stream):
            types = _read_types(stream, count, named)
        literals = _read_literals(stream, types, nulls, buffers)
    return Execution(
        sql=_join(pieces, literals[:wanted]),
        attributes=_read_attributes(types[wanted:], literals[wanted:]),
        types=types,
        use_cursor=bool(flags & _CURSOR_READ_ONLY),
    )


def _read_types(
    stream: BytesIO, count: int, named: bool
) -> tuple[ValueType, ...]:
    types = []
    for _ in range(count):
        code = read_uint_1(stream)
        unsigned = bool(read_uint_1(stream) & _UNSIGNED)
        name = decode_text(read_str_len(stream)) if named else ""
        types.append(ValueType(name, code, unsigned))
    return tuple(types)


def _read_literals(
    stream: BytesIO,
    types: tuple[ValueType, ...],
    nulls: bytes,
    buffers: dict[int, bytearray],
) -> list[str]:
    literals = []
    for place, value_type in enumerate(types):
        if nulls[place // 8] >> place % 8 & 1:
            literals.append("NULL")
        elif place in buffers:
            literals.append(_quote_blob(buffers[place]))
        else:
            name = ColumnType(value_type.type_code).name
            read = _READERS.get(name)
            literals.append(read(stream, value_type.unsigned))
    return literals


def _read_attributes(
    types: tuple[ValueType, ...], literals: list[str]
) -> dict[str, str]:
    return {
        value_type.name: literal.strip("'")
        for value_type, literal in zip(types, literals)
        if value_type.name and literal != "NULL"
    }


def _join(pieces: tuple[str, ...], literals: list[str]) -> str:
    parts: list[Any] = [pieces[0]]
    for literal, piece in zip(literals, pieces[1:], strict=True):
        parts.append(literal)
        parts.append(piece)
    return "".join(parts)
