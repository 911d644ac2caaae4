"""Tests of leaving a target and returning to it."""

from random import Random
from unittest import TestCase

from redwingpost.admission.breaker import State, TargetBreaker
from redwingpost.admission.limits import ConcurrencyLimit


def _serve(breaker, start, rate, seconds, ratio):
    """Answer evenly; return when the breaker opened, or None."""
    for number in range(int(rate * seconds)):
        now = start + number / rate
        breaker.succeed(now, ratio)
        if breaker.state is State.OPEN:
            return now
    return None


class LeaveTest(TestCase):
    def test_a_slow_target_is_left_within_a_second(self):
        # A replica's disk fails slowly: every page takes five times as
        # long. A catechist notices unless reads go elsewhere soon.
        for rate in (10, 50, 200):
            with self.subTest(rate=rate):
                breaker = TargetBreaker()
                _serve(breaker, 0.0, rate, 5.0, ratio=1.1)
                opened = _serve(breaker, 5.0, rate, 5.0, ratio=5.0)
                self.assertLessEqual(opened - 5.0, 1.0)

    def test_lost_answers_open_it(self):
        breaker = TargetBreaker()
        for _ in range(3):
            breaker.fail(1.0)
        self.assertEqual(breaker.share(1.0), 0.0)

    def test_a_hanging_target_is_left_without_an_answer(self):
        # The member's VM is suspended: nothing fails, nothing answers.
        breaker = TargetBreaker()
        breaker.watch(1.0, oldest_s=0.2, usual_s=0.01)
        self.assertEqual(breaker.state, State.CLOSED)
        breaker.watch(1.2, oldest_s=0.4, usual_s=0.01)
        self.assertEqual(breaker.state, State.OPEN)

    def test_ordinary_swings_do_not_open_it(self):
        breaker = TargetBreaker()
        for number in range(1000):
            breaker.succeed(number * 0.01, 1.0 if number % 3 else 4.0)
        self.assertEqual(breaker.state, State.CLOSED)


class ReturnTest(TestCase):
    def _opened(self):
        breaker = TargetBreaker()
        for _ in range(3):
            breaker.fail(0.0)
        return breaker

    def test_probes_are_few(self):
        breaker = self._opened()
        probes = sum(breaker.take_probe(t / 100) for t in range(1000))
        self.assertLessEqual(probes, 20)

    def test_slow_probes_keep_it_open(self):
        breaker = self._opened()
        for number in range(10):
            breaker.succeed(float(number), 10.0)
        self.assertEqual(breaker.state, State.OPEN)

    def test_the_share_grows(self):
        breaker = self._opened()
        for number in range(3):
            breaker.succeed(1.0 + number / 10, 1.0)
        shares = [breaker.share(1.2 + second) for second in range(7)]
        self.assertEqual(shares, sorted(shares))
        self.assertLess(shares[0], 0.2)
        self.assertEqual(shares[-1], 1.0)


class NoiseTest(TestCase):
    def test_noise_common_to_all_members_opens_none(self):
        # A VM that is short of processor time sees every statement take
        # one to six times as long, whichever member answers. With all
        # replicas left at once the primary would drown in their reads.
        random = Random(5)
        limits = [ConcurrencyLimit(5) for _ in range(3)]
        breakers = [TargetBreaker() for _ in range(3)]
        for turn in range(3000):
            place = turn % 3
            now = turn * 0.01
            seconds = 0.01 * random.uniform(1.0, 6.0)
            limits[place].observe(now, "read", seconds, was_full=True)
            best = min(limit.typical("read") or seconds for limit in limits)
            breakers[place].succeed(now, seconds / best)
            states = {breaker.state for breaker in breakers}
            self.assertEqual(states, {State.CLOSED})
