"""The owner's proof: who offered what, and what became of it."""

from collections import Counter
from unittest import TestCase

from redwingpost.node.metrics import GRANTED, NodeMetrics
from redwingpost.operator.usage import (
    Series,
    grown,
    read_counts,
    summarise,
)

_QUIET = Series("parish", "g1", GRANTED)
_LOUD = Series("diocese", "g1", GRANTED)
_REFUSED = Series("diocese", "g1", "over-rate")


class UsageTest(TestCase):
    def test_a_node_s_page_is_read_as_written(self) -> None:
        metrics = NodeMetrics()
        for _ in range(3):
            metrics.note_operation("parish", "g1", GRANTED)
        metrics.note_operation("diocese", "g1", "over-rate")
        metrics.note("read", "ok", 0.1)
        counts = read_counts(metrics.render().decode())
        self.assertEqual({_QUIET: 3, _REFUSED: 1}, counts)

    def test_what_grew_between_two_readings(self) -> None:
        cases = (
            ("grew", {_QUIET: 2}, {_QUIET: 5}, {_QUIET: 3}),
            ("new", {}, {_QUIET: 5}, {_QUIET: 5}),
            ("started again", {_QUIET: 9}, {_QUIET: 4}, {_QUIET: 4}),
            (
                "started again, one has passed its old count",
                {_QUIET: 9, _LOUD: 1},
                {_QUIET: 4, _LOUD: 3},
                {_QUIET: 4, _LOUD: 3},
            ),
            ("gone", {_QUIET: 9}, {}, {}),
        )
        for name, before, after, expected in cases:
            with self.subTest(name):
                self.assertEqual(Counter(expected), grown(before, after))

    def test_the_loudest_organisation_comes_first(self) -> None:
        """Two organisations share a group, and its owner sees it full.

        Without counts by organisation each blames the other.
        """
        nodes = (
            Counter({_QUIET: 10, _LOUD: 5, _REFUSED: 40}),
            Counter({_QUIET: 2, _LOUD: 5, _REFUSED: 60}),
        )
        loud, quiet = summarise(nodes)
        self.assertEqual(("diocese", 110, 10), _figures(loud))
        self.assertEqual({"over-rate": 100}, loud.refused_by_reason)
        self.assertEqual(("parish", 12, 12), _figures(quiet))
        self.assertEqual({}, quiet.refused_by_reason)


def _figures(line) -> tuple[str, int, int]:
    return line.organisation, line.offered, line.granted
