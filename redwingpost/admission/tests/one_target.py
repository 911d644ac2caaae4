"""Simulates one target in virtual time behind admission controllers.

The target runs as many statements as it has slots and queues the rest in
order of arrival, as a member does. Which statements are sent is decided
by the controllers alone.
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

from redwingpost.admission.controller import AdmissionController, Arrival
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


class Response(NamedTuple):
    """What a caller received: an answer if ``code`` is 0, else a refusal."""

    job: Job
    at: float
    code: int


class PassThrough:
    """Baseline without admission control: sends every statement at once."""

    def arrive(self, now, arrival):
        """Start every statement."""
        return _START_NOW

    def finish(self, now, ticket, best_in_group_s):
        """Start nothing more."""
        return ()


class _StartNow(NamedTuple):
    starts: bool = True
    refusal: object = None
    evicted: object = None


_START_NOW = _StartNow()


class TargetSimulation:
    """Runs jobs through controllers against one target.

    Parameters
    ----------
    controllers : list
        One per VM.
    slots : int
        Statements that the target runs at once.
    slowdown : callable
        Given the time, returns the factor on service times.
    transit_s : float
        Seconds from an answer to its arrival at the controller.
    flow_of : callable
        Given a job, returns its flow.
    """

    def __init__(
        self,
        controllers,
        slots=5,
        slowdown=lambda now: 1.0,
        transit_s=0.0,
        flow_of=lambda job: Flow(job.organisation, job.kind, job.weight),
    ):
        self.controllers = controllers
        self.slots = slots
        self.slowdown = slowdown
        self.transit_s = transit_s
        self.flow_of = flow_of
        self.responses = []
        self.queued = deque()
        self.running = 0
        self.peak_concurrency = 0
        self._events = []
        self._order = count()
        self._jobs_by_ticket = {}

    def run(self, jobs):
        """Run all jobs; return the responses in order of time."""
        for ticket, job in enumerate(jobs, start=1):
            self._jobs_by_ticket[ticket] = job
            self._schedule(job.at, self._arrive, ticket)
        while self._events:
            now, _, call, ticket = heappop(self._events)
            call(now, ticket)
        return self.responses

    def _schedule(self, at, call, ticket):
        heappush(self._events, (at, next(self._order), call, ticket))

    def _arrive(self, now, ticket):
        job = self._jobs_by_ticket[ticket]
        arrival = Arrival(
            ticket=ticket,
            flow=self.flow_of(job),
            key=f"{job.kind} {job.is_long}",
            cost=1.0,
            is_long=job.is_long,
            deadline_at=now + job.deadline_s,
        )
        decision = self.controllers[job.vm].arrive(now, arrival)
        if decision.evicted is not None:
            evicted, refusal = decision.evicted
            self._respond(now, evicted, refusal.code.number)
        if decision.refusal is not None:
            self._respond(now, ticket, decision.refusal.code.number)
        elif decision.starts:
            self._send(now, ticket)
        else:
            self._schedule(now + job.deadline_s, self._expire, ticket)

    def _expire(self, now, ticket):
        controller = self.controllers[self._jobs_by_ticket[ticket].vm]
        if ticket in controller._waiting_by_ticket:
            controller.abandon(now, ticket)
            self._respond(now, ticket, 20204)

    def _send(self, now, ticket):
        self.queued.append(ticket)
        self.peak_concurrency = max(
            self.peak_concurrency, len(self.queued) + self.running
        )
        self._serve(now)

    def _serve(self, now):
        while self.queued and self.running < self.slots:
            ticket = self.queued.popleft()
            self.running += 1
            seconds = self._jobs_by_ticket[ticket].service_s * self.slowdown(
                now
            )
            self._schedule(now + seconds, self._complete, ticket)

    def _complete(self, now, ticket):
        self.running -= 1
        self._respond(now, ticket, 0)
        self._schedule(now + self.transit_s, self._finish, ticket)
        self._serve(now)

    def _finish(self, now, ticket):
        job = self._jobs_by_ticket[ticket]
        started = self.controllers[job.vm].finish(
            now, ticket, lambda key: None
        )
        for other in started:
            self._send(now, other)

    def _respond(self, now, ticket, code):
        self.responses.append(
            Response(self._jobs_by_ticket[ticket], now, code)
        )


def evenly_spaced(organisation, rate, seconds, **job):
    """Return jobs of one organisation at equal intervals."""
    return [
        Job(at=number / rate, organisation=organisation, **job)
        for number in range(int(rate * seconds))
    ]


def merge(*streams):
    """Return the jobs of all streams in order of arrival."""
    return sorted(
        (job for stream in streams for job in stream),
        key=lambda job: (job.at, job.organisation),
    )


def in_time(responses, organisation=None):
    """Return the answers that came before their deadlines."""
    return [
        response
        for response in responses
        if response.code == 0
        and response.at <= response.job.at + response.job.deadline_s
        and organisation in (None, response.job.organisation)
    ]


def percentile(responses, share):
    """Return a percentile of the answers' times (seconds)."""
    times = sorted(
        response.at - response.job.at
        for response in responses
        if response.code == 0
    )
    return times[min(len(times) - 1, int(len(times) * share))]


def make_controllers(vms, connections=10):
    """Return one controller per VM, each with ``connections``."""
    return [AdmissionController(connections) for _ in range(vms)]
