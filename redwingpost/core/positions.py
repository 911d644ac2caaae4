"""Positions in a database group's replication log.

A group's log is a sequence of committed transactions. Each promotion
raises the group's *term*; a position names a transaction by the term it
was committed in and its index in the log. Two logs that hold the same
position hold the same transactions up to it (the log matching property
of Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm", 2014, section 5.3).
"""

from typing import NamedTuple


class Position(NamedTuple):
    """A transaction's place in a group's log; compares by term, index.

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


def lost_by(position: Position, history: History) -> bool:
    """Say whether a promotion dropped the transaction at ``position``.

    Parameters
    ----------
    position : Position
        What a session token holds.
    history : tuple of Position
        First position of each term of the log in force.

    Returns
    -------
    bool
        True if a later term starts at or before the index, so that the
        log in force holds another transaction there.

    Examples
    --------
    >>> history = (Position(1, 1), Position(2, 8))
    >>> lost_by(Position(1, 7), history)
    False
    >>> lost_by(Position(1, 8), history)
    True
    >>> lost_by(Position(2, 8), history)
    False
    """
    return any(
        first.term > position.term and first.index <= position.index
        for first in history
    )
