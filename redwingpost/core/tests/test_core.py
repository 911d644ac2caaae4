"""Tests of result codes, registries and positions."""

from unittest import TestCase

from redwingpost.core import (
    CODES_BY_NAME,
    CODES_BY_NUMBER,
    Code,
    Position,
    Refusal,
    Registry,
    is_dropped,
)


class CodesTest(TestCase):
    def test_numbers_and_names_are_unique(self):
        self.assertEqual(len(CODES_BY_NAME), len(CODES_BY_NUMBER))

    def test_numbers_do_not_overlap_with_mysql_errors(self):
        for number in CODES_BY_NUMBER:
            with self.subTest(number=number):
                self.assertTrue(20000 <= number <= 65535)

    def test_refusal_message(self):
        table = [
            (Refusal(Code.OVER_RATE, retry_after_ms=5), "retry_after_ms=5"),
            (Refusal(Code.OVER_RATE), "outcome=not run"),
            (Refusal(Code.OUTCOME_UNKNOWN), "outcome=unknown"),
        ]
        for refusal, expected in table:
            with self.subTest(expected=expected):
                self.assertIn(expected, refusal.describe())


class RegistryTest(TestCase):
    def test_taken_name(self):
        registry = Registry("thing")
        registry.register("a")(1)
        with self.assertRaises(ValueError):
            registry.register("a")(2)

    def test_unknown_name_lists_known(self):
        registry = Registry("thing")
        registry.register("a")(1)
        with self.assertRaisesRegex(KeyError, "known: a"):
            registry.get("b")


class IsDroppedTest(TestCase):
    def test_table(self):
        history = (Position(1, 1), Position(3, 10), Position(4, 12))
        table = [
            (Position(0, 0), False),
            (Position(1, 9), False),
            (Position(1, 10), True),
            (Position(2, 9), False),
            (Position(3, 11), False),
            (Position(3, 12), True),
            (Position(4, 99), False),
        ]
        for position, lost in table:
            with self.subTest(position=position):
                self.assertEqual(is_dropped(position, history), lost)
