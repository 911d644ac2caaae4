"""Prepared statements: decode their values and write escaped literals.

The library inserts values into the text unescaped, so that a quote in a
value would end its literal and run the rest as SQL, and a question mark
in a value would be replaced by the next value. Here placeholders are
found once, outside literals and comments, and each value is escaped
according to its type.

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

#: Most values of one statement, which is MySQL's own limit.
MAX_VALUES = 65_535

# An unterminated literal or comment extends to the end and is not matched
# again by backtracking: see the patterns of ``proxy.classify``.
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
    """Name and type of a value as bound by the driver."""

    name: str
    type_code: int
    unsigned: bool


class Execution(NamedTuple):
    """One execution of a prepared statement, with its values inserted."""

    sql: str
    attributes: dict[str, str]
    types: tuple[ValueType, ...]
    use_cursor: bool


#: Reads a value from a stream, given whether it is unsigned, and returns
#: it as an SQL literal.
Reader = Callable[[BytesIO, bool], str]
_READERS: Registry[Reader] = Registry("parameter type")


def _reader_for(*types: ColumnType) -> Callable[[Reader], Reader]:
    def add(reader: Reader) -> Reader:
        for column_type in types:
            _READERS.register(column_type.name)(reader)
        return reader

    return add


def decode_text(raw: bytes) -> str:
    """Decode a driver's bytes so that every byte is preserved.

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


@_reader_for(
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


@_reader_for(
    ColumnType.BLOB,
    ColumnType.TINY_BLOB,
    ColumnType.MEDIUM_BLOB,
    ColumnType.LONG_BLOB,
    ColumnType.BIT,
)
def _read_blob(stream: BytesIO, _unsigned: bool) -> str:
    return _quote_blob(read_str_len(stream))


def _quote_blob(raw: bytes) -> str:
    # Drivers send text as BLOB too. The member would treat hexadecimal as
    # a binary string, so only values that aren't UTF-8 are written so.
    try:
        bytes(raw).decode()
    except UnicodeDecodeError:
        return f"0x{bytes(raw).hex()}"
    return quote(raw)


@_reader_for(ColumnType.TINY, ColumnType.BOOL)
def _read_tiny(stream: BytesIO, unsigned: bool) -> str:
    return str((read_uint_1 if unsigned else read_int_1)(stream))


@_reader_for(ColumnType.SHORT, ColumnType.YEAR)
def _read_short(stream: BytesIO, unsigned: bool) -> str:
    return str((read_uint_2 if unsigned else read_int_2)(stream))


@_reader_for(ColumnType.LONG, ColumnType.INT24)
def _read_long(stream: BytesIO, unsigned: bool) -> str:
    return str((read_uint_4 if unsigned else read_int_4)(stream))


@_reader_for(ColumnType.LONGLONG)
def _read_long_long(stream: BytesIO, unsigned: bool) -> str:
    return str((read_uint_8 if unsigned else read_int_8)(stream))


@_reader_for(ColumnType.FLOAT)
def _read_float(stream: BytesIO, _unsigned: bool) -> str:
    return repr(read_float(stream))


@_reader_for(ColumnType.DOUBLE)
def _read_double(stream: BytesIO, _unsigned: bool) -> str:
    return repr(read_double(stream))


@_reader_for(ColumnType.NULL)
def _read_null(_stream: BytesIO, _unsigned: bool) -> str:
    return "NULL"


@_reader_for(ColumnType.DATE, ColumnType.DATETIME, ColumnType.TIMESTAMP)
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


@_reader_for(ColumnType.TIME)
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
    """Return the number of placeholders of a statement."""
    return len(split_placeholders(sql)) - 1


def read_execution(
    data: bytes,
    capabilities: Capabilities,
    sql: str,
    known_types: tuple[ValueType, ...],
    buffers: dict[int, bytearray],
) -> Execution:
    """Decode the payload of COM_STMT_EXECUTE.

    Parameters
    ----------
    data : bytes
        The payload after the statement's number.
    capabilities : Capabilities
        The connection's capabilities.
    sql : str
        The prepared statement.
    known_types : tuple of ValueType
        Types of the last execution; drivers omit unchanged types.
    buffers : dict
        Values sent before with COM_STMT_SEND_LONG_DATA, by index.

    Raises
    ------
    MysqlError
        If the payload is malformed.
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
    placeholder_count = len(pieces) - 1
    has_names = Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
    value_count = placeholder_count
    if has_names and (placeholder_count or flags & _PARAMETER_COUNT_AVAILABLE):
        value_count = read_uint_len(stream)
    if not placeholder_count <= value_count <= MAX_VALUES:
        raise ValueError(
            f"{value_count} values for {placeholder_count} placeholders"
        )
    types, literals = known_types, []
    if value_count:
        nulls = stream.read((value_count + 7) // 8)
        if read_uint_1(stream):
            types = _read_types(stream, value_count, has_names)
        literals = _read_literals(stream, types, nulls, buffers)
    return Execution(
        sql=_join(pieces, literals[:placeholder_count]),
        attributes=_read_attributes(
            types[placeholder_count:], literals[placeholder_count:]
        ),
        types=types,
        use_cursor=bool(flags & _CURSOR_READ_ONLY),
    )


def _read_types(
    stream: BytesIO, value_count: int, has_names: bool
) -> tuple[ValueType, ...]:
    types = []
    for _ in range(value_count):
        code = read_uint_1(stream)
        unsigned = bool(read_uint_1(stream) & _UNSIGNED)
        name = decode_text(read_str_len(stream)) if has_names else ""
        types.append(ValueType(name, code, unsigned))
    return tuple(types)


def _read_literals(
    stream: BytesIO,
    types: tuple[ValueType, ...],
    nulls: bytes,
    buffers: dict[int, bytearray],
) -> list[str]:
    literals = []
    for index, value_type in enumerate(types):
        if nulls[index // 8] >> index % 8 & 1:
            literals.append("NULL")
        elif index in buffers:
            literals.append(_quote_blob(buffers[index]))
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
