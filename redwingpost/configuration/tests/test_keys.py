"""Tests of the key ring: which keys are accepted."""

from json import dumps
from unittest import TestCase

from redwingpost.configuration.keys import KeyRing
from redwingpost.configuration.model import Withdrawal
from redwingpost.configuration.parse import parse_configuration
from redwingpost.configuration.tests.test_parse import GOOD
from redwingpost.core import Code

FIRST, SECOND, THIRD = "a" * 40, "d" * 40, "c" * 40
PUNO = "diocese-puno"


def make_ring(**changes):
    """Return a confirmed ring; PUNO has two keys."""
    keys = [{"name": "a", "hash": FIRST}, {"name": "b", "hash": SECOND}]
    puno = {**GOOD["organisations"][PUNO], "keys": keys}
    organisations = {**GOOD["organisations"], PUNO: puno}
    body = dumps({**GOOD, "organisations": organisations, **changes})
    ring = KeyRing(confirmation_s=600.0)
    ring.grant(parse_configuration(body.encode()).ok)
    ring.confirm(0.0)
    return ring


class KeyRingTest(TestCase):
    def test_which_keys_are_accepted(self):
        ring = make_ring()
        table = [
            (PUNO, FIRST, None),
            (PUNO, SECOND, None),
            (PUNO, THIRD, Code.KEY_WITHDRAWN),
            (PUNO, "b" * 40, Code.WRONG_KEY),
            ("parish-cusco", "b" * 40, None),
            ("parish-cusco", FIRST, Code.WRONG_KEY),
            ("nobody", FIRST, Code.WRONG_KEY),
            (PUNO, "", Code.WRONG_KEY),
        ]
        for organisation, key_hash, code in table:
            with self.subTest(organisation=organisation, key_hash=key_hash):
                refusal = ring.check(organisation, key_hash, now=1.0)
                self.assertEqual(refusal and refusal.code, code)

    def test_older_configuration_does_not_restore_a_withdrawn_key(self):
        # A peer that was partitioned sends an old configuration, in
        # which the key is granted and not withdrawn. If its withdrawals
        # replaced the known ones, the key would be accepted again.
        ring = make_ring()
        new = ring.withdraw([Withdrawal(PUNO, FIRST)])
        self.assertEqual(new, {Withdrawal(PUNO, FIRST)})
        ring.grant(parse_configuration(dumps(GOOD).encode()).ok)
        self.assertEqual(
            ring.check(PUNO, FIRST, now=1.0).code, Code.KEY_WITHDRAWN
        )
        self.assertFalse(ring.withdraw([Withdrawal(PUNO, FIRST)]))

    def test_keys_are_refused_after_the_confirmation_limit(self):
        # The VM is partitioned from all others, so that withdrawals
        # can't reach it. Callers are refused after the confirmation
        # limit, and served again after the next confirmation.
        ring = make_ring()
        self.assertIsNone(ring.check(PUNO, FIRST, now=600.0))
        self.assertEqual(
            ring.check(PUNO, FIRST, now=600.1).code, Code.KEY_UNCONFIRMED
        )
        ring.confirm(601.0)
        ring.confirm(30.0)
        self.assertIsNone(ring.check(PUNO, FIRST, now=602.0))
