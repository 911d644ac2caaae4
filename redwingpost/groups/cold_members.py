"""A VM's part of the statements that a cold member may get.

Load pattern: a member that has just started is several times slower until
its caches are filled. Its response time is unknown, so every VM would try
it first; its slots and its queue fill within milliseconds, and it remains
slow for longer. So all VMs together send it at most a given number of
statements per second, on whichever VM the callers are.

The VMs exchange no messages about it: each has a fixed share of the rate,
which it derives from the VMs that may send (its *senders*). The shares of
VMs that agree on the senders add up to at most the rate. VMs disagree
while news travels: a VM starts, another ends, a link is cut. Therefore a
share that shrinks applies at once, and one that grows only after
``HOLD_S``, by which time the others know of the same change. A VM that has
just started, or that stood still, begins with no share.

``docs/design/places.md`` has the argument for each failure.
"""

from bisect import bisect_right
from collections import deque
from collections.abc import Sequence
from math import floor
from typing import NamedTuple

#: Seconds for which a larger share must have been due before it applies:
#: above the time in which a change of the list of VMs reaches all of them
#: (the store's feed, through a gatherer) and a silent VM is noticed (0.85 s),
#: each with the interval at which shares are derived again.
HOLD_S = 2.0

#: Seconds in which a VM sends at most its share. Longer than the second for
#: which the rate is given: statements that are sent within 1.25 s may arrive
#: within one second if the first of them are delayed on their way.
WINDOW_S = 1.25

#: Seconds after which a caller may come back if this VM has too small a
#: share for its statement: about the time in which shares change.
NO_SHARE_RETRY_S = 1.0

#: Seconds that are added to a wait: without them a caller that comes back
#: exactly then might be refused again because of rounding.
_ROUNDING_S = 0.001


class ColdBounds(NamedTuple):
    """By how much the statements of one second may exceed the rate.

    In any second at most ``rate * overage + slack`` statements may arrive.
    """

    overage: float = 1.5
    slack: float = 5.0

    def most(self, rate: float) -> float:
        """Return how many statements may arrive in one second.

        Examples
        --------
        >>> ColdBounds().most(20.0)
        35.0
        """
        return rate * self.overage + self.slack

    def rate_to_share(self, rate: float) -> float:
        """Return the rate to share: never more than may arrive."""
        return min(rate, self.most(rate))


def share_of(vm: str, senders: Sequence[str], rate: float) -> int:
    """Return how many statements a VM may send in ``WINDOW_S``.

    Shares are whole numbers. What is left after an equal division goes to
    the first senders, one statement each, so that the sum is the rate
    rounded down, and a rate below the number of senders isn't lost.

    Parameters
    ----------
    vm : str
        The VM.
    senders : sequence of str
        The VMs that may send, in an order on which all agree.
    rate : float
        Statements per second of all VMs together.

    Examples
    --------
    >>> [share_of(vm, ("a", "b", "c"), 8.0) for vm in ("a", "b", "c", "d")]
    [3, 3, 2, 0]
    """
    if vm not in senders:
        return 0
    each, rest = divmod(floor(rate), len(senders))
    return each + (senders.index(vm) < rest)


class HeldShare:
    """A share that shrinks at once and grows after ``HOLD_S``.

    It is the smallest share that was due at any time of the last ``HOLD_S``.

    Examples
    --------
    >>> held = HeldShare()
    >>> held.update(6, now=10.0), held.update(6, now=11.0)
    (0, 0)
    >>> held.update(6, now=12.1)
    6
    >>> held.update(4, now=12.2), held.update(6, now=13.0)
    (4, 4)
    """

    def __init__(self) -> None:
        self._due: deque[tuple[float, int]] = deque()
        self._updated_at = float("-inf")

    def update(self, due: int, now: float) -> int:
        """Note the share that is due now; return the one that applies.

        If the last call is longer ago than ``HOLD_S``, this VM may have
        stood still and doesn't know what changed meanwhile: the share is 0
        until it has been due for ``HOLD_S`` again.
        """
        if now - self._updated_at > HOLD_S:
            self._due.clear()
            self._due.append((now, 0))
        self._updated_at = now
        if self._due[-1][1] != due:
            self._due.append((now, due))
        # An entry applies until the next one begins.
        while len(self._due) > 1 and self._due[1][0] <= now - HOLD_S:
            self._due.popleft()
        return min(share for _, share in self._due)


class ColdAllowance:
    """What one VM may send to one member while the member is cold.

    ``cold_until`` is when the member stops being cold (seconds); ``share``
    is how many statements this VM may send in ``WINDOW_S``.
    """

    def __init__(self) -> None:
        self.cold_until = float("-inf")
        self.share = 0
        self._sent_at: deque[float] = deque()

    def is_cold(self, now: float) -> bool:
        """Return whether the member is cold."""
        return now < self.cold_until

    def wait_s(self, now: float, statements: int = 1) -> float:
        """Return how long statements have to wait (seconds), 0 for now.

        Parameters
        ----------
        now : float
            Seconds.
        statements : int, optional
            Statements to be sent together.
        """
        if not self.is_cold(now):
            return 0.0
        self._forget(now)
        until = self.cold_until
        if self.share < statements:
            until = min(until, now + NO_SHARE_RETRY_S)
        else:
            excess = len(self._sent_at) + statements - self.share
            if excess <= 0:
                return 0.0
            until = min(until, self._sent_at[excess - 1] + WINDOW_S)
        return max(until - now, 0.0) + _ROUNDING_S

    def note_sent(self, now: float) -> None:
        """Count a statement that is sent now."""
        self._forget(now)
        self._sent_at.append(now)

    def _forget(self, now: float) -> None:
        while self._sent_at and self._sent_at[0] <= now - WINDOW_S:
            self._sent_at.popleft()


def most_in_one_second(arrived_at: Sequence[float]) -> int:
    """Return the largest number of arrivals in any one second.

    Examples
    --------
    >>> most_in_one_second((0.0, 0.9, 1.5, 1.8))
    3
    """
    times = sorted(arrived_at)
    return max(
        (
            bisect_right(times, start + 1.0 - 1e-9) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )
