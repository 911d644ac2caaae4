"""Notice a primary whose commits reach no replica.

A primary that is cut off from its replicas still answers, and still
takes writes; but no commit is ever acknowledged. It shows in that its
log goes ahead of everything its replicas receive.
"""

from redwingpost.core.positions import Position


class StallWatch:
    """Since when no replica has received what the primary holds.

    Examples
    --------
    >>> watch = StallWatch()
    >>> watch.note(Position(1, 9), [Position(1, 8)], now=1.0)
    0.0
    >>> watch.note(Position(1, 9), [Position(1, 8)], now=2.5)
    1.5
    >>> watch.note(Position(1, 9), [Position(1, 9)], now=3.0)
    0.0
    """

    def __init__(self) -> None:
        self._waiting_for: Position | None = None
        self._since = 0.0

    def note(
        self, leader: Position, replicas: list[Position], now: float
    ) -> float:
        """Take in one round; return the stall's length (seconds)."""
        best = max(replicas, default=None)
        if best is None:
            self._waiting_for = None
            return 0.0
        if self._waiting_for is not None and best < self._waiting_for:
            return now - self._since
        if best >= leader:
            self._waiting_for = None
            return 0.0
        self._waiting_for = leader
        self._since = now
        return 0.0
