"""Take the duty of ordering promotions, at the fleet's store."""

from asyncio import wait_for
from typing import NamedTuple

from redwingpost.core.codes import Code
from redwingpost.leases.duty import DUTY_MS, DutyRow, HeldDuty, claim
from redwingpost.leases.lease import holder_valid_until
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import FleetStore, Snapshot
from redwingpost.ports.platform import Condition, Row, Write

#: Rows of what concerns the groups: who may order promotions, and which
#: members they have had. No VM follows this table, so that none is woken
#: by a claim of the duty.
GROUP_TABLE = "redwing-groups"

DUTY_KEY = "duty/promotions"

#: Seconds for each call about the duty: above what a store that is sixty
#: times as slow as usual takes. The store keeps an applied claim from all
#: others, so that a lost answer would delay a takeover by the call's whole
#: time limit, 1.5 s; so would a question that was sent just before the
#: store could be reached again.
DUTY_CALL_S = 0.7


class Taken(NamedTuple):
    """The duty, and the table's rows as they were when it was taken."""

    duty: HeldDuty
    rows: tuple[Row, ...]


class DutyKeeper:
    """Claims the duty for one VM."""

    def __init__(self, store: FleetStore, vm: str, clock: Clock) -> None:
        self._store = store
        self._vm = vm
        self._clock = clock

    async def take(self) -> Taken | None:
        """Take or extend the duty; None where another VM holds it."""
        asked_at = self._clock.now()
        got = await self._read()
        if got is None:
            return None
        found = [row for row in got.rows if row.key == DUTY_KEY]
        version = found[0].version if found else 0
        row = DutyRow.from_value(found[0].value if found else None)
        wanted = claim(row, self._vm, got.now_ms)
        if wanted is None:
            log_event("duty-elsewhere", holder=row.holder, fence=row.fence)
            return None
        if not await self._write(wanted, version):
            return None
        log_event("duty-taken", fence=wanted.fence)
        until = holder_valid_until(asked_at, DUTY_MS / 1000.0)
        return Taken(HeldDuty(wanted.fence, until), got.rows)

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

    async def _write(self, wanted: DutyRow, version: int) -> bool:
        claiming = self._store.transact(
            (Condition(GROUP_TABLE, DUTY_KEY, version),),
            (Write(GROUP_TABLE, DUTY_KEY, wanted.to_value()),),
        )
        try:
            done = await wait_for(claiming, DUTY_CALL_S)
        except TimeoutError:
            log_event("duty-unanswered", fence=wanted.fence)
            return await self._has_taken(wanted)
        if done.is_ok():
            return done.ok.committed
        if done.error.code.name != Code.STORE_OUTCOME_UNKNOWN.name:
            return False
        return await self._has_taken(wanted)

    async def _has_taken(self, wanted: DutyRow) -> bool:
        """Read back a write whose answer was lost.

        The row names its holder, its fence and its end, which no other
        write of this VM repeats.
        """
        got = await self._read()
        if got is None:
            return False
        return any(
            row.key == DUTY_KEY and DutyRow.from_value(row.value) == wanted
            for row in got.rows
        )
