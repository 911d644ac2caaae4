"""Classify statements by what they may do, without parsing them.

The first word and a few keywords decide. If they are ambiguous, the
statement counts as a write: a read sent to the primary only adds load,
while a write sent to a replica would be lost.
"""

from functools import lru_cache
from re import DOTALL, IGNORECASE, Match, compile as re_compile
from typing import NamedTuple

from redwingpost.core import Code, ResultCode, StatementKind

#: Longest statement (characters); equal to the packet limit for callers,
#: which is in bytes.
MAX_STATEMENT_CHARACTERS = 8 * 1024 * 1024

#: Statements in the cache of classifications. Drivers without prepared
#: statements send every value inside the text, so few texts repeat; the
#: cache is for constant ones (BEGIN, COMMIT, catalogue pages).
_CACHED_STATEMENTS = 2048

#: Longest statement that is cached (characters).
_CACHED_CHARACTERS = 256


class Classification(NamedTuple):
    """A statement's class; ``refusal`` is set for REFUSED ones."""

    statement_class: StatementKind
    refusal: ResultCode | None = None


# The patterns take linear time. One that scans the rest of the text again
# for each unclosed quote, or for each of many blanks, takes hours for a
# statement of megabytes and blocks the event loop for all callers. So an
# unclosed quote or comment matches to the end of the text, and quantifiers
# are possessive ("*+"): they don't backtrack.
_FIRST_WORD = re_compile(r"[\s(]*+(\w+)")
_QUOTED = re_compile(
    r"'(?:[^'\\]|\\.|'')*+(?:'|\\?\Z)"
    r'|"(?:[^"\\]|\\.|"")*+(?:"|\\?\Z)'
    r"|`(?:[^`]|``)*+(?:`|\Z)"
    r"|--(?=\s|$)[^\n]*|#[^\n]*|/\*(?!!).*?(?:\*/|\Z)",
    DOTALL,
)
_LOCKING = re_compile(
    r"\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\s+SHARE\s+MODE\b"
    r"|\bGET_LOCK\s*\(|\bRELEASE_LOCK\s*\(",
    IGNORECASE,
)
_WRITING = re_compile(r"\b(?:INSERT|UPDATE|DELETE|REPLACE)\b", IGNORECASE)
_INTO = re_compile(r"\bINTO\b", IGNORECASE)
_TEMPORARY = re_compile(r"\s*CREATE\s+TEMPORARY\b", IGNORECASE)
_VARIABLE = re_compile(r"(?<!@)@(?!@)")
_AFTER_SEMICOLON = re_compile(r";\s*\S")

_READS = frozenset(
    {"SELECT", "SHOW", "DESCRIBE", "DESC", "EXPLAIN", "TABLE", "VALUES"}
)
_WRITES = frozenset(
    {
        "INSERT",
        "UPDATE",
        "DELETE",
        "REPLACE",
        "CREATE",
        "ALTER",
        "DROP",
        "TRUNCATE",
        "RENAME",
        "CALL",
        "DO",
    }
)
_CLASSIFICATIONS_BY_WORD = {
    "BEGIN": Classification(StatementKind.BEGIN),
    "START": Classification(StatementKind.BEGIN),
    "COMMIT": Classification(StatementKind.COMMIT),
    "ROLLBACK": Classification(StatementKind.ROLLBACK),
    "SET": Classification(StatementKind.SESSION),
    "USE": Classification(StatementKind.SESSION),
    "LOAD": Classification(StatementKind.REFUSED, Code.LOAD_DATA),
    "REDWING": Classification(StatementKind.REFUSED, Code.CONTROL_STATEMENT),
}
_READ = Classification(StatementKind.READ)
_WRITE = Classification(StatementKind.WRITE)
_UNSUPPORTED = Classification(StatementKind.REFUSED, Code.UNSUPPORTED)
_MULTI = Classification(StatementKind.REFUSED, Code.MULTI_STATEMENT)
_TOO_LARGE = Classification(StatementKind.REFUSED, Code.TOO_LARGE)


def classify(sql: str) -> Classification:
    """Return the class of a statement, or why it is refused.

    Parameters
    ----------
    sql : str
        The statement without its mark comment.

    Examples
    --------
    >>> classify("SELECT 1").statement_class.value
    'read'
    >>> classify("select * from seats for update").statement_class.value
    'write'
    >>> classify("SELECT 1; DROP TABLE seats").refusal.name
    'multi-statement'
    """
    if len(sql) <= _CACHED_CHARACTERS:
        return _classify_cached(sql)
    if len(sql) > MAX_STATEMENT_CHARACTERS:
        return _TOO_LARGE
    return _classify(sql)


def _classify(sql: str) -> Classification:
    stripped = sql
    if any(mark in sql for mark in "'\"`#/-"):
        stripped = _QUOTED.sub(_blank_out, sql)
    if ";" in stripped and _AFTER_SEMICOLON.search(stripped):
        return _MULTI
    # A member executes a version comment, but its keywords are not
    # recognised here.
    if "/*" in stripped:
        return _UNSUPPORTED
    match = _FIRST_WORD.match(stripped)
    if match is None:
        return _UNSUPPORTED
    return _classify_by_word(match.group(1).upper(), stripped)


def _blank_out(found: Match) -> str:
    text = found.group()
    if text.startswith("/*") and not text.endswith("*/"):
        return "/*"
    return "''" if text[0] in "'\"`" else " "


_classify_cached = lru_cache(maxsize=_CACHED_STATEMENTS)(_classify)


def _classify_by_word(word: str, stripped: str) -> Classification:
    if word in _CLASSIFICATIONS_BY_WORD:
        return _CLASSIFICATIONS_BY_WORD[word]
    if word in _READS:
        return _classify_read(stripped)
    if word == "WITH":
        return (
            _WRITE if _WRITING.search(stripped) else _classify_read(stripped)
        )
    if word in _WRITES:
        # A temporary table exists on one connection only, and the next
        # statement may run on another one.
        return _UNSUPPORTED if _TEMPORARY.match(stripped) else _WRITE
    return _UNSUPPORTED


def _classify_read(stripped: str) -> Classification:
    if _INTO.search(stripped):
        return _UNSUPPORTED
    # A user variable exists on one connection to the member only.
    if "@" in stripped and _VARIABLE.search(stripped):
        return _UNSUPPORTED
    return _WRITE if _LOCKING.search(stripped) else _READ
