"""A member's replication log: committed transactions in order.

An entry is a transaction's statements with the term in which it was
committed; its index is its position in the log, from 1. Two logs that
hold the same (term, index) hold the same entries up to it, so the point
at which two logs diverge follows from their histories alone.
"""

from typing import Any, NamedTuple

from redwingpost.core import ZERO_POSITION, History, Position


class LoggedStatement(NamedTuple):
    """A statement in the store's dialect, with its parameters."""

    sql: str
    parameters: tuple[Any, ...] = ()


class LogEntry(NamedTuple):
    """A committed transaction; a promotion has no statements."""

    term: int
    statements: tuple[LoggedStatement, ...] = ()


def term_at(history: History, index: int) -> int:
    """Return the term of the entry at ``index``; 0 before the first.

    Examples
    --------
    >>> term_at((Position(1, 1), Position(4, 7)), 6)
    1
    >>> term_at((Position(1, 1), Position(4, 7)), 7)
    4
    """
    term = 0
    for first in history:
        if first.index > index:
            break
        term = first.term
    return term


def common_index(
    ours: History, our_length: int, theirs: History, their_length: int
) -> int:
    """Return the last index up to which two logs hold the same entries.

    Examples
    --------
    >>> ours = (Position(1, 1), Position(2, 5))
    >>> theirs = (Position(1, 1), Position(3, 4))
    >>> common_index(ours, 9, theirs, 9)
    3
    """
    index = min(our_length, their_length)
    while index > 0 and term_at(ours, index) != term_at(theirs, index):
        index -= 1
    return index


class ReplicationLog:
    """Entries in order, and the first position of each term.

    Examples
    --------
    >>> log = ReplicationLog()
    >>> log.append(LogEntry(1))
    Position(term=1, index=1)
    >>> log.append(LogEntry(3))
    Position(term=3, index=2)
    >>> log.history
    (Position(term=1, index=1), Position(term=3, index=2))
    """

    def __init__(self) -> None:
        self._entries: list[LogEntry] = []
        self.history: History = ()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def head(self) -> Position:
        """Position of the last entry."""
        if not self._entries:
            return ZERO_POSITION
        return Position(self._entries[-1].term, len(self._entries))

    def position_at(self, index: int) -> Position:
        """Return the position of the entry at ``index``."""
        if index == 0:
            return ZERO_POSITION
        return Position(self._entries[index - 1].term, index)

    def append(self, entry: LogEntry) -> Position:
        """Add an entry and return its position."""
        self._entries.append(entry)
        position = self.head
        if not self.history or self.history[-1].term != entry.term:
            self.history += (position,)
        return position

    def entry(self, index: int) -> LogEntry:
        """Return the entry at ``index``."""
        return self._entries[index - 1]

    def after(self, index: int, limit: int) -> list[LogEntry]:
        """Return at most ``limit`` entries after ``index``."""
        return self._entries[index : index + limit]

    def truncate(self, index: int) -> list[LogEntry]:
        """Remove the entries after ``index`` and return them."""
        dropped = self._entries[index:]
        del self._entries[index:]
        self.history = tuple(
            first for first in self.history if first.index <= index
        )
        return dropped

    def holds(self, term: int, index: int) -> bool:
        """Return whether the log holds entry ``index`` of ``term``'s primary.

        The last entry must be of that term: a log that ends in an older
        term may hold a different entry at the same index.
        """
        return self.head.term == term and len(self._entries) >= index
