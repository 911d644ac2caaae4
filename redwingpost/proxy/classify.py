"""Sort statements by what they may do, without parsing them.

The first word and a few words inside decide. Where they leave a doubt,
the statement counts as a write: a read sent to the primary costs load, a
write sent to a replica would be lost.
"""

from functools import lru_cache
from re import DOTALL, IGNORECASE, Match, compile as re_compile
from typing import NamedTuple

from redwingpost.core import Code, ResultCode, StatementKind

#: Bytes of one statement; the packet limit of the callers' side.
MAX_STATEMENT_CHARACTERS = 8 * 1024 * 1024

#: Statement texts kept with their class. Drivers without prepared
#: statements send every value inside the text, so few texts repeat; the
#: cache serves fixed ones (BEGIN, COMMIT, catalogue pages).
_CACHED_STATEMENTS = 2048

#: Longest statement worth a place in the cache, in characters.
_CACHED_CHARACTERS = 256


class Classified(NamedTuple):
    """A statement's class; ``refusal`` is set for REFUSED ones."""

    statement_class: StatementKind
    refusal: ResultCode | None = None


# The patterns are linear in the text. One that looks at the rest of the
# text again for each quote that doesn't close, or for each of many
# blanks, takes hours for a statement of megabytes, and the one loop
# serves nobody meanwhile. So what doesn't close reaches to the end, and
# nothing is given back once matched ("*+").
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
_BY_WORD = {
    "BEGIN": Classified(StatementKind.BEGIN),
    "START": Classified(StatementKind.BEGIN),
    "COMMIT": Classified(StatementKind.COMMIT),
    "ROLLBACK": Classified(StatementKind.ROLLBACK),
    "SET": Classified(StatementKind.SESSION),
    "USE": Classified(StatementKind.SESSION),
    "LOAD": Classified(StatementKind.REFUSED, Code.LOAD_DATA),
    "REDWING": Classified(StatementKind.REFUSED, Code.CONTROL_STATEMENT),
}
_READ = Classified(StatementKind.READ)
_WRITE = Classified(StatementKind.WRITE)
_UNSUPPORTED = Classified(StatementKind.REFUSED, Code.UNSUPPORTED)
_MULTI = Classified(StatementKind.REFUSED, Code.MULTI_STATEMENT)
_TOO_LARGE = Classified(StatementKind.REFUSED, Code.TOO_LARGE)


def classify(sql: str) -> Classified:
    """Return what a statement may do.

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


def _classify(sql: str) -> Classified:
    bare = sql
    if any(mark in sql for mark in "'\"`#/-"):
        bare = _QUOTED.sub(_blank, sql)
    if ";" in bare and _AFTER_SEMICOLON.search(bare):
        return _MULTI
    # A version comment runs on the member but would hide its words here.
    if "/*" in bare:
        return _UNSUPPORTED
    match = _FIRST_WORD.match(bare)
    if match is None:
        return _UNSUPPORTED
    return _by_word(match.group(1).upper(), bare)


def _blank(found: Match) -> str:
    text = found.group()
    if text.startswith("/*") and not text.endswith("*/"):
        return "/*"
    return "''" if text[0] in "'\"`" else " "


_classify_cached = lru_cache(maxsize=_CACHED_STATEMENTS)(_classify)


def _by_word(word: str, bare: str) -> Classified:
    if word in _BY_WORD:
        return _BY_WORD[word]
    if word in _READS:
        return _class_of_read(bare)
    if word == "WITH":
        return _WRITE if _WRITING.search(bare) else _class_of_read(bare)
    if word in _WRITES:
        # A temporary table belongs to one connection; the next statement
        # may run on another, where it is missing.
        return _UNSUPPORTED if _TEMPORARY.match(bare) else _WRITE
    return _UNSUPPORTED


def _class_of_read(bare: str) -> Classified:
    if _INTO.search(bare):
        return _UNSUPPORTED
    # A user variable lives in one connection of the member.
    if "@" in bare and _VARIABLE.search(bare):
        return _UNSUPPORTED
    return _WRITE if _LOCKING.search(bare) else _READ
