"""Rows that change only to show that a member is alive."""

from unittest import IsolatedAsyncioTestCase, TestCase

from expression import Error, Ok

from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.groups.directory import Directory
from redwingpost.node.fleet.registry import MemberReader
from redwingpost.node.fleet.table_copy import TableCopy
from redwingpost.node.fleet.table_pages import (
    TablePages,
    read_changes,
    table_request_path,
)
from redwingpost.node.fleet.watcher import TableWatcher
from redwingpost.adapters.http_client import HttpAnswer
from redwingpost.platform.entries import FORMAT, member_essence
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.fleet_store import Changes, RowChange, Snapshot
from redwingpost.ports.platform import Row

_VALUE = {
    "service": "g1",
    "address": "10.2.0.3:8080",
    "zone": "dc-a",
    "slots": 5,
    "state": "ready",
    "dbRole": "replica",
    "seq": 1,
    "born": 17,
}

_LOST = Error(Refusal(Code.STORE_UNAVAILABLE))


def _put(version: int, **changes: object) -> RowChange:
    value = {**_VALUE, "seq": version, **changes}
    return RowChange(Row("servers", "m1", version, value), False)


def _removal(version: int) -> RowChange:
    return RowChange(Row("servers", "m1", version, None), True)


class TableCopyTest(TestCase):
    def test_which_changes_are_kept(self) -> None:
        """A gatherer drops changes that say only that a member is alive.

        If they were kept, each would wake all VMs of the cell. If any other
        were dropped, the VMs would send work to a member that has announced
        its end, moved or restarted.
        """
        cases = (
            ("alive", [_put(2), _put(3)], []),
            ("state", [_put(2), _put(3, state="draining")], [3]),
            ("role", [_put(2, dbRole="primary")], [2]),
            ("address", [_put(2, address="10.2.0.4:8080")], [2]),
            ("start time", [_put(2, born=18)], [2]),
            ("data centre", [_put(2, zone="dc-b")], [2]),
            ("slots", [_put(2, slots=6)], [2]),
            ("group", [_put(2, service="g2")], [2]),
            ("a new field", [_put(2, coldLeftMs=900)], [2]),
            ("gone", [_put(2), _removal(3)], [3]),
            ("gone and back", [_removal(2), _put(3)], [2, 3]),
            (
                "there and back",
                [_put(2, state="draining"), _put(3), _put(4)],
                [2, 3],
            ),
            ("no table", [RowChange(Row("servers", "m1", 2, 7), False)], [2]),
        )
        for name, changes, kept in cases:
            with self.subTest(name):
                copy = TableCopy(member_essence)
                copy.note_snapshot(Snapshot((_put(1).row,), 1, 0))
                version = changes[-1].row.version
                copy.note_changes(Changes(tuple(changes), version))
                found = copy.since(1)
                versions = [item.row.version for item in found.changes]
                self.assertEqual(kept, versions)
                self.assertEqual(version, found.version)


class _ScriptedStore:
    """Returns given changes after a snapshot, and then errors.

    The clock advances by ``interval_s`` before each answer.
    """

    def __init__(
        self, clock: VirtualClock, interval_s: float, changes: list[Changes]
    ) -> None:
        self._clock = clock
        self._interval_s = interval_s
        self._changes = changes

    async def snapshot(self, table: str):
        return Ok(Snapshot((_put(1).row,), 1, 0))

    async def changes(self, table, after, wait_s, timeout_s):
        self._clock.advance(self._interval_s)
        return Ok(self._changes.pop(0)) if self._changes else _LOST


class WatcherTest(IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.directory = Directory()
        self.decoded = 0
        self.syncs = 0

    def _decode(self, row: Row):
        self.decoded += 1
        return FORMAT.decode_member(row)

    def _note_sync(self) -> None:
        self.syncs += 1

    async def _follow(self, *changes: Changes) -> TableWatcher:
        watcher = TableWatcher(
            _ScriptedStore(self.clock, 1.0, list(changes)),
            "servers",
            MemberReader(
                self.directory,
                FORMAT._replace(decode_member=self._decode),
                self.clock,
                self._note_sync,
                lambda member: False,
            ),
            self.clock,
            None,
            self.directory.note_current,
            member_essence,
        )
        watcher.sleep = self._skip_pause
        await watcher._follow_while_answered()
        return watcher

    async def _skip_pause(self, seconds: float) -> None:
        """Pass over the pause between the reads of a burst."""

    async def test_rows_of_living_members_are_not_decoded(self) -> None:
        """Forty members show every 1.2 s that they are alive.

        If each of these rows were decoded, and all groups updated for it, a
        VM without callers would be busy with members it never contacts.
        """
        answers = [Changes((_put(n),), n) for n in range(2, 12)]
        await self._follow(*answers)
        self.assertEqual((1, 1), (self.decoded, self.syncs))

    async def test_when_a_drain_began(self) -> None:
        """A member announces its end after answers that carry no news.

        The drain counts from the last answer without the announcement. If
        empty answers didn't count, it would count from the snapshot, and
        the member would lose all work as soon as it announces its end. If
        a copy counted as current although its gatherer's feed hangs, the
        member would get work until it exits.
        """
        drain = _put(9, state="draining")
        cases = (
            ("alive rows", [Changes((_put(2),), 2)], drain, 101.0),
            ("an empty answer", [Changes((), 2)], drain, 101.0),
            ("an aged copy", [Changes((), 2, age_s=0.25)], drain, 100.75),
            (
                "a gatherer's feed that hangs",
                [
                    Changes((), 2, age_s=0.25),
                    Changes((), 2, age_s=1.25),
                    Changes((), 2, age_s=2.25),
                ],
                drain,
                100.75,
            ),
            ("at once", [], drain, 100.0),
        )
        for name, answers, announcement, expected in cases:
            with self.subTest(name):
                self.setUp()
                await self._follow(*answers, Changes((announcement,), 9))
                since = self.directory.get("m1").draining_since
                self.assertAlmostEqual(expected, since)

    async def test_an_announcement_within_a_larger_answer(self) -> None:
        """One answer has another member's change before the announcement.

        If the first part of the answer made the list current, the drain
        would count from the answer, up to a second too late.
        """
        other = Row("servers", "m2", 2, {**_VALUE, "seq": 2})
        drain = _put(4, state="draining")
        gone = RowChange(Row("servers", "m3", 3, None), True)
        answer = Changes((RowChange(other, False), gone, drain), 4)
        await self._follow(answer)
        self.assertEqual(100.0, self.directory.get("m1").draining_since)


class PagesTest(IsolatedAsyncioTestCase):
    async def test_an_empty_answer(self) -> None:
        """A reader asks a gatherer that drops all changes.

        It must get an answer all the same, with the newest version and the
        age of the gatherer's copy.
        """
        copy = TableCopy(member_essence)
        copy.note_snapshot(Snapshot((_put(1).row,), 1, 0))
        pages = TablePages(
            {"servers": copy},
            lambda table: False,
            lambda table: 0.32,
            {"servers": 0.01},
        )
        copy.note_changes(Changes((_put(7),), 7))
        query = table_request_path("servers", 1, 30.0).partition("?")[2]
        page = await pages.page(query)
        got = read_changes(HttpAnswer(page.status, page.body)).ok
        self.assertEqual(Changes((), 7, False, 0.35), got)
