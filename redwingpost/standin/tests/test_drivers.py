"""Three drivers against one member: values are read as written."""

from asyncio import to_thread
from datetime import date, datetime, timedelta
from decimal import Decimal
from unittest import IsolatedAsyncioTestCase

from mysql.connector import connect as connect_connector
from pymysql import connect as connect_pymysql

from redwingpost.standin import GroupStandin
from redwingpost.standin.tests.support import (
    run_write,
    dial,
    quick_settings,
    rows,
)

#: Column type and values that must be read back unchanged.
VALUES = [
    ("TINYINT", [-128, 127, 0]),
    ("SMALLINT", [-32768, 32767]),
    ("INT", [-(2**31), 2**31 - 1]),
    ("BIGINT", [-(2**63), 2**63 - 1, 0]),
    ("DOUBLE", [0.1, -1e300, 1e-300]),
    ("DECIMAL(10,2)", [Decimal("12345678.90"), Decimal("-0.01")]),
    ("DECIMAL(30,10)", [Decimal("12345678901234567890.0123456789")]),
    ("DATETIME", [datetime(2026, 12, 2, 23, 59, 59)]),
    ("DATETIME(6)", [datetime(2026, 1, 2, 3, 4, 5, 678)]),
    ("DATE", [date(2026, 12, 2), date(1000, 1, 1)]),
    ("TIME", [timedelta(hours=23, minutes=1), timedelta(hours=100)]),
    ("VARCHAR(200)", ["", 'it\'s "q" \\ \n \r \t %s ? --', "書 \U0001f600"]),
    ("TEXT", ["José" * 1000, "a\x1ab"]),
    ("BLOB", [b"", bytes(range(256)), b"\\'\x00"]),
    ("VARBINARY(20)", [b"\xff\xfe", b"plain"]),
]


class PyMysql:
    """PyMySQL, a blocking driver that tests run on a thread."""

    def __init__(self, host, port):
        self.connection = connect_pymysql(
            host=host, port=port, user="u", password="p", autocommit=True
        )

    def run(self, sql, arguments=None):
        """Return a statement's rows."""
        with self.connection.cursor() as cursor:
            cursor.execute(sql, arguments)
            return [tuple(row) for row in cursor.fetchall()]

    def count(self, sql):
        """Return the number of rows that a write affected."""
        with self.connection.cursor() as cursor:
            cursor.execute(sql)
            return cursor.rowcount

    def close(self):
        """Close the connection."""
        self.connection.close()


class Connector(PyMysql):
    """mysql-connector-python without its C extension."""

    def __init__(self, host, port):
        self.connection = connect_connector(
            host=host,
            port=port,
            user="u",
            password="p",
            autocommit=True,
            use_pure=True,
        )

    def run(self, sql, arguments=None):
        """Return a statement's rows."""
        with self.connection.cursor() as cursor:
            cursor.execute(sql, arguments)
            found = cursor.fetchall() if cursor.with_rows else []
            return [tuple(row) for row in found]


class DriversTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.group = GroupStandin(quick_settings())
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)
        member = self.group.members_by_name["a"]
        self.address = member.endpoint.ip, member.port
        self.asyncmy = await dial(self.group, "a")
        self.addCleanup(self.asyncmy.close)
        self.blocking = []
        for kind in (PyMysql, Connector):
            driver = await to_thread(kind, *self.address)
            self.blocking.append(driver)
            self.addAsyncCleanup(to_thread, driver.close)

    async def run_with(self, driver, sql, arguments=None):
        if driver is None:
            return await rows(self.asyncmy, sql, *(arguments or ()))
        return await to_thread(driver.run, sql, arguments)

    async def test_every_driver_reads_what_every_driver_wrote(self):
        drivers = [None, *self.blocking]
        for number, (kind, values) in enumerate(VALUES):
            table = f"t{number}"
            create = f"CREATE TABLE {table} (id INT PRIMARY KEY, v {kind})"
            await rows(self.asyncmy, create)
            expected = []
            for driver in drivers:
                for value in [*values, None]:
                    expected.append((len(expected), value))
                    insert = f"INSERT INTO {table} VALUES (%s, %s)"
                    await self.run_with(driver, insert, expected[-1])
            for driver in drivers:
                with self.subTest(kind=kind, driver=type(driver).__name__):
                    select = f"SELECT id, v FROM {table} ORDER BY id"
                    found = await self.run_with(driver, select)
                    self.assertEqual(found, expected)

    async def test_counts_are_the_same(self):
        await rows(self.asyncmy, "CREATE TABLE t (id INT PRIMARY KEY, v INT)")
        await run_write(self.asyncmy, "INSERT INTO t VALUES (1, 1), (2, 1)")
        update = "UPDATE t SET v = v + 1 WHERE v > 0"
        for driver in self.blocking:
            with self.subTest(driver=type(driver).__name__):
                self.assertEqual(await to_thread(driver.count, update), 2)
