"""Decide for one member which statement starts, waits or is refused.

The controller combines the concurrency limit, the fair queues, early
refusal and the circuit breaker for one member at one VM. It handles
tickets, not connections: the proxy calls it when a statement arrives or
ends, and starts the statements whose tickets it returns.

Load pattern: those described in ``limits``, ``queue``, ``breaker`` and
``redwingpost.scheduling``. Long jobs have a queue and slots of their own,
so that short statements never queue behind them.
"""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.admission.breaker import TargetBreaker
from redwingpost.admission.limits import ConcurrencyLimit
from redwingpost.admission.queue import (
    MAX_QUEUED,
    Backlog,
    DrainRate,
    DrainRates,
    ServiceTimes,
    WaitLimits,
    check_wait,
    estimate_wait,
    estimate_wait_ahead,
    queue_full_refusal,
)
from redwingpost.core import Refusal
from redwingpost.scheduling.fair import (
    NO_PREFERENCE,
    FairQueue,
    Flow,
    Preference,
)

#: Long jobs that one VM runs on one member at a time
#: (``redwingpost.scheduling.long_jobs``).
MAX_LONG_JOBS_PER_MEMBER = 1


#: Multiple of the average service time after which a target that has
#: answered nothing counts as stalled.
STALL_FACTOR = 10.0

#: Longest time (seconds) before its deadline in which a waiting statement
#: no longer starts; the average service time, if that is shorter.
MAX_RESERVED_S = 0.05

#: Largest jitter of a retry-after time, as a part of it. Callers that were
#: refused together would otherwise return together.
RETRY_JITTER = 0.5


class AdmissionPolicy(NamedTuple):
    """What differs between the deployments of the controller.

    ``min_limit`` is the smallest concurrency limit. ``counts_ahead``
    selects how waits are estimated (``redwingpost.admission.queue``).
    ``draw`` returns a number from 0 to 1 for the jitter of a retry-after
    time.
    """

    min_limit: int = 1
    wait_limits: WaitLimits = WaitLimits()
    counts_ahead: bool = False
    draw: Callable[[], float] = lambda: 0.0

    def spread(self, refusal: Refusal) -> Refusal:
        """Return a refusal whose retry-after time is spread.

        Examples
        --------
        >>> policy = AdmissionPolicy(draw=lambda: 1.0)
        >>> policy.spread(queue_full_refusal(0.1)).retry_after_ms
        150
        """
        jitter = 1.0 + RETRY_JITTER * self.draw()
        return refusal._replace(
            retry_after_ms=int(refusal.retry_after_ms * jitter)
        )


class Arrival(NamedTuple):
    """A statement that requests a slot.

    Statements with the same ``key`` have comparable times; ``cost`` is in
    cost units; ``deadline_at`` is in seconds.
    """

    ticket: int
    flow: Flow
    key: str
    cost: float
    is_long: bool
    deadline_at: float


class Decision(NamedTuple):
    """Whether an arriving statement starts, waits or is refused.

    ``refusal`` is set if it is refused; otherwise it starts now or waits.
    ``evicted`` is the ticket that was removed from a full queue to make
    room, with the refusal for it. ``wait_s`` is the estimated wait
    (seconds).
    """

    starts: bool
    refusal: Refusal | None = None
    evicted: tuple[int, Refusal] | None = None
    wait_s: float = 0.0


class MemberLoad(NamedTuple):
    """Load of a member as seen by this VM.

    ``share`` is the part of its usual load that the breaker allows,
    ``latency_ratio`` the smoothed time as a multiple of the best
    member's, ``service_s`` the time in a slot per cost unit.
    """

    in_flight: int
    queued_cost: float
    limit: int
    service_s: float
    share: float
    latency_ratio: float


class _Running(NamedTuple):
    """A statement that holds a slot."""

    arrival: Arrival
    started_at: float
    was_at_limit: bool


class AdmissionController:
    """Slots and queues of one VM for one member.

    Parameters
    ----------
    connections : int
        Connections for statements that the VM may hold to the member.
    policy : AdmissionPolicy, optional
        What differs between deployments.
    preference : Preference, optional
        Flows that may start before their turn.
    """

    def __init__(
        self,
        connections: int,
        policy: AdmissionPolicy = AdmissionPolicy(),
        preference: Preference = NO_PREFERENCE,
    ) -> None:
        self._connections = connections
        self._policy = policy
        self._preference = preference
        self._pinned = 0
        self._short: FairQueue[Arrival] = FairQueue()
        self._long: FairQueue[Arrival] = FairQueue()
        self._running_by_ticket: dict[int, _Running] = {}
        self._waiting_by_ticket: dict[int, Arrival] = {}
        self._resting_by_ticket: dict[int, Arrival] = {}
        self.limit = ConcurrencyLimit(connections, policy.min_limit)
        self.service_times = ServiceTimes()
        self._drain = DrainRate()
        self._drain_by_outer: dict[str, DrainRate] = {}
        self._drain_by_flow: dict[tuple[str, str], DrainRate] = {}
        self._answered_at = float("-inf")
        self.breaker = TargetBreaker()

    @property
    def max_running(self) -> int:
        """Statements that may hold a slot at once.

        Bounded by the limit and by the connections that no transaction
        has pinned.
        """
        free = self._connections - self._pinned
        return max(0, min(self.limit.value, free))

    @property
    def running(self) -> int:
        """Statements that hold a slot."""
        return len(self._running_by_ticket)

    @property
    def waiting(self) -> int:
        """Statements that wait for a slot."""
        return len(self._waiting_by_ticket)

    @property
    def pinned(self) -> int:
        """Connections that transactions have pinned."""
        return self._pinned

    def waiting_arrivals(self) -> tuple[Arrival, ...]:
        """Return the statements that wait for a slot."""
        return tuple(self._waiting_by_ticket.values())

    @property
    def may_pin(self) -> bool:
        """Return whether one more transaction may pin a connection.

        The last connection is never pinned: otherwise callers that leave
        their transactions open would block all others.
        """
        return self._pinned < max(1, self._connections - 1)

    def set_connections(self, connections: int) -> None:
        """Set the number of connections for statements."""
        if connections != self._connections:
            self._connections = connections
            self.limit.set_maximum(connections)

    def load(self, now: float) -> MemberLoad:
        """Return the load of the member."""
        self._check_stall(now)
        return MemberLoad(
            in_flight=len(self._running_by_ticket),
            queued_cost=self._short.queued_cost,
            limit=max(1, self.max_running),
            service_s=self.service_times.average_s,
            share=self.breaker.share(now),
            latency_ratio=self.breaker.latency_ratio,
        )

    def arrive(self, now: float, arrival: Arrival) -> Decision:
        """Start, queue or refuse a statement."""
        queue = self._queue(arrival.is_long)
        if not len(queue) and self._has_free_slot(arrival.is_long):
            self._start(now, arrival)
            return Decision(starts=True)
        wait_s = self._estimate_wait(now, queue, arrival)
        refusal = check_wait(
            wait_s,
            self.service_times.average_s * arrival.cost,
            arrival.deadline_at - now,
            self._policy.wait_limits,
        )
        if refusal is not None:
            return Decision(False, self._policy.spread(refusal), wait_s=wait_s)
        queue.push(arrival, arrival.flow, arrival.cost)
        self._waiting_by_ticket[arrival.ticket] = arrival
        evicted = self._evict(queue, wait_s)
        return Decision(starts=False, evicted=evicted, wait_s=wait_s)

    def wait_s(self, now: float, flow: Flow) -> float:
        """Return how long a new short statement of a flow would wait.

        In seconds; 0 if a slot is free.
        """
        if not len(self._short) and self._has_free_slot(is_long=False):
            return 0.0
        arrival = Arrival(0, flow, "", 1.0, False, float("inf"))
        return self._estimate_wait(now, self._short, arrival)

    def latest_start(self, arrival: Arrival) -> float:
        """Return until when a waiting statement may start (seconds).

        If it started right before its deadline, it would run without an
        answer in time, and its caller would learn that it may have run.
        """
        service_s = self.service_times.average_s * arrival.cost
        return arrival.deadline_at - min(service_s, MAX_RESERVED_S)

    def refuse_waiting(
        self, now: float, ticket: int
    ) -> tuple[Refusal, float] | None:
        """Refuse a waiting statement whose time is over, or soon will be.

        It is refused before its deadline only while the target is
        stalled, for a time that leaves it too little.

        Returns
        -------
        tuple or None
            The refusal and the estimated wait (seconds).
        """
        arrival = self._waiting_by_ticket.get(ticket)
        if arrival is None:
            return None
        remaining_s = arrival.deadline_at - now
        stall_s = self._stall_s(now)
        if now < self.latest_start(arrival) and stall_s <= remaining_s:
            return None
        self.abandon(now, ticket)
        wait_s = max(stall_s, self.wait_s(now, arrival.flow))
        return self._policy.spread(queue_full_refusal(wait_s)), wait_s

    def note_answer(self, now: float) -> None:
        """Record that the member answered anything."""
        self._answered_at = now

    def note_full(self, now: float) -> None:
        """Record that the member refused a statement: its queue is full."""
        self.limit.note_full(now)

    def finish(
        self,
        now: float,
        ticket: int,
        best_in_group_s: Callable[[str], float | None],
        ran_s: float | None = None,
    ) -> tuple[int, ...]:
        """Record an answer; return the tickets that start now.

        Parameters
        ----------
        now : float
            Seconds.
        ticket : int
            The statement that was answered.
        best_in_group_s : callable
            Given a key, returns its smoothed time at the group's best
            member (seconds), or None.
        ran_s : float, optional
            Seconds from sending to the answer, if that isn't the whole time
            in the slot, which may begin with opening a connection.
        """
        running = self._running_by_ticket.pop(ticket, None)
        self.note_answer(now)
        if running is not None and not running.arrival.is_long:
            self._record_times(now, running, best_in_group_s, ran_s)
        return self._dispatch(now)

    def rest(self, now: float, ticket: int) -> tuple[int, ...]:
        """Pin a connection until the transaction's next statement.

        Returns
        -------
        tuple of int
            The tickets that start now.
        """
        running = self._running_by_ticket.get(ticket)
        if running is None:
            return ()
        self._resting_by_ticket[ticket] = running.arrival
        return self.pin(now, ticket)

    def resume(self, now: float, ticket: int) -> None:
        """Start the next statement of a transaction, without waiting.

        It counts as running, which delays those that wait for a slot.
        """
        arrival = self._resting_by_ticket.pop(ticket, None)
        if arrival is not None:
            self._pinned -= 1
            self._start(now, arrival)

    def abandon(self, now: float, ticket: int) -> tuple[int, ...]:
        """Remove a statement; return the tickets that start now."""
        waiting = self._waiting_by_ticket.pop(ticket, None)
        if waiting is not None:
            self._queue(waiting.is_long).remove(waiting, waiting.flow)
            return ()
        if self._resting_by_ticket.pop(ticket, None) is not None:
            self._pinned -= 1
        self._running_by_ticket.pop(ticket, None)
        return self._dispatch(now)

    def fail(self, now: float, ticket: int) -> tuple[int, ...]:
        """Record a failed statement; return the tickets that start now."""
        self.breaker.record_failure(now)
        return self.abandon(now, ticket)

    def pin(self, now: float, ticket: int) -> tuple[int, ...]:
        """Pin the ticket's connection to a transaction; free its slot.

        A transaction waits for its caller most of the time. If it held a
        slot meanwhile, the target would idle.

        Returns
        -------
        tuple of int
            The tickets that start now.
        """
        self._pinned += 1
        self._running_by_ticket.pop(ticket, None)
        return self._dispatch(now)

    def unpin(self, now: float) -> tuple[int, ...]:
        """Unpin a connection; return the tickets that start now."""
        self._pinned -= 1
        return self._dispatch(now)

    def start_waiting(self, now: float) -> tuple[int, ...]:
        """Start what a raised number of connections allows.

        Returns
        -------
        tuple of int
            The tickets that start now.
        """
        return self._dispatch(now)

    def clear(self) -> tuple[int, ...]:
        """Empty the queues; return the tickets that waited."""
        tickets = tuple(self._waiting_by_ticket)
        self._waiting_by_ticket.clear()
        self._short = FairQueue()
        self._long = FairQueue()
        return tickets

    def oldest_age_s(self, now: float) -> float:
        """Return for how long the oldest short statement has run."""
        started = (
            running.started_at
            for running in self._running_by_ticket.values()
            if not running.arrival.is_long
        )
        return now - min(started, default=now)

    def _queue(self, is_long: bool) -> FairQueue[Arrival]:
        return self._long if is_long else self._short

    def _has_free_slot(self, is_long: bool) -> bool:
        if len(self._running_by_ticket) >= self.max_running:
            return False
        return not is_long or self._long_running() < MAX_LONG_JOBS_PER_MEMBER

    def _long_running(self) -> int:
        return sum(
            running.arrival.is_long
            for running in self._running_by_ticket.values()
        )

    def _start(self, now: float, arrival: Arrival) -> None:
        was_at_limit = len(self._running_by_ticket) + 1 >= self.max_running
        self._running_by_ticket[arrival.ticket] = _Running(
            arrival, now, was_at_limit
        )

    def _dispatch(self, now: float) -> tuple[int, ...]:
        started = []
        for is_long in (False, True):
            queue = self._queue(is_long)
            while len(queue) and self._has_free_slot(is_long):
                arrival = queue.pop(self._preference)
                del self._waiting_by_ticket[arrival.ticket]
                self._start(now, arrival)
                started.append(arrival.ticket)
        return tuple(started)

    def _estimate_wait(
        self, now: float, queue: FairQueue[Arrival], arrival: Arrival
    ) -> float:
        if self._policy.counts_ahead:
            return self._estimate_wait_ahead(now, queue, arrival)
        backlog = Backlog(
            total_cost=queue.queued_cost,
            flow_cost=queue.backlog(arrival.flow),
            weight_share=queue.share(arrival.flow),
        )
        return estimate_wait(backlog, arrival.cost, self._drain_rate(now))

    def _estimate_wait_ahead(
        self, now: float, queue: FairQueue[Arrival], arrival: Arrival
    ) -> float:
        flow = arrival.flow
        outer = self._drain_by_outer.get(flow.organisation)
        own = self._drain_by_flow.get((flow.organisation, flow.kind))
        rates = DrainRates(
            self._drain_rate(now),
            outer.rate(now) if outer else None,
            own.rate(now) if own else None,
        )
        wait_s = estimate_wait_ahead(
            queue.cost_ahead(flow), queue.backlog(flow), rates
        )
        return wait_s + self._stall_s(now)

    def _stall_s(self, now: float) -> float:
        """Return for how long a stalled target has answered nothing.

        In seconds; 0 if it isn't stalled. Without answers no drain rate
        is measured, and the wait would be estimated from old ones.
        """
        silent_s = min(now - self._answered_at, self.oldest_age_s(now))
        if silent_s < STALL_FACTOR * self.service_times.average_s:
            return 0.0
        return silent_s

    def _drain_rate(self, now: float) -> float:
        measured_rate = self._drain.rate(now)
        if measured_rate is not None:
            return measured_rate
        free = self._connections - self._pinned
        concurrency = max(1, min(self.limit.expected_limit, free))
        return concurrency / self.service_times.average_s

    def _evict(
        self, queue: FairQueue[Arrival], wait_s: float
    ) -> tuple[int, Refusal] | None:
        if len(queue) <= MAX_QUEUED:
            return None
        evicted = queue.eviction_candidate()
        queue.remove(evicted, evicted.flow)
        del self._waiting_by_ticket[evicted.ticket]
        return evicted.ticket, self._policy.spread(queue_full_refusal(wait_s))

    def _record_times(
        self,
        now: float,
        running: _Running,
        best_in_group_s: Callable[[str], float | None],
        ran_s: float | None,
    ) -> None:
        arrival = running.arrival
        seconds = now - running.started_at
        self.limit.observe(
            now,
            arrival.key,
            seconds if ran_s is None else ran_s,
            running.was_at_limit,
        )
        self.service_times.observe(seconds, arrival.cost)
        self._drain.record(now, arrival.cost, len(self._short) > 0)
        if self._policy.counts_ahead:
            self._record_drain_by_flow(now, arrival)
        best_s = best_in_group_s(arrival.key)
        self.breaker.record_success(now, seconds / best_s if best_s else 1.0)

    def _record_drain_by_flow(self, now: float, arrival: Arrival) -> None:
        flow = arrival.flow
        outer = self._drain_by_outer.setdefault(flow.organisation, DrainRate())
        outer.record(
            now, arrival.cost, self._short.has_queued(flow.organisation)
        )
        own = self._drain_by_flow.setdefault(
            (flow.organisation, flow.kind), DrainRate()
        )
        own.record(now, arrival.cost, self._short.backlog(flow) > 0.0)

    def _check_stall(self, now: float) -> None:
        oldest_age_s = self.oldest_age_s(now)
        self.breaker.check_stall(
            now, oldest_age_s, self.service_times.average_s
        )
