"""Find how many statements a target takes at once, and follow it.

Load pattern: a target works on five statements at a time and queues the
rest without saying so; now and then it slows several times. What is sent
beyond its slots waits where no deadline, fairness or better target can
reach it any more.

Without a limit an overload fills the target's own queue: every caller
waits for all that was sent before, in order of arrival. With a fixed
limit five VMs send too much or one VM too little.

The limit follows the queueing that the statements themselves show, as
TCP Vegas does (Brakmo and Peterson, 1995): time beyond the shortest seen
lately is time in the target's queue. Below ``GROW_BELOW`` statements in
that queue the limit grows by one, above ``SHRINK_ABOVE`` it shrinks.

Grounds: each of six VMs aims at half to one and a half statements in the
target's queue, together three to nine, so that no slot idles while an
answer is under way, and a statement waits about one service time there.
The shortest time is forgotten after ``BASE_WINDOW_S``: a target that has
really become slower is then taken as it is.
"""

from typing import NamedTuple

#: Statements at once that a VM starts with: two keep a slot busy while
#: one answer is under way.
FIRST_LIMIT = 2

#: Statements in the target's queue, by estimate.
GROW_BELOW = 0.5
SHRINK_ABOVE = 1.5

#: Seconds after which a shortest time is forgotten; twice the longest
#: that a deadline lets a statement wait.
BASE_WINDOW_S = 10.0

#: Times shorter than this much above the shortest count as equal: clock
#: and scheduler noise of a busy VM.
NOISE = 1.25

#: Weight of the newest statement in the smoothed queueing share.
_NEWEST = 0.2

#: Largest number of kinds of statement with a time of their own.
MAX_KEYS = 64


class _Base(NamedTuple):
    """Shortest times of this window and of the one before (seconds)."""

    since: float
    current: float
    previous: float

    @property
    def least(self) -> float:
        return min(self.current, self.previous)


class ConcurrencyLimit:
    """The limit of one VM towards one target.

    Parameters
    ----------
    maximum : int
        What the VM's connections to the target allow.

    Examples
    --------
    >>> limit = ConcurrencyLimit(maximum=10)
    >>> for turn in range(20):
    ...     limit.observe(turn * 0.01, "read", 0.01, was_full=True)
    >>> limit.value > 2
    True
    """

    def __init__(self, maximum: int) -> None:
        self._maximum = max(1, maximum)
        self._limit = float(min(FIRST_LIMIT, self._maximum))
        self._queueing = 0.0
        self._changed_at = float("-inf")
        self._has_met_queueing = False
        self._bases_by_key: dict[str, _Base] = {}
        self._typical_by_key: dict[str, float] = {}

    @property
    def value(self) -> int:
        """Statements that may be under way at once."""
        return int(self._limit)

    @property
    def promised(self) -> int:
        """Statements at once to count on when a wait is estimated.

        A new limit starts low and grows within a few answers. Taken at
        its word, it would refuse the first burst that the target could
        well serve; until the target has shown queueing, what the
        connections allow is the better guess.
        """
        return self.value if self._has_met_queueing else self._maximum

    def set_maximum(self, maximum: int) -> None:
        """Take what the connections now allow."""
        self._maximum = max(1, maximum)
        self._limit = min(self._limit, float(self._maximum))

    def typical(self, key: str) -> float | None:
        """Return the smoothed time of a kind of statement (seconds)."""
        return self._typical_by_key.get(key)

    def observe(
        self, now: float, key: str, seconds: float, was_full: bool
    ) -> None:
        """Take in how long a statement took.

        Parameters
        ----------
        now : float
            When it was answered (seconds).
        key : str
            Its kind: statements of one kind take equally long.
        seconds : float
            From sending to answer.
        was_full : bool
            Whether as many were under way as the limit allows.
        """
        least = self._learn(now, key, seconds)
        known = self._typical_by_key.setdefault(key, seconds)
        self._typical_by_key[key] = known + _NEWEST * (seconds - known)
        share = 0.0
        if seconds > least * NOISE:
            share = 1.0 - least / seconds
        self._queueing += _NEWEST * (share - self._queueing)
        if now - self._changed_at < least:
            return
        self._adjust(now, was_full)

    def _adjust(self, now: float, was_full: bool) -> None:
        waiting = self._limit * self._queueing
        if waiting >= GROW_BELOW:
            self._has_met_queueing = True
        if waiting > SHRINK_ABOVE:
            self._limit = max(1.0, self._limit - 1.0)
            self._changed_at = now
        elif waiting < GROW_BELOW and was_full:
            self._limit = min(float(self._maximum), self._limit + 1.0)
            self._changed_at = now

    def _learn(self, now: float, key: str, seconds: float) -> float:
        found = self._bases_by_key.get(key)
        if found is None:
            if len(self._bases_by_key) >= MAX_KEYS:
                oldest = next(iter(self._bases_by_key))
                del self._bases_by_key[oldest]
                del self._typical_by_key[oldest]
            found = _Base(now, seconds, float("inf"))
        elif now - found.since > BASE_WINDOW_S:
            found = _Base(now, seconds, found.current)
        else:
            found = found._replace(current=min(found.current, seconds))
        self._bases_by_key[key] = found
        return found.least
