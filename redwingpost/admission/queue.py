"""Refuse a request on arrival if its estimated wait is too long.

Load pattern: more requests arrive than a target can serve. Whatever is
queued beyond the deadlines is either served too late or times out after
waiting its whole deadline; the callers retry, and the target does no
useful work at all.

Without early refusal the goodput falls as the overload grows, and a
caller learns only after its whole deadline what could have been computed
on arrival.

The wait is estimated from the backlog of the organisation's flow, the
share of the target that its weight gives it, and the measured rate at
which the target drains a backlog. With fair queueing this is an upper
bound as long as no other organisation's queue grows.

Weights alone overestimate the wait of an organisation that has little
queued: fair queueing serves its next request ahead of the backlogs of
others. Where ``AdmissionPolicy.counts_ahead`` is set, the requests that
are due before it are counted instead (``FairQueue.cost_ahead``). That is
too low if others go on to send, so the measured rates at which its own
priority and its own organisation drain bound the wait from below
(``estimate_wait_ahead``).

The estimated wait may fill ``USABLE_DEADLINE_SHARE`` of the remaining
time; the rest is a margin for errors of the estimate. A refused request
may come back after its ``retry_after_ms``, by when the queue will have
shrunk enough.
"""

from typing import NamedTuple

from redwingpost.core import Code, Refusal
from redwingpost.scheduling.fair import CostAhead

#: Part of the remaining time that the estimated wait may fill.
USABLE_DEADLINE_SHARE = 0.8

#: Longest estimated wait (seconds), whatever the deadline. Without this
#: bound the queue grows to the longest deadline, and requests with shorter
#: ones are refused. One second holds the bursts of all
#: organisations at once, each of half a second at its rate.
MAX_WAIT_S = 1.0

#: Requests of all organisations that may wait for one target at one VM.
#: At 250 statements a second and deadlines of 5 s no more than 1,250 can be
#: served in time; twice that only bounds memory.
MAX_QUEUED = 2500

#: Shortest retry-after time (milliseconds).
MIN_RETRY_MS = 10

#: Weight of the newest service time in the moving average.
_EWMA_WEIGHT = 0.1

#: Seconds over which a drain rate is measured, and for which it stays
#: valid. A quarter of a second covers some tens of answers; an old rate
#: from a slow period would refuse what can be served now.
DRAIN_WINDOW_S = 0.25
DRAIN_VALID_S = 2.0
_DRAIN_EWMA_WEIGHT = 0.3

#: Service time assumed until one is measured (seconds per cost unit).
_INITIAL_SERVICE_S = 0.01


class Backlog(NamedTuple):
    """Requests that wait for a target when another one arrives.

    ``total_cost`` is the cost of all of them and ``flow_cost`` that of the
    requests of the same organisation and kind, in cost units.
    ``weight_share`` is the share of the target that this organisation and
    kind are entitled to, 0 to 1.
    """

    total_cost: float
    flow_cost: float
    weight_share: float


class WaitLimits(NamedTuple):
    """Which waits are refused, and with which code (seconds).

    ``longest_s`` is the longest estimated wait, whatever the deadline.
    A wait above ``full_s`` is refused as over capacity even if it only
    exceeds the deadline.
    """

    longest_s: float = MAX_WAIT_S
    full_s: float = float("inf")


class ServiceTimes:
    """Moving average of the time in a slot, per cost unit."""

    def __init__(self) -> None:
        self._average_s = _INITIAL_SERVICE_S

    @property
    def average_s(self) -> float:
        """Return the average (seconds per cost unit)."""
        return self._average_s

    def observe(self, seconds: float, cost: float) -> None:
        """Record how long a statement held its slot."""
        newest = seconds / max(cost, 1e-6)
        self._average_s += _EWMA_WEIGHT * (newest - self._average_s)


class DrainRate:
    """Measured cost units a second that a member serves from a backlog.

    Computed as limit divided by service time the rate would be too high:
    the limit changes every few answers, while the service times were
    still measured under the previous limit.

    Examples
    --------
    >>> drain_rate = DrainRate()
    >>> for turn in range(101):
    ...     drain_rate.record(turn * 0.01, 1.0, is_backlogged=True)
    >>> round(drain_rate.rate(1.0))
    100
    >>> drain_rate.rate(9.0) is None
    True
    """

    def __init__(self) -> None:
        self._window_started_at: float | None = None
        self._served_cost = 0.0
        self._rate: float | None = None
        self._measured_at = float("-inf")

    def record(self, now: float, cost: float, is_backlogged: bool) -> None:
        """Record an answer; without a backlog it is ignored."""
        if not is_backlogged:
            self._window_started_at = None
            return
        if self._window_started_at is None:
            self._window_started_at, self._served_cost = now, 0.0
            return
        self._served_cost += cost
        span_s = now - self._window_started_at
        if span_s >= DRAIN_WINDOW_S:
            self._update(now, self._served_cost / span_s)
            self._window_started_at, self._served_cost = now, 0.0

    def _update(self, now: float, newest: float) -> None:
        current = self.rate(now)
        previous = newest if current is None else current
        self._rate = previous + _DRAIN_EWMA_WEIGHT * (newest - previous)
        self._measured_at = now

    def rate(self, now: float) -> float | None:
        """Return the rate, or None without a recent measurement."""
        if now - self._measured_at > DRAIN_VALID_S:
            return None
        return self._rate


def estimate_wait(backlog: Backlog, cost: float, drain_rate: float) -> float:
    """Return the estimated seconds until a request gets a slot.

    Parameters
    ----------
    backlog : Backlog
        Requests that wait already.
    cost : float
        The request's cost units.
    drain_rate : float
        Cost units a second that the target serves from this VM.

    Examples
    --------
    >>> alone = Backlog(total_cost=10.0, flow_cost=10.0, weight_share=1.0)
    >>> estimate_wait(alone, 1.0, drain_rate=200.0)
    0.05
    >>> flooded = Backlog(total_cost=1000.0, flow_cost=0.0, weight_share=0.5)
    >>> estimate_wait(flooded, 1.0, drain_rate=200.0)
    0.01
    """
    by_share = (backlog.flow_cost + cost) / max(backlog.weight_share, 1e-6)
    ahead = min(backlog.total_cost, by_share) if backlog.total_cost else 0.0
    return ahead / max(drain_rate, 1e-6)


class DrainRates(NamedTuple):
    """Cost units a second that a target serves.

    ``total`` of all requests; ``outer`` and ``flow`` of the requests of
    the same outer level and of the same flow of the fair queue, None if
    not measured recently.
    """

    total: float
    outer: float | None
    flow: float | None


def estimate_wait_ahead(
    ahead: CostAhead, flow_cost: float, rates: DrainRates
) -> float:
    """Return the estimated seconds until a request gets a slot.

    Parameters
    ----------
    ahead : CostAhead
        What the fair queue serves before the request.
    flow_cost : float
        What the request's own flow has queued, in cost units.
    rates : DrainRates
        How fast the target has drained backlogs.

    Examples
    --------
    >>> estimate_wait_ahead(
    ...     CostAhead(20.0, 5.0), 2.0, DrainRates(200.0, None, None)
    ... )
    0.1
    >>> estimate_wait_ahead(
    ...     CostAhead(20.0, 5.0), 2.0, DrainRates(200.0, 20.0, 4.0)
    ... )
    0.5
    """
    waits_s = [ahead.total_cost / max(rates.total, 1e-6)]
    if rates.outer is not None:
        waits_s.append(ahead.outer_cost / max(rates.outer, 1e-6))
    if rates.flow is not None:
        waits_s.append(flow_cost / max(rates.flow, 1e-6))
    return max(waits_s)


def check_wait(
    wait_s: float,
    service_s: float,
    remaining_s: float,
    limits: WaitLimits = WaitLimits(),
) -> Refusal | None:
    """Return a refusal if a request would wait too long, else None.

    Parameters
    ----------
    wait_s, service_s : float
        Estimated seconds in the queue and in the slot.
    remaining_s : float
        Seconds until the deadline.
    limits : WaitLimits, optional
        Which waits are refused.

    Examples
    --------
    >>> check_wait(0.1, 0.01, 1.0) is None
    True
    >>> check_wait(2.0, 0.01, 1.0).code.name
    'deadline-too-short'
    >>> check_wait(2.0, 0.01, 9.0).code.name
    'over-capacity'
    >>> check_wait(2.0, 0.01, 9.0, WaitLimits(float("inf"), 1.0)) is None
    True
    >>> check_wait(2.0, 0.01, 1.0, WaitLimits(float("inf"), 1.0)).code.name
    'over-capacity'
    """
    if remaining_s <= 0.0:
        return Refusal(Code.DEADLINE_PASSED)
    needed_s = wait_s + service_s
    allowed_s = remaining_s * USABLE_DEADLINE_SHARE
    if wait_s == 0.0 or (needed_s <= allowed_s and wait_s <= limits.longest_s):
        return None
    retry_ms = int((needed_s - min(allowed_s, limits.longest_s)) * 1000)
    is_too_short = needed_s > allowed_s and wait_s <= limits.full_s
    code = Code.DEADLINE_TOO_SHORT if is_too_short else Code.OVER_CAPACITY
    return Refusal(code, retry_after_ms=max(MIN_RETRY_MS, retry_ms))


def queue_full_refusal(wait_s: float) -> Refusal:
    """Return the refusal of a request evicted from a full queue."""
    retry_ms = max(MIN_RETRY_MS, int(wait_s * 1000))
    return Refusal(Code.OVER_CAPACITY, retry_after_ms=retry_ms)
