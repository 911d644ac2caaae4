"""Claims of the duty, the right to order promotions, in the fleet's store."""

from asyncio import wait_for
from typing import Any, NamedTuple

from redwingpost.core.codes import Code
from redwingpost.leases.duty import (
    DUTY_MS,
    DutyRow,
    HeldDuty,
    claim,
    must_reserve,
    reserve,
)
from redwingpost.leases.lease import holder_valid_until
from redwingpost.observability.journal import log_event
from redwingpost.observability.unreadable import note_unreadable
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import (
    FleetStore,
    Snapshot,
    era_of,
    number_of,
)
from redwingpost.ports.platform import Condition, Row, Write

#: Table of rows about the groups: the holder of the duty, and the groups'
#: rosters. No VM follows this table, so that a claim of the duty causes no
#: change notifications.
GROUP_TABLE = "redwing-groups"

DUTY_KEY = "duty/promotions"

#: Timeout of each store call about the duty, in seconds: above the duration
#: at a store that is sixty times as slow as usual. An applied claim excludes
#: all other VMs, so that a lost answer would delay a takeover by the call's
#: own timeout of 1.5 s; so would a read that was sent just before the store
#: became reachable again.
DUTY_CALL_S = 0.7


class ClaimedDuty(NamedTuple):
    """The duty, and the table as read for the claim.

    ``era`` is the store's era and ``now_ms`` its time as of the reading,
    which began at ``read_at`` (seconds on this VM's clock).
    """

    duty: HeldDuty
    rows: tuple[Row, ...]
    era: int
    now_ms: int = 0
    read_at: float = 0.0


class DutyKeeper:
    """Claims the duty for one VM."""

    def __init__(self, store: FleetStore, vm: str, clock: Clock) -> None:
        self._store = store
        self._vm = vm
        self._clock = clock
        self._held_fence = self._held_version = 0

    async def take(self) -> ClaimedDuty | None:
        """Claim or extend the duty.

        Returns
        -------
        ClaimedDuty or None
            None if another VM holds the duty, if it is reserved since a
            restore of the store, or if the claim failed.
        """
        requested_at = self._clock.now()
        got = await self._read()
        if got is None or await self.reserve_if_needed(got):
            return None
        row, version = _find_row(got)
        new_row = claim(row, self._vm, got.now_ms)
        if new_row is None:
            log_event("duty-elsewhere", holder=row.holder, fence=row.fence)
            return None
        if not await self._write(new_row, version):
            return None
        log_event("duty-taken", fence=new_row.fence)
        until = holder_valid_until(requested_at, DUTY_MS / 1000.0)
        duty = HeldDuty(new_row.fence, until)
        return ClaimedDuty(
            duty, got.rows, era_of(got.version), got.now_ms, requested_at
        )

    async def write_as_holder(
        self, fence: int, row: Condition, value: dict[str, Any] | None
    ) -> int | None:
        """Write a row if this VM still holds the duty; delete it if None.

        Parameters
        ----------
        fence : int
            Fence of the claim for which it is written. Another VM may have
            held the duty since, and this one again.
        row : Condition
            The row and the version that it must have.
        value : dict or None
            The row's new value.

        Returns
        -------
        int or None
            The row's new version, 0 if it was deleted. None if it wasn't
            written, or if that isn't known.
        """
        if fence != self._held_fence:
            return None
        writing = self._store.transact(
            (Condition(GROUP_TABLE, DUTY_KEY, self._held_version), row),
            (Write(row.table, row.key, value),),
        )
        try:
            done = await wait_for(writing, DUTY_CALL_S)
        except TimeoutError:
            return None
        if done.is_error() or not done.ok.committed:
            return None
        return 0 if value is None else done.ok.versions[0]

    async def reserve_if_needed(self, got: Snapshot) -> bool:
        """Reserve the duty if nobody can tell who holds it.

        That is, if its row is older than the store's era, or another writer
        has replaced it.

        Returns
        -------
        bool
            Whether that is so.
        """
        row, version = _find_row(got)
        era = era_of(got.version)
        number = max(number_of(got.version), number_of(version))
        if not must_reserve(row, era):
            if not version or row.is_possible(
                era, number_of(version), got.now_ms
            ):
                return False
            note_unreadable("duty-unreadable", DUTY_KEY, row)
        reserved = reserve(got.now_ms, era, number)
        is_written = await self._write(reserved, version)
        log_event("duty-reserved", era=era, written=is_written)
        return True

    async def _read(self) -> Snapshot | None:
        reading = self._store.snapshot(GROUP_TABLE)
        try:
            got = await wait_for(reading, DUTY_CALL_S)
        except TimeoutError:
            log_event("duty-unknown", detail="no answer in time")
            return None
        if got.is_error():
            log_event("duty-unknown", detail=got.error.detail)
            return None
        return got.ok

    async def _write(self, new_row: DutyRow, version: int) -> bool:
        claiming = self._store.transact(
            (Condition(GROUP_TABLE, DUTY_KEY, version),),
            (Write(GROUP_TABLE, DUTY_KEY, new_row.to_value()),),
        )
        try:
            done = await wait_for(claiming, DUTY_CALL_S)
        except TimeoutError:
            log_event("duty-unanswered", fence=new_row.fence)
            return await self._was_written(new_row)
        if done.is_ok():
            if done.ok.committed:
                self._note_held(new_row, done.ok.versions[0])
            return done.ok.committed
        if done.error.code.name != Code.STORE_OUTCOME_UNKNOWN.name:
            return False
        return await self._was_written(new_row)

    async def _was_written(self, new_row: DutyRow) -> bool:
        """Return whether a write whose answer was lost has been applied.

        Reads the row back. Its holder, fence and expiry identify the write:
        no other write of this VM has the same three. A write that a restored
        store has taken for one of its own era doesn't count, since its fence
        may have been used before.
        """
        got = await self._read()
        if got is None or era_of(got.version) != new_row.era:
            return False
        row, version = _find_row(got)
        if row != new_row:
            return False
        self._note_held(row, version)
        return True

    def _note_held(self, row: DutyRow, version: int) -> None:
        self._held_fence = row.fence
        self._held_version = version


def _find_row(got: Snapshot) -> tuple[DutyRow, int]:
    """Return the duty's row and its version, 0 if there is no row.

    One that was removed may have had any fence up to the store's number.
    """
    for row in got.rows:
        if row.key == DUTY_KEY:
            return DutyRow.from_value(row.value), row.version
    return DutyRow("", number_of(got.version), 0), 0
