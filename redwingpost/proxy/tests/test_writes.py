"""Tests of writes and transactions through proxies as members fail."""

from concurrent.futures import ThreadPoolExecutor
from unittest import TestCase

from pymysql import connect
from pymysql.err import MySQLError

from redwingpost.core import Code, Position
from redwingpost.proxy.tests.small_site import GROUP, SmallSite

_CREATE = (
    "CREATE TABLE orders (id INT AUTO_INCREMENT PRIMARY KEY,"
    " parish VARCHAR(40))"
)


class WritesTest(TestCase):
    """Each test starts its own group, because most of them break it."""

    def setUp(self):
        self.site = SmallSite(proxies=2).start()
        self.addCleanup(self.site.stop)
        self.connection_1 = self.connect(0)
        self.connection_2 = self.connect(1)
        self.run_on(self.connection_1, _CREATE)

    def connect(self, proxy):
        connection = connect(
            host=self.site.proxies[proxy].settings.vm.ip,
            port=self.site.port(proxy),
            database=GROUP,
            autocommit=True,
            **self.site.login(),
        )
        self.addCleanup(self.close, connection)
        return connection

    def close(self, connection):
        if connection.open:
            connection.close()

    def run_on(self, connection, sql):
        with connection.cursor() as cursor:
            cursor.execute(sql)
            return cursor.fetchall(), cursor.rowcount, cursor.lastrowid

    def order(self, connection, parish, key=""):
        marks = f"/* redwing: idempotency_key={key} */ " if key else ""
        sql = f"{marks}INSERT INTO orders (parish) VALUES ('{parish}')"
        return self.run_on(connection, sql)

    def code_of(self, call, *arguments):
        with self.assertRaises(MySQLError) as caught:
            call(*arguments)
        return caught.exception.args[0]

    def count(self, parish):
        sql = f"SELECT COUNT(*) FROM orders WHERE parish = '{parish}'"
        return int(self.run_on(self.connect(0), sql)[0][0][0])

    def member(self, letter):
        return self.site.group.members_by_name[f"{GROUP}-{letter}"]

    def lose_answers(self, match, times=1):
        self.member("a").lost_answers_match = match
        self.member("a").lost_answers = times

    def promote(self, letter, others):
        """Claim, promote and follow as a proposer does, at these members."""

        async def work():
            new = self.member(letter)
            for name in (letter, *others):
                self.member(name).claim(2, "test")
            await new.promote(2, "test")
            for name in others:
                endpoint = new.endpoint
                member = self.member(name)
                member.follow(2, new.name, endpoint.ip, new.port)

        self.site.call(work())

    def test_two_copies_at_two_proxies_run_once(self):
        """Two proxies get the same keyed write at the same time.

        The write must run once, and both callers must get the same
        answer with the same insert id.
        """
        with ThreadPoolExecutor(2) as pool:
            for number in range(10):
                copies = [
                    pool.submit(self.order, connection, "puno", f"k{number}")
                    for connection in (self.connection_1, self.connection_2)
                ]
                first, second = (copy.result() for copy in copies)
                self.assertEqual(first, second)
        self.assertEqual(self.count("puno"), 10)

    def test_key_of_another_statement(self):
        self.order(self.connection_1, "puno", "k")
        code = self.code_of(self.order, self.connection_2, "cusco", "k")
        self.assertEqual(code, Code.KEY_REUSED.number)
        self.assertEqual(self.count("cusco"), 0)

    def test_answer_of_the_commit_is_lost(self):
        """The primary commits a write, but its answer is lost.

        With a key the caller gets the recorded answer. Without one it
        gets "outcome unknown", never "not run".
        """
        self.order(self.connection_1, "arequipa", "k0")
        self.lose_answers("COMMIT")
        _, rows, number = self.order(self.connection_1, "puno", "k1")
        self.assertEqual((rows, number), (1, 2))
        self.assertEqual(self.count("puno"), 1)
        self.lose_answers("cusco")
        code = self.code_of(self.order, self.connection_1, "cusco")
        self.assertEqual(code, Code.OUTCOME_UNKNOWN.number)
        self.assertEqual(self.count("cusco"), 1)

    def test_keyed_write_waits_for_the_new_primary(self):
        """The primary fails and another is promoted afterwards.

        A keyed write sent meanwhile must neither be refused nor run
        twice.
        """
        self.order(self.connection_1, "arequipa", "k0")
        self.site.call(self.member("a").die())
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.order, self.connection_1, "puno", "k1")
            self.promote("b", "c")
            self.assertEqual(waiting.result()[1], 1)
        self.assertEqual(self.count("puno"), 1)
        self.assertEqual(self.count("arequipa"), 1)

    def test_unkeyed_write_over_a_connection_that_died_idle(self):
        """The primary fails while the proxy's connections are idle.

        Nothing was sent when the write arrives, so it waits for the new
        primary. The answer "unknown" would make the caller check the
        outcome for no reason.
        """
        self.order(self.connection_1, "arequipa")
        self.site.call(self.member("a").die())
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.order, self.connection_1, "puno")
            self.promote("b", "c")
            self.assertEqual(waiting.result()[1], 1)
        self.assertEqual(self.count("puno"), 1)

    def test_isolated_primary_acknowledges_nothing(self):
        """The primary is cut off; the others have promised a new term.

        It still commits. If the write were acknowledged, it would be lost
        with that primary's log. The caller must get its answer from the
        new primary, where the write runs once.
        """
        self.order(self.connection_1, "arequipa", "k0")
        self.promote("b", "c")
        _, rows, _ = self.order(self.connection_1, "puno", "k1")
        self.assertEqual(rows, 1)
        self.assertEqual(self.count("puno"), 1)

    def test_write_without_a_new_primary_ends_unknown(self):
        for letter in "bc":
            self.site.call(self.member(letter).die())
        sql = (
            "/* redwing: deadline_ms=400 */ "
            "INSERT INTO orders (parish) VALUES ('puno')"
        )
        code = self.code_of(self.run_on, self.connection_1, sql)
        self.assertEqual(code, Code.NOT_CONFIRMED.number)

    def test_transaction_ends_in_rollback(self):
        """The primary fails in the middle of a transaction.

        No part of the transaction may remain, and the caller must get
        the answer that all of it was rolled back.
        """
        self.run_on(self.connection_1, "BEGIN")
        self.order(self.connection_1, "puno")
        self.site.call(self.member("a").die())
        code = self.code_of(self.order, self.connection_1, "puno")
        self.assertEqual(code, Code.TRANSACTION_ROLLED_BACK.number)
        self.promote("b", "c")
        self.order(self.connection_2, "cusco")
        self.assertEqual(self.count("puno"), 0)

    def test_commit_without_an_answer(self):
        self.run_on(self.connection_1, "BEGIN")
        self.order(self.connection_1, "puno")
        self.lose_answers("COMMIT")
        code = self.code_of(self.run_on, self.connection_1, "COMMIT")
        self.assertEqual(code, Code.COMMIT_UNKNOWN.number)

    def test_disconnected_caller_holds_no_lock(self):
        """A caller disconnects inside a transaction.

        If its locks stayed, the other callers' writes would wait until
        their deadlines.
        """
        self.run_on(self.connection_1, "BEGIN")
        self.order(self.connection_1, "puno")
        self.connection_1.close()
        self.order(self.connection_2, "cusco")
        self.assertEqual(self.count("puno"), 0)
        self.assertEqual(self.count("cusco"), 1)

    def test_session_with_a_dropped_position_is_refused_once(self):
        """A session holds a position that a promotion has dropped.

        Without a refusal the session would miss data that it had seen.
        If it were refused more than once, its caller would have to log
        in again.
        """
        self.promote("b", "c")
        self.order(self.connection_1, "puno", "k1")
        token = self.site.proxies[0].components.tokens.mint(
            "diocese-puno", "s1", {GROUP: Position(1, 10_000)}, False
        )
        sql = f"/* redwing: token={token} */ SELECT COUNT(*) FROM orders"
        code = self.code_of(self.run_on, self.connection_1, sql)
        self.assertEqual(code, Code.POSITION_LOST.number)
        rows = self.run_on(self.connection_1, sql)[0]
        self.assertEqual(int(rows[0][0]), 1)

    def test_commits_are_confirmed_together(self):
        """Concurrent writes share the waits at the replicas."""
        before = [proxy.confirmer.waits_sent for proxy in self.site.proxies]
        with ThreadPoolExecutor(8) as pool:
            connections = [self.connect(0) for _ in range(8)]
            for _ in range(10):
                list(pool.map(self.order, connections, ["puno"] * 8))
        confirmer = self.site.proxies[0].confirmer
        self.assertEqual(self.count("puno"), 80)
        sent = confirmer.waits_sent - before[0]
        self.assertLess(sent, 2 * confirmer.writes_confirmed)
