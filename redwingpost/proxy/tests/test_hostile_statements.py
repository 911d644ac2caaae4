"""Tests of statements that are built to exhaust the proxy's CPU.

A caller with a valid key sends one long statement of blanks, or of quotes
and comments that are never closed. A regular expression that scans the
rest of the text again for each of them takes hours, and all callers of
the VM share one event loop, so no other caller gets an answer meanwhile.
Linear patterns finish the whole table quickly; a quadratic one doesn't
finish within the test run.
"""

from unittest import TestCase

from redwingpost.adapters.mysql_prepared import split_placeholders
from redwingpost.core import StatementKind
from redwingpost.core.marks import read_marks
from redwingpost.proxy.classify import classify
from redwingpost.proxy.local_answers import (
    answer_select,
    apply_set,
    parse_use,
)

SIZE = 250_000


class State:
    """Connection state that local answers read."""

    autocommit = True
    group = "catalogue-1"
    organisation = "diocese-puno"
    connection_id = 1
    last_insert_id = 0

    def make_token(self):
        return "token"


def hostile_statements():
    """Return statements by the name of their attack."""
    blanks = " " * SIZE
    return {
        "blanks": blanks,
        "brackets": "(" * SIZE,
        "open comments": "SELECT " + "/*" * SIZE,
        "version comments": "SELECT " + "/*!" * SIZE,
        "escaped quotes": "SELECT '" + "\\'" * SIZE,
        "escaped quotes, odd": "SELECT '" + "\\'" * SIZE + "\\",
        "mixed quotes": "SELECT `" + "'\"" * SIZE,
        "dashes": "SELECT 1 " + "--" * SIZE,
        "late word": "SET a" + blanks + "y b",
        "late semicolons": "SHOW WARNINGS" + blanks + ";;",
        "late mark": "USE a" + blanks + "!",
        "variable": "SELECT @@a" + blanks + "x",
        "functions": "SELECT a()" + " ,a()" * SIZE + "!",
        "semicolons": "SET a=1" + ";" * SIZE + "x",
        "assignments": "SET " + "a=1," * SIZE,
        "marks": "/* redwing: " + "kind=b," * SIZE + "*/ SELECT 1",
        "open marks": "/* redwing: " + "kind=b," * SIZE,
    }


class HostileStatementsTest(TestCase):
    def test_every_parser_finishes(self):
        for case, sql in hostile_statements().items():
            with self.subTest(case=case):
                classify(sql)
                split_placeholders(sql)
                read_marks(sql, {})
                answer_select(sql, State())
                apply_set(sql, State())
                parse_use(sql)

    def test_unclosed_text_hides_no_statement(self):
        table = [
            ("SELECT 1 /* ; DROP TABLE seats", StatementKind.REFUSED),
            ("SELECT 1 /*! ; DROP TABLE seats */", StatementKind.REFUSED),
            ("SELECT 'a; DROP TABLE seats", StatementKind.READ),
            ("SELECT 'a\\'; DROP TABLE seats", StatementKind.READ),
            ("SELECT 'a'''; DROP TABLE seats", StatementKind.REFUSED),
            ("SELECT ''; DROP TABLE seats", StatementKind.REFUSED),
            ("SELECT '''; DROP TABLE seats", StatementKind.READ),
        ]
        for sql, expected in table:
            with self.subTest(sql=sql):
                self.assertEqual(classify(sql).statement_class, expected)
