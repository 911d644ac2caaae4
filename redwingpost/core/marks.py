"""Request marks: options of a single statement, set by the caller.

Marks are sent as query attributes, or as a leading comment by drivers
without query attributes::

    /* redwing: kind=order, idempotency_key=o-17, deadline_ms=500 */ INSERT …

They are parsed once, and the comment is removed before the statement is
sent to a target.
"""

from collections.abc import Mapping
from difflib import get_close_matches
from re import DOTALL, compile as re_compile
from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.core.codes import Code
from redwingpost.core.requests import Marks, Refusal

#: Maximum length of a mark's value, in characters. Tokens are the longest
#: values: about 60 characters plus 30 per group. 4 kB suffices for 100
#: groups and keeps a hostile mark from filling tables keyed by it.
MAX_MARK_CHARACTERS = 4096

#: Maximum duration in a mark, one day in milliseconds. A longer deadline
#: or age is assumed to be in the wrong unit.
MAX_MARK_MS = 86_400_000

_COMMENT = re_compile(r"\s*/\*\s*redwing:(.*?)\*/", DOTALL)
_FLAGS = frozenset({"non_idempotent"})
_NUMBERS = frozenset({"max_staleness_ms", "deadline_ms"})
_TRUE_WORDS = frozenset({"", "1", "true", "yes"})
_FALSE_WORDS = frozenset({"0", "false", "no"})

NO_MARKS = Marks()


class MarkedStatement(NamedTuple):
    """A statement without its mark comment, and the marks."""

    sql: str
    marks: Marks


def read_marks(
    sql: str, attributes: Mapping[str, str]
) -> Result[MarkedStatement, Refusal]:
    """Split a statement into its marks and the SQL for the target.

    Parameters
    ----------
    sql : str
        The statement as the caller sent it.
    attributes : mapping
        Query attributes; they override the marks in the comment.

    Returns
    -------
    Result of MarkedStatement or Refusal
        ``Code.BAD_MARK`` for unknown names and unreadable values.

    Examples
    --------
    >>> read = read_marks("/* redwing: kind=order */ SELECT 1", {})
    >>> read.ok.sql, read.ok.marks.kind
    ('SELECT 1', 'order')
    >>> read_marks("/* redwing: knid=order */ SELECT 1", {}).error.detail
    "unknown mark 'knid'; did you mean 'kind'?"
    """
    comment = _COMMENT.match(sql)
    if comment is None and not attributes:
        return Ok(MarkedStatement(sql, NO_MARKS))
    pairs = {}
    if comment is not None:
        pairs.update(_split(comment.group(1)))
        sql = sql[comment.end() :].lstrip()
    pairs.update(attributes)
    values = {}
    for name, text in pairs.items():
        read = _read_value(name, text)
        if read.is_error():
            return Error(read.error)
        values[name] = read.ok
    return Ok(MarkedStatement(sql, Marks(**values)))


def _split(body: str) -> dict[str, str]:
    parts = (part.strip() for part in body.split(","))
    pairs = (part.partition("=") for part in parts if part)
    return {name.strip(): value.strip() for name, _, value in pairs}


def _read_value(name: str, text: object) -> Result[object, Refusal]:
    if name not in Marks._fields:
        return Error(_unknown_mark(name))
    text = "" if text is None else str(text)
    if len(text) > MAX_MARK_CHARACTERS:
        return _bad_mark(f"mark {name!r} is longer than {MAX_MARK_CHARACTERS}")
    if name in _FLAGS:
        return _read_flag(name, text)
    if name in _NUMBERS:
        return _read_number(name, text)
    return Ok(text)


def _read_flag(name: str, text: str) -> Result[bool, Refusal]:
    if text.lower() in _TRUE_WORDS:
        return Ok(True)
    if text.lower() in _FALSE_WORDS:
        return Ok(False)
    return _bad_mark(f"mark {name!r} takes true or false")


def _read_number(name: str, text: str) -> Result[int, Refusal]:
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        return _bad_mark(f"mark {name!r} takes whole milliseconds")
    if int(text) > MAX_MARK_MS:
        return _bad_mark(f"mark {name!r} is longer than a day")
    return Ok(int(text))


def _bad_mark(detail: str) -> Result:
    return Error(Refusal(Code.BAD_MARK, detail))


def _unknown_mark(name: str) -> Refusal:
    shown = name[:40]
    near = get_close_matches(shown, Marks._fields, 1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return Refusal(Code.BAD_MARK, f"unknown mark {shown!r}{hint}")
