"""Following a table across failures of the store."""

from asyncio import get_running_loop, sleep
from unittest import IsolatedAsyncioTestCase

from expression import Error, Ok

from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.node.fleet.feed_times import ANSWER_S, RETRY_S
from redwingpost.node.fleet.watcher import TableWatcher
from redwingpost.ports.clock import MonotonicClock, VirtualClock
from redwingpost.ports.fleet_store import Changes, RowChange, Snapshot
from redwingpost.ports.platform import Row

_UNAVAILABLE = Error(Refusal(Code.STORE_UNAVAILABLE))


def _row(key: str) -> Row:
    return Row("t", key, 1, {})


class ScriptedStore:
    """Returns given answers, and then errors."""

    def __init__(self, snapshots: list, changes: list) -> None:
        self._snapshots = snapshots
        self._changes = changes

    async def snapshot(self, table: str):
        return self._snapshots.pop(0) if self._snapshots else _UNAVAILABLE

    async def changes(self, table, after, wait_s, timeout_s):
        return self._changes.pop(0) if self._changes else _UNAVAILABLE


class KeyReader:
    """Keeps the keys of a table."""

    def __init__(self) -> None:
        self.keys: set[str] = set()

    def on_snapshot(self, snapshot: Snapshot) -> None:
        self.keys = {row.key for row in snapshot.rows}

    def on_rows(self, rows: tuple[Row, ...]) -> None:
        self.keys |= {row.key for row in rows}

    def on_removed(self, keys: tuple[str, ...]) -> None:
        self.keys -= set(keys)


class WatcherTest(IsolatedAsyncioTestCase):
    async def _follow(self, snapshots: list, changes: list) -> set[str]:
        reader = KeyReader()
        store = ScriptedStore(snapshots, changes)
        watcher = TableWatcher(store, "t", reader, VirtualClock())
        await watcher._follow_while_answered()
        return reader.keys

    async def test_a_member_that_was_removed_and_came_back(self) -> None:
        """A member's entry lapses and returns within one batch of changes.

        If the changes were applied out of order, the removal would win:
        the VM would send nothing to a running member, and would replace it
        if it was the primary.
        """
        put, removed = False, True
        cases = (
            ("came back", [removed, put], {"m"}),
            ("went again", [removed, put, removed], set()),
            ("stayed", [put], {"m"}),
        )
        for name, order, expected in cases:
            with self.subTest(name):
                changes = tuple(RowChange(_row("m"), item) for item in order)
                keys = await self._follow(
                    [Ok(Snapshot((_row("m"),), 1, 0))],
                    [Ok(Changes(changes, 2))],
                )
                self.assertEqual(expected, keys)

    async def test_a_snapshot_is_read_after_a_lost_history(self) -> None:
        keys = await self._follow(
            [
                Ok(Snapshot((_row("old"),), 1, 0)),
                Ok(Snapshot((_row("new"),), 9, 0)),
            ],
            [Ok(Changes((), 0, history_lost=True))],
        )
        self.assertEqual({"new"}, keys)


class StoreRecoveryTest(IsolatedAsyncioTestCase):
    async def test_store_recovery_notifies_the_waiting(self) -> None:
        """The store was unavailable, and answers for one table first.

        If a pending takeover weren't notified, it would wait for its next
        attempt, and writers with it.
        """
        store = ScriptedStore([_UNAVAILABLE, Ok(Snapshot((), 1, 0))], [])
        regained = []
        watcher = TableWatcher(
            store,
            "t",
            KeyReader(),
            VirtualClock(),
            lambda: regained.append(True),
        )
        self.assertFalse(await watcher.read_now())
        self.assertEqual([], regained)
        self.assertTrue(await watcher.read_now())
        self.assertEqual([True], regained)


class RecordingStore:
    """Keeps the times of the requests; answers none of them."""

    def __init__(self) -> None:
        self.times: list[tuple[float, float]] = []

    async def snapshot(self, table: str):
        return Ok(Snapshot((), 1, 0))

    async def changes(self, table, after, wait_s, timeout_s):
        self.times.append((wait_s, timeout_s))
        return _UNAVAILABLE


class UnansweredTest(IsolatedAsyncioTestCase):
    async def test_a_lost_request_ends_within_the_bound(self) -> None:
        """A request that is never answered must not outlast the bound."""
        for bound_s in (1.5, 3.0, 4.2, 10.0):
            with self.subTest(bound_s):
                store = RecordingStore()
                watcher = TableWatcher(
                    store, "t", KeyReader(), VirtualClock(), bound_s=bound_s
                )
                for _ in range(2):
                    await watcher._follow_while_answered()
                (wait_s, timeout_s), after_failure = store.times
                self.assertLess(timeout_s + RETRY_S, bound_s)
                self.assertGreaterEqual(timeout_s - wait_s, ANSWER_S)
                self.assertEqual((0.0, timeout_s), after_failure)


class CountingStore:
    """A store whose table changes periodically; counts the calls."""

    def __init__(self, gap_s: float, changes: int) -> None:
        self._gap_s = gap_s
        self._last = changes
        self._started_at = get_running_loop().time()
        self.calls = 0

    async def snapshot(self, table: str):
        return Ok(Snapshot((), 0, 0))

    async def changes(self, table, after, wait_s, timeout_s):
        self.calls += 1
        if after >= self._last:
            return _UNAVAILABLE
        due_at = self._started_at + (after + 1) * self._gap_s
        await sleep(max(0.0, due_at - get_running_loop().time()))
        passed_s = get_running_loop().time() - self._started_at
        newest = min(self._last, max(after + 1, int(passed_s / self._gap_s)))
        numbers = range(after + 1, newest + 1)
        rows = tuple(RowChange(_row(str(item)), False) for item in numbers)
        return Ok(Changes(rows, newest))


class SeriesTest(IsolatedAsyncioTestCase):
    async def test_a_series_of_changes_is_fetched_together(self) -> None:
        """An operator sends 25 configurations, 20 ms apart.

        Read one by one, they are 25 calls by each VM to a store that
        accepts 2,000 a second from all VMs: 26 calls, instead of at most 6
        if they are read together.
        """
        reader = KeyReader()
        store = CountingStore(gap_s=0.02, changes=25)
        watcher = TableWatcher(store, "t", reader, MonotonicClock())
        await watcher._follow_while_answered()
        self.assertEqual({str(item) for item in range(1, 26)}, reader.keys)
        self.assertLess(store.calls, 9)
