"""Tests of sorting statements."""

from unittest import TestCase

from redwingpost.core import Code, StatementClass
from redwingpost.proxy.classify import classify


class ClassifyTest(TestCase):
    def test_classes(self):
        table = [
            ("SELECT 1", StatementClass.READ),
            ("  select * from t", StatementClass.READ),
            ("(SELECT 1) UNION (SELECT 2)", StatementClass.READ),
            ("-- note\nSELECT 1", StatementClass.READ),
            ("/* note */ SELECT 1", StatementClass.READ),
            ("SELECT 'a;b', \"c;d\", `e;f`", StatementClass.READ),
            ("SELECT 'it''s; fine'", StatementClass.READ),
            ("SELECT 1;", StatementClass.READ),
            ("SELECT * FROM t FOR UPDATE", StatementClass.WRITE),
            ("SELECT * FROM t LOCK IN SHARE MODE", StatementClass.WRITE),
            ("SELECT GET_LOCK('a', 1)", StatementClass.WRITE),
            ("SELECT 'for update'", StatementClass.READ),
            ("WITH a AS (SELECT 1) SELECT * FROM a", StatementClass.READ),
            ("WITH a AS (SELECT 1) DELETE FROM t", StatementClass.WRITE),
            ("INSERT INTO t VALUES (1)", StatementClass.WRITE),
            ("replace into t values (1)", StatementClass.WRITE),
            ("CREATE TABLE t (a INT)", StatementClass.WRITE),
            ("SELECT @@session.sql_mode", StatementClass.READ),
            ("BEGIN", StatementClass.BEGIN),
            ("START TRANSACTION", StatementClass.BEGIN),
            ("COMMIT", StatementClass.COMMIT),
            ("ROLLBACK", StatementClass.ROLLBACK),
            ("SET autocommit=0", StatementClass.SESSION),
            ("USE plans", StatementClass.SESSION),
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
