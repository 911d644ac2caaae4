"""Bounds of the concurrency limit, and refusals of a full target."""

from random import Random
from unittest import TestCase

from redwingpost.admission.limits import FULL_INTERVAL_S, ConcurrencyLimit


class LimitBoundsTest(TestCase):
    def test_bounds(self) -> None:
        """Guards against idle slots and against too many connections."""
        cases = (
            # maximum, minimum, limit at first and after much queueing
            (10, 1, 2, 1),
            (10, 5, 5, 5),
            (3, 5, 3, 3),
            (1, 1, 1, 1),
        )
        for maximum, minimum, first, lowest in cases:
            with self.subTest(maximum=maximum, minimum=minimum):
                limit = ConcurrencyLimit(maximum, minimum)
                self.assertEqual(first, limit.value)
                limit.observe(0.0, "", 0.001, was_at_limit=True)
                for turn in range(1, 100):
                    limit.observe(turn * 0.1, "", 0.1, was_at_limit=True)
                self.assertEqual(lowest, limit.value)

    def test_varied_times_do_not_starve_an_idle_target(self) -> None:
        """Guards against slots left idle because service times vary.

        No statement queues at the target; times are log-normal.
        """
        random = Random(5)
        limit = ConcurrencyLimit(10, minimum=5)
        for turn in range(2000):
            seconds = random.lognormvariate(-4.6, 0.8)
            limit.observe(turn * 0.01, "", seconds, was_at_limit=True)
            self.assertGreaterEqual(limit.value, 5)

    def test_a_lowered_maximum_applies_at_once(self) -> None:
        limit = ConcurrencyLimit(10, minimum=5)
        limit.set_maximum(3)
        self.assertEqual(3, limit.value)
        limit.set_maximum(10)
        self.assertEqual(5, limit.value)


class FullTargetTest(TestCase):
    def test_a_refusal_lowers_the_limit(self) -> None:
        """Guards against statements sent on to a target that refuses them."""
        limit = ConcurrencyLimit(16, minimum=5)
        for turn in range(40):
            limit.observe(turn * 0.1, "", 0.01, was_at_limit=True)
        self.assertEqual(16, limit.value)
        values = []
        for now in (5.0, 5.0 + FULL_INTERVAL_S / 2.0, 6.0, 7.0, 8.0, 9.0):
            limit.note_full(now)
            values.append(limit.value)
        self.assertEqual([12, 12, 9, 6, 5, 5], values)
