"""Tests of the classification of statements."""

from unittest import TestCase

from redwingpost.core import Code, StatementKind
from redwingpost.proxy.classify import classify


class ClassifyTest(TestCase):
    def test_classes(self):
        table = [
            ("SELECT 1", StatementKind.READ),
            ("  select * from t", StatementKind.READ),
            ("(SELECT 1) UNION (SELECT 2)", StatementKind.READ),
            ("-- note\nSELECT 1", StatementKind.READ),
            ("/* note */ SELECT 1", StatementKind.READ),
            ("SELECT 'a;b', \"c;d\", `e;f`", StatementKind.READ),
            ("SELECT 'it''s; fine'", StatementKind.READ),
            ("SELECT 1;", StatementKind.READ),
            ("SELECT * FROM t FOR UPDATE", StatementKind.WRITE),
            ("SELECT * FROM t LOCK IN SHARE MODE", StatementKind.WRITE),
            ("SELECT GET_LOCK('a', 1)", StatementKind.WRITE),
            ("SELECT 'for update'", StatementKind.READ),
            ("WITH a AS (SELECT 1) SELECT * FROM a", StatementKind.READ),
            ("WITH a AS (SELECT 1) DELETE FROM t", StatementKind.WRITE),
            ("INSERT INTO t VALUES (1)", StatementKind.WRITE),
            ("replace into t values (1)", StatementKind.WRITE),
            ("CREATE TABLE t (a INT)", StatementKind.WRITE),
            ("SELECT @@session.sql_mode", StatementKind.READ),
            ("BEGIN", StatementKind.BEGIN),
            ("START TRANSACTION", StatementKind.BEGIN),
            ("COMMIT", StatementKind.COMMIT),
            ("ROLLBACK", StatementKind.ROLLBACK),
            ("SET autocommit=0", StatementKind.SESSION),
            ("USE plans", StatementKind.SESSION),
        ]
        for sql, expected in table:
            with self.subTest(sql=sql):
                self.assertIs(classify(sql).statement_class, expected)

    def test_refusals(self):
        table = [
            ("SELECT 1; SELECT 2", Code.MULTI_STATEMENT),
            ("SELECT 'a'; DROP TABLE t", Code.MULTI_STATEMENT),
            ("LOAD DATA INFILE 'x' INTO TABLE t", Code.LOAD_DATA),
            ("REDWING CLAIM 9 me", Code.CONTROL_STATEMENT),
            ("/* x */ redwing status", Code.CONTROL_STATEMENT),
            ("/*!50000 DROP TABLE t */", Code.UNSUPPORTED),
            ("SELECT 1 /*! INTO OUTFILE 'x' */", Code.UNSUPPORTED),
            ("SELECT a INTO @x FROM t", Code.UNSUPPORTED),
            ("SELECT @x", Code.UNSUPPORTED),
            ("CREATE TEMPORARY TABLE t (a INT)", Code.UNSUPPORTED),
            ("LOCK TABLES t WRITE", Code.UNSUPPORTED),
            ("", Code.UNSUPPORTED),
            ("XA START 'a'", Code.UNSUPPORTED),
        ]
        for sql, expected in table:
            with self.subTest(sql=sql):
                self.assertEqual(classify(sql).refusal, expected)
