"""Claims of the duty at a store whose answers are lost."""

from asyncio import Event, wait_for
from unittest import IsolatedAsyncioTestCase

from expression import Ok, Result

from redwingpost.core.requests import Refusal
from redwingpost.node.fleet.vm_list import FLEET_TABLE
from redwingpost.node.takeover.duty import DUTY_KEY, DutyKeeper
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.fleet_store import Snapshot
from redwingpost.ports.platform import Row, TransactResult

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
