"""Positions in a database group's replication log.

A group's log is a sequence of committed transactions. Each promotion
increments the group's *term*. A position identifies a transaction by the
term in which it was committed and its index in the log. Two logs that
hold the same position hold the same transactions up to it (the log
matching property of Ongaro and Ousterhout, "In Search of an
Understandable Consensus Algorithm", 2014, section 5.3).
"""

from typing import NamedTuple


class Position(NamedTuple):
    """Position of a transaction in a group's log.

    Positions are ordered by term, then by index.

    Examples
    --------
    >>> Position(1, 9) < Position(2, 3)
    True
    >>> str(Position(2, 3))
    '2:3'
    """

    term: int
    index: int

    def __str__(self) -> str:
        return f"{self.term}:{self.index}"


ZERO_POSITION = Position(0, 0)

#: First position of each term, oldest first: (term, first index).
History = tuple[Position, ...]


def is_dropped(position: Position, history: History) -> bool:
    """Return whether a promotion dropped the transaction at ``position``.

    Parameters
    ----------
    position : Position
        For example a position from a session token.
    history : tuple of Position
        First position of each term of the current log.

    Returns
    -------
    bool
        True if a later term starts at or before the index, so that the
        current log holds another transaction there.

    Examples
    --------
    >>> history = (Position(1, 1), Position(2, 8))
    >>> is_dropped(Position(1, 7), history)
    False
    >>> is_dropped(Position(1, 8), history)
    True
    >>> is_dropped(Position(2, 8), history)
    False
    """
    return any(
        first.term > position.term and first.index <= position.index
        for first in history
    )
