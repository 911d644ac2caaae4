"""Following tables through a gatherer that fails or loses the store."""

from asyncio import create_task, gather, sleep, wait_for
from unittest import IsolatedAsyncioTestCase

from expression import Ok, Result

from redwingpost.adapters.http_pages import PageServer
from redwingpost.bench.ports import find_free_port
from redwingpost.core.requests import Refusal
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.fleet.relayed_store import RelayedStore
from redwingpost.node.fleet.table_copy import KEPT_BATCHES, TableCopy
from redwingpost.node.fleet.table_pages import TABLE_PATH, TablePages
from redwingpost.ports.clock import MonotonicClock
from redwingpost.ports.fleet_store import (
    Changes,
    RowChange,
    Snapshot,
    make_version,
)
from redwingpost.ports.platform import Row

_IPS = ("127.0.73.1", "127.0.73.2")

#: Timeout (seconds) for events that are expected at once.
_TIMEOUT_S = 10.0


def _change(version: int) -> RowChange:
    return RowChange(Row("t", f"k{version}", version, {}), False)


class FakeGathering:
    """Selects fixed gatherers, and says whether this VM gathers."""

    has_list = True
    is_new = False
    is_direct = False

    def __init__(self, vms: int) -> None:
        self.followed = tuple(
            VmAddress(f"vm-{n}", ip, 1, "a") for n, ip in enumerate(_IPS[:vms])
        )
        self.is_gatherer = False
        self.preferred: tuple[VmAddress, ...] = ()

    def gathers(self, now: float) -> bool:
        """Return whether this VM reads from the store itself."""
        return self.is_gatherer

    def table_sources(self, now: float) -> tuple[VmAddress, ...]:
        """Return the VMs to follow."""
        return self.preferred if self.is_gatherer else self.followed


class CountingStore:
    """Counts its calls."""

    def __init__(self) -> None:
        self.calls = 0

    async def changes(
        self, table: str, after: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, Refusal]:
        """Return one change."""
        self.calls += 1
        return Ok(Changes((_change(after + 1),), after + 1))


class RelayedStoreTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.port = find_free_port(_IPS[0])
        self.lost: set[str] = set()
        self.copies = []
        self.servers = []
        for ip in _IPS:
            copy = TableCopy()
            copy.note_snapshot(Snapshot((), 5, 0))
            pages = TablePages(
                {"t": copy}, lambda name, ip=ip: ip in self.lost
            )
            server = PageServer(ip, self.port, {}, {TABLE_PATH: pages.page})
            await server.start()
            self.addAsyncCleanup(server.stop)
            self.copies.append(copy)
            self.servers.append(server)
        self.store = CountingStore()
        self.gathering = FakeGathering(2)
        self.relayed = self._relayed()

    def _relayed(self) -> RelayedStore:
        return RelayedStore(
            self.store, self.gathering, self.port, "list", MonotonicClock()
        )

    async def _next(self, wait_s: float = 5.0) -> Changes:
        got = await wait_for(
            self.relayed.changes("t", 5, wait_s, wait_s + 1.0), _TIMEOUT_S
        )
        return got.ok

    async def test_changes_come_from_a_gatherer(self) -> None:
        pending = create_task(self._next())
        await sleep(0.05)
        self.copies[0].note_changes(Changes((_change(6),), 6))
        changes = await pending
        self.assertEqual(6, changes.version)
        self.assertEqual((_change(6),), changes.changes)
        self.assertEqual(0, self.store.calls)

    async def test_a_failed_gatherer_is_replaced(self) -> None:
        """The gatherer that this VM follows fails or has lost the store.

        A configuration must still be in force within seconds, so the VM
        changes over to the second gatherer, and then to the store.
        """
        first, second = self.gathering.followed
        cases = (
            ("another gatherer is first", (second,), set(), 0),
            ("there is no gatherer", (), set(), 1),
            ("it has lost the store", (first, second), {first.ip}, 0),
            ("both have", (first, second), {first.ip, second.ip}, 1),
        )
        for name, followed, lost, calls in cases:
            with self.subTest(name):
                self.gathering.followed = (first, second)
                self.lost = set()
                self.relayed = self._relayed()
                before = self.store.calls
                pending = create_task(self._next())
                await sleep(0.05)
                self.gathering.followed = followed
                self.lost = lost
                if lost:
                    # A request that already waits is refused at its end.
                    pending.cancel()
                    await gather(pending, return_exceptions=True)
                    pending = create_task(self._next())
                await sleep(0.3)
                self.copies[1].note_changes(Changes((_change(6),), 6))
                await pending
                self.assertEqual(calls, self.store.calls - before)
                self.copies[1].note_snapshot(Snapshot((), 5, 0))

    async def test_an_unavailable_store_gets_one_call(self) -> None:
        """The store is down, and both gatherers report it.

        Repeated requests of 200 VMs would each cost a call.
        """
        self.lost = set(_IPS)
        await self._next()
        got = await self.relayed.changes("t", 5, 5.0, 6.0)
        self.assertTrue(got.is_error())
        self.assertEqual(1, self.store.calls)

    async def test_a_gatherer_reads_from_the_store(self) -> None:
        self.gathering.is_gatherer = True
        await self._next()
        self.assertEqual(1, self.store.calls)

    async def test_a_second_gatherer_follows_the_first(self) -> None:
        """It reads from the store as soon as the first one can't.

        Not only every four seconds, as its readers would wait with it.
        """
        first = self.gathering.followed[0]
        self.gathering.is_gatherer = True
        self.gathering.preferred = (first,)
        pending = create_task(self._next())
        await sleep(0.05)
        self.copies[0].note_changes(Changes((_change(6),), 6))
        await pending
        self.assertEqual(0, self.store.calls)
        self.copies[0].note_snapshot(Snapshot((), 5, 0))
        self.lost = {first.ip}
        for calls in (1, 2):
            await self._next()
            self.assertEqual(calls, self.store.calls)


class TableCopyTest(IsolatedAsyncioTestCase):
    async def test_a_reader_of_an_earlier_era_reads_the_table(self) -> None:
        """It would miss what was written under repeated numbers."""
        copy = TableCopy()
        copy.note_snapshot(Snapshot((), make_version(1, 50), 0))
        reading = create_task(copy.wait(make_version(1, 60), 5.0))
        await sleep(0.01)
        copy.note_snapshot(Snapshot((), make_version(2, 40), 0))
        self.assertTrue((await reading).history_lost)

    async def test_changes_since_a_version(self) -> None:
        copy = TableCopy()
        copy.note_snapshot(Snapshot((), 5, 0))
        for version in range(6, 6 + KEPT_BATCHES + 2):
            copy.note_changes(Changes((_change(version),), version))
        newest = copy.version
        cases = (
            ("up to date", newest, 0, False),
            ("one behind", newest - 1, 1, False),
            ("too far behind", 5, 0, True),
            ("ahead", newest + 3, 0, False),
            ("in a later era", make_version(1, 1), 0, False),
        )
        for name, after, changes, is_lost in cases:
            with self.subTest(name):
                found = copy.since(after)
                self.assertEqual(changes, len(found.changes))
                self.assertEqual(is_lost, found.history_lost)
