"""What became of a write whose primary was replaced before it was safe.

The write committed at a known position and no replica confirmed it in
time. Answering "unknown" would be true, but the next term's history
knows better: either the log in force holds the position, and then the
write is as safe as that log, or the promotion dropped it for good.

Both hold only once the new term's own first entry is held by a majority:
before that, a second promotion may still fall back on the old primary's
log and bring the tail back. And a dropped write is sent again only to
the primary of that term or a later one: the replaced one still holds it.

Load pattern: every lost primary leaves some
dozens of writes in this state; each "unknown" is a call to the operators.
"""

from enum import Enum

from redwingpost.core import History, Position, lost_by


class Fate(Enum):
    """What is proven of a write after its primary was replaced."""

    SURVIVED = "the log in force holds it"
    DROPPED = "a promotion dropped it for good"
    OPEN = "not proven yet"


def judge_fate(
    position: Position, history: History, confirmed: Position
) -> Fate:
    """Judge a write by the history of the term in force.

    Parameters
    ----------
    position : Position
        Where the write committed.
    history : tuple of Position
        Of the primary in office.
    confirmed : Position
        A position of that primary's term that is proven to be held by
        a majority; of a lower term where nothing is proven.

    Examples
    --------
    >>> history = (Position(1, 1), Position(2, 8))
    >>> judge_fate(Position(1, 7), history, Position(2, 8)).name
    'SURVIVED'
    >>> judge_fate(Position(1, 8), history, Position(2, 8)).name
    'DROPPED'
    >>> judge_fate(Position(1, 8), history, Position(1, 8)).name
    'OPEN'
    """
    if not history or history[-1].term <= position.term:
        return Fate.OPEN
    if confirmed < history[-1]:
        return Fate.OPEN
    if lost_by(position, history):
        return Fate.DROPPED
    return Fate.SURVIVED
