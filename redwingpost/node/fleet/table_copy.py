"""A VM's copy of a table and its recent changes, for other VMs.

Load pattern: each member changes its row every 1.2 s to show that it is
alive. With 120 members these are 100 changes a second. If they were passed
on, each would wake all VMs of a cell, which would decode a row that says
nothing new. So a change that leaves a row's essence as it was is dropped.
"""

from asyncio import Event, wait_for
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from redwingpost.ports.fleet_store import Changes, RowChange, Snapshot
from redwingpost.ports.platform import Row

#: Batches of changes that are kept: a reader that changes over from another
#: VM is a few batches behind.
KEPT_BATCHES = 64


class _Batch(NamedTuple):
    changes: tuple[RowChange, ...]
    version: int


class TableCopy:
    """Rows and recent changes of a table, with the store's versions.

    A reader may change over from this copy to the store or to another VM's
    copy, and back, as all of them use the store's versions. It may then
    get a change twice, followed by all later changes of the same row.

    Parameters
    ----------
    essence : callable, optional
        Returns what of a row matters; a change that leaves it equal is
        neither kept nor does it wake readers. By default all changes matter.

    Examples
    --------
    >>> copy = TableCopy()
    >>> copy.note_snapshot(Snapshot((), 5, 0))
    >>> copy.since(5)
    Changes(changes=(), version=5, history_lost=False, age_s=0.0)
    >>> copy.since(4).history_lost
    True
    """

    def __init__(self, essence: Callable[[Row], Any] | None = None) -> None:
        self._essence = essence
        self.version: int | None = None
        self.row_by_key: dict[str, Row] = {}
        self._batches: deque[_Batch] = deque(maxlen=KEPT_BATCHES)
        self._from_version = 0
        self._changed = Event()

    def note_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the copy by the whole table."""
        self._batches.clear()
        self.row_by_key = {row.key: row for row in snapshot.rows}
        self._from_version = snapshot.version
        self.version = snapshot.version
        self._wake()

    def note_changes(self, changes: Changes) -> tuple[RowChange, ...]:
        """Apply changes since the last call; return those that matter."""
        # Each change is compared with the row as the one before left it: a
        # member that goes and comes back with an equal row is two changes.
        relevant = tuple(filter(self._apply, changes.changes))
        self.version = max(changes.version, self.version or 0)
        if relevant:
            if len(self._batches) == KEPT_BATCHES:
                self._from_version = self._batches[0].version
            self._batches.append(_Batch(relevant, changes.version))
            self._wake()
        return relevant

    def since(self, after: int) -> Changes:
        """Return what changed after a version."""
        if after < self._from_version:
            return Changes((), 0, history_lost=True)
        changes = tuple(
            change
            for batch in self._batches
            if batch.version > after
            for change in batch.changes
        )
        return Changes(changes, max(self.version or 0, after))

    async def wait(self, after: int, wait_s: float) -> Changes:
        """Wait for changes after a version and return them."""
        found = self.since(after)
        if found.changes or found.history_lost:
            return found
        try:
            await wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            # Nothing changed within the wait: return that result.
            return found
        return self.since(after)

    def _apply(self, change: RowChange) -> bool:
        """Apply a change; return whether it matters to readers."""
        row = change.row
        if change.is_removed:
            self.row_by_key.pop(row.key, None)
            return True
        known = self.row_by_key.get(row.key)
        self.row_by_key[row.key] = row
        if known is None or self._essence is None:
            return True
        return self._essence(known) != self._essence(row)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = Event()
