"""MySQL literals: scanning statements, unescaping and quoting."""

from re import DOTALL, VERBOSE, compile as compile_pattern
from typing import Any, NamedTuple

TOKEN = compile_pattern(
    r"""
    (?P<space>\s+|/\*.*?\*/|--[\s][^\n]*|\#[^\n]*)
    |(?P<bytes>_binary\s*'[^'\\]*(?:(?:\\.|'')[^'\\]*)*')
    |(?P<hex>[xX]'[0-9a-fA-F]*'|0x[0-9a-fA-F]+(?![\w$]))
    |(?P<introducer>_utf8mb4(?=\s*['"]))
    |(?P<string>'[^'\\]*(?:(?:\\.|'')[^'\\]*)*'
        |"[^"\\]*(?:(?:\\.|"")[^"\\]*)*")
    |(?P<quoted>`(?:[^`]|``)*`)
    |(?P<sysvar>@@[\w.$]+)
    |(?P<uservar>@[\w.$]+)
    |(?P<number>(?:\d+(?:\.\d*)?|\.\d+)(?:[eE][+-]?\d+)?(?![\w$]))
    |(?P<word>[\w$]+)
    |(?P<symbol>.)
    """,
    DOTALL | VERBOSE,
)

_ESCAPES = {
    "0": "\0",
    "b": "\b",
    "n": "\n",
    "r": "\r",
    "t": "\t",
    "Z": "\x1a",
    "%": "\\%",
    "_": "\\_",
}
_ESCAPE = compile_pattern(r"\\(.)|''|\"\"", DOTALL)


class Token(NamedTuple):
    """A token of a statement; ``kind`` is its group's name in `TOKEN`."""

    kind: str
    text: str


def scan(sql: str) -> list[Token]:
    """Split a statement into tokens; a comment becomes a space.

    Examples
    --------
    >>> [token.text for token in scan("SELECT 'it''s' /* x */ FROM t")]
    ['SELECT', ' ', "'it''s'", ' ', ' ', ' ', 'FROM', ' ', 't']
    """
    return [
        (
            Token("space", " ")
            if match.lastgroup == "space"
            else Token(match.lastgroup, match.group())
        )
        for match in TOKEN.finditer(sql)
    ]


def unescape(body: str, quote: str = "'") -> str:
    r"""Return the value of a quoted literal's body, without its quotes.

    Examples
    --------
    >>> unescape(r"a\'b\nc")
    "a'b\nc"
    """
    if "\\" not in body and quote * 2 not in body:
        return body

    def value(match) -> str:
        escaped = match.group(1)
        if escaped is not None:
            return _ESCAPES.get(escaped, escaped)
        return quote if match.group() == quote * 2 else match.group()

    return _ESCAPE.sub(value, body)


def string_value(token: str) -> str | bytes:
    """Return the value of a string literal.

    Drivers send bytes inside quoted literals; a literal that isn't UTF-8
    arrives with surrogates and is converted back to bytes here.
    """
    text = unescape(token[1:-1], token[0])
    if text.isascii():
        return text
    try:
        text.encode()
    except UnicodeEncodeError:
        return text.encode(errors="surrogateescape")
    return text


def bytes_value(token: str) -> bytes:
    """Return the value of a ``_binary'…'`` literal."""
    body = token[token.index("'") + 1 : -1]
    return unescape(body).encode(errors="surrogateescape")


def hex_value(token: str) -> bytes:
    """Return the value of a literal ``x'…'`` or ``0x…``."""
    digits = token[2:-1] if token[1] == "'" else token[2:]
    if len(digits) % 2:
        digits = "0" + digits
    return bytes.fromhex(digits)


def number_value(token: str) -> int | float | str:
    """Return a number's value, as text where a number would lose digits."""
    if token.isdigit():
        value = int(token)
        return value if value < 2**63 else token
    if "e" in token.lower():
        return float(token)
    return token


def quote(value: Any) -> str:
    """Return an SQLite literal.

    Examples
    --------
    >>> quote("it's"), quote(b"\\x01"), quote(None)
    ("'it''s'", "X'01'", 'NULL')
    """
    if value is None:
        return "NULL"
    if isinstance(value, bytes):
        return f"X'{value.hex()}'"
    if isinstance(value, str):
        return "'" + value.replace("'", "''") + "'"
    return str(value)
