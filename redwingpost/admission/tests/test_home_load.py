"""Tests of a home's admission under load, in virtual time.

One member with four slots; service times are log-normal with means of 3, 9
and 15 ms by priority. The standing way, to compare with: a heap by
priority, in which a statement waits for a connection until its time-out.
"""

from heapq import heappop, heappush
from math import exp
from random import Random
from unittest import TestCase

from redwingpost.admission.controller import AdmissionController
from redwingpost.admission.home_policy import home_policy
from redwingpost.admission.tests.one_target import (
    Job,
    TargetSimulation,
    in_time,
    merge,
)
from redwingpost.core import CODES_BY_NUMBER, Outcome
from redwingpost.scheduling.priorities import OrganisationWeights

SLOTS = 4
CONNECTIONS = 7
TRANSIT_S = 0.001
SECONDS = 8.0
SIGMA = 0.8
MEAN_S = (0.003, 0.009, 0.015)
TIMEOUT_S = (0.6, 0.6, 1.5)
SEEDS = (1, 2)

#: Operations/s of the organisations, as uneven as in deployments.
RATES = {f"org-{n}": 200.0 / (n + 1) for n in range(40)}
SMALLEST = "org-39"
WEIGHTS = OrganisationWeights.of(RATES)

#: Statements/s of the mix that the member can run.
CAPACITY_PER_S = SLOTS / (sum(MEAN_S) / len(MEAN_S))


class HeapByPriority:
    """The standing way: waits by priority, then by order of arrival."""

    def __init__(self) -> None:
        self._free = CONNECTIONS
        self._heap = []
        self._waiting_by_ticket = {}

    def arrive(self, now, arrival):
        """Take a free connection, else wait."""
        is_free = self._free > 0
        if is_free:
            self._free -= 1
        else:
            priority = arrival.flow.organisation
            heappush(self._heap, (priority, arrival.ticket))
            self._waiting_by_ticket[arrival.ticket] = arrival
        return _Decision(is_free)

    def finish(self, now, ticket, best_in_group_s):
        """Give the connection to the first that waits."""
        while self._heap:
            _, other = heappop(self._heap)
            if self._waiting_by_ticket.pop(other, None) is not None:
                return (other,)
        self._free += 1
        return ()

    def abandon(self, now, ticket):
        """Remove a statement whose time is over."""
        self._waiting_by_ticket.pop(ticket, None)


class _Decision:
    refusal = None
    evicted = None

    def __init__(self, starts) -> None:
        self.starts = starts


def home_controller(seed):
    """Return a controller with a home's policy."""
    return AdmissionController(
        CONNECTIONS, home_policy(SLOTS, Random(seed).random)
    )


def poisson(random, organisation, priority, rate):
    """Return the jobs of one organisation and priority."""
    jobs, now = [], random.expovariate(rate)
    while now < SECONDS:
        noise = exp(random.gauss(-SIGMA * SIGMA / 2.0, SIGMA))
        jobs.append(
            Job(
                now,
                organisation,
                MEAN_S[priority] * noise,
                TIMEOUT_S[priority],
                str(priority),
            )
        )
        now += random.expovariate(rate)
    return jobs


def offered(seed, factor):
    """Return jobs of all organisations, in proportion to their rates."""
    random = Random(seed)
    scale = factor * CAPACITY_PER_S / sum(RATES.values()) / len(MEAN_S)
    return merge(
        *(
            poisson(random, name, priority, rate * scale)
            for name, rate in RATES.items()
            for priority in range(len(MEAN_S))
        )
    )


def make_target(controllers):
    """Return the member, behind the homes' controllers."""
    return TargetSimulation(
        controllers,
        slots=SLOTS,
        transit_s=TRANSIT_S,
        flow_of=lambda job: WEIGHTS.flow(int(job.kind), job.organisation),
    )


def play(controller, jobs):
    """Run jobs through one home; return the responses."""
    return make_target([controller]).run(jobs)


def worked_share(responses):
    """Return the share of the slots' time that went into answers in time."""
    worked_s = sum(item.job.service_s for item in in_time(responses))
    return worked_s / (SLOTS * SECONDS)


def served_share(responses, **wanted):
    """Return the part of the matching jobs that were answered in time."""

    def matching(items):
        return sum(
            all(
                getattr(item.job, key) == value
                for key, value in wanted.items()
            )
            for item in items
        )

    return matching(in_time(responses)) / matching(responses)


class GoodputTest(TestCase):
    def test_goodput_does_not_fall_with_the_overload(self) -> None:
        """Guards against slots left idle, or busy with what comes too late."""
        for seed in SEEDS:
            for factor in (1, 2, 4, 8):
                with self.subTest(seed=seed, factor=factor):
                    jobs = offered(seed, factor)
                    responses = play(home_controller(seed), jobs)
                    could_s = sum(job.service_s for job in jobs)
                    share = min(1.0, could_s / (SLOTS * SECONDS))
                    self.assertGreaterEqual(
                        worked_share(responses), 0.95 * share
                    )

    def test_up_to_the_capacity_hardly_anything_is_refused(self) -> None:
        """Guards against estimates that refuse what can be served."""
        cases = ((0.8, 1.0), (0.9, 0.995), (1.0, 0.98))
        for seed in SEEDS:
            for factor, bound in cases:
                with self.subTest(seed=seed, factor=factor):
                    jobs = offered(seed, factor)
                    responses = play(home_controller(seed), jobs)
                    self.assertGreaterEqual(served_share(responses), bound)

    def test_homes_that_share_a_member_keep_its_queue_short(self) -> None:
        """Guards against a member that refuses for a full queue.

        Four homes with seven connections each could have 28 statements at
        the member, which queues 32 in addition to its four slots.
        """
        homes = 4
        jobs = [
            job._replace(vm=turn % homes)
            for turn, job in enumerate(offered(1, 4))
        ]
        target = make_target([home_controller(n) for n in range(homes)])
        self.assertGreaterEqual(worked_share(target.run(jobs)), 0.95)
        self.assertLessEqual(target.peak_concurrency, homes * CONNECTIONS)

    def test_what_is_not_served_is_refused_at_once_as_not_run(self) -> None:
        """Guards against callers that wait for their whole time-out."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                responses = play(home_controller(seed), offered(seed, 4))
                refused = [item for item in responses if item.code]
                at_once = [item for item in refused if item.at == item.job.at]
                self.assertGreaterEqual(len(at_once), 0.95 * len(refused))
                for code in {item.code for item in refused}:
                    self.assertIs(
                        Outcome.NOT_RUN, CODES_BY_NUMBER[code].outcome
                    )


class FloodTest(TestCase):
    """One organisation sends four times the capacity, the others 0.6."""

    def _smallest_served(self, seed, controller):
        random = Random(seed)
        flood = poisson(random, "org-3", 1, 4.0 * CAPACITY_PER_S)
        jobs = merge(offered(seed, 0.6), flood)
        return served_share(play(controller, jobs), organisation=SMALLEST)

    def test_the_smallest_organisation_is_served(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertGreaterEqual(
                    self._smallest_served(seed, home_controller(seed)), 0.98
                )
                self.assertLess(
                    self._smallest_served(seed, HeapByPriority()), 0.9
                )


class StarvationTest(TestCase):
    """The higher priorities alone exceed the capacity."""

    def _lowest_served(self, controller, seed):
        responses = play(controller, offered(seed, 4))
        return sum(item.job.kind == "2" for item in in_time(responses))

    def test_the_lowest_priority_is_slowed_down_only(self) -> None:
        weights = (8.0, 4.0, 2.0)
        work_s = sum(w * mean for w, mean in zip(weights, MEAN_S, strict=True))
        entitled = SLOTS * SECONDS * weights[2] / work_s
        for seed in SEEDS:
            with self.subTest(seed=seed):
                served = self._lowest_served(home_controller(seed), seed)
                self.assertGreaterEqual(served, 0.8 * entitled)
                standing = self._lowest_served(HeapByPriority(), seed)
                self.assertLess(standing, 0.2 * entitled)
