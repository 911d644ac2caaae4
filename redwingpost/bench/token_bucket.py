"""Token buckets over recorded times: what a rate allowed.

Both functions answer for a history, after the fact: which requests an
organisation offered within its rate, and whether the answers it got fit
its rate and burst at all.
"""

from heapq import heappop, heappush
from typing import NamedTuple

#: Rounding of token arithmetic; far below one statement.
_EPSILON = 1e-9


class Interval(NamedTuple):
    """A request's stay in the system: sent and received, in seconds."""

    sent_at: float
    received_at: float


def conforming(due: list[float], rate: float, burst: float) -> list[bool]:
    """Say for each time whether a full bucket would have let it pass.

    Parameters
    ----------
    due : list of float
        Ascending times in seconds.
    rate : float
        Tokens per second.
    burst : float
        Size of the bucket, full at the start.

    Returns
    -------
    list of bool
        One entry per time.

    Examples
    --------
    >>> conforming([0.0, 0.0, 0.0, 1.0], rate=1.0, burst=2.0)
    [True, True, False, True]
    """
    passed = []
    level = burst
    last = due[0] if due else 0.0
    for now in due:
        level = min(burst, level + (now - last) * rate)
        last = now
        allowed = level >= 1.0 - _EPSILON
        level -= 1.0 if allowed else 0.0
        passed.append(allowed)
    return passed


def count_over_rate(
    intervals: list[Interval],
    rate: float,
    burst: float,
    tolerance_s: float,
) -> int:
    """Count the answers that no schedule of tokens could have allowed.

    Each answered request spent its token somewhere between sending and
    receiving. The earliest-deadline-first schedule finds a fitting set
    of moments if there is one (Liu and Layland, "Scheduling Algorithms
    for Multiprogramming in a Hard-Real-Time Environment", 1973), so a
    request that misses its end is proof of a grant above the rate.

    Parameters
    ----------
    intervals : list of Interval
        Requests that were answered by a target.
    rate : float
        Tokens per second over the whole fleet.
    burst : float
        Size of the bucket, full at the start.
    tolerance_s : float
        How far clocks may differ, in seconds.

    Returns
    -------
    int
        Answers above rate and burst.

    Examples
    --------
    >>> at_once = [Interval(0.0, 0.1)] * 5
    >>> count_over_rate(at_once, rate=10.0, burst=4.0, tolerance_s=0.0)
    0
    >>> count_over_rate(at_once, rate=10.0, burst=3.0, tolerance_s=0.0)
    1
    """
    waiting: list[tuple[float, float]] = []
    arrivals = sorted(intervals)
    level, over, index = burst, 0, 0
    now = arrivals[0].sent_at if arrivals else 0.0
    while waiting or index < len(arrivals):
        target = now
        if not waiting:
            target = max(now, arrivals[index].sent_at)
        elif level < 1.0 - _EPSILON:
            target = now + (1.0 - level) / rate
        level = min(burst, level + (target - now) * rate)
        now = target
        while index < len(arrivals) and arrivals[index].sent_at <= now:
            arrival = arrivals[index]
            heappush(waiting, (arrival.received_at, arrival.sent_at))
            index += 1
        if not waiting or level < 1.0 - _EPSILON:
            continue
        received_at, _ = heappop(waiting)
        if now > received_at + tolerance_s + _EPSILON:
            over += 1
        else:
            level -= 1.0
    return over
