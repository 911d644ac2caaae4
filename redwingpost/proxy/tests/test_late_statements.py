"""Statements whose time or whose member's time ends before they are sent."""

from contextlib import contextmanager
from unittest import TestCase
from unittest.mock import patch

from pymysql import connect
from pymysql.err import MySQLError

from redwingpost.core import Code
from redwingpost.ports import TargetLost
from redwingpost.proxy.reads import Reader
from redwingpost.proxy.tests.small_site import GROUP, SmallSite
from redwingpost.routing.peer_clock import PeerClock


class LateStatementTest(TestCase):
    @classmethod
    def setUpClass(cls):
        cls.site = SmallSite(proxies=2, homes=1).start()
        cls.home, cls.other = cls.site.home_and_other()
        with cls._connect(cls.home) as connection:
            cursor = connection.cursor()
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

    def _notes(self, note):
        with self._connect(self.home) as connection:
            cursor = connection.cursor()
            cursor.execute("SELECT note FROM notes WHERE note = %s", (note,))
            return [row[0] for row in cursor.fetchall()]

    @contextmanager
    def _read_late(self):
        """Let the home read statements after their limit."""
        in_time = PeerClock.to_peer

        def long_ago(clock, at, now):
            return in_time(clock, at, now) - 60.0

        with patch.object(PeerClock, "to_peer", long_ago):
            yield

    def test_a_statement_that_its_home_reads_late(self):
        """Guards against statements that run after their caller's answer.

        The home stood still: the caller was told that the outcome is
        unknown, and goes on.
        """
        table = [
            ("alone", True, ("INSERT INTO notes VALUES ('late')",)),
            (
                "in a transaction",
                False,
                ("INSERT INTO notes VALUES ('late')",),
            ),
            ("commit", False, ("COMMIT",)),
        ]
        for name, autocommit, late in table:
            with self.subTest(name):
                connection = self._connect(self.other, autocommit)
                cursor = connection.cursor()
                if not autocommit:
                    cursor.execute("INSERT INTO notes VALUES ('before')")
                with self._read_late():
                    with self.assertRaises(MySQLError) as caught:
                        for sql in late:
                            cursor.execute(sql)
                expected = (
                    Code.DEADLINE_PASSED
                    if autocommit
                    else Code.TRANSACTION_ROLLED_BACK
                )
                self.assertEqual(expected.number, caught.exception.args[0])
                connection.commit()
                connection.close()
                self.assertEqual([], self._notes("late"))
                self.assertEqual([], self._notes("before"))

    def test_a_reading_that_is_too_old_is_taken_anew(self):
        """Guards against limits that an old reading makes too early."""
        with self._connect(self.other) as connection:
            cursor = connection.cursor()
            cursor.execute("SELECT note FROM notes")
            with patch("redwingpost.routing.peer_clock.MAX_AGE_S", -1.0):
                cursor.execute("INSERT INTO notes VALUES ('in time')")
        self.assertEqual(["in time"], self._notes("in time"))

    def test_a_statement_without_time_is_not_sent(self):
        """Guards against statements that are sent after their deadline."""
        proxy = self.site.proxies[self.home]
        address = proxy.directory.primary(GROUP)

        async def execute():
            connection = await proxy.pool._dialler.dial(address, 1.0)
            with self.assertRaises(TargetLost) as caught:
                sql = f"INSERT INTO `{GROUP}`.notes VALUES ('no time')"
                await connection.execute(sql, 0.0)
            return caught.exception.sent

        self.assertFalse(self.site.call(execute()))
        self.assertEqual([], self._notes("no time"))

    def test_a_replica_that_drains_while_a_read_waits(self):
        """Guards against reads at a member that takes no new work."""
        proxy = self.site.proxies[self.home]
        drained, used = [], []

        async def connect_late(pool):
            if not drained:
                drained.append(pool.address.member)
            return await in_time(pool)

        async def execute(reads, connection, sql, timeout):
            checkout = proxy.pool._checkouts_by_connection[connection]
            used.append(checkout.member_pool.address.member)
            return await run(reads, connection, sql, timeout)

        in_time, run = proxy.pool._connect, Reader._execute
        with (
            patch.object(proxy.pool, "_connect", connect_late),
            patch.object(Reader, "_execute", execute),
            patch.object(
                proxy.directory, "is_draining", lambda name: name in drained
            ),
            self._connect(self.home) as connection,
        ):
            cursor = connection.cursor()
            cursor.execute(
                "/* redwing: max_staleness_ms=60000 */ SELECT note FROM notes"
            )
        self.assertEqual(1, len(used))
        self.assertNotIn(used[0], drained)
