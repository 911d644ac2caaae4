"""How long a group's writes have waited, and when one was last acknowledged.

A single lost answer, while other writes are answered, doesn't mean that the
primary acknowledges nothing. A primary whose commits reach no replica
answers status requests but leaves every write waiting.
"""

from itertools import count


class WriteTracker:
    """Tracks the writes in flight at a group's primary; times are seconds.

    Examples
    --------
    >>> watch = WriteTracker()
    >>> first = watch.start(now=1.0)
    >>> watch.stuck_s(now=3.0)
    2.0
    >>> watch.end(first, is_answered=False)
    >>> watch.stuck_s(now=4.0)
    3.0
    >>> watch.note_acknowledged(now=5.0)
    >>> watch.stuck_s(now=6.0), watch.since_acknowledged_s(now=6.0)
    (0.0, 1.0)
    """

    def __init__(self) -> None:
        self._numbers = count()
        self._started_at: dict[int, float] = {}
        self._stuck_since: float | None = None
        self._acknowledged_at = float("-inf")

    def start(self, now: float) -> int:
        """Record that a write was sent; return its number."""
        number = next(self._numbers)
        self._started_at[number] = now
        return number

    def end(self, number: int, is_answered: bool) -> None:
        """Record that a write was answered or has failed."""
        started_at = self._started_at.pop(number, None)
        if is_answered:
            self._stuck_since = None
        elif started_at is not None and self._stuck_since is None:
            self._stuck_since = started_at

    def note_acknowledged(self, now: float) -> None:
        """Record that a write was acknowledged."""
        self._acknowledged_at = now
        self._stuck_since = None

    def clear_stuck(self) -> None:
        """Reset the stuck time: the member reported that it doesn't lead."""
        self._stuck_since = None

    def stuck_s(self, now: float) -> float:
        """Return for how long writes have waited without any answer."""
        first = next(iter(self._started_at.values()), None)
        starts = [
            start for start in (first, self._stuck_since) if start is not None
        ]
        return max(0.0, now - min(starts, default=float("inf")))

    def since_acknowledged_s(self, now: float) -> float:
        """Return how long ago a write was last acknowledged."""
        return now - self._acknowledged_at
