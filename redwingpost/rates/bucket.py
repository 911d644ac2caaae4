"""A token bucket whose size follows the parts of a rate that a VM holds.

Load pattern: an organisation sends in bursts, on average within its
rate. Without a bucket either every burst is refused, or the average is
not held. Without exact arithmetic, parts that move a thousand times
create tokens out of rounding, and the fleet serves more than was
granted; here all sums are integers and every division rounds down.

Units: a *micro-token* is a millionth of a statement; parts are millionths
of the organisation's whole rate and burst, so a rate of ``r`` statements
a second gives a part exactly ``r`` micro-tokens a second.
"""

from math import floor

#: Parts of a whole rate; one organisation's rate at a thousand VMs still
#: splits into a thousand parts each.
WHOLE = 1_000_000

#: Micro-tokens of one statement of cost one.
STATEMENT = 1_000_000

_NANOSECONDS = 1_000_000_000


def to_nanoseconds(now: float) -> int:
    """Return ``now`` (seconds) as whole nanoseconds."""
    return round(now * _NANOSECONDS)


class Bucket:
    """Tokens of the parts held; never more than burst times parts.

    Parameters
    ----------
    rate : float
        The whole rate in statements a second.
    burst : float
        The whole burst in statements.
    now : float
        Seconds; the bucket starts empty, because whoever held the parts
        before may just have spent the burst.

    Examples
    --------
    >>> bucket = Bucket(rate=100.0, burst=50.0, now=0.0)
    >>> bucket.set_parts(500_000)
    >>> bucket.settle(0.1)
    >>> bucket.tokens
    5000000
    >>> bucket.settle(10.0)
    >>> bucket.tokens == bucket.capacity() == 25_000_000
    True
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.parts = 0
        self.tokens = 0
        # Micro-tokens times nanoseconds that don't make a micro-token yet.
        self._remainder = 0
        self._settled_ns = to_nanoseconds(now)

    def capacity(self, parts: int | None = None) -> int:
        """Return the micro-tokens that ``parts`` (or all) may hold."""
        held = self.parts if parts is None else parts
        return floor(self.burst * held)

    def refill_per_s(self) -> int:
        """Return the micro-tokens that a second brings."""
        return floor(self.rate * self.parts)

    def settle(self, now: float) -> None:
        """Add what has come in since the last call.

        A ``now`` before the last one adds nothing.
        """
        now_ns = to_nanoseconds(now)
        passed_ns = now_ns - self._settled_ns
        if passed_ns <= 0:
            return
        self._settled_ns = now_ns
        whole = self.refill_per_s() * passed_ns + self._remainder
        self.tokens += whole // _NANOSECONDS
        self._remainder = whole % _NANOSECONDS
        self._clamp()

    def set_parts(self, parts: int) -> None:
        """Hold ``parts`` from the last settled moment on."""
        self.parts = parts
        self._clamp()

    def set_grant(self, rate: float, burst: float) -> None:
        """Take a changed rate and burst from the configuration."""
        self.rate = rate
        self.burst = burst
        self._clamp()

    def add(self, tokens: int) -> None:
        """Take in tokens that another holder gave up."""
        self.tokens += tokens
        self._clamp()

    def remove(self, tokens: int) -> int:
        """Give up at most ``tokens``; return what was there."""
        removed = min(tokens, self.tokens)
        self.tokens -= removed
        return removed

    def take(self, tokens: int) -> bool:
        """Spend ``tokens`` if they are all there."""
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def _clamp(self) -> None:
        capacity = self.capacity()
        if self.tokens >= capacity:
            self.tokens = capacity
            self._remainder = 0
