"""Typed statements, independent of the caller's protocol.

Each caller protocol classifies its statements into these types at its
boundary. No other code parses a statement's text: it is passed unchanged
to a member, and decisions depend on the kind alone.
"""

from enum import Enum
from typing import NamedTuple


class StatementKind(Enum):
    """Kind of a statement, as routing and retries distinguish them.

    ``SESSION`` is a statement about the session that the MySQL protocol
    layer answers itself or forwards unchanged. ``REFUSED`` is a
    statement that isn't supported.
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
    """Content of a prepared statement; equal ones are interchangeable."""

    writes: bool
    text: str


class Statement(NamedTuple):
    """One statement of a caller.

    ``text`` is the caller's text, which is sent to the member. ``name``
    names a session value or a prepared statement; ``argument`` is the
    value, or the argument of the prepared statement. ``shape`` is set
    for PREPARE only.
    """

    request: str
    kind: StatementKind
    text: str
    name: str = ""
    argument: str = ""
    shape: Shape | None = None


class Answer(NamedTuple):
    """A successful answer.

    ``proof`` is the member's confirmation that it ran the statement;
    empty if the proxy answered.
    """

    rows: tuple[str, ...] = ()
    proof: str = ""
