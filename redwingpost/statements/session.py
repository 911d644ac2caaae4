"""What one caller's session holds: values, names, its transaction.

A session outlives the member connections that serve it, so everything
that a connection must know is kept here and told to whichever connection
runs the next statement (``redwingpost.statements.setup``).
"""

from enum import Enum

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.core.statements import Shape, Statement, StatementKind
from redwingpost.observability.trace import StatementTrace

#: Session values and prepared names that one session may keep. Drivers
#: use a few dozen; the bound keeps one caller from filling the memory.
MAX_NAMES = 1000

_PLAIN_READS = frozenset({StatementKind.READ})
_PLAIN_WRITES = frozenset({StatementKind.WRITE})


class Phase(Enum):
    """Where a session stands between statements."""

    IDLE = "idle"
    IN_TRANSACTION = "in-transaction"
    FAILED = "failed"


class SessionState:
    """Values, prepared statements and the phase of one session.

    ``trace`` holds the parts of the current statement's time.

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
        self.written = ZERO_POSITION
        self.trace = StatementTrace()

    def set_value(self, name: str, value: str) -> bool:
        """Keep a value; False where the session holds too many."""
        return _keep(self.values_by_name, name, value)

    def prepare(self, name: str, shape: Shape) -> bool:
        """Keep a prepared statement; False where there are too many."""
        return _keep(self.shapes_by_name, name, shape)

    def close(self, name: str) -> None:
        """Forget a prepared statement."""
        self.shapes_by_name.pop(name, None)

    def shape_of(self, name: str) -> Shape | None:
        """Return what a prepared name runs, or None."""
        return self.shapes_by_name.get(name)

    def note_commit(self, position: Position | None) -> None:
        """Remember the position of an acknowledged commit."""
        if position is not None:
            self.written = max(self.written, position)

    def writes(self, statement: Statement) -> bool | None:
        """Say whether a statement writes; None for an unknown name.

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


def _keep(by_name: dict, name: str, item: object) -> bool:
    if name not in by_name and len(by_name) >= MAX_NAMES:
        return False
    by_name[name] = item
    return True
