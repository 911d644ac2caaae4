"""Claims of the duty at a store whose answers are lost."""

from asyncio import Event, wait_for
from typing import Any
from unittest import IsolatedAsyncioTestCase

from expression import Ok, Result

from redwingpost.core.requests import Refusal
from redwingpost.leases.duty import DUTY_MS
from redwingpost.node.fleet.vm_list import FLEET_TABLE
from redwingpost.node.takeover.duty import (
    ClaimedDuty,
    DUTY_KEY,
    GROUP_TABLE,
    DutyKeeper,
)
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.fleet_store import Snapshot, make_version
from redwingpost.ports.platform import Condition, Row, TransactResult

#: Far above the duration of reading the row back. Waiting for the lost
#: answer would never end.
_TIMEOUT_S = 20.0


class LossyStore:
    """Applies writes, or drops them, and never answers them."""

    def __init__(self, applies: bool) -> None:
        self._applies = applies
        self._rows: tuple[Row, ...] = ()

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return the applied rows."""
        return Ok(Snapshot(self._rows, len(self._rows), 1000))

    async def transact(
        self, conditions, writes
    ) -> Result[TransactResult, Refusal]:
        """Apply the writes or drop them; never return."""
        if self._applies:
            self._rows = (Row(FLEET_TABLE, DUTY_KEY, 1, writes[0].value),)
        await Event().wait()


class RestorableStore:
    """A store that numbers its eras, and goes back to a copy of its rows.

    ``version`` repeats after a restore, as a real store's does.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self.era = 0
        self.rows: tuple[Row, ...] = ()
        self._clock = clock

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return the rows."""
        now_ms = int(self._clock.now() * 1000)
        version = make_version(self.era, len(self.rows))
        return Ok(Snapshot(self.rows, version, now_ms))

    async def transact(
        self, conditions, writes
    ) -> Result[TransactResult, Refusal]:
        """Write the row if it is the one that was read."""
        present = self.rows[0].version if self.rows else 0
        if conditions[0].version != present:
            return Ok(TransactResult(False, (), ()))
        version = make_version(self.era, present + 1)
        self.rows = (Row(FLEET_TABLE, DUTY_KEY, version, writes[0].value),)
        return Ok(TransactResult(True, (version,), ()))

    def restore(self, rows: tuple[Row, ...]) -> None:
        """Go back to rows; their versions are those of the new era."""
        self.era += 1
        self.rows = tuple(
            row._replace(version=make_version(self.era, number))
            for number, row in enumerate(rows, 1)
        )


class ConditionalStore:
    """A store that checks all conditions; ``row_by_key`` is what it has."""

    def __init__(self, clock: VirtualClock) -> None:
        self.row_by_key: dict[str, Row] = {}
        self._clock = clock
        self._version = 0

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return the rows."""
        now_ms = int(self._clock.now() * 1000)
        rows = tuple(self.row_by_key.values())
        return Ok(Snapshot(rows, self._version, now_ms))

    async def transact(
        self, conditions, writes
    ) -> Result[TransactResult, Refusal]:
        """Write the rows if all conditions hold."""
        for condition in conditions:
            row = self.row_by_key.get(condition.key)
            if condition.version != (row.version if row else 0):
                return Ok(TransactResult(False, (), ()))
        self._version += 1
        for write in writes:
            row = Row(GROUP_TABLE, write.key, self._version, write.value)
            self.row_by_key[write.key] = row
        return Ok(TransactResult(True, (self._version,) * len(writes), ()))


class HolderTest(IsolatedAsyncioTestCase):
    async def test_records_of_the_holder_alone(self) -> None:
        """Guards against an order of a VM whose right has passed on."""
        turn_s = DUTY_MS / 1000.0
        cases = (
            ("holds it", (), True),
            ("has renewed it", (("vm-1", 1.0),), True),
            ("has claimed it again", (("vm-1", turn_s),), False),
            ("another VM has claimed it", (("vm-2", turn_s),), False),
            (
                "has claimed it again, after another",
                (("vm-2", turn_s), ("vm-1", turn_s)),
                False,
            ),
        )
        for name, later_claims, is_recorded in cases:
            with self.subTest(name):
                clock = VirtualClock(100.0)
                store = ConditionalStore(clock)
                keepers = {
                    vm: DutyKeeper(store, vm, clock) for vm in ("vm-1", "vm-2")
                }
                claimed = await keepers["vm-1"].take()
                for vm, after_s in later_claims:
                    clock.advance(after_s)
                    self.assertIsNotNone(await keepers[vm].take())
                holder = keepers["vm-1"]
                done = await holder.write_as_holder(
                    claimed.duty.fence,
                    Condition(GROUP_TABLE, "order/g", 0),
                    {"member": "a"},
                )
                self.assertEqual(is_recorded, done is not None)
                self.assertEqual(is_recorded, "order/g" in store.row_by_key)


class RestoredDutyTest(IsolatedAsyncioTestCase):
    """Guards against two VMs that promote with one fence after a restore.

    The VM that promoted before is gone, and the other has just started.
    """

    def setUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.store = RestorableStore(self.clock)

    def _keeper(self, vm: str) -> DutyKeeper:
        return DutyKeeper(self.store, vm, self.clock)

    async def test_fences_grow_and_turns_do_not_overlap(self) -> None:
        cases = (
            ("no row", 0, False),
            ("an earlier row", 1, False),
            ("no row, reserved before a takeover is due", 0, True),
        )
        for name, claims_before, is_reserved_early in cases:
            with self.subTest(name):
                self.setUp()
                for _ in range(claims_before):
                    await self._keeper("vm-0").take()
                    self.clock.advance(DUTY_MS / 1000.0)
                copy = self.store.rows
                first = await self._keeper("vm-1").take()
                claimed_at = self.clock.now()
                self.store.restore(copy)
                other = self._keeper("vm-2")
                if is_reserved_early:
                    got = (await self.store.snapshot("t")).ok
                    await other.reserve_if_needed(got)
                second = None
                while second is None:
                    second = await other.take()
                    self.clock.advance(0.1)
                waited_s = self.clock.now() - claimed_at
                self.assertGreaterEqual(waited_s, DUTY_MS / 1000.0)
                self.assertLessEqual(waited_s, DUTY_MS / 1000.0 + 0.3)
                self.assertGreater(second.duty.fence, first.duty.fence)

    async def test_a_restore_between_reading_and_writing(self) -> None:
        """A restored store takes a write for one of its own era.

        Its fence may already have been sent by a VM whose row is gone.
        """
        apply_write = self.store.transact

        async def restore_and_write(conditions, writes):
            self.store.restore(())
            await apply_write(conditions, writes)
            await Event().wait()

        self.store.transact = restore_and_write
        keeper = self._keeper("vm-1")
        held = await wait_for(keeper.take(), _TIMEOUT_S)
        self.assertIsNone(held)


class OddDutyTest(IsolatedAsyncioTestCase):
    async def test_a_row_of_another_writer(self) -> None:
        """Guards against a duty that nobody gets, and fences used before."""
        good = {"holder": "x", "fence": 3, "until_ms": 9000}
        cases = (
            ("bytes", None),
            ("list", [1, 2]),
            ("no fields", {}),
            ("held for ever", {**good, "until_ms": 2**53}),
            ("too large", {**good, "until_ms": 10**30}),
            ("a fraction", {**good, "until_ms": 9000.5}),
            ("digits", {**good, "until_ms": "9" * 5000}),
            ("a negative time", {**good, "until_ms": -1}),
            ("a fence too large", {**good, "fence": 2**64}),
            ("a fence of no claim", {**good, "fence": 2**31}),
            ("a negative fence", {**good, "fence": -5}),
            ("a boolean", {**good, "fence": True}),
            ("a later era", {**good, "era": 7, "fence": 7 << 32}),
            ("a holder without a name", {**good, "holder": 10**30}),
        )
        for era in (0, 2):
            for name, value in cases:
                with self.subTest(name, era=era):
                    await self._check_claims_after(value, era)

    async def test_a_row_that_was_removed(self) -> None:
        """Guards against a fence that was used before."""
        clock = VirtualClock(100.0)
        store = ConditionalStore(clock)
        before = await self._claim(DutyKeeper(store, "vm-1", clock), clock)
        del store.row_by_key[DUTY_KEY]
        after = await self._claim(DutyKeeper(store, "vm-2", clock), clock)
        self.assertGreater(after.duty.fence, before.duty.fence)

    async def _check_claims_after(self, value: Any, era: int) -> None:
        clock = VirtualClock(100.0)
        store = RestorableStore(clock)
        store.era = era
        before = await self._claim(DutyKeeper(store, "vm-1", clock), clock)
        replaced = store.rows[0]
        version = replaced.version + 1
        store.rows = (replaced._replace(version=version, value=value),)
        other = DutyKeeper(store, "vm-2", clock)
        replaced_at = clock.now()
        after = await self._claim(other, clock)
        self.assertGreater(after.duty.fence, before.duty.fence)
        self.assertLess(after.duty.fence, (era + 1) << 32)
        waited_s = clock.now() - replaced_at
        self.assertGreaterEqual(waited_s, DUTY_MS / 1000.0)
        self.assertLessEqual(waited_s, DUTY_MS / 1000.0 + 0.3)

    async def _claim(
        self, keeper: DutyKeeper, clock: VirtualClock
    ) -> ClaimedDuty:
        for _ in range(200):
            claimed = await keeper.take()
            clock.advance(0.1)
            if claimed is not None:
                return claimed
        raise AssertionError("nobody gets the duty")


class DutyTest(IsolatedAsyncioTestCase):
    async def test_a_claim_whose_answer_is_lost(self) -> None:
        """The answer to a claim of the duty is lost.

        If the claim was applied, it excludes all other VMs, and its holder
        doesn't know that it holds the duty. Without reading it back no VM
        could replace the primary until the call's own timeout, and writes
        would fail for a second and a half.
        """
        for applies in (True, False):
            with self.subTest(applies=applies):
                keeper = DutyKeeper(
                    LossyStore(applies), "vm-1", VirtualClock()
                )
                held = await wait_for(keeper.take(), _TIMEOUT_S)
                self.assertEqual(applies, held is not None)

    async def test_a_read_that_is_never_answered(self) -> None:
        """The store becomes reachable just after a read was sent.

        That read is never answered. Its own timeout would delay the
        takeover, although another read would be answered at once.
        """

        class SilentStore(LossyStore):
            async def snapshot(self, table: str):
                await Event().wait()

        keeper = DutyKeeper(SilentStore(True), "vm-1", VirtualClock())
        self.assertIsNone(await wait_for(keeper.take(), _TIMEOUT_S))
