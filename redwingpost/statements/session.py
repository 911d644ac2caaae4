"""State of one caller's session: values, prepared statements, transaction.

A session outlives the member connections that serve it. Its values and
prepared statements are therefore kept here and set up on whichever
connection runs the next statement (``redwingpost.statements.setup``).
"""

from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.core.statements import Shape, Statement, StatementKind
from redwingpost.observability.trace import StatementTrace

#: Session values, and prepared statements, that one session may hold.
#: Drivers use a few dozen; the bound keeps one caller from exhausting the
#: memory.
MAX_NAMES = 1000

#: Bytes of the values, and of the prepared statements, that one session may
#: hold. The values travel with each statement that another VM runs.
MAX_BYTES = 2 * 1024 * 1024

_PLAIN_READS = frozenset({StatementKind.READ})
_PLAIN_WRITES = frozenset({StatementKind.WRITE})

#: Statements that change what others of the session run with.
_CHANGE_SET_UP = frozenset(
    {StatementKind.SET_VALUE, StatementKind.PREPARE, StatementKind.CLOSE}
)


_Stored = TypeVar("_Stored")


class Phase(Enum):
    """Transaction state of a session between statements."""

    IDLE = "idle"
    IN_TRANSACTION = "in-transaction"
    FAILED = "failed"


class SessionState:
    """Values, prepared statements and the phase of one session.

    ``written_by_group`` is the highest position of the session's
    acknowledged commits in each group; a position says nothing about the log
    of another group, to which a route may change. ``trace`` records how the
    current statement's time is spent.

    Examples
    --------
    >>> state = SessionState()
    >>> state.prepare("by-parish", Shape(False, "q2"))
    True
    >>> state.shape_of("by-parish")
    Shape(writes=False, text='q2')
    >>> state.phase.value
    'idle'
    """

    def __init__(self) -> None:
        self.phase = Phase.IDLE
        self.values_by_name: dict[str, str] = {}
        self.shapes_by_name: dict[str, Shape] = {}
        self.written_by_group: dict[str, Position] = {}
        self.trace = StatementTrace()
        self._in_doubt_until = float("-inf")
        self._write_in_doubt_until = float("-inf")

    def note_in_doubt(self, until: float, is_write: bool) -> None:
        """Note a statement that a home may still send to a member.

        Parameters
        ----------
        until : float
            When it can't any more (seconds).
        is_write : bool
            Whether it may change what is stored.
        """
        self._in_doubt_until = max(self._in_doubt_until, until)
        if is_write:
            self._write_in_doubt_until = max(self._write_in_doubt_until, until)

    def waits_until(self, statement: Statement) -> float:
        """Return until when a statement must wait for those in doubt.

        One in doubt would run with the values from before a SET that was
        acknowledged, or overwrite a later write.

        Returns
        -------
        float
            Seconds; in the past if it need not wait.

        Examples
        --------
        >>> state = SessionState()
        >>> state.note_in_doubt(7.5, is_write=False)
        >>> change = Statement("1", StatementKind.SET_VALUE, "SET tone low")
        >>> state.waits_until(change)
        7.5
        >>> state.waits_until(Statement("2", StatementKind.WRITE, "WRITE a 1"))
        -inf
        """
        if statement.kind in _CHANGE_SET_UP:
            return self._in_doubt_until
        if statement.kind is StatementKind.COMMIT or self.writes(statement):
            return self._write_in_doubt_until
        return float("-inf")

    def set_value(self, name: str, value: str) -> bool:
        """Set a value; return False if the session has too many."""
        return _store(self.values_by_name, name, value, _count_bytes)

    def prepare(self, name: str, shape: Shape) -> bool:
        """Add a prepared statement; return False if there are too many."""
        return _store(
            self.shapes_by_name,
            name,
            shape,
            lambda item: _count_bytes(item.text),
        )

    def close(self, name: str) -> None:
        """Remove a prepared statement."""
        self.shapes_by_name.pop(name, None)

    def shape_of(self, name: str) -> Shape | None:
        """Return the shape of a prepared statement, or None."""
        return self.shapes_by_name.get(name)

    def note_commit(self, group: str, position: Position | None) -> None:
        """Record the position of an acknowledged commit in a group."""
        if position is not None and position > self.written_in(group):
            self.written_by_group[group] = position

    def written_in(self, group: str) -> Position:
        """Return the position of the session's last commit in a group."""
        return self.written_by_group.get(group, ZERO_POSITION)

    def writes(self, statement: Statement) -> bool | None:
        """Return whether a statement writes; None for an unknown name.

        Examples
        --------
        >>> read = Statement("1", StatementKind.READ, "READ a")
        >>> SessionState().writes(read)
        False
        """
        if statement.kind in _PLAIN_READS:
            return False
        if statement.kind in _PLAIN_WRITES:
            return True
        shape = self.shape_of(statement.name)
        return None if shape is None else shape.writes


def _store(
    by_name: dict[str, _Stored],
    name: str,
    value: _Stored,
    count_bytes: Callable[[_Stored], int],
) -> bool:
    if name not in by_name and len(by_name) >= MAX_NAMES:
        return False
    others = sum(
        _count_bytes(other) + count_bytes(item)
        for other, item in by_name.items()
        if other != name
    )
    if others + _count_bytes(name) + count_bytes(value) > MAX_BYTES:
        return False
    by_name[name] = value
    return True


def _count_bytes(text: str) -> int:
    return len(text.encode(errors="surrogateescape"))
