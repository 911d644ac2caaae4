"""Tests of the copies that a VM accepts from the store and peers."""

from itertools import permutations
from json import dumps
from unittest import TestCase

from redwingpost.configuration.model import Versioned, Withdrawal, hash_body
from redwingpost.configuration.state import (
    ConfigurationState,
    OfferResult,
    checksum_withdrawals,
)
from redwingpost.configuration.tests.test_parse import GOOD, PUNO, with_change


def version(number):
    """Return a version whose configured rate equals its number."""
    body = with_change(PUNO + ("rate",), float(number))
    return Versioned(number, hash_body(body), body)


class ConfigurationStateTest(TestCase):
    def test_version_never_decreases(self):
        # Copies arrive in any order, from the store and from peers with
        # older or newer versions. A VM that took an older version would
        # apply an old rate or accept an old key again.
        for order in permutations([version(n) for n in (1, 2, 3)]):
            state, versions = ConfigurationState(), []
            for copy in order:
                state.offer(copy)
                versions.append(state.version)
            with self.subTest(order=[c.version for c in order]):
                self.assertEqual(versions, sorted(versions))
                self.assertEqual(state.version, 3)

    def test_which_copies_are_refused(self):
        state = ConfigurationState()
        state.offer(version(2))
        good = version(3)
        invalid = dumps({**GOOD, "site": 1}).encode()
        table = [
            (version(1), OfferResult.OLDER),
            (version(2), OfferResult.KNOWN),
            (version(2)._replace(body_hash="0"), OfferResult.BROKEN),
            (good._replace(body=good.body + b" "), OfferResult.BROKEN),
            (Versioned(3, hash_body(invalid), invalid), OfferResult.BROKEN),
        ]
        for copy, expected in table:
            with self.subTest(expected=expected):
                self.assertEqual(state.offer(copy), expected)
                self.assertEqual(state.version, 2)

    def test_withdrawal_applies_before_a_version_records_it(self):
        # While the store is unavailable, a withdrawal spreads without a
        # version. It must stay in force when a version arrives that
        # doesn't record it yet.
        state = ConfigurationState()
        key = Withdrawal("diocese-puno", "a" * 40)
        self.assertEqual(state.withdraw([key]), {key})
        self.assertEqual(state.withdraw([key]), frozenset())
        state.offer(version(1))
        self.assertIn(key, state.withdrawn)
        self.assertEqual(state.unrecorded(), {key})

    def test_checksums_of_different_withdrawals_differ(self):
        a, b = Withdrawal("a", "1"), Withdrawal("b", "2")
        marks = {checksum_withdrawals(s) for s in ([], [a], [b], [a, b])}
        self.assertEqual(len(marks), 4)
