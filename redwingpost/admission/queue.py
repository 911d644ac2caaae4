"""Say at once whether a request can be served in its time.

Load pattern: more arrives than a target can do. Whatever is queued
beyond the deadlines is worked on in vain, or times out after its whole
wait; its callers come back and the target does no useful work at all.

Without early refusal the goodput falls with the overload, and a caller
learns after its whole deadline what was known on arrival.

Grounds: the wait is estimated from what the organisation has queued, the
share that its weight gives it of the target, and the rate at which the
target was seen to serve a backlog. Fair queueing makes this an upper
bound as long as the others don't grow.
``MARGIN`` of the remaining time is kept back for
errors of the estimate; a request refused with it to spare may come back
when ``retry_after`` says, which is when the queue will have shrunk to
its time.
"""

from typing import NamedTuple

from redwingpost.core import Code, Refusal

#: Part of the remaining time that the estimated wait may fill.
MARGIN = 0.8

#: Longest estimated wait (seconds), whatever the deadline. Without it the
#: queue grows to the longest deadline, and requests with shorter ones find
#: no place. A second holds the bursts of all organisations at once, which
#: are half a second of their rates each.
MAX_WAIT_S = 1.0

#: Requests that wait for one target at one VM, all organisations. At 250
#: statements a second and deadlines of 5 s more than 1,250 can't be
#: served in time; the double bounds memory, not service.
MAX_QUEUED = 2500

#: Least time to name for coming back (milliseconds).
MIN_RETRY_MS = 10

#: Weight of the newest service time in the average.
_NEWEST = 0.1

#: Seconds over which a drain rate is measured, and for which it is
#: believed: a quarter second holds some tens of answers, and a rate from
#: a slow spell long past would refuse what can be served now.
DRAIN_WINDOW_S = 0.25
DRAIN_VALID_S = 2.0
_NEWEST_DRAIN = 0.3

#: Service time assumed before one was measured (seconds per cost unit).
_FIRST_SERVICE_S = 0.01


class Backlog(NamedTuple):
    """What waits at a target when a request arrives, in cost units.

    ``own`` waits for the same organisation and kind, ``weight_share`` is
    the part of the target that the two are entitled to, 0 to 1.
    """

    total: float
    own: float
    weight_share: float


class ServiceTimes:
    """Average seconds in a slot per cost unit."""

    def __init__(self) -> None:
        self._seconds = _FIRST_SERVICE_S

    @property
    def seconds(self) -> float:
        """Return the average."""
        return self._seconds

    def observe(self, seconds: float, cost: float) -> None:
        """Take in a statement's time in its slot."""
        newest = seconds / max(cost, 1e-6)
        self._seconds += _NEWEST * (newest - self._seconds)


class DrainRate:
    """Cost units a second that a member serves while others wait.

    Limit by service time overstates it: the limit moves with every few
    answers, and the newest one meets times measured under the last.

    Examples
    --------
    >>> drain = DrainRate()
    >>> for turn in range(101):
    ...     drain.note(turn * 0.01, 1.0, is_backlogged=True)
    >>> round(drain.rate(1.0))
    100
    >>> drain.rate(9.0) is None
    True
    """

    def __init__(self) -> None:
        self._since: float | None = None
        self._served = 0.0
        self._rate: float | None = None
        self._measured_at = float("-inf")

    def note(self, now: float, cost: float, is_backlogged: bool) -> None:
        """Take in an answer; without a backlog it says nothing."""
        if not is_backlogged:
            self._since = None
            return
        if self._since is None:
            self._since, self._served = now, 0.0
            return
        self._served += cost
        span = now - self._since
        if span >= DRAIN_WINDOW_S:
            self._take(now, self._served / span)
            self._since, self._served = now, 0.0

    def _take(self, now: float, newest: float) -> None:
        fresh = self.rate(now)
        known = newest if fresh is None else fresh
        self._rate = known + _NEWEST_DRAIN * (newest - known)
        self._measured_at = now

    def rate(self, now: float) -> float | None:
        """Return the rate, None where it isn't known just now."""
        if now - self._measured_at > DRAIN_VALID_S:
            return None
        return self._rate


def estimate_wait(backlog: Backlog, cost: float, drain: float) -> float:
    """Return the seconds until a request's turn, by estimate.

    Parameters
    ----------
    backlog : Backlog
        What waits already.
    cost : float
        The request's cost units.
    drain : float
        Cost units a second that the target serves from here.

    Examples
    --------
    >>> alone = Backlog(total=10.0, own=10.0, weight_share=1.0)
    >>> estimate_wait(alone, 1.0, drain=200.0)
    0.05
    >>> flooded = Backlog(total=1000.0, own=0.0, weight_share=0.5)
    >>> estimate_wait(flooded, 1.0, drain=200.0)
    0.01
    """
    by_share = (backlog.own + cost) / max(backlog.weight_share, 1e-6)
    ahead = min(backlog.total, by_share) if backlog.total else 0.0
    return ahead / max(drain, 1e-6)


def judge_arrival(
    wait_s: float, service_s: float, remaining_s: float
) -> Refusal | None:
    """Refuse a request that can't be served before its deadline.

    Parameters
    ----------
    wait_s, service_s : float
        Estimated seconds in the queue and in the slot.
    remaining_s : float
        Seconds until the deadline.

    Examples
    --------
    >>> judge_arrival(0.1, 0.01, 1.0) is None
    True
    >>> judge_arrival(2.0, 0.01, 1.0).code.name
    'deadline-too-short'
    >>> judge_arrival(2.0, 0.01, 9.0).code.name
    'over-capacity'
    """
    if remaining_s <= 0.0:
        return Refusal(Code.DEADLINE_PASSED)
    needed = wait_s + service_s
    allowed = remaining_s * MARGIN
    if wait_s == 0.0 or (needed <= allowed and wait_s <= MAX_WAIT_S):
        return None
    retry_ms = int((needed - min(allowed, MAX_WAIT_S)) * 1000)
    is_short = needed > allowed
    code = Code.DEADLINE_TOO_SHORT if is_short else Code.OVER_CAPACITY
    return Refusal(code, retry_after_ms=max(MIN_RETRY_MS, retry_ms))


def refuse_full(wait_s: float) -> Refusal:
    """Return the refusal of a request that a full queue gives up."""
    retry_ms = max(MIN_RETRY_MS, int(wait_s * 1000))
    return Refusal(Code.OVER_CAPACITY, retry_after_ms=retry_ms)
