"""Sessions whose position a promotion dropped.

Replication is asynchronous, so a promotion can drop transactions at the
end of the old primary's log. A session may hold the position of such a
transaction: it read it from the old primary, or its write wasn't
confirmed. Without an error its next read would miss what it had seen;
with an error on every read the session would be unusable. The caller
gets code 20309 once, and the session continues from the start of the
term that dropped the position: everything it reads from there on is in
the current log.
"""

from typing import NamedTuple

from redwingpost.core import History, Position, is_dropped


class Continuation(NamedTuple):
    """Position from which a session continues under the current log.

    ``lost`` is set if its former position was dropped, which has to be
    reported to the caller.
    """

    position: Position
    lost: bool


def continue_from(position: Position, history: History) -> Continuation:
    """Check a session's position against the history of the current log.

    Parameters
    ----------
    position : Position
        The highest position of this group that the session has seen.
    history : tuple of Position
        First position of each term, oldest first. If it ends before the
        position's term, the position counts as not lost.

    Examples
    --------
    >>> history = (Position(1, 1), Position(2, 8))
    >>> continue_from(Position(1, 9), history)
    Continuation(position=Position(term=2, index=8), lost=True)
    >>> continue_from(Position(1, 7), history).lost
    False
    """
    if not is_dropped(position, history):
        return Continuation(position, False)
    return Continuation(_dropped_at(position, history), True)


def _dropped_at(position: Position, history: History) -> Position:
    """Return the start of the first term that replaced ``position``."""
    return min(
        first
        for first in history
        if first.term > position.term and first.index <= position.index
    )
