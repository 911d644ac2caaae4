"""Outcome of a write whose primary was replaced before it was confirmed.

The write committed at a known position and no replica confirmed it in
time. Its outcome can be resolved from the history of the next term:
either the current log holds the position, and the write is as safe as
that log, or the promotion has dropped it permanently.

Both hold only once a majority holds the first entry of the new term.
Before that, a second promotion may still choose the old primary's log
and restore the write. A dropped write is sent again only to the primary
of that term or a later one, since the replaced primary still holds it.

Load pattern: each loss of a primary leaves some dozens of writes in this
state, and each one that is answered "unknown" costs a call to the
operators.
"""

from enum import Enum

from redwingpost.core import History, Position, is_dropped


class WriteOutcome(Enum):
    """Proven outcome of a write after its primary was replaced."""

    SURVIVED = "the current log holds it"
    DROPPED = "a promotion dropped it permanently"
    UNDECIDED = "not proven yet"


def resolve_write(
    position: Position, history: History, confirmed: Position
) -> WriteOutcome:
    """Resolve the outcome of a write from the current term's history.

    Parameters
    ----------
    position : Position
        Where the write committed.
    history : tuple of Position
        History of the current primary.
    confirmed : Position
        A position of that primary's term that a majority is proven to
        hold; a position of a lower term if nothing is proven.

    Examples
    --------
    >>> history = (Position(1, 1), Position(2, 8))
    >>> resolve_write(Position(1, 7), history, Position(2, 8)).name
    'SURVIVED'
    >>> resolve_write(Position(1, 8), history, Position(2, 8)).name
    'DROPPED'
    >>> resolve_write(Position(1, 8), history, Position(1, 8)).name
    'UNDECIDED'
    """
    if not history or history[-1].term <= position.term:
        return WriteOutcome.UNDECIDED
    if confirmed < history[-1]:
        return WriteOutcome.UNDECIDED
    if is_dropped(position, history):
        return WriteOutcome.DROPPED
    return WriteOutcome.SURVIVED
