"""Token buckets over recorded times."""

from random import Random
from unittest import TestCase

from redwingpost.bench.token_bucket import (
    Interval,
    conforming,
    count_over_rate,
)


def make_intervals(times_s, random, width_s):
    """Return random intervals that contain the given times."""
    return [
        Interval(t - random.random() * width_s, t + random.random() * width_s)
        for t in times_s
    ]


class OverRateTest(TestCase):
    def test_admitted_requests_are_within_the_rate(self):
        for seed in range(20):
            random = Random(seed)
            offered = sorted(random.uniform(0.0, 10.0) for _ in range(900))
            passed = conforming(offered, rate=40.0, burst=25.0)
            times_s = [t for t, ok in zip(offered, passed) if ok]
            intervals = make_intervals(times_s, random, width_s=0.3)
            with self.subTest(seed=seed):
                self.assertEqual(count_over_rate(intervals, 40.0, 25.0, 0), 0)

    def test_ten_percent_above_the_rate_is_found(self):
        for seed in range(20):
            random = Random(seed)
            times_s = [index / 44.0 for index in range(880)]
            intervals = make_intervals(times_s, random, width_s=0.1)
            with self.subTest(seed=seed):
                self.assertGreater(
                    count_over_rate(intervals, 40.0, 25.0, 0.02), 40
                )

    def test_table(self):
        table = [
            ("nothing", [], 0),
            ("burst", [(0, 1)] * 3, 0),
            ("late answers prove nothing", [(0, 100)] * 50, 0),
            ("one too many at once", [(0, 0)] * 4, 1),
            ("refilled", [(0, 0)] * 3 + [(1, 1)], 0),
            ("not refilled twice", [(0, 0)] * 3 + [(1, 1)] * 2, 1),
        ]
        for name, pairs, expected in table:
            with self.subTest(name):
                intervals = [Interval(*pair) for pair in pairs]
                self.assertEqual(
                    count_over_rate(intervals, 1.0, 3.0, 0.0), expected
                )
