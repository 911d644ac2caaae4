"""Tests of statements that the proxy answers without a target."""

from types import SimpleNamespace
from unittest import TestCase

from redwingpost.core import Code
from redwingpost.proxy.local_answers import (
    answer_select,
    apply_set,
    parse_use,
)


def _state(**changes):
    values = {
        "autocommit": True,
        "group": "plans",
        "organisation": "diocese-puno",
        "connection_id": 7,
        "last_insert_id": 42,
        "make_token": lambda: "token",
    }
    return SimpleNamespace(**(values | changes))


class AnswerSelectTest(TestCase):
    def test_answered(self):
        table = [
            ("SELECT @@version_comment LIMIT 1", "redwingpost"),
            ("select @@session.autocommit", "1"),
            ("SELECT @@redwing_token", "token"),
            ("SELECT DATABASE()", "plans"),
            ("SELECT LAST_INSERT_ID()", "42"),
            ("SELECT CONNECTION_ID() AS id", "7"),
        ]
        for sql, expected in table:
            with self.subTest(sql=sql):
                result = answer_select(sql, _state()).ok
                self.assertEqual(result.rows, ((expected,),))

    def test_several_items(self):
        sql = "SELECT @@version AS v, @@time_zone"
        result = answer_select(sql, _state()).ok
        names = [column.name for column in result.columns]
        self.assertEqual(names, ["v", "@@time_zone"])

    def test_forwarded_to_targets(self):
        table = ["SELECT 1", "SELECT a FROM t", "SELECT @@unknown_thing"]
        for sql in table:
            with self.subTest(sql=sql):
                self.assertIsNone(answer_select(sql, _state()))


class ApplySetTest(TestCase):
    def test_autocommit(self):
        table = [
            ("SET autocommit=0", False),
            ("SET AUTOCOMMIT = 1", True),
            ("SET @@session.autocommit = OFF", False),
            ("SET NAMES utf8mb4, autocommit=0", False),
        ]
        for sql, expected in table:
            with self.subTest(sql=sql):
                state = _state()
                self.assertTrue(apply_set(sql, state).is_ok())
                self.assertEqual(state.autocommit, expected)

    def test_accepted(self):
        table = [
            "SET NAMES utf8mb4",
            "SET NAMES 'utf8mb4' COLLATE 'utf8mb4_general_ci'",
            "SET character_set_results = NULL",
        ]
        for sql in table:
            with self.subTest(sql=sql):
                self.assertTrue(apply_set(sql, _state()).is_ok())

    def test_refused(self):
        table = ["SET @x = 1", "SET NAMES latin1", "SET GLOBAL x = 1"]
        for sql in table:
            with self.subTest(sql=sql):
                refusal = apply_set(sql, _state()).error
                self.assertEqual(refusal.code, Code.UNSUPPORTED)


class ReadUseTest(TestCase):
    def test_table(self):
        table = [
            ("USE plans", "plans"),
            ("use `plans-1`;", "plans-1"),
            ("SET x=1", None),
        ]
        for sql, expected in table:
            with self.subTest(sql=sql):
                self.assertEqual(parse_use(sql), expected)
