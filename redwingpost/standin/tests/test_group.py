"""Tests of the group stand-in with a real MySQL driver."""

from asyncio import gather
from datetime import datetime
from decimal import Decimal
from logging import CRITICAL, getLogger
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession
from asyncmy.errors import MySQLError

from redwingpost.standin import GroupStandin
from redwingpost.standin.tests.support import (
    run_write,
    dial,
    inject_fault,
    quick_settings,
    rows,
)

CREATE = (
    "CREATE TABLE plans (id BIGINT AUTO_INCREMENT PRIMARY KEY,"
    " name VARCHAR(50) NOT NULL, price DECIMAL(10,2), at DATETIME(6),"
    " body BLOB, stock BIGINT, UNIQUE KEY by_name (name))"
)


class GroupCase(IsolatedAsyncioTestCase):
    """Starts a group that adds no delay to statements."""

    settings = quick_settings()

    async def asyncSetUp(self):
        getLogger("mysql_mimic").setLevel(CRITICAL)
        self.group = GroupStandin(self.settings)
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)

    async def dial(self, name):
        connection = await dial(self.group, name)
        self.addCleanup(connection.close)
        return connection

    async def error(self, connection, sql):
        with self.assertRaises(MySQLError) as caught:
            await rows(connection, sql)
        return caught.exception.args[0]

    async def last_position(self, connection):
        return (await rows(connection, "REDWING POSITION"))[0]

    async def promote(self, name, term):
        members = list(self.group.members_by_name)
        for member in members:
            connection = await self.dial(member)
            await rows(connection, f"REDWING CLAIM {term} vm-1")
        connection = await self.dial(name)
        answer = await rows(connection, f"REDWING PROMOTE {term} vm-1")
        self.assertEqual(answer[0][0], 1)
        for member in members:
            if member != name:
                other = await self.dial(member)
                await rows(other, f"REDWING FOLLOW {term} {name} 127.0.0.1 1")


class StatementsTest(GroupCase):
    async def test_values_are_read_as_written(self):
        primary = await self.dial("a")
        await rows(primary, CREATE)
        values = (
            "José 書 \U0001f600 \\ ' \n",
            Decimal("12.50"),
            datetime(2026, 1, 2, 3, 4, 5, 678),
            b"\x00\xff'\\\x80\n",
            2**63 - 1,
        )
        insert = (
            "INSERT INTO plans (name, price, at, body, stock)"
            " VALUES (%s, %s, %s, %s, %s)"
        )
        self.assertEqual(await run_write(primary, insert, *values), (1, 1))
        found = await rows(primary, "SELECT * FROM plans")
        self.assertEqual(found, [(1, *values)])

    async def test_affected_rows_and_ids(self):
        primary = await self.dial("a")
        await rows(primary, CREATE)
        table = [
            ("INSERT INTO plans (name) VALUES ('a'), ('b')", (2, 1)),
            ("INSERT IGNORE INTO plans (name) VALUES ('a')", (0, 0)),
            ("UPDATE plans SET stock = 3 WHERE name = 'a'", (1, 0)),
            (
                "INSERT INTO plans (name, stock) VALUES ('a', 9)"
                " ON DUPLICATE KEY UPDATE stock = VALUES(stock) + 1",
                (2, 0),
            ),
            ("DELETE FROM plans WHERE stock = 10", (1, 0)),
        ]
        for sql, expected in table:
            with self.subTest(sql=sql):
                affected, inserted = await run_write(primary, sql)
                self.assertEqual(affected, expected[0])
                if expected[1]:
                    self.assertEqual(inserted, expected[1])

    async def test_errors_have_mysql_numbers(self):
        primary = await self.dial("a")
        replica = await self.dial("b")
        await rows(primary, CREATE)
        await rows(primary, "INSERT INTO plans (name) VALUES ('x')")
        table = [
            (primary, "INSERT INTO plans (name) VALUES ('x')", 1062),
            (primary, "SELEC 1", 1064),
            (primary, "SELECT * FROM absent", 1146),
            (primary, "INSERT INTO plans (name) VALUES (NULL)", 1048),
            (primary, "REDWING NONSENSE", 1064),
            (primary, "REDWING CLAIM", 1064),
            (replica, "DELETE FROM plans", 1290),
        ]
        for connection, sql, number in table:
            with self.subTest(sql=sql):
                self.assertEqual(await self.error(connection, sql), number)

    async def test_failed_statement_leaves_transaction_open(self):
        """A duplicate key inside a transaction undoes only its statement."""
        primary = await self.dial("a")
        await rows(primary, CREATE)
        await rows(primary, "BEGIN")
        await rows(primary, "INSERT INTO plans (name) VALUES ('x')")
        duplicate = "INSERT INTO plans (name) VALUES ('x')"
        self.assertEqual(await self.error(primary, duplicate), 1062)
        await rows(primary, "COMMIT")
        found = await rows(primary, "SELECT name FROM plans")
        self.assertEqual(found, [("x",)])

    async def test_reset_clears_the_connection(self):
        primary = await self.dial("a")
        await rows(primary, "SET @seat = 4")
        await rows(primary, "CREATE TEMPORARY TABLE seats (n INT)")
        await rows(primary, "BEGIN")
        await rows(primary, "REDWING RESET")
        self.assertEqual(await rows(primary, "SELECT @seat"), [(None,)])
        select = "SELECT * FROM seats"
        self.assertEqual(await self.error(primary, select), 1146)


class LimitsTest(GroupCase):
    settings = quick_settings(connections=2, lock_wait_ms=50)

    async def test_one_connection_too_many(self):
        await self.dial("a")
        await self.dial("a")
        with self.assertRaises(MySQLError) as caught:
            await self.dial("a")
        self.assertEqual(caught.exception.args[0], 1040)

    async def test_second_writer_waits_and_fails(self):
        first, second = await gather(self.dial("a"), self.dial("a"))
        await rows(first, CREATE)
        await rows(first, "BEGIN")
        await rows(first, "INSERT INTO plans (name) VALUES ('x')")
        insert = "INSERT INTO plans (name) VALUES ('y')"
        self.assertEqual(await self.error(second, insert), 1205)
        await rows(first, "COMMIT")
        await rows(second, insert)


class ReplicationTest(GroupCase):
    async def test_replicas_follow(self):
        primary = await self.dial("a")
        replica = await self.dial("b")
        await rows(primary, CREATE)
        await rows(primary, "INSERT INTO plans (name) VALUES ('x')")
        term, index = await self.last_position(primary)
        waited = await rows(
            replica, f"REDWING WAIT APPLIED {term} {index} 5000"
        )
        self.assertEqual(waited[0][0], 1)
        found = await rows(replica, "SELECT name FROM plans")
        self.assertEqual(found, [("x",)])

    async def test_fence_rolls_an_open_transaction_back(self):
        """A new term is claimed while a caller's transaction is open.

        The old primary must not commit the transaction; the caller's
        commit fails with error 1290 instead of being acknowledged.
        """
        primary = await self.dial("a")
        await rows(primary, CREATE)
        await rows(primary, "BEGIN")
        await rows(primary, "INSERT INTO plans (name) VALUES ('x')")
        other = await self.dial("a")
        await rows(other, "REDWING CLAIM 2 vm-1")
        self.assertEqual(await self.error(primary, "COMMIT"), 1290)
        self.assertEqual(await rows(primary, "SELECT * FROM plans"), [])

    async def test_diverged_entries_are_undone_and_recorded(self):
        """A primary commits unreplicated, is replaced and then follows.

        Entries that only it holds must be undone: a caller would read a
        reservation that the group doesn't have.
        """
        primary = await self.dial("a")
        await rows(primary, CREATE)
        term, index = await self.last_position(primary)
        for name in ("b", "c"):
            other = await self.dial(name)
            await rows(other, f"REDWING WAIT APPLIED {term} {index} 5000")
            await rows(other, "REDWING CLAIM 2 vm-1")
        await rows(primary, "INSERT INTO plans (name) VALUES ('lost')")
        await self.promote("b", 3)
        leader = await self.dial("b")
        await rows(leader, "INSERT INTO plans (name) VALUES ('kept')")
        term, index = await self.last_position(leader)
        old = await self.dial("a")
        await rows(old, f"REDWING WAIT APPLIED {term} {index} 5000")
        found = await rows(old, "SELECT name FROM plans")
        self.assertEqual(found, [("kept",)])
        undone = await rows(old, "REDWING DIVERGED")
        self.assertEqual([row[:2] for row in undone], [(1, 3)])


class LinkFaultsTest(GroupCase):
    settings = quick_settings(link_faults=True, pull_hold_ms=5)

    async def test_cut_link_stops_replication(self):
        """A replica's data centre is cut off from the primary's.

        Writes continue, but the replica doesn't receive them; it catches
        up when the cut ends.
        """
        primary = await self.dial("a")
        await rows(primary, CREATE)
        cut = {"from": "127.2.0.0/16", "to": "127.1.0.0/16", "kind": "cut"}
        await self.set_rules([cut])
        await rows(primary, "INSERT INTO plans (name) VALUES ('x')")
        term, index = await self.last_position(primary)
        for name, expected in (("b", 0), ("c", 1)):
            replica = await self.dial(name)
            wait = f"REDWING WAIT APPLIED {term} {index} {1 + 5000 * expected}"
            self.assertEqual((await rows(replica, wait))[0][0], expected)
        await self.set_rules([])
        replica = await self.dial("b")
        wait = f"REDWING WAIT APPLIED {term} {index} 5000"
        self.assertEqual((await rows(replica, wait))[0][0], 1)

    async def set_rules(self, rules):
        ip, port = self.group.fault_address
        url = f"http://{ip}:{port}/faults/links"
        async with ClientSession() as client:
            async with client.post(url, json={"rules": rules}) as answer:
                self.assertEqual(answer.status, 200)


class FaultsTest(GroupCase):
    async def inject_fault(self, fault, **arguments):
        status, answer = await inject_fault(
            self.group.fault_address, fault, **arguments
        )
        self.assertEqual(status, 200, answer)
        return answer

    async def test_write_with_lost_answer_is_applied(self):
        """The member commits, but its answer never arrives.

        The caller can't distinguish this from a write that didn't run.
        """
        primary = await self.dial("a")
        await rows(primary, CREATE)
        await self.inject_fault("lose-answer", member="a", match="INSERT")
        with self.assertRaises(MySQLError):
            await rows(primary, "INSERT INTO plans (name) VALUES ('x')")
        other = await self.dial("a")
        found = await rows(other, "SELECT name FROM plans")
        self.assertEqual(found, [("x",)])

    async def test_crash_keeps_promises_and_data(self):
        """A member that crashes and restarts keeps its promises and data."""
        primary = await self.dial("a")
        await rows(primary, CREATE)
        await rows(primary, "REDWING CLAIM 7 vm-9")
        await self.inject_fault("die", member="a")
        with self.assertRaises(MySQLError):
            await rows(primary, "SELECT 1")
        with self.assertRaises(MySQLError):
            await self.dial("a")
        await self.inject_fault("restart", member="a")
        again = await self.dial("a")
        status = await rows(again, "REDWING STATUS")
        self.assertEqual(status[0][1:3], ("replica", 7))
        self.assertEqual(await rows(again, "SELECT * FROM plans"), [])

    async def test_invalid_faults_are_refused(self):
        table = [
            ("explode", {}),
            ("die", {}),
            ("die", {"member": "z"}),
            ("lag", {"member": "a", "ms": "soon"}),
        ]
        for fault, arguments in table:
            with self.subTest(fault=fault, arguments=arguments):
                status, answer = await inject_fault(
                    self.group.fault_address, fault, **arguments
                )
                self.assertEqual(status, 400)
                self.assertIn("error", answer)

    async def test_dump_and_statements(self):
        primary = await self.dial("a")
        await rows(primary, CREATE)
        await rows(primary, "INSERT INTO plans (name) VALUES ('x')")
        dump = await self.inject_fault("dump", member="a")
        self.assertEqual(len(dump["tables"]["plans"]["rows"]), 1)
        self.assertEqual(len(dump["log"]), 3)
        received = await self.inject_fault("statements", member="a")
        self.assertIn(CREATE, received["statements"])
