"""Tests of withdrawn keys and planned stops with connected callers."""

from asyncio import Event
from threading import Event as ThreadEvent
from threading import Thread
from unittest import TestCase
from unittest.mock import patch

from pymysql import Error as PyMySQLError
from pymysql import connect

from redwingpost.configuration.keys import hash_key
from redwingpost.configuration.model import Withdrawal
from redwingpost.core import Code
from redwingpost.proxy.drain import FINISH_TIMEOUT_S, Drain
from redwingpost.proxy.tests.small_site import (
    GROUP,
    KEYS_BY_ORGANISATION,
    SmallSite,
)

PUNO, CUSCO = "diocese-puno", "diocese-cusco"


class ConnectedCallersTest(TestCase):
    def setUp(self):
        self.site = SmallSite().start()
        self.addCleanup(self.site.stop)
        self.proxy = self.site.proxies[0]

    def connect(self, organisation=PUNO, autocommit=True):
        """Return a connection of a caller."""
        connection = connect(
            host=self.proxy.settings.vm.ip,
            port=self.site.port(),
            database=GROUP,
            autocommit=autocommit,
            **self.site.login(organisation),
        )
        self.addCleanup(connection._force_close)
        return connection

    def withdraw(self, organisation):
        """Withdraw an organisation's key like the agent's feed."""
        key_hash = hash_key(KEYS_BY_ORGANISATION[organisation])
        keys = frozenset([Withdrawal(organisation, key_hash)])

        async def take():
            self.proxy.feed._withdraw(keys)

        self.site.call(take())

    def test_a_withdrawn_key_rolls_back_its_open_transaction(self):
        # A key is withdrawn while a caller has an open transaction and
        # sends nothing more. Its locks must not block other callers, its
        # uncommitted work must not be visible, and the next request is
        # refused on every connection with that key.
        setup = self.connect()
        setup.cursor().execute("CREATE TABLE stock (id INT PRIMARY KEY)")
        held = self.connect(autocommit=False)
        held.cursor().execute("INSERT INTO stock VALUES (1)")
        self.withdraw(PUNO)
        other = self.connect(CUSCO)
        with other.cursor() as cursor:
            cursor.execute("INSERT INTO stock VALUES (1)")
            self.assertEqual(cursor.rowcount, 1)
        for caller in (held, setup):
            with self.assertRaises(PyMySQLError) as caught:
                caller.cursor().execute("SELECT 1 FROM stock")
            self.assertEqual(
                caught.exception.args[0], Code.KEY_WITHDRAWN.number
            )

    def test_a_key_is_withdrawn_while_a_statement_waits(self):
        """Guards against statements that run for a withdrawn key.

        The statement waits for a connection to its member meanwhile.
        """
        setup = self.connect(CUSCO)
        setup.cursor().execute("CREATE TABLE waits (id INT PRIMARY KEY)")
        connect_to_member = self.proxy.pool._connect
        is_waiting, goes_on = ThreadEvent(), Event()

        async def connect_late(pool):
            is_waiting.set()
            await goes_on.wait()
            return await connect_to_member(pool)

        caller = self.connect()
        codes = []

        def run():
            with self.assertRaises(PyMySQLError) as caught:
                caller.cursor().execute("INSERT INTO waits VALUES (1)")
            codes.append(caught.exception.args[0])

        with patch.object(self.proxy.pool, "_connect", connect_late):
            thread = Thread(target=run)
            thread.start()
            is_waiting.wait()
            self.withdraw(PUNO)
            self.site.loop.call_soon_threadsafe(goes_on.set)
            thread.join()
        self.assertEqual([Code.KEY_WITHDRAWN.number], codes)
        cursor = setup.cursor()
        cursor.execute("SELECT id FROM waits")
        self.assertEqual((), cursor.fetchall())

    def test_a_drained_proxy_serves_until_it_is_stopped(self):
        """Guards against callers cut because a drain began long ago."""
        connection = self.connect()
        left_at = self.proxy.clock.now() - 60.0
        self.proxy._left_at = left_at
        self.assertFalse(self.proxy.ready)
        answers = []

        def run():
            cursor = connection.cursor()
            cursor.execute("SELECT SLEEP(0.5)")
            answers.extend(cursor.fetchall())

        caller = Thread(target=run)
        caller.start()
        while not any(session.busy for session in self.proxy.sessions):
            pass
        self.site.call(self.proxy.drain())
        caller.join()
        self.assertEqual(len(answers), 1)

    def test_a_stopping_proxy_refuses_what_it_could_only_abort(self):
        """Guards against a COMMIT that is cut as the proxy closes."""
        setup = self.connect()
        setup.cursor().execute("CREATE TABLE stops (id INT PRIMARY KEY)")
        held = self.connect(autocommit=False)
        held.cursor().execute("INSERT INTO stops VALUES (1)")
        stops_at = self.proxy.clock.now()
        self.proxy._drain = Drain(stops_at - FINISH_TIMEOUT_S, leave_s=1.0)
        with self.assertRaises(PyMySQLError) as refused:
            held.commit()
        code = Code.TRANSACTION_ROLLED_BACK.number
        self.assertEqual(code, refused.exception.args[0])
        with self.assertRaises(PyMySQLError) as refused:
            self.connect().cursor().execute("INSERT INTO stops VALUES (2)")
        self.assertEqual(Code.DRAINING.number, refused.exception.args[0])

    def test_a_planned_stop_aborts_no_request(self):
        # The VM is replaced while a statement runs. The caller must get
        # the whole answer before the connections are closed.
        connection = self.connect()
        answers = []

        def run():
            cursor = connection.cursor()
            cursor.execute("SELECT SLEEP(0.5)")
            answers.extend(cursor.fetchall())

        caller = Thread(target=run)
        caller.start()
        while not any(session.busy for session in self.proxy.sessions):
            pass
        self.site.call(self.proxy.drain())
        self.assertFalse(self.proxy.ready)
        caller.join()
        self.assertEqual(len(answers), 1)
