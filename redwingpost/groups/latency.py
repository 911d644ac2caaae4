"""Smoothed response times, and the delay after which a read is hedged.

Load pattern: a member runs a statement and its answer is lost, or the member
stalls. Without a second attempt the caller waits for the statement's whole
timeout. So a read that takes longer than nearly all others is also sent to
another member, and the first answer counts.

The bound is that of TCP's retransmission timer: the smoothed time plus four
times the smoothed deviation. With the skewed service times of databases,
about one answer in a hundred exceeds it.

References
----------
Paxson, V. et al., "Computing TCP's Retransmission Timer", RFC 6298.
Dean, J. and Barroso, L., "The Tail at Scale", 2013.
"""

from redwingpost.groups.choice import INITIAL_LATENCY_S

_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25

#: Seconds after the last answer from which a member's response time counts as
#: unknown: a member in use gives a new measurement much sooner.
LATENCY_LIFETIME_S = 3.0

#: Shortest delay (seconds) before a read is hedged: scheduling on a small VM
#: alone can delay an answer by as much.
HEDGE_FLOOR_S = 0.04


class LatencyTracker:
    """Tracks a member's smoothed response time and deviation (seconds).

    Examples
    --------
    >>> tracker = LatencyTracker()
    >>> for _ in range(50):
    ...     tracker.observe(0.02, now=1.0)
    >>> tracker.smoothed_s < 0.021, tracker.late_after_s
    (True, 0.04)
    """

    def __init__(self) -> None:
        self.smoothed_s = INITIAL_LATENCY_S
        self._deviation_s = INITIAL_LATENCY_S
        self._observed_at = float("-inf")

    def is_known(self, now: float) -> bool:
        """Return whether the smoothed time is recent enough to use.

        Without an expiry, a member that was slow once would get no more
        reads, and no measurement would show that it has recovered.
        """
        return now - self._observed_at < LATENCY_LIFETIME_S

    def observe(self, seconds: float, now: float) -> None:
        """Add the response time of one answer (seconds)."""
        self._observed_at = now
        error = abs(seconds - self.smoothed_s)
        self._deviation_s += _DEVIATION_WEIGHT * (error - self._deviation_s)
        self.smoothed_s += _MEAN_WEIGHT * (seconds - self.smoothed_s)

    @property
    def late_after_s(self) -> float:
        """Return the response time (seconds) beyond which to hedge a read."""
        return max(HEDGE_FLOOR_S, self.smoothed_s + 4.0 * self._deviation_s)
