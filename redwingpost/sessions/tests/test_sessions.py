"""Tests of session positions and tokens."""

from unittest import TestCase

from redwingpost.core import ZERO_POSITION, Code, Position
from redwingpost.sessions import SessionPositions, TokenMinter
from redwingpost.sessions.tokens import MAX_GROUPS, MAX_TOKEN_CHARS

OLD, NEW = "the-old-secret-16", "the-new-secret-16"
AT = {"catalogue-1": Position(3, 2**62)}


class TokenMinterTest(TestCase):
    def setUp(self):
        self.minter = TokenMinter((NEW, OLD))
        self.token = self.minter.mint("puno", "s", AT)

    def test_round_trip(self):
        token = self.minter.read(self.token, "puno").ok
        self.assertEqual(token, ("puno", "s", AT, True))

    def test_modified_and_forged_tokens_are_refused(self):
        # A caller modifies, truncates or forges a token, to bypass its
        # session's positions or to make a proxy wait for a position that
        # no member reaches.
        flipped = ("B" if self.token[8] != "B" else "C").join(
            (self.token[:8], self.token[9:])
        )
        forged = TokenMinter(("some-other-secret",)).mint("puno", "s", AT)
        table = [
            "",
            "A",
            "AAAA",
            self.token[:-1],
            self.token[1:],
            self.token + "AAAA",
            "é" + self.token,
            self.token + "\n",
            flipped,
            forged,
            "A" * (MAX_TOKEN_CHARS + 1),
        ]
        for token in table:
            with self.subTest(token=token[:20]):
                refusal = self.minter.read(token, "puno").error
                self.assertEqual(refusal.code, Code.TOKEN_INVALID)

    def test_another_organisations_token(self):
        refusal = self.minter.read(self.token, "cusco").error
        self.assertEqual(refusal.code, Code.TOKEN_FOREIGN)

    def test_rotation(self):
        # VMs get the new secret one after another; meanwhile all of them
        # must accept tokens signed with either secret.
        before, after = TokenMinter((OLD, NEW)), TokenMinter((NEW,))
        self.assertTrue(before.read(self.token, "puno").is_ok())
        self.assertTrue(after.read(self.token, "puno").is_ok())
        old = before.mint("puno", "s", AT)
        self.assertTrue(self.minter.read(old, "puno").is_ok())
        self.assertTrue(after.read(old, "puno").is_error())

    def test_size_is_bounded(self):
        names = [f"{n:064d}" for n in range(MAX_GROUPS + 1)]
        at = {name: Position(2**40, 2**60) for name in names}
        token = self.minter.mint("o" * 64, "s" * 64, at)
        self.assertLess(len(token), MAX_TOKEN_CHARS)
        read = self.minter.read(token, "o" * 64).ok
        self.assertEqual(len(read.positions_by_group), MAX_GROUPS)
        self.assertFalse(read.whole)

    def test_no_secret(self):
        with self.assertRaises(ValueError):
            TokenMinter(())


class SessionPositionsTest(TestCase):
    def test_merge_keeps_the_highest(self):
        seen = SessionPositions(AT)
        seen.merge({"catalogue-1": Position(2, 5)}, whole=True)
        self.assertEqual(seen.after("catalogue-1"), AT["catalogue-1"])
        self.assertEqual(seen.after("catalogue-2"), ZERO_POSITION)

    def test_group_without_a_position(self):
        self.assertIsNone(SessionPositions().after("catalogue-1"))
