"""Callers that come while a VM starts."""

from asyncio import create_task, sleep
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.request.start_gate import StartGate

#: Seconds, far above what the loop takes for a turn.
LONG_S = 60.0


class StartGateTest(IsolatedAsyncioTestCase):
    async def test_callers_wait_for_the_first_rules(self) -> None:
        """All VMs lose power; callers come back together.

        A VM listens some hundredths of a second before it has its
        configuration. Refused in that time, callers have used up their
        tries when it could serve them.
        """
        gate = StartGate()
        waiting = create_task(gate.wait(LONG_S))
        await sleep(0.0)
        self.assertFalse(waiting.done())
        gate.open()
        await waiting

    async def test_an_open_gate_holds_nobody(self) -> None:
        gate = StartGate()
        gate.open()
        waiting = create_task(gate.wait(LONG_S))
        await sleep(0.0)
        self.assertTrue(waiting.done())

    async def test_nobody_waits_for_ever(self) -> None:
        await StartGate().wait(0.001)
