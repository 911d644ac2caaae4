"""Token buckets over recorded times.

Both functions evaluate a finished run: which of an organisation's
requests conformed to its rate, and how many of its answers exceeded
rate and burst.
"""

from heapq import heappop, heappush
from typing import NamedTuple

#: Tolerance for rounding errors, in tokens; far less than a statement's.
_EPSILON = 1e-9


class Interval(NamedTuple):
    """When a request was sent and its answer received, in seconds."""

    sent_at: float
    received_at: float


def conforming(due: list[float], rate: float, burst: float) -> list[bool]:
    """Return which requests a token bucket would have admitted.

    Parameters
    ----------
    due : list of float
        Times of the requests in ascending order, in seconds.
    rate : float
        Tokens per second.
    burst : float
        Size of the bucket, full at the start.

    Returns
    -------
    list of bool
        One entry per request.

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
    """Count the answers that exceed rate and burst at any token timing.

    Each answered request took its token at an unknown time between
    sending and receiving. Earliest-deadline-first scheduling finds
    feasible times if there are any (Liu and Layland, "Scheduling
    Algorithms for Multiprogramming in a Hard-Real-Time Environment",
    1973), so a request that misses its deadline, the receipt of its
    answer, proves a grant above the rate.

    Parameters
    ----------
    intervals : list of Interval
        Requests that were answered by a target.
    rate : float
        Tokens per second over the whole fleet.
    burst : float
        Size of the bucket, full at the start.
    tolerance_s : float
        Maximum difference between clocks, in seconds.

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
        next_at = now
        if not waiting:
            next_at = max(now, arrivals[index].sent_at)
        elif level < 1.0 - _EPSILON:
            next_at = now + (1.0 - level) / rate
        level = min(burst, level + (next_at - now) * rate)
        now = next_at
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
