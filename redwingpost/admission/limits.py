"""Adaptive limit on the concurrent statements that a VM sends to a target.

Load pattern: a target runs five statements at a time and queues the rest
without reporting it; now and then it becomes several times slower. A
statement that waits in the target's own queue can no longer be cancelled
at its deadline, ordered fairly, or sent to a better target.

Without a limit an overload fills the target's own queue, and every caller
waits for all statements sent earlier, in order of arrival. With a fixed
limit five VMs send too much or one VM too little.

The limit follows the queueing that the statements' times reveal, as in
TCP Vegas (Brakmo and Peterson, 1995): time beyond the shortest recent one
is time in the target's queue. While fewer than ``GROW_BELOW`` statements
are estimated to be in that queue the limit grows by one; above
``SHRINK_ABOVE`` it shrinks by one.

Each of six VMs aims at half to one and a half statements in the target's
queue, three to nine together: no slot idles while an answer is in
transit, and a statement waits there for about one service time. The
shortest time expires after ``BASELINE_WINDOW_S``, so that a target that
has become slower for good gets a new baseline.

Where service times of one kind vary by a factor of several, the shortest
one makes all others look queued, and the limit falls to its minimum even
at an idle target. The minimum must then keep the target's slots busy.

A target that refuses a statement because its queue is full has told what
times only suggest: ``note_full`` shrinks the limit at once.
"""

from typing import NamedTuple

#: Concurrent statements that a VM starts with: two keep a slot busy while
#: one answer is in transit.
INITIAL_LIMIT = 2

#: Estimated numbers of this VM's statements in the target's queue.
GROW_BELOW = 0.5
SHRINK_ABOVE = 1.5

#: Factor on the limit after the target refused a statement because its
#: queue is full.
SHRINK_WHEN_FULL = 0.75

#: Seconds between two such reductions: refusals that arrive together were
#: caused by statements sent under the same limit.
FULL_INTERVAL_S = 0.1

#: Seconds after which a shortest time expires: twice the longest time that
#: a deadline lets a statement wait.
BASELINE_WINDOW_S = 10.0

#: Times up to this multiple of the shortest count as equal to it, to
#: ignore clock and scheduler noise of a busy VM.
NOISE_FACTOR = 1.25

#: Weight of the newest sample in the moving averages.
_EWMA_WEIGHT = 0.2

#: Kinds of statements for which times are kept.
MAX_KEYS = 64


class _Baseline(NamedTuple):
    """Shortest times of the current and the previous window."""

    window_started_at: float
    current_s: float
    previous_s: float

    @property
    def shortest_s(self) -> float:
        return min(self.current_s, self.previous_s)


class ConcurrencyLimit:
    """Concurrency limit of one VM for one target.

    Parameters
    ----------
    maximum : int
        Connections that the VM may hold to the target.
    minimum : int, optional
        Statements that may always run at once, as far as the maximum
        allows.

    Examples
    --------
    >>> limit = ConcurrencyLimit(maximum=10)
    >>> for turn in range(20):
    ...     limit.observe(turn * 0.01, "read", 0.01, was_at_limit=True)
    >>> limit.value > 2
    True
    """

    def __init__(self, maximum: int, minimum: int = 1) -> None:
        self._maximum = max(1, maximum)
        self._minimum = max(1, minimum)
        self._limit = float(
            min(max(INITIAL_LIMIT, self._minimum), self._maximum)
        )
        self._full_at = float("-inf")
        self._queueing_share = 0.0
        self._changed_at = float("-inf")
        self._has_seen_queueing = False
        self._baselines_by_key: dict[str, _Baseline] = {}
        self._typical_by_key: dict[str, float] = {}

    @property
    def value(self) -> int:
        """Statements that may run at once."""
        return int(self._limit)

    @property
    def expected_limit(self) -> int:
        """Concurrency to assume when a queue wait is estimated.

        A new limit starts low and grows within a few answers. Estimates
        based on it would refuse a first burst that the target can serve.
        Until the target has shown queueing, the number of connections is
        the better estimate.
        """
        return self.value if self._has_seen_queueing else self._maximum

    def set_maximum(self, maximum: int) -> None:
        """Set the number of connections, which bounds the limit."""
        self._maximum = max(1, maximum)
        self._limit = max(min(self._limit, float(self._maximum)), self._lowest)

    @property
    def _lowest(self) -> float:
        return float(min(self._minimum, self._maximum))

    def note_full(self, now: float) -> None:
        """Shrink the limit: the target's queue is full at ``now``.

        Examples
        --------
        >>> limit = ConcurrencyLimit(maximum=8, minimum=6)
        >>> for turn in range(20):
        ...     limit.observe(turn * 0.1, "read", 0.01, was_at_limit=True)
        >>> limit.note_full(3.0)
        >>> limit.value
        6
        """
        self._has_seen_queueing = True
        if now - self._full_at < FULL_INTERVAL_S:
            return
        self._full_at = self._changed_at = now
        self._limit = max(self._lowest, self._limit * SHRINK_WHEN_FULL)

    def typical(self, key: str) -> float | None:
        """Return the average time of a kind of statement (seconds)."""
        return self._typical_by_key.get(key)

    def observe(
        self, now: float, key: str, seconds: float, was_at_limit: bool
    ) -> None:
        """Update the limit from the time of an answered statement.

        Parameters
        ----------
        now : float
            When it was answered (seconds).
        key : str
            Its kind; statements of one kind take about equally long.
        seconds : float
            Time from sending to answer.
        was_at_limit : bool
            Whether the limit was reached when it was sent.
        """
        shortest_s = self._update_baseline(now, key, seconds)
        smoothed_s = self._typical_by_key.setdefault(key, seconds)
        self._typical_by_key[key] = smoothed_s + _EWMA_WEIGHT * (
            seconds - smoothed_s
        )
        share = 0.0
        if seconds > shortest_s * NOISE_FACTOR:
            share = 1.0 - shortest_s / seconds
        self._queueing_share += _EWMA_WEIGHT * (share - self._queueing_share)
        if now - self._changed_at < shortest_s:
            return
        self._adjust(now, was_at_limit)

    def _adjust(self, now: float, was_at_limit: bool) -> None:
        queued = self._limit * self._queueing_share
        if queued >= GROW_BELOW:
            self._has_seen_queueing = True
        if queued > SHRINK_ABOVE:
            self._limit = max(self._lowest, self._limit - 1.0)
            self._changed_at = now
        elif queued < GROW_BELOW and was_at_limit:
            self._limit = min(float(self._maximum), self._limit + 1.0)
            self._changed_at = now

    def _update_baseline(self, now: float, key: str, seconds: float) -> float:
        baseline = self._baselines_by_key.get(key)
        if baseline is None:
            if len(self._baselines_by_key) >= MAX_KEYS:
                oldest = next(iter(self._baselines_by_key))
                del self._baselines_by_key[oldest]
                del self._typical_by_key[oldest]
            baseline = _Baseline(now, seconds, float("inf"))
        elif now - baseline.window_started_at > BASELINE_WINDOW_S:
            baseline = _Baseline(now, seconds, baseline.current_s)
        else:
            baseline = baseline._replace(
                current_s=min(baseline.current_s, seconds)
            )
        self._baselines_by_key[key] = baseline
        return baseline.shortest_s
