"""Follow one table of the fleet's store, across outages of the store."""

from collections.abc import Callable
from itertools import groupby
from operator import attrgetter
from typing import Any, Protocol

from mode import Service

from redwingpost.node.fleet.eras import StoreEras
from redwingpost.node.fleet.feed_times import RETRY_S, FeedTimes
from redwingpost.node.fleet.table_copy import TableCopy
from redwingpost.node.steps import repeat
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import (
    FleetStore,
    Snapshot,
    era_of,
    number_of,
)
from redwingpost.ports.platform import Row

#: How late (seconds) a change may be known, unless its table says otherwise.
DEFAULT_BOUND_S = 3.0

#: Seconds within which a second change counts as part of a burst, and the
#: delay before the changes of a burst are read together: far below the
#: three seconds within which a configuration must be in force. Each call is
#: paid for, and reading a burst change by change takes one call for each.
BURST_GAP_S = 0.5
BATCH_DELAY_S = 0.2


class TableReader(Protocol):
    """Applies the rows of a table."""

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the whole table."""

    def on_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply rows that changed."""

    def on_removed(self, keys: tuple[str, ...]) -> None:
        """Apply the removal of rows."""


class TableWatcher(Service):
    """Keeps a reader up to date with a table.

    Parameters
    ----------
    store : FleetStore
        The store with the table.
    table : str
        The name of the table.
    reader : TableReader
        Receives the rows of the table and their changes.
    clock : Clock
        Source of the times of answers and changes.
    on_regained : callable, optional
        Called when the store answers again after a failed call.
    on_current : callable, optional
        Called after each answer has been applied, an empty one too, with
        the time (seconds) at which the table was known to be current. That
        of an answer from another VM is when that VM's copy was current: a
        VM whose own feed hangs still answers.
    essence : callable, optional
        Returns what of a row matters. Changes that leave it equal are not
        passed to the reader, nor to other VMs.
    bound_s : float, optional
        How late (seconds) a change may be known here, also after a request
        that was never answered.
    eras : StoreEras, optional
        Is told the versions at which the table was read.
    """

    def __init__(
        self,
        store: FleetStore,
        table: str,
        reader: TableReader,
        clock: Clock,
        on_regained: Callable[[], None] | None = None,
        on_current: Callable[[float], None] | None = None,
        essence: Callable[[Row], Any] | None = None,
        bound_s: float = DEFAULT_BOUND_S,
        eras: StoreEras | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._on_regained = on_regained
        self._on_current = on_current
        self._eras = eras or StoreEras()
        self._current_at = float("-inf")
        self._store = store
        self.table = table
        self._reader = reader
        self._clock = clock
        self._times = FeedTimes.within(bound_s)
        self._version: int | None = None
        self._requested_at: float | None = None
        self._answered_at = float("-inf")
        self._changed_at = float("-inf")
        self._was_lost = False
        self.copy = TableCopy(essence)

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._was_lost

    @property
    def has_read(self) -> bool:
        """Whether the table was read at least once."""
        return self._answered_at > float("-inf")

    @property
    def age_s(self) -> float:
        """Return the time since the copy was known to be current (s)."""
        return self._clock.now() - self._current_at

    @property
    def era(self) -> int:
        """Return the store's era of the last answer, 0 before it."""
        return era_of(self._version or 0)

    @property
    def number(self) -> int:
        """Return the store's number of the last answer, 0 before it."""
        return number_of(self._version or 0)

    @property
    def pending_s(self) -> float:
        """Return for how long the present request has waited (s)."""
        if self._requested_at is None:
            return 0.0
        return self._clock.now() - self._requested_at

    async def read_now(self) -> bool:
        """Read the whole table; return False if the store didn't answer."""
        self._requested_at = self._clock.now()
        got = await self._store.snapshot(self.table)
        if got.is_error():
            self._note_lost(got.error.detail)
            return False
        self._note_answer()
        self._version = got.ok.version
        self.copy.note_snapshot(got.ok)
        self._reader.on_snapshot(got.ok)
        self._note_current(0.0)
        self._eras.note(self._version)
        return True

    @Service.task
    async def _follow(self) -> None:
        await repeat(self, self._follow_while_answered, RETRY_S)

    async def _follow_while_answered(self) -> None:
        """Read and wait for changes until the store fails to answer."""
        while not self.should_stop:
            if self._version is None and not await self.read_now():
                return
            if self._version is not None and not await self._read_changes():
                return

    async def _read_changes(self) -> bool:
        self._requested_at = self._clock.now()
        times = self._times.after_failure if self._was_lost else self._times
        got = await self._store.changes(
            self.table, self._version, times.wait_s, times.timeout_s
        )
        if got.is_error():
            self._note_lost(got.error.detail)
            # Removals during the outage follow in the feed. The whole table
            # is read again only if the store has lost the history.
            return False
        self._note_answer()
        changes = got.ok
        if changes.history_lost:
            log_event(
                "store-history-lost", table=self.table, version=self.number
            )
            self._version = None
            return True
        self._version = max(self._version, changes.version)
        relevant = self.copy.note_changes(changes)
        for is_removed, consecutive in groupby(
            relevant, key=attrgetter("is_removed")
        ):
            rows = tuple(change.row for change in consecutive)
            if is_removed:
                self._reader.on_removed(tuple(row.key for row in rows))
            else:
                self._reader.on_rows(rows)
        # Only now: a change in this answer may be as old as the last one.
        self._note_current(changes.age_s)
        if changes.changes:
            await self._delay_in_burst()
        return True

    async def _delay_in_burst(self) -> None:
        """Pause if this change belongs to a burst, but not for the first."""
        now = self._clock.now()
        is_burst = now - self._changed_at < BURST_GAP_S
        self._changed_at = now
        if is_burst:
            await self.sleep(BATCH_DELAY_S)

    def _note_current(self, age_s: float) -> None:
        current_at = self._clock.now() - age_s
        if current_at <= self._current_at:
            return
        self._current_at = current_at
        if self._on_current is not None:
            self._on_current(current_at)

    def _note_answer(self) -> None:
        self._answered_at = self._clock.now()
        self._requested_at = None
        if self._was_lost:
            self._was_lost = False
            log_event("store-regained", table=self.table)
            if self._on_regained is not None:
                self._on_regained()

    def _note_lost(self, detail: str) -> None:
        waited_s, self._requested_at = self.pending_s, None
        if not self._was_lost:
            self._was_lost = True
            log_event(
                "store-lost",
                table=self.table,
                detail=detail,
                waited_s=round(waited_s, 3),
                version=self.number,
            )
