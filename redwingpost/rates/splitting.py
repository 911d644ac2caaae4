"""Split an organisation's tokens when VMs are no longer heard.

Load pattern: a flood begins while a network partition does. For the
heartbeat timeout each side counts the other as heard and uses the whole
bucket and the whole rate, without knowing what the other uses: six
islands admitted 1.4 times what five seconds allow. Once the timeout has
passed, a side keeps its part of the tokens that there were when the
others were last heard, less what it has admitted since. Then all sides
together have spent, or may still spend, what the bucket held; what one
side spent too much is subtracted from its next tokens.

The bound is kept for as long as what arrives within the timeout is
itself within the bound. The tokens given up are withheld
(``redwingpost.rates.withheld``).
"""

from collections import deque

from redwingpost.membership.vm_table import HEARTBEAT_TIMEOUT_S

#: Part of the VMs in contact without an overdue heartbeat below which only
#: that part of the tokens is spent. One late VM among ten or more has no
#: effect: what a tenth of the VMs can spend twice is within the bound.
OVERDUE_RATIO = 0.9

#: Seconds of usage that are kept as one amount.
AMOUNT_S = 0.1

#: Seconds for which usage is kept: that of a VM that is no longer heard
#: is unknown since its last heartbeat.
UNKNOWN_S = HEARTBEAT_TIMEOUT_S


class RecentUsage:
    """Operations admitted by the VMs that are heard, for a short time.

    Examples
    --------
    >>> recent = RecentUsage()
    >>> recent.add(2.0, now=1.0)
    >>> recent.add(3.0, now=1.5)
    >>> recent.total(now=1.6), recent.total(now=2.2), recent.total(now=9.0)
    (5.0, 3.0, 0.0)
    """

    def __init__(self) -> None:
        self._amounts: deque[list[float]] = deque()

    def add(self, used: float, now: float) -> None:
        """Add operations."""
        if self._amounts and now - self._amounts[-1][0] < AMOUNT_S:
            self._amounts[-1][1] += used
            return
        self._expire(now)
        self._amounts.append([now, used])

    def total(self, now: float) -> float:
        """Return the operations since unheard VMs were last heard."""
        self._expire(now)
        return sum((used for _, used in self._amounts), 0.0)

    def _expire(self, now: float) -> None:
        while self._amounts and now - self._amounts[0][0] > (
            UNKNOWN_S + AMOUNT_S
        ):
            self._amounts.popleft()


def split_tokens(tokens: float, recent: float, ratio: float) -> float:
    """Return what remains of a bucket's tokens for the VMs still heard.

    Parameters
    ----------
    tokens : float
        The level now, after what was admitted recently.
    recent : float
        Operations admitted since the others were last heard.
    ratio : float
        The part of the VMs heard now by the part heard before (0 to 1).

    Examples
    --------
    >>> split_tokens(60.0, 0.0, 0.5), split_tokens(20.0, 40.0, 0.5)
    (30.0, -10.0)
    """
    return min(tokens, (tokens + recent) * ratio - recent)
