"""When a VM fetches a newer configuration from another VM."""

from asyncio import Event, sleep, wait_for
from random import Random
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from redwingpost.adapters.http_pages import Page, PageServer
from redwingpost.bench.ports import find_free_port
from redwingpost.groups.evacuations import Evacuations
from redwingpost.membership.heartbeat import Heartbeat
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.fleet.copies import COPY_PATH, CopyPage
from redwingpost.node.fleet.copy_fetcher import (
    FETCH_AFTER_LOSS_S,
    FETCH_AFTER_S,
    FETCH_JITTER_S,
    CopyFetcher,
)
from redwingpost.node.fleet.table_copy import TableCopy
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.fleet_store import Changes, RowChange, Snapshot
from redwingpost.ports.platform import Row

_IP = "127.0.74.1"

#: Timeout (seconds) for events that are expected at once.
_TIMEOUT_S = 10.0


class CopyFetcherTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = VirtualClock()
        self.members = TableCopy()
        self.evacuations = Evacuations()
        self.copies = CopyPage(self.members, self.evacuations)
        self.copies.configuration = Row("op", "config", 2, {"version": 2})
        self.may_answer = Event()
        self.may_answer.set()
        self.request_count = 0
        self.applied: list[Row] = []
        self.has_applied = Event()
        self.is_source_lost = False
        self.has_members = True
        self.applied_members: list[Row] = []
        self.applied_evacuations: list[tuple[str, ...]] = []
        port = find_free_port(_IP)
        pages = PageServer(_IP, port, {}, {COPY_PATH: self._page})
        await pages.start()
        self.addAsyncCleanup(pages.stop)
        self.vms = VmTable("vm-1", 0.0)
        self.version = 1
        self.fetcher = CopyFetcher(
            self.vms,
            SimpleNamespace(rules=SimpleNamespace(version=1)),
            SimpleNamespace(apply_if_newer=self._apply),
            SimpleNamespace(take_copy=self._apply_members),
            SimpleNamespace(replace=self.applied_evacuations.append),
            lambda: self.has_members,
            lambda: self.has_members,
            lambda: self.is_source_lost,
            port,
            self.clock,
            Random(1),
        )

    async def _page(self, query: str) -> Page:
        self.request_count += 1
        await self.may_answer.wait()
        return self.copies.page()

    def _apply(self, row: Row) -> None:
        self.applied.append(row)
        self.has_applied.set()

    def _apply_members(self, rows: tuple[Row, ...]) -> None:
        self.applied_members.extend(rows)

    def _check_after(self, after_s: float, version: int = 2) -> None:
        """Check again after some seconds, with another VM alive."""
        self.clock.advance(after_s)
        heartbeat = Heartbeat("vm-2", 1, _IP, version, {}, 1, None, ())
        self.vms.note(heartbeat, self.clock.now())
        self.fetcher.fetch_if_behind()

    async def test_when_it_fetches(self) -> None:
        """Guards against all VMs fetching from the one that had it first."""
        cases = (
            ("its own source has failed", True, FETCH_AFTER_LOSS_S),
            ("its own source may still deliver", False, FETCH_AFTER_S),
        )
        for name, is_source_lost, after_s in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                self.is_source_lost = is_source_lost
                self._check_after(0.1)
                self._check_after(after_s - 0.01)
                await sleep(0.05)
                self.assertEqual(0, self.request_count)
                self._check_after(FETCH_JITTER_S + 0.01)
                await wait_for(self.has_applied.wait(), _TIMEOUT_S)
                self.assertEqual([self.copies.configuration], self.applied)

    async def test_nothing_is_fetched_without_a_newer_version(self) -> None:
        self._check_after(0.1, version=1)
        self._check_after(FETCH_AFTER_S + FETCH_JITTER_S, version=1)
        await sleep(0.05)
        self.assertEqual(0, self.request_count)

    async def test_another_vm_is_asked_after_a_failure(self) -> None:
        """Guards against a VM that is heard and can't be reached.

        A VM would have asked it again and again, while others have the copy.
        """
        unreachable = Heartbeat("vm-9", 1, "127.0.74.9", 2, {}, 1, None, ())
        for number in range(6):
            with self.subTest(number):
                await self.asyncSetUp()
                self.fetcher._random = Random(number)
                for _ in range(4):
                    self.clock.advance(FETCH_AFTER_S + FETCH_JITTER_S)
                    self.vms.note(unreachable, self.clock.now())
                    self._check_after(0.0)
                    await sleep(0.05)
                self.assertEqual([self.copies.configuration], self.applied[:1])

    async def test_a_pending_fetch_is_not_repeated(self) -> None:
        """Guards against a link saturated by copies that time out."""
        self.may_answer.clear()
        self._check_after(0.1)
        for _ in range(3):
            self._check_after(FETCH_AFTER_S + FETCH_JITTER_S)
            await sleep(0.05)
        self.assertEqual(1, self.request_count)
        self.may_answer.set()
        await wait_for(self.has_applied.wait(), _TIMEOUT_S)

    async def test_members_are_fetched_if_none_are_known(self) -> None:
        """Guards against a VM that starts without the store and members."""
        stays, goes, comes = (Row("m", key, 5, {}) for key in "abc")
        self.members.note_snapshot(Snapshot((stays, goes), 5, 0))
        changes = (RowChange(goes, True), RowChange(comes, False))
        self.members.note_changes(Changes(changes, 6))
        self.has_members = False
        self._check_after(0.1)
        self._check_after(FETCH_AFTER_S + FETCH_JITTER_S)
        await wait_for(self.has_applied.wait(), _TIMEOUT_S)
        await sleep(0.05)
        self.assertEqual([stays, comes], self.applied_members)
