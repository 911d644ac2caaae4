"""How long answers usually take, and when one is late enough to hedge.

Load pattern: a member runs a statement and its answer is lost, or it
stalls. Without a second try the caller waits for the statement's whole
timeout. A read that is later than nearly all others is sent to another
member as well; the first answer counts.

The bound is that of TCP's retransmission timer: smoothed time plus four
times the smoothed deviation, which about one answer in a hundred of the
skewed service times of databases exceeds.

References
----------
Paxson, V. et al., "Computing TCP's Retransmission Timer", RFC 6298.
Dean, J. and Barroso, L., "The Tail at Scale", 2013.
"""

from redwingpost.groups.choice import FIRST_GUESS_S

_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25

#: Seconds after the last answer from which a member's time is taken for
#: unknown: a member that others still use tells its time much sooner.
FORGET_S = 3.0

#: Seconds below which nothing is hedged: scheduling of a small VM alone
#: delays an answer by as much.
HEDGE_FLOOR_S = 0.04


class LatencyTracker:
    """Smoothed time and deviation (seconds).

    Examples
    --------
    >>> tracker = LatencyTracker()
    >>> for _ in range(50):
    ...     tracker.observe(0.02, now=1.0)
    >>> tracker.usual_s < 0.021, tracker.late_after_s
    (True, 0.04)
    """

    def __init__(self) -> None:
        self.usual_s = FIRST_GUESS_S
        self._deviation_s = FIRST_GUESS_S
        self._observed_at = float("-inf")

    def is_known(self, now: float) -> bool:
        """Say whether the smoothed time still tells something.

        A member that was slow once gets no reads, so nothing would ever
        show that it has recovered.
        """
        return now - self._observed_at < FORGET_S

    def observe(self, seconds: float, now: float) -> None:
        """Take in one answer's time."""
        self._observed_at = now
        error = abs(seconds - self.usual_s)
        self._deviation_s += _DEVIATION_WEIGHT * (error - self._deviation_s)
        self.usual_s += _MEAN_WEIGHT * (seconds - self.usual_s)

    @property
    def late_after_s(self) -> float:
        """Return after how many seconds an answer is unusually late."""
        return max(HEDGE_FLOOR_S, self.usual_s + 4.0 * self._deviation_s)
