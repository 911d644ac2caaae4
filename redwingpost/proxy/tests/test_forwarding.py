"""Tests of statements forwarded to a home VM, with a real driver."""

from datetime import datetime
from decimal import Decimal
from unittest import TestCase

from pymysql import connect
from pymysql.err import MySQLError

from redwingpost.core import Code
from redwingpost.proxy.tests.small_site import GROUP, SmallSite

_ROW = (
    Decimal("12.50"),
    datetime(2026, 12, 2, 3, 4, 5),
    b"\x00\xff'\\binary",
    "lección №1 🕊",
    2**63 - 1,
    None,
)


class ForwardingTest(TestCase):
    @classmethod
    def setUpClass(cls):
        cls.site = SmallSite(proxies=2, homes=1).start()
        cls.home, cls.other = cls.site.home_and_other()
        with cls._connect(cls.other) as connection:
            cursor = connection.cursor()
            cursor.execute(
                "CREATE TABLE kinds (id INT AUTO_INCREMENT PRIMARY KEY,"
                " price DECIMAL(10,2), at DATETIME, body BLOB,"
                " note VARCHAR(40), big BIGINT, missing INT)"
            )
            cursor.execute("CREATE TABLE notes (note VARCHAR(40))")

    @classmethod
    def tearDownClass(cls):
        cls.site.stop()

    @classmethod
    def _connect(cls, proxy, autocommit=True):
        return connect(
            host=cls.site.proxies[proxy].settings.vm.ip,
            port=cls.site.port(proxy),
            database=GROUP,
            autocommit=autocommit,
            **cls.site.login(),
        )

    def _notes(self, proxy, note):
        with self._connect(proxy) as connection:
            cursor = connection.cursor()
            cursor.execute("SELECT note FROM notes WHERE note = %s", (note,))
            return [row[0] for row in cursor.fetchall()]

    def test_only_the_home_connects_to_members(self):
        # With 1,000 VMs, the first 32 would take all of a member's 32
        # connections, and the callers of all other VMs would be refused.
        self._notes(self.other, "nobody's")
        members = self.site.group.members_by_name.keys()
        pollers = [proxy.status_poller for proxy in self.site.proxies]
        self.site.wait_until(lambda: not pollers[self.other].polled & members)
        self.assertEqual(pollers[self.home].polled & members, members)

    def test_types_pass_whole(self):
        with self._connect(self.other) as connection:
            cursor = connection.cursor()
            count = cursor.execute(
                "INSERT INTO kinds (price, at, body, note, big, missing)"
                " VALUES (%s, %s, %s, %s, %s, %s)",
                _ROW,
            )
            self.assertEqual(count, 1)
            number = cursor.lastrowid
            cursor.execute("SELECT LAST_INSERT_ID()")
            self.assertEqual(cursor.fetchone(), (number,))
            cursor.execute(
                "SELECT price, at, body, note, big, missing FROM kinds"
                " WHERE id = %s",
                (number,),
            )
            self.assertEqual(cursor.fetchone(), _ROW)

    def test_transactions(self):
        with self._connect(self.other, autocommit=False) as connection:
            cursor = connection.cursor()
            cursor.execute("INSERT INTO notes VALUES ('kept back')")
            self.assertEqual(self._notes(self.home, "kept back"), [])
            connection.rollback()
            cursor.execute("INSERT INTO notes VALUES ('committed')")
            connection.commit()
            notes = self._notes(self.home, "committed")
            self.assertEqual(notes, ["committed"])

    def test_own_writes_are_read_at_the_home(self):
        first = self._connect(self.other)
        second = self._connect(self.home)
        with first, second:
            one, two = first.cursor(), second.cursor()
            for number in range(10):
                note = f"roaming {number}"
                one.execute(
                    "/* redwing: session=s */ INSERT INTO notes VALUES (%s)",
                    (note,),
                )
                one.execute("SELECT @@redwing_token")
                token = one.fetchone()[0]
                two.execute(
                    f"/* redwing: token={token} */"
                    " SELECT note FROM notes WHERE note = %s",
                    (note,),
                )
                self.assertEqual(two.fetchall(), ((note,),))

    def test_errors_come_back_with_their_numbers(self):
        table = [
            ("SELECT * FROM no_such_table", 1146),
            ("SELECT FROM", 1064),
            ("/* redwing: token=x */ SELECT 1", Code.TOKEN_INVALID.number),
        ]
        with self._connect(self.other) as connection:
            cursor = connection.cursor()
            for sql, number in table:
                with self.subTest(sql=sql):
                    with self.assertRaises(MySQLError) as caught:
                        cursor.execute(sql)
                    self.assertEqual(caught.exception.args[0], number)

    def test_a_disconnect_rolls_back_at_the_home(self):
        # A client loses its connection to a VM that only forwards. Its
        # transaction at the home must not stay open, because its locks
        # would block every other writer of the group.
        connection = self._connect(self.other, autocommit=False)
        cursor = connection.cursor()
        cursor.execute("INSERT INTO notes VALUES ('half done')")
        connection._force_close()
        with self._connect(self.home) as another:
            another.cursor().execute("INSERT INTO notes VALUES ('after')")
        self.assertEqual(self._notes(self.home, "half done"), [])


class LostHomeTest(TestCase):
    def test_a_lost_home_rolls_back_its_transactions(self):
        # The home VM of a group fails in the middle of a transaction that
        # another VM forwards to it. The caller must get the error that it
        # was rolled back, and none of it may become visible.
        site = SmallSite(proxies=2, homes=1).start()
        self.addCleanup(site.stop)
        home, other = site.home_and_other()
        connection = connect(
            host=site.proxies[other].settings.vm.ip,
            port=site.port(other),
            database=GROUP,
            autocommit=True,
            **site.login(),
        )
        cursor = connection.cursor()
        cursor.execute("CREATE TABLE notes (note VARCHAR(40))")
        cursor.execute("BEGIN")
        cursor.execute("INSERT INTO notes VALUES ('half done')")
        site.call(site.proxies[home].peers.stop())
        with self.assertRaises(MySQLError) as caught:
            cursor.execute("INSERT INTO notes VALUES ('more')")
        self.assertEqual(
            caught.exception.args[0], Code.TRANSACTION_ROLLED_BACK.number
        )
        with self.assertRaises(MySQLError) as caught:
            cursor.execute("SELECT note FROM notes")
        self.assertEqual(caught.exception.args[0], Code.TARGET_LOST.number)
        connection.close()
