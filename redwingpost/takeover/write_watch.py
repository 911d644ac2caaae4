"""Since when a group's writes wait in vain, and when one was last kept.

One lost answer among others that come is no sign of a primary that
acknowledges nothing; a primary whose commits reach no replica answers
questions and keeps every write waiting.
"""

from itertools import count


class WriteWatch:
    """Writes under way at one group's primary; times are seconds.

    Examples
    --------
    >>> watch = WriteWatch()
    >>> first = watch.start(now=1.0)
    >>> watch.stuck_s(now=3.0)
    2.0
    >>> watch.end(first, is_answered=False)
    >>> watch.stuck_s(now=4.0)
    3.0
    >>> watch.note_kept(now=5.0)
    >>> watch.stuck_s(now=6.0), watch.kept_s(now=6.0)
    (0.0, 1.0)
    """

    def __init__(self) -> None:
        self._numbers = count()
        self._started_at: dict[int, float] = {}
        self._stuck_since: float | None = None
        self._kept_at = float("-inf")

    def start(self, now: float) -> int:
        """Note that a write is under way; return its number."""
        number = next(self._numbers)
        self._started_at[number] = now
        return number

    def end(self, number: int, is_answered: bool) -> None:
        """Note that a write has its answer, or never will."""
        started_at = self._started_at.pop(number, None)
        if is_answered:
            self._stuck_since = None
        elif started_at is not None and self._stuck_since is None:
            self._stuck_since = started_at

    def note_kept(self, now: float) -> None:
        """Note that a write was acknowledged."""
        self._kept_at = now
        self._stuck_since = None

    def forget_stuck(self) -> None:
        """Start anew: the member has said that it is no primary."""
        self._stuck_since = None

    def stuck_s(self, now: float) -> float:
        """Return for how long writes have waited in vain."""
        first = next(iter(self._started_at.values()), None)
        moments = [
            moment
            for moment in (first, self._stuck_since)
            if moment is not None
        ]
        return max(0.0, now - min(moments, default=float("inf")))

    def kept_s(self, now: float) -> float:
        """Return how long ago a write was acknowledged."""
        return now - self._kept_at
