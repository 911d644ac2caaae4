"""Tests of opening the breaker of a target and closing it again."""

from random import Random
from unittest import TestCase

from redwingpost.admission.breaker import State, TargetBreaker
from redwingpost.admission.limits import ConcurrencyLimit


def _serve(breaker, start, rate, seconds, latency_ratio):
    """Record answers at a steady rate; return when it opened, or None."""
    for number in range(int(rate * seconds)):
        now = start + number / rate
        breaker.record_success(now, latency_ratio)
        if breaker.state is State.OPEN:
            return now
    return None


class OpenTest(TestCase):
    def test_slow_target_opens_the_breaker_within_a_second(self):
        # A replica with a failing disk takes five times as long. Unless
        # the breaker opens, callers see its latency.
        for rate in (10, 50, 200):
            with self.subTest(rate=rate):
                breaker = TargetBreaker()
                _serve(breaker, 0.0, rate, 5.0, latency_ratio=1.1)
                opened = _serve(breaker, 5.0, rate, 5.0, latency_ratio=5.0)
                self.assertLessEqual(opened - 5.0, 1.0)

    def test_failures_open_the_breaker(self):
        breaker = TargetBreaker()
        for _ in range(3):
            breaker.record_failure(1.0)
        self.assertEqual(breaker.share(1.0), 0.0)

    def test_stalled_target_opens_the_breaker_without_an_answer(self):
        # The member's VM is suspended: statements neither fail nor end, so
        # no recorded answer could open the breaker.
        breaker = TargetBreaker()
        breaker.check_stall(1.0, oldest_age_s=0.2, typical_s=0.01)
        self.assertEqual(breaker.state, State.CLOSED)
        breaker.check_stall(1.2, oldest_age_s=0.4, typical_s=0.01)
        self.assertEqual(breaker.state, State.OPEN)

    def test_ordinary_latency_variation_keeps_it_closed(self):
        breaker = TargetBreaker()
        for number in range(1000):
            breaker.record_success(number * 0.01, 1.0 if number % 3 else 4.0)
        self.assertEqual(breaker.state, State.CLOSED)


class HalfOpenTest(TestCase):
    def _opened(self):
        breaker = TargetBreaker()
        for _ in range(3):
            breaker.record_failure(0.0)
        return breaker

    def test_probes_are_limited(self):
        breaker = self._opened()
        probes = sum(breaker.take_probe(t / 100) for t in range(1000))
        self.assertLessEqual(probes, 20)

    def test_slow_probes_keep_it_open(self):
        breaker = self._opened()
        for number in range(10):
            breaker.record_success(float(number), 10.0)
        self.assertEqual(breaker.state, State.OPEN)

    def test_share_grows_after_successful_probes(self):
        breaker = self._opened()
        for number in range(3):
            breaker.record_success(1.0 + number / 10, 1.0)
        shares = [breaker.share(1.2 + second) for second in range(7)]
        self.assertEqual(shares, sorted(shares))
        self.assertLess(shares[0], 0.2)
        self.assertEqual(shares[-1], 1.0)


class NoiseTest(TestCase):
    def test_latency_noise_common_to_all_members_opens_no_breaker(self):
        # On a VM that is short of processor time every statement takes one
        # to six times as long, whichever member answers. If the breakers
        # of all replicas opened, their reads would overload the primary.
        random = Random(5)
        limits = [ConcurrencyLimit(5) for _ in range(3)]
        breakers = [TargetBreaker() for _ in range(3)]
        for turn in range(3000):
            member = turn % 3
            now = turn * 0.01
            seconds = 0.01 * random.uniform(1.0, 6.0)
            limits[member].observe(now, "read", seconds, was_at_limit=True)
            best = min(limit.typical("read") or seconds for limit in limits)
            breakers[member].record_success(now, seconds / best)
            states = {breaker.state for breaker in breakers}
            self.assertEqual(states, {State.CLOSED})
