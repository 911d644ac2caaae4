"""Tests of what a VM takes from others."""

from itertools import permutations
from json import dumps
from unittest import TestCase

from redwingpost.configuration.model import Versioned, Withdrawal, hash_body
from redwingpost.configuration.spread import (
    ConfigurationState,
    Offer,
    mark_withdrawals,
)
from redwingpost.configuration.tests.test_parse import GOOD, PUNO, with_change


def version(number):
    """Return a version whose rate is its number."""
    body = with_change(PUNO + ("rate",), float(number))
    return Versioned(number, hash_body(body), body)


class ConfigurationStateTest(TestCase):
    def test_versions_never_go_back(self):
        # Copies come from the store and from peers behind and ahead, in
        # any order. A VM that went back would bring an old rate or an
        # old key into force again.
        for order in permutations([version(n) for n in (1, 2, 3)]):
            state, seen = ConfigurationState(), []
            for copy in order:
                state.offer(copy)
                seen.append(state.version)
            with self.subTest(order=[c.version for c in order]):
                self.assertEqual(seen, sorted(seen))
                self.assertEqual(state.version, 3)

    def test_what_is_not_taken(self):
        state = ConfigurationState()
        state.offer(version(2))
        good = version(3)
        invalid = dumps({**GOOD, "site": 1}).encode()
        table = [
            (version(1), Offer.OLDER),
            (version(2), Offer.KNOWN),
            (version(2)._replace(body_hash="0"), Offer.BROKEN),
            (good._replace(body=good.body + b" "), Offer.BROKEN),
            (Versioned(3, hash_body(invalid), invalid), Offer.BROKEN),
        ]
        for copy, expected in table:
            with self.subTest(expected=expected):
                self.assertEqual(state.offer(copy), expected)
                self.assertEqual(state.version, 2)

    def test_withdrawals_run_ahead_of_versions(self):
        # With the store away a withdrawal spreads on its own. It stays
        # in force when a version arrives that doesn't record it yet.
        state = ConfigurationState()
        key = Withdrawal("diocese-puno", "a" * 40)
        self.assertEqual(state.withdraw([key]), {key})
        self.assertEqual(state.withdraw([key]), frozenset())
        state.offer(version(1))
        self.assertIn(key, state.withdrawn)
        self.assertEqual(state.unrecorded(), {key})

    def test_marks_tell_sets_apart(self):
        a, b = Withdrawal("a", "1"), Withdrawal("b", "2")
        marks = {mark_withdrawals(s) for s in ([], [a], [b], [a, b])}
        self.assertEqual(len(marks), 4)
