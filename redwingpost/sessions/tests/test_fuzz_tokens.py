"""Fuzz tests of session tokens: only unmodified ones are accepted."""

from unittest import TestCase

from hypothesis import given
from hypothesis.strategies import binary, integers, text

from redwingpost.core import Code, Position
from redwingpost.core.tests.fuzzing import fuzz
from redwingpost.sessions import TokenMinter

SECRET = "0123456789abcdef"
REFUSALS = (Code.TOKEN_INVALID, Code.TOKEN_FOREIGN)


class FuzzTokensTest(TestCase):
    def setUp(self):
        self.minter = TokenMinter((SECRET,))
        self.token = self.minter.mint(
            "diocese-puno", "s1", {"catalogue-1": Position(3, 99)}
        )

    def assert_refused(self, token):
        read = self.minter.read(token, "diocese-puno")
        self.assertTrue(read.is_error(), token)
        self.assertIn(read.error.code, REFUSALS)

    @fuzz(1000)
    @given(text(max_size=120))
    def test_any_text(self, token):
        self.assert_refused(token)

    @fuzz(1000)
    @given(integers(0, 200), integers(0, 200), text(max_size=3))
    def test_changed_tokens(self, start, length, put_in):
        """A caller removes a part of its token or inserts text."""
        start = start % len(self.token)
        changed = self.token[:start] + put_in + self.token[start + length :]
        if changed.rstrip("=") != self.token:
            self.assert_refused(changed)

    @fuzz(250)
    @given(binary(max_size=60))
    def test_other_secrets(self, secret):
        other = TokenMinter((secret.hex() + "x" * 16,))
        self.assert_refused(other.mint("diocese-puno", "s1", {}))
