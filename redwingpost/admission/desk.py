"""Decide for one member which statement starts, waits or is refused.

The desk joins the limit, the fair queues, early refusal and the breaker
of one member at one VM. It knows tickets, not connections: the proxy
asks it at each arrival and each end, and starts what it says.

Load pattern: the sum of those of its parts (``limits``, ``queue``,
``breaker``, ``redwingpost.scheduling``). Long jobs have a queue and slots
of their own, so that they never stand before short statements.
"""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.admission.breaker import TargetBreaker
from redwingpost.admission.limits import ConcurrencyLimit
from redwingpost.admission.queue import (
    MAX_QUEUED,
    Backlog,
    DrainRate,
    ServiceTimes,
    estimate_wait,
    judge_arrival,
    refuse_full,
)
from redwingpost.core import Refusal
from redwingpost.scheduling.fair import FairQueue, Flow

#: Long jobs that one VM runs on one member at a time
#: (``redwingpost.scheduling.long_jobs``).
LONG_PER_MEMBER = 1


class Arrival(NamedTuple):
    """A statement that wants a slot.

    ``key`` names statements whose times can be compared; ``cost`` is in
    cost units; ``deadline_at`` is in seconds.
    """

    ticket: int
    flow: Flow
    key: str
    cost: float
    is_long: bool
    deadline_at: float


class Verdict(NamedTuple):
    """What becomes of an arrival.

    ``refusal`` is set if it is refused; else it starts now or waits.
    ``evicted`` is a waiting ticket that a full queue gives up, with the
    refusal for it.
    """

    starts: bool
    refusal: Refusal | None = None
    evicted: tuple[int, Refusal] | None = None


class MemberLoad(NamedTuple):
    """How busy a member is with this VM's statements.

    ``share`` is the part of its usual load that the breaker allows,
    ``ratio`` the smoothed time as a multiple of the group's best,
    ``service_s`` the seconds in a slot per cost unit.
    """

    in_flight: int
    queued_cost: float
    limit: int
    service_s: float
    share: float
    ratio: float


class _Running(NamedTuple):
    """A statement in a slot."""

    arrival: Arrival
    started_at: float
    was_full: bool


class Desk:
    """One member's slots and queues at one VM.

    Parameters
    ----------
    connections : int
        Connections for statements that the VM may hold to the member.
    """

    def __init__(self, connections: int) -> None:
        self._connections = connections
        self._pinned = 0
        self._short: FairQueue[Arrival] = FairQueue()
        self._long: FairQueue[Arrival] = FairQueue()
        self._running_by_ticket: dict[int, _Running] = {}
        self._waiting_by_ticket: dict[int, Arrival] = {}
        self.limit = ConcurrencyLimit(connections)
        self.service = ServiceTimes()
        self._drain = DrainRate()
        self.breaker = TargetBreaker()

    @property
    def allowed(self) -> int:
        """Return how many may hold a slot, connections considered."""
        free = self._connections - self._pinned
        return max(0, min(self.limit.value, free))

    @property
    def may_pin(self) -> bool:
        """Say whether one more transaction may keep a connection.

        The last connection is never pinned: callers that leave their
        transactions open would otherwise stop everybody else.
        """
        return self._pinned < max(1, self._connections - 1)

    def set_connections(self, connections: int) -> None:
        """Take another number of connections."""
        if connections != self._connections:
            self._connections = connections
            self.limit.set_maximum(connections)

    def load(self, now: float) -> MemberLoad:
        """Return how busy the member is."""
        self._watch(now)
        return MemberLoad(
            in_flight=len(self._running_by_ticket),
            queued_cost=self._short.queued_cost,
            limit=max(1, self.allowed),
            service_s=self.service.seconds,
            share=self.breaker.share(now),
            ratio=self.breaker.ratio,
        )

    def arrive(self, now: float, arrival: Arrival) -> Verdict:
        """Take in a statement."""
        queue = self._queue(arrival.is_long)
        if not len(queue) and self._can_start(arrival.is_long):
            self._start(now, arrival)
            return Verdict(starts=True)
        wait_s = self._estimate(now, queue, arrival)
        refusal = judge_arrival(
            wait_s,
            self.service.seconds * arrival.cost,
            arrival.deadline_at - now,
        )
        if refusal is not None:
            return Verdict(starts=False, refusal=refusal)
        queue.push(arrival, arrival.flow, arrival.cost)
        self._waiting_by_ticket[arrival.ticket] = arrival
        return Verdict(starts=False, evicted=self._evict(queue, wait_s))

    def finish(
        self,
        now: float,
        ticket: int,
        best_of_group: Callable[[str], float | None],
    ) -> tuple[int, ...]:
        """Take in an answer; return the tickets that start now.

        Parameters
        ----------
        now : float
            Seconds.
        ticket : int
            Whose answer it is.
        best_of_group : callable
            Smoothed time of a key at the group's best member.
        """
        running = self._running_by_ticket.pop(ticket, None)
        if running is not None and not running.arrival.is_long:
            self._learn(now, running, best_of_group)
        return self._dispatch(now)

    def abandon(self, now: float, ticket: int) -> tuple[int, ...]:
        """Forget a statement; return the tickets that start now."""
        waiting = self._waiting_by_ticket.pop(ticket, None)
        if waiting is not None:
            self._queue(waiting.is_long).remove(waiting, waiting.flow)
            return ()
        self._running_by_ticket.pop(ticket, None)
        return self._dispatch(now)

    def fail(self, now: float, ticket: int) -> tuple[int, ...]:
        """Note that the member was lost; return tickets that start."""
        self.breaker.fail(now)
        return self.abandon(now, ticket)

    def pin(self, now: float, ticket: int) -> tuple[int, ...]:
        """Keep the ticket's connection for a transaction, not its slot.

        A transaction waits for its caller most of its time; holding a
        slot meanwhile would idle the target.
        """
        self._pinned += 1
        self._running_by_ticket.pop(ticket, None)
        return self._dispatch(now)

    def unpin(self, now: float) -> tuple[int, ...]:
        """Give a transaction's connection back."""
        self._pinned -= 1
        return self._dispatch(now)

    def clear(self) -> tuple[int, ...]:
        """Give up the queues; return the tickets that waited."""
        tickets = tuple(self._waiting_by_ticket)
        self._waiting_by_ticket.clear()
        self._short = FairQueue()
        self._long = FairQueue()
        return tickets

    def age_of_oldest(self, now: float) -> float:
        """Return how long the oldest short statement has been out."""
        started = (
            running.started_at
            for running in self._running_by_ticket.values()
            if not running.arrival.is_long
        )
        return now - min(started, default=now)

    def _queue(self, is_long: bool) -> FairQueue[Arrival]:
        return self._long if is_long else self._short

    def _can_start(self, is_long: bool) -> bool:
        if len(self._running_by_ticket) >= self.allowed:
            return False
        return not is_long or self._long_running() < LONG_PER_MEMBER

    def _long_running(self) -> int:
        return sum(
            running.arrival.is_long
            for running in self._running_by_ticket.values()
        )

    def _start(self, now: float, arrival: Arrival) -> None:
        was_full = len(self._running_by_ticket) + 1 >= self.allowed
        self._running_by_ticket[arrival.ticket] = _Running(
            arrival, now, was_full
        )

    def _dispatch(self, now: float) -> tuple[int, ...]:
        started = []
        for is_long in (False, True):
            queue = self._queue(is_long)
            while len(queue) and self._can_start(is_long):
                arrival = queue.pop()
                del self._waiting_by_ticket[arrival.ticket]
                self._start(now, arrival)
                started.append(arrival.ticket)
        return tuple(started)

    def _estimate(
        self, now: float, queue: FairQueue[Arrival], arrival: Arrival
    ) -> float:
        backlog = Backlog(
            total=queue.queued_cost,
            own=queue.backlog(arrival.flow),
            weight_share=queue.share(arrival.flow),
        )
        return estimate_wait(backlog, arrival.cost, self._drain_rate(now))

    def _drain_rate(self, now: float) -> float:
        measured = self._drain.rate(now)
        if measured is not None:
            return measured
        free = self._connections - self._pinned
        at_once = max(1, min(self.limit.promised, free))
        return at_once / self.service.seconds

    def _evict(
        self, queue: FairQueue[Arrival], wait_s: float
    ) -> tuple[int, Refusal] | None:
        if len(queue) <= MAX_QUEUED:
            return None
        victim = queue.longest()
        queue.remove(victim, victim.flow)
        del self._waiting_by_ticket[victim.ticket]
        return victim.ticket, refuse_full(wait_s)

    def _learn(
        self,
        now: float,
        running: _Running,
        best_of_group: Callable[[str], float | None],
    ) -> None:
        arrival = running.arrival
        seconds = now - running.started_at
        self.limit.observe(now, arrival.key, seconds, running.was_full)
        self.service.observe(seconds, arrival.cost)
        self._drain.note(now, arrival.cost, len(self._short) > 0)
        best = best_of_group(arrival.key)
        self.breaker.succeed(now, seconds / best if best else 1.0)

    def _watch(self, now: float) -> None:
        oldest_s = self.age_of_oldest(now)
        self.breaker.watch(now, oldest_s, self.service.seconds)
