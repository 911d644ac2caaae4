"""Fuzz tests of marks: each input gives a result or a numbered refusal."""

from unittest import TestCase

from hypothesis import given
from hypothesis.strategies import dictionaries, sampled_from, text

from redwingpost.core import Code, Marks
from redwingpost.core.marks import read_marks
from redwingpost.core.tests.fuzzing import fuzz

NAMES = sampled_from((*Marks._fields, "knid", "", "kind "))
VALUES = text(max_size=30) | sampled_from(("1", "true", "0", "-1", "9" * 12))


class FuzzMarksTest(TestCase):
    def check(self, sql, attributes):
        read = read_marks(sql, attributes)
        if read.is_error():
            self.assertEqual(read.error.code, Code.BAD_MARK)
        else:
            self.assertLessEqual(len(read.ok.sql), len(sql))

    @fuzz(1000)
    @given(text(max_size=80), dictionaries(NAMES, VALUES, max_size=4))
    def test_attributes(self, sql, attributes):
        self.check(sql, attributes)

    @fuzz(1000)
    @given(dictionaries(NAMES, VALUES, max_size=4), text(max_size=40))
    def test_comments(self, marks, rest):
        inner = ", ".join(f"{name}={value}" for name, value in marks.items())
        self.check(f"/* redwing: {inner} */ {rest}", {})
