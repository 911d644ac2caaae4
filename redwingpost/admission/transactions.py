"""Decide which transactions may be open at one member, and which must end.

Load pattern: a transaction holds its connection while its caller pauses,
and more callers pause at once than a member has connections.

Without a bound, transactions that rest hold all connections, and
statements that would take milliseconds wait for callers that think for
seconds. So open transactions hold at most half of the connections that a
VM may hold to a member; others wait, in the order of priority and rate.
Since a transaction that has begun is not held up again, the bound is kept
when one begins.

An organisation whose callers pause for long would fill these places.
While others wait, none of its transactions begins if it holds its share
of the places, by rate among the organisations that hold or wait for one.

A caller that never comes back keeps its place. While others wait, the
transaction that has rested longest is ended, if it has rested for longer
than the configuration allows; never one that has rested for less.
"""

from collections import Counter
from math import ceil
from typing import NamedTuple

from redwingpost.admission.controller import (
    AdmissionPolicy,
    Arrival,
    Decision,
)
from redwingpost.admission.queue import (
    DrainRate,
    DrainRates,
    ServiceTimes,
    check_wait,
    estimate_wait_ahead,
    queue_full_refusal,
)
from redwingpost.core.requests import Refusal
from redwingpost.scheduling.fair import FairQueue

#: Part of the connections that open transactions may hold.
TRANSACTION_SHARE = 0.5


class Resting(NamedTuple):
    """A transaction that rests since a time (seconds)."""

    ticket: int
    since: float


class _Open(NamedTuple):
    """An open transaction; times are seconds."""

    arrival: Arrival
    began_at: float
    rests_since: float | None = None


class TransactionPlaces:
    """Places for open transactions of one VM at one member.

    Parameters
    ----------
    connections : int
        Connections for statements that the VM may hold to the member.
    policy : AdmissionPolicy
        Which waits are refused.

    Examples
    --------
    >>> places = TransactionPlaces(7, AdmissionPolicy())
    >>> places.places
    3
    """

    def __init__(self, connections: int, policy: AdmissionPolicy) -> None:
        self.places = 1
        self._policy = policy
        self._open_by_ticket: dict[int, _Open] = {}
        self._waiting_by_ticket: dict[int, Arrival] = {}
        self._queue: FairQueue[Arrival] = FairQueue()
        self._lengths = ServiceTimes()
        self._drain = DrainRate()
        self.set_connections(connections)

    @property
    def running(self) -> int:
        """Open transactions."""
        return len(self._open_by_ticket)

    @property
    def waiting(self) -> int:
        """Transactions that wait to begin."""
        return len(self._waiting_by_ticket)

    @property
    def max_running(self) -> int:
        """Transactions that may be open at once."""
        return self.places

    def waiting_arrivals(self) -> tuple[Arrival, ...]:
        """Return the transactions that wait to begin."""
        return tuple(self._waiting_by_ticket.values())

    def set_connections(self, connections: int) -> None:
        """Set the number of connections for statements."""
        self.places = max(1, int(connections * TRANSACTION_SHARE))

    def arrive(self, now: float, arrival: Arrival) -> Decision:
        """Begin, queue or refuse a transaction."""
        if not len(self._queue) and self.running < self.places:
            self._begin(now, arrival)
            return Decision(starts=True)
        wait_s = self._estimate_wait(now, arrival)
        refusal = check_wait(
            wait_s, 0.0, arrival.deadline_at - now, self._policy.wait_limits
        )
        if refusal is not None:
            refusal = self._policy.spread(refusal)
            return Decision(starts=False, refusal=refusal, wait_s=wait_s)
        self._queue.push(arrival, arrival.flow, arrival.cost)
        self._waiting_by_ticket[arrival.ticket] = arrival
        return Decision(starts=False, wait_s=wait_s)

    def leave(self, now: float, ticket: int) -> tuple[int, ...]:
        """Remove a transaction; return the tickets that begin now."""
        waiting = self._waiting_by_ticket.pop(ticket, None)
        if waiting is not None:
            self._queue.remove(waiting, waiting.flow)
        ended = self._open_by_ticket.pop(ticket, None)
        if ended is not None:
            self._lengths.observe(now - ended.began_at, ended.arrival.cost)
            self._drain.record(now, ended.arrival.cost, self.waiting > 0)
        return self.start_waiting(now)

    def start_waiting(self, now: float) -> tuple[int, ...]:
        """Begin transactions while there are places; return the tickets."""
        started = []
        while len(self._queue) and self.running < self.places:
            arrival = self._queue.pop_first(self._is_within_share())
            if arrival is None:
                arrival = self._queue.pop()
            del self._waiting_by_ticket[arrival.ticket]
            self._begin(now, arrival)
            started.append(arrival.ticket)
        return tuple(started)

    def latest_start(self, arrival: Arrival) -> float:
        """Return until when a waiting transaction may begin (seconds)."""
        return arrival.deadline_at

    def refuse_waiting(
        self, now: float, ticket: int
    ) -> tuple[Refusal, float] | None:
        """Refuse a transaction whose time is over before it could begin.

        Returns
        -------
        tuple or None
            The refusal and the estimated wait (seconds).
        """
        arrival = self._waiting_by_ticket.get(ticket)
        if arrival is None or arrival.deadline_at > now:
            return None
        self.leave(now, ticket)
        wait_s = self._estimate_wait(now, arrival)
        return self._policy.spread(queue_full_refusal(wait_s)), wait_s

    def clear(self) -> tuple[int, ...]:
        """Empty the queue; return the tickets that waited."""
        tickets = tuple(self._waiting_by_ticket)
        self._waiting_by_ticket.clear()
        self._queue = FairQueue()
        return tickets

    def rest(self, now: float, ticket: int) -> None:
        """Record that a transaction waits for its caller."""
        if ticket in self._open_by_ticket:
            self._open_by_ticket[ticket] = self._open_by_ticket[
                ticket
            ]._replace(rests_since=now)

    def resume(self, ticket: int) -> None:
        """Record that a transaction's next statement runs."""
        if ticket in self._open_by_ticket:
            self._open_by_ticket[ticket] = self._open_by_ticket[
                ticket
            ]._replace(rests_since=None)

    def to_evict(
        self, now: float, idle_s: float, *, is_pressed: bool
    ) -> Resting | None:
        """Return the transaction to end, if one must be.

        Parameters
        ----------
        now : float
            Seconds.
        idle_s : float
            Seconds that a transaction may rest, whoever waits.
        is_pressed : bool
            Whether anything else waits for the member's connections.
        """
        if not (is_pressed or self.waiting):
            return None
        resting = [
            Resting(ticket, item.rests_since)
            for ticket, item in self._open_by_ticket.items()
            if item.rests_since is not None
        ]
        longest = min(resting, key=lambda one: one.since, default=None)
        if longest is None or now - longest.since <= idle_s:
            return None
        return longest

    def _begin(self, now: float, arrival: Arrival) -> None:
        self._open_by_ticket[arrival.ticket] = _Open(arrival, now)

    def _is_within_share(self):
        """Return a check whether an organisation may begin another one."""
        held = Counter(
            item.arrival.flow.kind for item in self._open_by_ticket.values()
        )
        arrivals = [item.arrival for item in self._open_by_ticket.values()]
        arrivals += self._waiting_by_ticket.values()
        weight_by_organisation = {
            arrival.flow.kind: arrival.flow.kind_weight for arrival in arrivals
        }
        total = sum(weight_by_organisation.values())

        def is_within(arrival: Arrival) -> bool:
            flow = arrival.flow
            share = ceil(self.places * flow.kind_weight / total)
            return held[flow.kind] < max(1, share)

        return is_within

    def _estimate_wait(self, now: float, arrival: Arrival) -> float:
        rate = self._drain.rate(now)
        if rate is None:
            rate = self.places / self._lengths.average_s
        flow = arrival.flow
        return estimate_wait_ahead(
            self._queue.cost_ahead(flow),
            self._queue.backlog(flow),
            DrainRates(rate, None, None),
        )
