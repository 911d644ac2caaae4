"""Tests of request marks."""

from unittest import TestCase

from redwingpost.core import Code, Marks, read_marks


class ReadMarksTest(TestCase):
    def test_read(self):
        table = [
            ("SELECT 1", {}, Marks()),
            ("/* redwing: kind=order */ SELECT 1", {}, Marks(kind="order")),
            (
                "/* redwing: kind=order, deadline_ms=500, non_idempotent */"
                "SELECT 1",
                {},
                Marks(kind="order", deadline_ms=500, non_idempotent=True),
            ),
            (
                "/* redwing: kind=a */ SELECT 1",
                {"kind": "b"},
                Marks(kind="b"),
            ),
            ("SELECT 1", {"session": "s"}, Marks(session="s")),
            (
                "/* redwing: token=a=b== */ SELECT 1",
                {},
                Marks(token="a=b=="),
            ),
        ]
        for sql, attributes, expected in table:
            with self.subTest(sql=sql):
                read = read_marks(sql, attributes).ok
                self.assertEqual(read.marks, expected)
                self.assertEqual(read.sql, "SELECT 1")

    def test_refused(self):
        table = [
            "/* redwing: knid=order */ SELECT 1",
            "/* redwing: deadline_ms=soon */ SELECT 1",
            "/* redwing: deadline_ms=-1 */ SELECT 1",
            "/* redwing: deadline_ms=99999999999 */ SELECT 1",
            "/* redwing: non_idempotent=maybe */ SELECT 1",
            "/* redwing: kind=" + "a" * 5000 + " */ SELECT 1",
        ]
        for sql in table:
            with self.subTest(sql=sql[:50]):
                refusal = read_marks(sql, {}).error
                self.assertEqual(refusal.code, Code.BAD_MARK)

    def test_a_comment_of_the_caller_stays(self):
        sql = "/* hint */ SELECT 1"
        self.assertEqual(read_marks(sql, {}).ok.sql, sql)
