"""A token bucket scaled to the parts of a rate that a VM holds.

Load pattern: an organisation sends in bursts, on average within its
rate. Without a bucket either every burst is refused, or the average is
not enforced. With inexact arithmetic, parts that move a thousand times
create tokens by rounding, and the fleet serves more than was granted;
here all sums are integers and every division rounds down.

Units: a *micro-token* is a millionth of a statement; a *part* is a
millionth of the organisation's total rate and burst. At a rate of ``r``
statements a second, one part therefore refills by exactly ``r``
micro-tokens a second.
"""

from math import floor

#: Parts into which a rate is split; with a thousand VMs each of them
#: still holds a thousand parts.
TOTAL_PARTS = 1_000_000

#: Micro-tokens that a statement of cost 1 spends.
STATEMENT_MICROTOKENS = 1_000_000

_NS_PER_S = 1_000_000_000


def to_nanoseconds(now: float) -> int:
    """Return ``now`` (seconds) as whole nanoseconds."""
    return round(now * _NS_PER_S)


class Bucket:
    """Tokens for the parts held; at most the burst times the parts.

    Parameters
    ----------
    rate : float
        The organisation's total rate in statements a second.
    burst : float
        The organisation's total burst in statements.
    now : float
        Seconds; the bucket starts empty, because the previous holder of
        the parts may just have spent the burst.

    Examples
    --------
    >>> bucket = Bucket(rate=100.0, burst=50.0, now=0.0)
    >>> bucket.set_parts(500_000)
    >>> bucket.refill(0.1)
    >>> bucket.tokens
    5000000
    >>> bucket.refill(10.0)
    >>> bucket.tokens == bucket.capacity() == 25_000_000
    True
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.parts = 0
        self.tokens = 0
        # Refill below one micro-token, in micro-tokens times nanoseconds.
        self._remainder = 0
        self._refilled_ns = to_nanoseconds(now)

    def capacity(self, parts: int | None = None) -> int:
        """Return the micro-tokens that ``parts`` can hold.

        Without ``parts``: those that the parts held by this VM can hold.
        """
        held = self.parts if parts is None else parts
        return floor(self.burst * held)

    def refill_per_s(self) -> int:
        """Return the micro-tokens added per second."""
        return floor(self.rate * self.parts)

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last call.

        A ``now`` earlier than that of the last call adds nothing.
        """
        now_ns = to_nanoseconds(now)
        passed_ns = now_ns - self._refilled_ns
        if passed_ns <= 0:
            return
        self._refilled_ns = now_ns
        accrued = self.refill_per_s() * passed_ns + self._remainder
        self.tokens += accrued // _NS_PER_S
        self._remainder = accrued % _NS_PER_S
        self._clamp()

    def set_parts(self, parts: int) -> None:
        """Set the parts held, in force since the last refill."""
        self.parts = parts
        self._clamp()

    def set_limits(self, rate: float, burst: float) -> None:
        """Apply a changed rate and burst from the configuration."""
        self.rate = rate
        self.burst = burst
        self._clamp()

    def add(self, tokens: int) -> None:
        """Add tokens transferred from another VM."""
        self.tokens += tokens
        self._clamp()

    def remove(self, tokens: int) -> int:
        """Remove up to ``tokens``; return how many were removed."""
        removed = min(tokens, self.tokens)
        self.tokens -= removed
        return removed

    def take(self, tokens: int) -> bool:
        """Spend ``tokens`` if the bucket holds that many."""
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def _clamp(self) -> None:
        capacity = self.capacity()
        if self.tokens >= capacity:
            self.tokens = capacity
            self._remainder = 0
