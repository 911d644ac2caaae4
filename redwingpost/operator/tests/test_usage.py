"""Tests of usage: operations offered and their outcomes."""

from collections import Counter
from unittest import TestCase

from redwingpost.node.metrics import GRANTED, NodeMetrics
from redwingpost.operator.usage import (
    Series,
    count_increase,
    read_counts,
    summarise,
)

_LIGHT = Series("parish", "g1", GRANTED)
_HEAVY = Series("diocese", "g1", GRANTED)
_REFUSED = Series("diocese", "g1", "over-rate")


class UsageTest(TestCase):
    def test_a_node_s_page_is_read_as_written(self) -> None:
        metrics = NodeMetrics()
        for _ in range(3):
            metrics.note_operation("parish", "g1", GRANTED)
        metrics.note_operation("diocese", "g1", "over-rate")
        metrics.note("read", "ok", 0.1)
        counts = read_counts(metrics.render().decode())
        self.assertEqual({_LIGHT: 3, _REFUSED: 1}, counts)

    def test_increase_between_two_readings(self) -> None:
        cases = (
            ("grew", {_LIGHT: 2}, {_LIGHT: 5}, {_LIGHT: 3}),
            ("new", {}, {_LIGHT: 5}, {_LIGHT: 5}),
            ("started again", {_LIGHT: 9}, {_LIGHT: 4}, {_LIGHT: 4}),
            (
                "started again, one has passed its old count",
                {_LIGHT: 9, _HEAVY: 1},
                {_LIGHT: 4, _HEAVY: 3},
                {_LIGHT: 4, _HEAVY: 3},
            ),
            ("gone", {_LIGHT: 9}, {}, {}),
        )
        for name, before, after, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    Counter(expected), count_increase(before, after)
                )

    def test_organisation_with_most_operations_comes_first(self) -> None:
        """Two organisations overload a shared group.

        Without counts by organisation, the owner of the group can't tell
        which one causes the load.
        """
        nodes = (
            Counter({_LIGHT: 10, _HEAVY: 5, _REFUSED: 40}),
            Counter({_LIGHT: 2, _HEAVY: 5, _REFUSED: 60}),
        )
        heavy, light = summarise(nodes)
        self.assertEqual(("diocese", 110, 10), _figures(heavy))
        self.assertEqual({"over-rate": 100}, heavy.refused_by_reason)
        self.assertEqual(("parish", 12, 12), _figures(light))
        self.assertEqual({}, light.refused_by_reason)


def _figures(line) -> tuple[str, int, int]:
    return line.organisation, line.offered, line.granted
