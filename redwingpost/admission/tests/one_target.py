"""One target with five slots in virtual time, behind one or more desks.

Events are drawn from a heap; nothing here decides anything. The target
queues what exceeds its slots, first come first served, as a member does.
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

from redwingpost.admission.desk import Arrival, Desk
from redwingpost.scheduling.fair import Flow


class Job(NamedTuple):
    """A statement that a caller sends."""

    at: float
    organisation: str
    service_s: float = 0.01
    deadline_s: float = 2.0
    kind: str = ""
    is_long: bool = False
    vm: int = 0
    weight: float = 1.0


class Done(NamedTuple):
    """What its caller received: ``code`` 0 is an answer."""

    job: Job
    at: float
    code: int


class PassThrough:
    """A naive desk: everything goes to the target at once."""

    def arrive(self, now, arrival):
        """Start every statement."""
        return _STARTS

    def finish(self, now, ticket, best_of_group):
        """Start nothing more."""
        return ()


class _Starts(NamedTuple):
    starts: bool = True
    refusal: object = None
    evicted: object = None


_STARTS = _Starts()


class OneTarget:
    """Runs jobs through desks against one target.

    Parameters
    ----------
    desks : list
        One per VM.
    slots : int
        Statements the target takes at once.
    slow : callable
        Time -> factor on service times.
    """

    def __init__(self, desks, slots=5, slow=lambda now: 1.0):
        self.desks = desks
        self.slots = slots
        self.slow = slow
        self.done = []
        self.inside = deque()
        self.busy = 0
        self.peak = 0
        self._events = []
        self._order = count()
        self._jobs_by_ticket = {}

    def run(self, jobs):
        """Run the jobs to their ends; return what callers received."""
        for ticket, job in enumerate(jobs, start=1):
            self._jobs_by_ticket[ticket] = job
            self._at(job.at, self._arrive, ticket)
        while self._events:
            now, _, call, ticket = heappop(self._events)
            call(now, ticket)
        return self.done

    def _at(self, when, call, ticket):
        heappush(self._events, (when, next(self._order), call, ticket))

    def _arrive(self, now, ticket):
        job = self._jobs_by_ticket[ticket]
        arrival = Arrival(
            ticket=ticket,
            flow=Flow(job.organisation, job.kind, job.weight),
            key=f"{job.kind} {job.is_long}",
            cost=1.0,
            is_long=job.is_long,
            deadline_at=now + job.deadline_s,
        )
        verdict = self.desks[job.vm].arrive(now, arrival)
        if verdict.evicted is not None:
            evicted, refusal = verdict.evicted
            self._end(now, evicted, refusal.code.number)
        if verdict.refusal is not None:
            self._end(now, ticket, verdict.refusal.code.number)
        elif verdict.starts:
            self._send(now, ticket)
        else:
            self._at(now + job.deadline_s, self._expire, ticket)

    def _expire(self, now, ticket):
        desk = self.desks[self._jobs_by_ticket[ticket].vm]
        if ticket in desk._waiting_by_ticket:
            desk.abandon(now, ticket)
            self._end(now, ticket, 20204)

    def _send(self, now, ticket):
        self.inside.append(ticket)
        self.peak = max(self.peak, len(self.inside) + self.busy)
        self._serve(now)

    def _serve(self, now):
        while self.inside and self.busy < self.slots:
            ticket = self.inside.popleft()
            self.busy += 1
            seconds = self._jobs_by_ticket[ticket].service_s * self.slow(now)
            self._at(now + seconds, self._answer, ticket)

    def _answer(self, now, ticket):
        job = self._jobs_by_ticket[ticket]
        self.busy -= 1
        self._end(now, ticket, 0)
        started = self.desks[job.vm].finish(now, ticket, lambda key: None)
        for other in started:
            self._send(now, other)
        self._serve(now)

    def _end(self, now, ticket, code):
        self.done.append(Done(self._jobs_by_ticket[ticket], now, code))


def evenly(organisation, rate, seconds, **job):
    """Return jobs of one organisation at even distances."""
    return [
        Job(at=number / rate, organisation=organisation, **job)
        for number in range(int(rate * seconds))
    ]


def merge(*streams):
    """Return streams of jobs in order of arrival."""
    return sorted(
        (job for stream in streams for job in stream),
        key=lambda job: (job.at, job.organisation),
    )


def in_time(done, organisation=None):
    """Return the answers that came before their callers' deadlines."""
    return [
        one
        for one in done
        if one.code == 0
        and one.at <= one.job.at + one.job.deadline_s
        and organisation in (None, one.job.organisation)
    ]


def percentile(done, share):
    """Return a percentile of the answers' times (seconds)."""
    times = sorted(one.at - one.job.at for one in done if one.code == 0)
    return times[min(len(times) - 1, int(len(times) * share))]


def make_desks(count_of_desks, connections=10):
    """Return desks that may each open some connections."""
    return [Desk(connections) for _ in range(count_of_desks)]
