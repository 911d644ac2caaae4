"""When a VM fetches the configuration from one that has a newer one."""

from asyncio import Event, sleep, wait_for
from random import Random
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from redwingpost.adapters.http_pages import Page, PageServer
from redwingpost.bench.ports import find_free_port
from redwingpost.membership.heartbeat import Heartbeat
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.fleet.copies import COPY_PATH, Copies
from redwingpost.node.fleet.copy_fetcher import (
    COPY_AFTER_S,
    COPY_ANYWAY_S,
    SPREAD_S,
    CopyFetcher,
)
from redwingpost.node.fleet.table_copy import TableCopy
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.fleet_store import Changes, RowChange, Snapshot
from redwingpost.ports.platform import Row

_IP = "127.0.74.1"

#: Seconds for what comes about at once; never waited for.
_PATIENCE_S = 10.0


class CopyFetcherTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = VirtualClock()
        self.members = TableCopy()
        self.copies = Copies(self.members)
        self.copies.configuration = Row("op", "config", 2, {"version": 2})
        self.may_answer = Event()
        self.may_answer.set()
        self.asked = 0
        self.taken: list[Row] = []
        self.has_taken = Event()
        self.is_source_lost = False
        self.has_members = True
        self.taken_members: list[Row] = []
        port = find_free_port(_IP)
        pages = PageServer(_IP, port, {}, {COPY_PATH: self._page})
        await pages.start()
        self.addAsyncCleanup(pages.stop)
        self.vms = VmTable("vm-1", 0.0)
        self.version = 1
        self.fetcher = CopyFetcher(
            self.vms,
            SimpleNamespace(rules=SimpleNamespace(version=1)),
            SimpleNamespace(take=self._take),
            SimpleNamespace(on_rows=self._take_members),
            lambda: self.has_members,
            lambda: self.is_source_lost,
            port,
            self.clock,
            Random(1),
        )

    async def _page(self, query: str) -> Page:
        self.asked += 1
        await self.may_answer.wait()
        return self.copies.page()

    def _take(self, row: Row) -> None:
        self.taken.append(row)
        self.has_taken.set()

    def _take_members(self, rows: tuple[Row, ...]) -> None:
        self.taken_members.extend(rows)

    def _look(self, after_s: float, version: int = 2) -> None:
        """Look again after some seconds, with another VM in hearing."""
        self.clock.advance(after_s)
        heartbeat = Heartbeat("vm-2", 1, _IP, version, {}, 1, None, ())
        self.vms.note(heartbeat, self.clock.now())
        self.fetcher.fetch_if_behind()

    async def test_when_it_fetches(self) -> None:
        """Guards against all VMs asking the one that had it first."""
        cases = (
            ("its own source has failed", True, COPY_AFTER_S),
            ("its own source may still deliver", False, COPY_ANYWAY_S),
        )
        for name, is_source_lost, after_s in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                self.is_source_lost = is_source_lost
                self._look(0.1)
                self._look(after_s - 0.01)
                await sleep(0.05)
                self.assertEqual(0, self.asked)
                self._look(SPREAD_S + 0.01)
                await wait_for(self.has_taken.wait(), _PATIENCE_S)
                self.assertEqual([self.copies.configuration], self.taken)

    async def test_nothing_newer_is_left_alone(self) -> None:
        self._look(0.1, version=1)
        self._look(COPY_ANYWAY_S + SPREAD_S, version=1)
        await sleep(0.05)
        self.assertEqual(0, self.asked)

    async def test_a_slow_copy_is_not_asked_for_again(self) -> None:
        """Guards against a link filled by copies given up half way."""
        self.may_answer.clear()
        self._look(0.1)
        for _ in range(3):
            self._look(COPY_ANYWAY_S + SPREAD_S)
            await sleep(0.05)
        self.assertEqual(1, self.asked)
        self.may_answer.set()
        await wait_for(self.has_taken.wait(), _PATIENCE_S)

    async def test_members_come_along_where_none_are_known(self) -> None:
        """Guards against a VM that starts without store and serves nobody."""
        stays, goes, comes = (Row("m", key, 5, {}) for key in "abc")
        self.members.note_snapshot(Snapshot((stays, goes), 5, 0))
        changes = (RowChange(goes, True), RowChange(comes, False))
        self.members.note_changes(Changes(changes, 6))
        self.has_members = False
        self._look(0.1)
        self._look(COPY_ANYWAY_S + SPREAD_S)
        await wait_for(self.has_taken.wait(), _PATIENCE_S)
        await sleep(0.05)
        self.assertEqual([stays, comes], self.taken_members)
