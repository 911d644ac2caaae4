"""Complete searches of the protocol within small bounds, and variants.

Each case prints how many states it visited, so that an unintended smaller
search shows in the output of the run.
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
    """A primary crashes, is claimed, partitioned or slow at any moment.

    Messages are lost, late or duplicated; processes pause, crash and
    restart. Callers would notice a write that is lost, runs twice, or is
    reported as not run although it ran.
    """

    def test_no_invariant_is_violated(self):
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


#: Steps after which a write has committed on a primary that was replaced.
REPLACED = (
    "p0 starts",
    "p0/1 claims b",
    "p0/1 claims c",
    "p0 receives b's claim answer",
    "p0 receives c's claim answer",
    "p0 grace over",
    "w0 sends to a",
    "a gets w0's attempt 1",
    "w0 gets position 1:2",
    "c promoted by p0/1",
)


class WriteOutcomeTest(TestCase):
    """A write committed on a replaced primary; then a second promotion.

    The new term's history decides the write's outcome. Decided too early,
    the write counts as dropped and is retried while the old primary's log may
    still be restored, or counts as stored and is dropped later.
    """

    def check(self, rules, limit):
        bounds = Bounds(3, (2,), (False,), 2)
        model = Model(rules, bounds)
        state = replay(initial_state(bounds), model.steps, REPLACED)
        return search(state, model.steps, violation, limit)

    def test_outcome_is_not_decided_too_early(self):
        found = self.check(Rules(), 60_000)
        print(f"searched {found.states} states: a replaced primary's write")
        self.assertEqual(found.violation, "", found.trace)

    def test_unconfirmed_history_is_detected(self):
        found = self.check(Rules(confirm_history=False), 60_000)
        self.assertTrue(found.violation)


class BrokenVariantTest(TestCase):
    """The search finds a violation when any rule is disabled."""

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
