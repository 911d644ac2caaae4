"""A full target in virtual time, judged by what callers receive.

One target has five slots of 10 ms: 500 statements a second.
"""

from unittest import TestCase

from redwingpost.admission.tests.one_target import (
    OneTarget,
    PassThrough,
    evenly,
    in_time,
    make_desks,
    merge,
    percentile,
)
from redwingpost.core import CODES_BY_NUMBER, Outcome

_CAPACITY = 500


def _spread(jobs, vms):
    return [job._replace(vm=turn % vms) for turn, job in enumerate(jobs)]


class LimitTest(TestCase):
    def test_one_vm_finds_the_five_slots(self):
        # All callers come to one VM. With a limit below five, slots idle
        # while callers wait.
        jobs = evenly("a", 2 * _CAPACITY, 10, deadline_s=0.5)
        target = OneTarget(make_desks(1))
        done = target.run(jobs)
        self.assertGreaterEqual(len(in_time(done)), 0.95 * 10 * _CAPACITY)
        self.assertLessEqual(target.desks[0].limit.value, 9)

    def test_six_vms_share_the_slots(self):
        # Six VMs that each believe five slots to be theirs would queue
        # 25 statements inside the target.
        jobs = _spread(evenly("a", 2 * _CAPACITY, 10, deadline_s=0.5), 6)
        target = OneTarget(make_desks(6))
        done = target.run(jobs)
        self.assertGreaterEqual(len(in_time(done)), 0.95 * 10 * _CAPACITY)
        total = sum(desk.limit.value for desk in target.desks)
        self.assertTrue(5 <= total <= 18, total)

    def test_a_slower_target_is_followed(self):
        # Maintenance makes the target four times slower for ten seconds.
        # What was right before now only waits inside it.
        jobs = evenly("a", 400, 20, deadline_s=1.0)
        target = OneTarget(
            make_desks(1), slow=lambda now: 4.0 if 5 <= now < 15 else 1.0
        )
        done = target.run(jobs)
        late = [one for one in done if one.code == 0] and [
            one
            for one in done
            if one.code == 0 and one.at - one.job.at > one.job.deadline_s
        ]
        self.assertLess(len(late), 0.01 * len(jobs))
        after = [one for one in in_time(done) if one.job.at >= 16]
        self.assertGreaterEqual(len(after), 0.99 * 400 * 4)


class OverloadTest(TestCase):
    def _goodput(self, factor, naive=False):
        jobs = merge(
            *(
                evenly(name, factor * _CAPACITY / 4, 10, deadline_s=1.0)
                for name in "abcd"
            )
        )
        desks = [PassThrough()] if naive else make_desks(1)
        return len(in_time(OneTarget(desks).run(jobs))) / 10

    def test_goodput_does_not_fall_with_the_overload(self):
        # Parishes print their plans on Saturday morning, twice and four
        # times what the targets can do. Work on requests whose callers
        # have given up is work that nobody receives.
        for factor in (2, 4):
            with self.subTest(factor=factor):
                self.assertGreaterEqual(
                    self._goodput(factor), 0.95 * _CAPACITY
                )
                self.assertLess(
                    self._goodput(factor, naive=True), 0.5 * _CAPACITY
                )

    def test_refusals_come_at_once(self):
        # A caller that can't be served in time must hear so now, with
        # the time to come back, and not after its whole deadline.
        jobs = evenly("a", 4 * _CAPACITY, 5, deadline_s=1.0)
        done = OneTarget(make_desks(1)).run(jobs)
        refused = [one for one in done if one.code]
        at_once = [one for one in refused if one.at == one.job.at]
        self.assertGreater(len(refused), 1000)
        self.assertGreaterEqual(len(at_once), 0.99 * len(refused))
        for code in {one.code for one in refused}:
            outcome = CODES_BY_NUMBER[code].outcome
            self.assertIs(outcome, Outcome.NOT_RUN)


class HotOrganisationTest(TestCase):
    def _served(self, naive=False):
        jobs = merge(
            evenly("hot", 2000, 10, deadline_s=1.0),
            *(evenly(name, 90, 10, deadline_s=1.0) for name in "abcd"),
        )
        desks = [PassThrough()] if naive else make_desks(1)
        done = OneTarget(desks).run(jobs)
        return {name: len(in_time(done, name)) / 900 for name in "abcd"}

    def test_others_do_not_notice_a_flood(self):
        # One diocese's script asks for everything again and again. The
        # catechists of the others must still get their plans.
        self.assertGreaterEqual(min(self._served().values()), 0.99)
        self.assertLess(max(self._served(naive=True).values()), 0.5)

    def test_weights_divide_a_full_target(self):
        jobs = merge(
            evenly("a", 1000, 10, deadline_s=1.0, weight=3.0),
            evenly("b", 1000, 10, deadline_s=1.0, weight=1.0),
        )
        done = OneTarget(make_desks(1)).run(jobs)
        ratio = len(in_time(done, "a")) / len(in_time(done, "b"))
        self.assertTrue(2.7 <= ratio <= 3.3, ratio)


class BurstTest(TestCase):
    def test_a_burst_within_the_deadline_is_served_whole(self):
        # Forty secretaries press "enrol" in the same second.
        burst = evenly("a", 100_000, 0.004, deadline_s=2.0)
        jobs = merge(burst, evenly("b", 100, 2, deadline_s=2.0))
        done = OneTarget(make_desks(1)).run(jobs)
        self.assertEqual(len(in_time(done)), len(jobs))
        quiet = [one for one in done if one.job.organisation == "b"]
        self.assertLess(percentile(quiet, 0.99), 0.1)


class LongJobsTest(TestCase):
    def _p99(self, with_long, naive=False):
        short = _spread(evenly("a", 200, 20), 6)
        long = _spread(
            evenly("b", 4, 20, service_s=1.0, is_long=True, deadline_s=60.0),
            2,
        )
        desks = [PassThrough()] * 6 if naive else make_desks(6)
        jobs = merge(short, long) if with_long else short
        done = OneTarget(desks).run(jobs)
        return percentile([d for d in done if not d.job.is_long], 0.99)

    def test_short_requests_do_not_wait_behind_long_jobs(self):
        # A diocese prints its year while catechists open single pages.
        # Five reports at once would hold all five slots for a second.
        alone = self._p99(with_long=False)
        self.assertLessEqual(self._p99(with_long=True), 1.5 * alone)
        naive = self._p99(with_long=True, naive=True)
        self.assertGreater(naive, 1.5 * alone)
