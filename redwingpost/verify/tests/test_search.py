"""The protocol searched whole within small bounds, and broken variants.

Each case says how many states it visited, so that a bound that shrank
unnoticed shows in the log of the run.
"""

from unittest import TestCase

from redwingpost.verify import (
    Bounds,
    Model,
    Rules,
    initial_state,
    replay,
    search,
    violation,
)


def check(rules, bounds):
    model = Model(rules, bounds)
    return search(initial_state(bounds), model.steps, violation)


class CompleteSearchTest(TestCase):
    """A primary is lost, claimed, cut off or slow at any moment.

    Messages are lost, late or doubled, processes pause, crash and come
    back. Callers would notice a lost, doubled or falsely denied write.
    """

    def test_no_promise_breaks(self):
        table = [
            ("a keyed write, a promotion", Bounds(3, (1,), (True,), 1)),
            ("an unkeyed write, a promotion", Bounds(3, (1,), (False,), 2)),
            ("a keyed write retried, no promotion", Bounds(3, (), (True,), 2)),
            ("two proposers at once", Bounds(3, (1, 1), ())),
        ]
        for name, bounds in table:
            with self.subTest(name):
                found = check(Rules(), bounds)
                print(f"searched {found.states} states: {name}")
                self.assertEqual(found.violation, "", found.trace)
                self.assertTrue(found.complete)


#: A write commits on a primary that two others have already replaced.
REPLACED = (
    "p0 starts",
    "p0/1 claims b",
    "p0/1 claims c",
    "p0 hears of b's claim",
    "p0 hears of c's claim",
    "p0 grace over",
    "w0 sends to a",
    "a gets w0's attempt 1",
    "w0 hears 1:2",
    "c promoted by p0/1",
)


class FateTest(TestCase):
    """A write committed on a replaced primary; then a second promotion.

    Its caller is told what the new term's history says. Told too early,
    an order is called dropped and sent again while the old primary's
    log may still come back, or called stored while it may yet go.
    """

    def check(self, rules, limit):
        bounds = Bounds(3, (2,), (False,), 2)
        model = Model(rules, bounds)
        state = replay(initial_state(bounds), model.steps, REPLACED)
        return search(state, model.steps, violation, limit)

    def test_fate_is_told_in_time(self):
        found = self.check(Rules(), 60_000)
        print(f"searched {found.states} states: a replaced primary's write")
        self.assertEqual(found.violation, "", found.trace)

    def test_unconfirmed_history_is_noticed(self):
        found = self.check(Rules(confirm_fate=False), 60_000)
        self.assertTrue(found.violation)


class BrokenVariantTest(TestCase):
    """Each rule left out breaks a promise, and the search finds how."""

    def test_each_rule_is_needed(self):
        promotion = Bounds(3, (1,), (True,), 1)
        rivals = Bounds(3, (1, 1), ())
        retry = Bounds(3, (), (True,), 2)
        unkeyed = Bounds(3, (), (False,), 2)
        table = [
            ("no confirm", Rules(confirm=False), promotion, "lacks it"),
            (
                "confirm by index alone",
                Rules(confirm_term=False),
                promotion,
                "lacks it",
            ),
            ("no fence", Rules(fence=False), promotion, "lacks it"),
            ("no dedupe", Rules(dedupe=False), retry, "twice"),
            ("no majority", Rules(majority=False), rivals, "two primaries"),
            ("no majority", Rules(majority=False), promotion, "lacks it"),
            (
                "any claimed member",
                Rules(most_advanced=False),
                promotion,
                "lacks it",
            ),
            (
                "retry whatever failed",
                Rules(retry_table=False),
                unkeyed,
                "twice",
            ),
        ]
        for name, rules, bounds, expected in table:
            with self.subTest(name):
                found = check(rules, bounds)
                self.assertIn(expected, found.violation)
                self.assertTrue(found.trace)
