"""The duty at a store whose answers are lost."""

from asyncio import Event, wait_for
from unittest import IsolatedAsyncioTestCase

from expression import Ok, Result

from redwingpost.core.requests import Refusal
from redwingpost.node.fleet.vm_list import FLEET_TABLE
from redwingpost.node.takeover.duty import DUTY_KEY, DutyKeeper
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.fleet_store import Snapshot
from redwingpost.ports.platform import Row, TransactResult

#: Far above what reading back takes; a test that waits for the lost
#: answer never ends.
_PATIENCE_S = 20.0


class LossyStore:
    """Applies writes, or not, and never answers them."""

    def __init__(self, applies: bool) -> None:
        self._applies = applies
        self._rows: tuple[Row, ...] = ()

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return what was applied."""
        return Ok(Snapshot(self._rows, len(self._rows), 1000))

    async def transact(
        self, conditions, writes
    ) -> Result[TransactResult, Refusal]:
        """Take the writes and say nothing."""
        if self._applies:
            self._rows = (Row(FLEET_TABLE, DUTY_KEY, 1, writes[0].value),)
        await Event().wait()


class DutyTest(IsolatedAsyncioTestCase):
    async def test_a_claim_whose_answer_is_lost(self) -> None:
        """The store applies a claim of the duty, and its answer is lost.

        Until the call's own time limit nobody replaces the primary: the
        claim keeps all other VMs away, and its holder doesn't know that
        it holds. Writers wait a second and a half for nothing.
        """
        for applies in (True, False):
            with self.subTest(applies=applies):
                keeper = DutyKeeper(
                    LossyStore(applies), "vm-1", VirtualClock()
                )
                held = await wait_for(keeper.take(), _PATIENCE_S)
                self.assertEqual(applies, held is not None)

    async def test_a_question_that_is_never_answered(self) -> None:
        """The store can be reached again just after it was asked.

        The question's own time limit would hold the takeover up for as
        long as that, although another question is answered at once.
        """

        class SilentStore(LossyStore):
            async def snapshot(self, table: str):
                await Event().wait()

        keeper = DutyKeeper(SilentStore(True), "vm-1", VirtualClock())
        self.assertIsNone(await wait_for(keeper.take(), _PATIENCE_S))
