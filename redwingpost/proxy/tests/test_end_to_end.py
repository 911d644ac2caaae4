"""End-to-end tests: real drivers, proxies and stand-in members."""

from asyncio import gather
from datetime import datetime
from decimal import Decimal
from io import StringIO
from unittest import TestCase

from asyncmy import connect as asyncmy_connect
from loguru import logger
from mysql.connector import connect as connector_connect
from mysql.connector.errors import Error as ConnectorError
from prometheus_client import generate_latest
from pymysql import connect as pymysql_connect
from pymysql.err import MySQLError as PyMySQLError

from redwingpost.configuration.keys import hash_key
from redwingpost.core import Code
from redwingpost.proxy.tests.small_site import (
    GROUP,
    KEYS_BY_ORGANISATION,
    OTHER_GROUP,
    SmallSite,
)

_TABLE = (
    "CREATE TABLE kinds (id INT AUTO_INCREMENT PRIMARY KEY,"
    " price DECIMAL(10,2), at DATETIME, body BLOB, note VARCHAR(40),"
    " big BIGINT)"
)
_ROW = (
    Decimal("12.50"),
    datetime(2026, 12, 2, 3, 4, 5),
    b"\x00\xff'\\binary",
    "lección №1 🕊",
    2**63 - 1,
)
_INSERT = (
    "INSERT INTO kinds (price, at, body, note, big)"
    " VALUES (%s, %s, %s, %s, %s)"
)
_SELECT = "SELECT price, at, body, note, big FROM kinds WHERE id = %s"


class EndToEndTest(TestCase):
    @classmethod
    def setUpClass(cls):
        cls.site = SmallSite(proxies=2).start()
        with cls._pymysql() as connection, connection.cursor() as cursor:
            cursor.execute(_TABLE)
            cursor.execute(
                "CREATE TABLE seats (id INT PRIMARY KEY, taken INT)"
            )
            cursor.execute(
                "CREATE TABLE notes (id INT AUTO_INCREMENT PRIMARY KEY,"
                " note VARCHAR(40))"
            )

    @classmethod
    def tearDownClass(cls):
        cls.site.stop()

    @classmethod
    def _pymysql(cls, proxy=0, organisation="diocese-puno", **changes):
        options = {
            "host": cls.site.proxies[proxy].settings.vm.ip,
            "port": cls.site.port(proxy),
            "database": GROUP,
            "autocommit": True,
        }
        login = cls.site.login(organisation)
        return pymysql_connect(**(options | login | changes))

    @classmethod
    def _connector(cls, **changes):
        options = {
            "host": cls.site.proxies[0].settings.vm.ip,
            "port": cls.site.port(),
            "database": GROUP,
            "autocommit": True,
            "use_pure": True,
        }
        return connector_connect(**(options | cls.site.login() | changes))

    def test_types_pass_whole_with_pymysql(self):
        with self._pymysql() as connection, connection.cursor() as cursor:
            self.assertEqual(cursor.execute(_INSERT, _ROW), 1)
            cursor.execute(_SELECT, (cursor.lastrowid,))
            self.assertEqual(cursor.fetchone(), _ROW)

    def test_types_pass_whole_with_mysql_connector(self):
        for prepared in (False, True):
            with self.subTest(prepared=prepared):
                connection = self._connector()
                cursor = connection.cursor(prepared=prepared)
                cursor.execute(_INSERT, _ROW)
                self.assertEqual(cursor.rowcount, 1)
                cursor.execute(_SELECT, (cursor.lastrowid,))
                self.assertEqual(tuple(cursor.fetchone()), _ROW)
                connection.close()

    def test_types_pass_whole_with_asyncmy(self):
        async def run():
            connection = await asyncmy_connect(
                host=self.site.proxies[0].settings.vm.ip,
                port=self.site.port(),
                database=GROUP,
                autocommit=True,
                **self.site.login(),
            )
            async with connection.cursor() as cursor:
                await cursor.execute(_INSERT, _ROW)
                await cursor.execute(_SELECT, (cursor.lastrowid,))
                row = await cursor.fetchone()
            connection.close()
            return row

        self.assertEqual(self.site.call(run()), _ROW)

    def test_prepared_values_cannot_leave_their_literal(self):
        # A driver that prepares its statements sends a value with a quote,
        # such as the name O'Higgins. If the value were put into the text
        # unescaped, the quote would end the literal: the statement would
        # fail, or the rest of the value would run as SQL.
        table = [
            "O'Higgins",
            "x'; DROP TABLE notes; --",
            "back\\slash' OR 1=1",
            "which? what? who?",
            'double " quote',
            "line\nbreak\0zero",
        ]
        connection = self._connector()
        cursor = connection.cursor(prepared=True)
        for text in table:
            with self.subTest(text=text):
                cursor.execute("INSERT INTO notes (note) VALUES (%s)", (text,))
                cursor.execute(
                    "SELECT note, '?' FROM notes WHERE id = %s AND note = %s",
                    (cursor.lastrowid, text),
                )
                self.assertEqual(cursor.fetchall(), [(text, "?")])
        connection.close()

    def test_nulls_and_counts(self):
        with self._pymysql() as connection, connection.cursor() as cursor:
            cursor.execute(_INSERT, (None,) * 5)
            first = cursor.lastrowid
            cursor.execute(_SELECT, (first,))
            self.assertEqual(cursor.fetchone(), (None,) * 5)
            cursor.execute("SELECT LAST_INSERT_ID()")
            self.assertEqual(cursor.fetchone(), (first,))
            cursor.execute("SELECT id FROM kinds WHERE id < 0")
            self.assertEqual(cursor.fetchall(), ())

    def test_refusals_have_numbers(self):
        puno = self._pymysql()
        table = [
            ("LOAD DATA INFILE 'x' INTO TABLE kinds", Code.LOAD_DATA.number),
            ("SELECT 1; SELECT 2", Code.MULTI_STATEMENT.number),
            ("REDWING STATUS", Code.CONTROL_STATEMENT.number),
            ("/* redwing: knid=x */ SELECT 1", Code.BAD_MARK.number),
            ("/* redwing: token=zz */ SELECT 1", Code.TOKEN_INVALID.number),
            ("SELECT FROM WHERE", 1064),
            ("SELECT * FROM no_such_table", 1146),
        ]
        with puno, puno.cursor() as cursor:
            for sql, number in table:
                with self.subTest(sql=sql):
                    with self.assertRaises(PyMySQLError) as caught:
                        cursor.execute(sql)
                    self.assertEqual(caught.exception.args[0], number)

    def test_unknown_and_forbidden_groups_are_refused(self):
        table = [
            (OTHER_GROUP, Code.GROUP_NOT_ALLOWED.number),
            ("no-such-group", Code.UNKNOWN_GROUP.number),
            (None, Code.UNKNOWN_GROUP.number),
        ]
        for group, number in table:
            with self.subTest(group=group):
                connection = self._pymysql(database=group)
                with connection, connection.cursor() as cursor:
                    with self.assertRaises(PyMySQLError) as caught:
                        cursor.execute("SELECT id FROM kinds")
                    self.assertEqual(caught.exception.args[0], number)

    def test_wrong_keys_are_refused(self):
        table = [
            {"password": "wrong"},
            {"password": ""},
            {"user": "nobody"},
            {"password": KEYS_BY_ORGANISATION["diocese-cusco"]},
        ]
        for changes in table:
            with self.subTest(changes=changes):
                with self.assertRaises(PyMySQLError) as caught:
                    self._pymysql(**changes)
                self.assertEqual(caught.exception.args[0], 1045)
                with self.assertRaises(ConnectorError):
                    self._connector(**changes)

    def test_own_writes_are_read_through_another_proxy(self):
        # A caller writes through one proxy, and the balancer sends its
        # next request to another one, whose replica lags. The read must
        # include the write.
        first = self._pymysql(0)
        second = self._pymysql(1)
        with first, second:
            with first.cursor() as one, second.cursor() as two:
                for number in range(20):
                    one.execute(
                        "/* redwing: session=s1 */"
                        f" INSERT INTO seats VALUES ({number}, 1)"
                    )
                    one.execute("SELECT @@redwing_token")
                    token = one.fetchone()[0]
                    two.execute(
                        f"/* redwing: token={token} */"
                        f" SELECT id FROM seats WHERE id = {number}"
                    )
                    self.assertEqual(two.fetchall(), ((number,),))

    def test_a_foreign_token_is_refused(self):
        # A token copied from one organisation's log must not be accepted
        # from another organisation.
        with self._pymysql() as puno, puno.cursor() as cursor:
            cursor.execute("SELECT @@redwing_token")
            token = cursor.fetchone()[0]
        cusco = self._pymysql(organisation="diocese-cusco")
        with cusco, cusco.cursor() as cursor:
            with self.assertRaises(PyMySQLError) as caught:
                cursor.execute(f"/* redwing: token={token} */ SELECT 1")
            self.assertEqual(
                caught.exception.args[0], Code.TOKEN_FOREIGN.number
            )

    def test_transactions(self):
        with (
            self._pymysql(autocommit=False) as writer,
            self._pymysql() as other,
        ):
            one = writer.cursor()
            two = other.cursor()
            one.execute("INSERT INTO notes (note) VALUES ('kept back')")
            two.execute("SELECT note FROM notes WHERE note = 'kept back'")
            self.assertEqual(two.fetchall(), ())
            one.execute("SELECT note FROM notes WHERE note = 'kept back'")
            self.assertEqual(one.fetchall(), (("kept back",),))
            writer.rollback()
            one.execute("SELECT note FROM notes WHERE note = 'kept back'")
            self.assertEqual(one.fetchall(), ())
            one.execute("INSERT INTO notes (note) VALUES ('committed')")
            writer.commit()
            two.execute("SELECT note FROM notes WHERE note = 'committed'")
            self.assertEqual(two.fetchall(), (("committed",),))

    def test_a_disconnect_rolls_back(self):
        # A client loses its connection in the middle of a transaction. The
        # uncommitted row must not become visible, nor its locks block other
        # writers.
        connection = self._pymysql(autocommit=False)
        cursor = connection.cursor()
        cursor.execute("INSERT INTO notes (note) VALUES ('half done')")
        connection._force_close()
        with self._pymysql() as other, other.cursor() as two:
            two.execute("INSERT INTO notes (note) VALUES ('after')")
            two.execute("SELECT note FROM notes WHERE note = 'half done'")
            self.assertEqual(two.fetchall(), ())

    def test_keys_are_not_disclosed(self):
        # A key in a statement, a log line, a metric or an error would be
        # disclosed to everyone who can read those.
        output = StringIO()
        handler = logger.add(output, level=0, serialize=True)
        try:
            with self._pymysql() as connection, connection.cursor() as one:
                one.execute("SELECT id FROM kinds")
                one.execute("SELECT USER(), DATABASE()")
                shown = str(one.fetchall())
            with self.assertRaises(PyMySQLError) as caught:
                self._pymysql(password="marked-wrong-key-55aa")
        finally:
            logger.remove(handler)
        members = self.site.group.members_by_name.values()
        seen = [text for member in members for text in member.statements]
        self.assertTrue(any("SELECT id FROM kinds" in text for text in seen))
        metrics = generate_latest(self.site.proxies[0].metrics.registry)
        places = [
            shown,
            output.getvalue(),
            str(caught.exception),
            metrics.decode(),
            *seen,
        ]
        secrets = [*KEYS_BY_ORGANISATION.values(), "marked-wrong-key-55aa"]
        secrets += [hash_key(key) for key in secrets]
        for secret in secrets:
            with self.subTest(secret=secret):
                self.assertFalse(any(secret in place for place in places))

    def test_many_connections_get_their_own_answers(self):
        # Concurrent callers must never get each other's answers.
        async def run_one(number):
            connection = await asyncmy_connect(
                host=self.site.proxies[number % 2].settings.vm.ip,
                port=self.site.port(number % 2),
                database=GROUP,
                autocommit=True,
                **self.site.login(),
            )
            answers = []
            async with connection.cursor() as cursor:
                for step in range(5):
                    await cursor.execute(f"SELECT '{number}-{step}'")
                    answers.append((await cursor.fetchone())[0])
            connection.close()
            return answers

        async def run_all():
            return await gather(*(run_one(number) for number in range(20)))

        for number, answers in enumerate(self.site.call(run_all())):
            expected = [f"{number}-{step}" for step in range(5)]
            self.assertEqual(answers, expected)
