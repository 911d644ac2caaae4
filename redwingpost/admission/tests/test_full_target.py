"""Tests of admission control at a saturated target, in virtual time.

The target has five slots of 10 ms: 500 statements a second.
"""

from unittest import TestCase

from redwingpost.admission.tests.one_target import (
    PassThrough,
    TargetSimulation,
    evenly_spaced,
    in_time,
    make_controllers,
    merge,
    percentile,
)
from redwingpost.core import CODES_BY_NUMBER, Outcome

_CAPACITY_PER_S = 500


def _spread(jobs, vms):
    return [job._replace(vm=turn % vms) for turn, job in enumerate(jobs)]


class LimitTest(TestCase):
    def test_limit_of_one_vm_converges_to_the_slots(self):
        # All callers use one VM. With a limit below five, slots idle while
        # callers wait.
        jobs = evenly_spaced("a", 2 * _CAPACITY_PER_S, 10, deadline_s=0.5)
        target = TargetSimulation(make_controllers(1))
        responses = target.run(jobs)
        self.assertGreaterEqual(
            len(in_time(responses)), 0.95 * 10 * _CAPACITY_PER_S
        )
        self.assertLessEqual(target.controllers[0].limit.value, 9)

    def test_six_vms_share_the_slots(self):
        # If each of six VMs used all five slots, 25 statements would queue
        # inside the target.
        jobs = _spread(
            evenly_spaced("a", 2 * _CAPACITY_PER_S, 10, deadline_s=0.5), 6
        )
        target = TargetSimulation(make_controllers(6))
        responses = target.run(jobs)
        self.assertGreaterEqual(
            len(in_time(responses)), 0.95 * 10 * _CAPACITY_PER_S
        )
        total = sum(
            controller.limit.value for controller in target.controllers
        )
        self.assertTrue(5 <= total <= 18, total)

    def test_limit_adapts_to_a_slower_target(self):
        # Maintenance makes the target four times slower for ten seconds.
        # If the limit stayed the same, statements would queue inside it.
        jobs = evenly_spaced("a", 400, 20, deadline_s=1.0)
        target = TargetSimulation(
            make_controllers(1),
            slowdown=lambda now: 4.0 if 5 <= now < 15 else 1.0,
        )
        responses = target.run(jobs)
        late_responses = [
            response for response in responses if response.code == 0
        ] and [
            response
            for response in responses
            if response.code == 0
            and response.at - response.job.at > response.job.deadline_s
        ]
        self.assertLess(len(late_responses), 0.01 * len(jobs))
        answered_after = [
            response
            for response in in_time(responses)
            if response.job.at >= 16
        ]
        self.assertGreaterEqual(len(answered_after), 0.99 * 400 * 4)


class OverloadTest(TestCase):
    def _goodput(self, factor, naive=False):
        jobs = merge(
            *(
                evenly_spaced(
                    name, factor * _CAPACITY_PER_S / 4, 10, deadline_s=1.0
                )
                for name in "abcd"
            )
        )
        controllers = [PassThrough()] if naive else make_controllers(1)
        return len(in_time(TargetSimulation(controllers).run(jobs))) / 10

    def test_goodput_does_not_fall_with_the_overload(self):
        # Load of twice and four times the capacity. Without early refusal
        # the target spends its time on requests whose deadlines have
        # passed.
        for factor in (2, 4):
            with self.subTest(factor=factor):
                self.assertGreaterEqual(
                    self._goodput(factor), 0.95 * _CAPACITY_PER_S
                )
                self.assertLess(
                    self._goodput(factor, naive=True), 0.5 * _CAPACITY_PER_S
                )

    def test_refusals_are_immediate(self):
        # A request that can't be served in time must be refused on
        # arrival with a retry-after time, not after its whole deadline.
        jobs = evenly_spaced("a", 4 * _CAPACITY_PER_S, 5, deadline_s=1.0)
        responses = TargetSimulation(make_controllers(1)).run(jobs)
        refused = [response for response in responses if response.code]
        at_once = [
            response for response in refused if response.at == response.job.at
        ]
        self.assertGreater(len(refused), 1000)
        self.assertGreaterEqual(len(at_once), 0.99 * len(refused))
        for code in {response.code for response in refused}:
            outcome = CODES_BY_NUMBER[code].outcome
            self.assertIs(outcome, Outcome.NOT_RUN)


class HotOrganisationTest(TestCase):
    def _served(self, naive=False):
        jobs = merge(
            evenly_spaced("hot", 2000, 10, deadline_s=1.0),
            *(evenly_spaced(name, 90, 10, deadline_s=1.0) for name in "abcd"),
        )
        controllers = [PassThrough()] if naive else make_controllers(1)
        responses = TargetSimulation(controllers).run(jobs)
        return {name: len(in_time(responses, name)) / 900 for name in "abcd"}

    def test_flood_of_one_organisation_does_not_delay_others(self):
        # One organisation sends four times the capacity. Without fair
        # queueing the requests of the others time out behind it.
        self.assertGreaterEqual(min(self._served().values()), 0.99)
        self.assertLess(max(self._served(naive=True).values()), 0.5)

    def test_weights_divide_a_full_target(self):
        jobs = merge(
            evenly_spaced("a", 1000, 10, deadline_s=1.0, weight=3.0),
            evenly_spaced("b", 1000, 10, deadline_s=1.0, weight=1.0),
        )
        responses = TargetSimulation(make_controllers(1)).run(jobs)
        ratio = len(in_time(responses, "a")) / len(in_time(responses, "b"))
        self.assertTrue(2.7 <= ratio <= 3.3, ratio)


class BurstTest(TestCase):
    def test_a_burst_within_the_deadline_is_served_whole(self):
        # 400 requests of one organisation arrive within 4 ms. The target
        # can serve them before their deadlines, so none may be refused.
        burst = evenly_spaced("a", 100_000, 0.004, deadline_s=2.0)
        jobs = merge(burst, evenly_spaced("b", 100, 2, deadline_s=2.0))
        responses = TargetSimulation(make_controllers(1)).run(jobs)
        self.assertEqual(len(in_time(responses)), len(jobs))
        other_responses = [
            response
            for response in responses
            if response.job.organisation == "b"
        ]
        self.assertLess(percentile(other_responses, 0.99), 0.1)


class LongJobsTest(TestCase):
    def _p99(self, with_long, naive=False):
        short = _spread(evenly_spaced("a", 200, 20), 6)
        long = _spread(
            evenly_spaced(
                "b", 4, 20, service_s=1.0, is_long=True, deadline_s=60.0
            ),
            2,
        )
        controllers = [PassThrough()] * 6 if naive else make_controllers(6)
        jobs = merge(short, long) if with_long else short
        responses = TargetSimulation(controllers).run(jobs)
        return percentile([d for d in responses if not d.job.is_long], 0.99)

    def test_short_requests_do_not_wait_behind_long_jobs(self):
        # Reports of one second arrive among short requests. Five of them
        # at once would hold all five slots.
        alone = self._p99(with_long=False)
        self.assertLessEqual(self._p99(with_long=True), 1.5 * alone)
        naive = self._p99(with_long=True, naive=True)
        self.assertGreater(naive, 1.5 * alone)
