"""Sessions whose position a promotion dropped.

Replication is asynchronous, so a promotion can drop transactions at the
end of the old primary's log. A session may hold such a position: it read
it from the old primary, or its write went unconfirmed. Served silently,
its next read would miss what it had seen; refused for ever, the session
would be of no more use. The session is told once, by code 20309, and
then goes on from the start of the term that dropped the position: from
there on everything it reads is in the log in force.
"""

from typing import NamedTuple

from redwingpost.core import History, Position, lost_by


class Continuation(NamedTuple):
    """What a session's position is worth under the log in force.

    ``position`` is what the session holds from now on; ``lost`` says
    that the caller has to be told.
    """

    position: Position
    lost: bool


def continue_from(position: Position, history: History) -> Continuation:
    """Judge a session's position by the history of the log in force.

    Parameters
    ----------
    position : Position
        The highest that the session has seen of this group.
    history : tuple of Position
        First position of each term, oldest first. May be older than the
        position's term; then nothing is known against the position.

    Examples
    --------
    >>> history = (Position(1, 1), Position(2, 8))
    >>> continue_from(Position(1, 9), history)
    Continuation(position=Position(term=2, index=8), lost=True)
    >>> continue_from(Position(1, 7), history).lost
    False
    """
    if not lost_by(position, history):
        return Continuation(position, False)
    return Continuation(_dropped_at(position, history), True)


def _dropped_at(position: Position, history: History) -> Position:
    """Return the start of the first term that replaced ``position``."""
    return min(
        first
        for first in history
        if first.term > position.term and first.index <= position.index
    )
