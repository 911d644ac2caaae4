"""Detect a primary whose commits reach no replica.

A primary that is partitioned from its replicas still answers and still
accepts writes, but no commit is ever acknowledged. The sign is that its log
advances beyond everything that its replicas have received.
"""

from redwingpost.core.positions import Position


class StallDetector:
    """Measures for how long no replica has received the primary's log.

    Examples
    --------
    >>> detector = StallDetector()
    >>> detector.observe(Position(1, 9), [Position(1, 8)], now=1.0)
    0.0
    >>> detector.observe(Position(1, 9), [Position(1, 8)], now=2.5)
    1.5
    >>> detector.observe(Position(1, 9), [Position(1, 9)], now=3.0)
    0.0
    """

    def __init__(self) -> None:
        self._awaited: Position | None = None
        self._since = 0.0

    def observe(
        self, leader: Position, replicas: list[Position], now: float
    ) -> float:
        """Add one round of positions; return the stall's length (seconds)."""
        newest = max(replicas, default=None)
        if newest is None:
            self._awaited = None
            return 0.0
        if self._awaited is not None and newest < self._awaited:
            return now - self._since
        if newest >= leader:
            self._awaited = None
            return 0.0
        self._awaited = leader
        self._since = now
        return 0.0
