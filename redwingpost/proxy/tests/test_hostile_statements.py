"""Statements made to keep the proxy busy.

A caller with a valid key sends one long statement: blanks, or
quotes and comments that never close. A pattern that looks at the rest
again for each of them takes hours, and since one loop serves everyone,
all other callers of the VM get no answer meanwhile. With patterns that
are linear the whole table takes a moment; a quadratic one doesn't end
within the run of the tests.
"""

from unittest import TestCase

from redwingpost.adapters.mysql_prepared import split_placeholders
from redwingpost.core import StatementKind
from redwingpost.core.marks import read_marks
from redwingpost.proxy.classify import classify
from redwingpost.proxy.local_answers import (
    answer_select,
    apply_set,
    read_use,
)

SIZE = 250_000


class State:
    """A connection's state as local answers need it."""

    autocommit = True
    group = "catalogue-1"
    organisation = "diocese-puno"
    connection_id = 1
    last_insert_id = 0

    def make_token(self):
        return "token"


def hostile():
    """Return statements by what is hostile in them."""
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
    def test_every_reader_comes_to_an_end(self):
        for what, sql in hostile().items():
            with self.subTest(what=what):
                classify(sql)
                split_placeholders(sql)
                read_marks(sql, {})
                answer_select(sql, State())
                apply_set(sql, State())
                read_use(sql)

    def test_what_does_not_close_hides_nothing(self):
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
