"""Tests of a VM's base share during store outages and pauses of the VM."""

from asyncio import run
from types import SimpleNamespace
from unittest import TestCase

from expression import Error, Ok

from redwingpost.agent.shares import SharesPart
from redwingpost.core import Code, Refusal
from redwingpost.ports import (
    Row,
    TransactResult,
    VirtualClock,
    VmEntry,
)
from redwingpost.rates.bucket import TOTAL_PARTS

_VMS = ("vm-1", "vm-2")


class _Store:
    """A one-row store; during an outage each call takes its timeout."""

    def __init__(self, clock):
        self.clock = clock
        self.row = None
        self.is_unavailable = False
        self.part = None

    async def _answer(self):
        if not self.is_unavailable:
            return
        for _ in range(4):
            self.clock.advance(0.5)
            self.part.tick()

    async def read(self, table, key):
        await self._answer()
        if self.is_unavailable:
            return Error(Refusal(Code.STORE_UNAVAILABLE))
        return Ok(self.row)

    async def transact(self, conditions, writes):
        await self._answer()
        if self.is_unavailable:
            return Error(Refusal(Code.STORE_OUTCOME_UNKNOWN))
        version = self.row.version if self.row else 0
        if conditions[0].version != version:
            return Ok(TransactResult(False, (), ()))
        write = writes[0]
        self.row = Row(write.table, write.key, version + 1, write.value)
        return Ok(TransactResult(True, (version + 1,), ()))

    async def vms(self):
        entries = [VmEntry(vm, "dc", "", 0, 0, "live") for vm in _VMS]
        return Ok(tuple(entries))


class SharesPartTest(TestCase):
    def setUp(self):
        self.clock = VirtualClock(start=100.0)
        self.store = _Store(self.clock)
        self.shares = ()
        state = SimpleNamespace(
            vm="vm-1",
            incarnation=1,
            proxy_attached=True,
            draining=False,
            stopping=False,
            is_relay=False,
            set_shares=self._take,
        )
        context = SimpleNamespace(
            clock=self.clock,
            state=state,
            tables=self.store,
            vm_list=self.store,
        )
        self.part = SharesPart(context)
        self.store.part = self.part

    def _take(self, shares):
        self.shares = shares

    def _run_for(self, seconds):
        for _ in range(int(seconds / 0.5)):
            self.part.tick()
            run(self.part.update_roster())
            self.clock.advance(0.5)
        self.part.tick()

    @property
    def _parts(self):
        return self.shares[0].parts_per_million

    def test_a_part_is_claimed(self):
        self._run_for(2)
        self.assertEqual(self._parts, TOTAL_PARTS // 2)

    def test_a_store_outage_keeps_the_claimed_parts(self):
        # The platform's store is unavailable for half a minute, and each
        # call to it hangs for two seconds. No grant can change meanwhile,
        # so callers within their rates must not be refused.
        self._run_for(2)
        self.store.is_unavailable = True
        for _ in range(15):
            self._run_for(0.5)
            self.assertEqual(self._parts, TOTAL_PARTS // 2)

    def test_a_paused_agent_publishes_no_share(self):
        # The VM is suspended for ten seconds. Its share may have been
        # granted to another VM meanwhile; both together would exceed the
        # organisation's rate.
        self._run_for(2)
        self.clock.advance(10.0)
        self.part.tick()
        self.assertEqual(self._parts, 0)
        self._run_for(2)
        self.assertEqual(self._parts, TOTAL_PARTS // 2)

    def test_an_answer_from_before_a_pause_is_ignored(self):
        self._run_for(2)

        async def pause():
            self.clock.advance(10.0)
            self.part.tick()

        self.store._answer = pause
        run(self.part.update_roster())
        self.part.tick()
        self.assertEqual(self._parts, 0)
