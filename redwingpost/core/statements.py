"""Typed statements: what a caller asks, whatever protocol it speaks.

Each caller protocol sorts its texts into these types at its boundary.
Behind it nobody reads a statement's text: it travels opaque to a member,
and decisions go by the kind alone.
"""

from enum import Enum
from typing import NamedTuple


class StatementKind(Enum):
    """What a statement does, as far as routing and retries care.

    ``SESSION`` stands for statements about the session that the MySQL
    side answers or sends as they are; ``REFUSED`` for what isn't carried.
    """

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin-read-only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    EXECUTE = "execute"
    SET_VALUE = "set-value"
    PREPARE = "prepare"
    CLOSE = "close"
    SESSION = "session"
    REFUSED = "refused"


class Shape(NamedTuple):
    """What a prepared statement runs; equal shapes are interchangeable."""

    writes: bool
    text: str


class Statement(NamedTuple):
    """One statement of a caller.

    ``text`` is what the caller sent, for the member. ``name`` is that of
    a session value or a prepared statement; ``argument`` is the value,
    or what a prepared statement is executed with. ``shape`` is set for
    PREPARE only.
    """

    request: str
    kind: StatementKind
    text: str
    name: str = ""
    argument: str = ""
    shape: Shape | None = None


class Answer(NamedTuple):
    """A successful answer.

    ``proof`` is the member's own word that it ran the statement; empty
    where the proxy answered.
    """

    rows: tuple[str, ...] = ()
    proof: str = ""
