"""Callers that connect while a VM starts."""

from asyncio import create_task, sleep
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.request.start_gate import StartGate

#: Seconds: far longer than one iteration of the event loop.
LONG_S = 60.0


class StartGateTest(IsolatedAsyncioTestCase):
    async def test_callers_wait_for_the_first_configuration(self) -> None:
        """All VMs lose power, and callers reconnect at the same time.

        A VM accepts connections some hundredths of a second before it has
        its configuration. If it refuses callers in that time, they have
        used all their retries before it can serve them.
        """
        gate = StartGate()
        waiting = create_task(gate.wait(LONG_S))
        await sleep(0.0)
        self.assertFalse(waiting.done())
        gate.open()
        await waiting

    async def test_callers_do_not_wait_at_an_open_gate(self) -> None:
        gate = StartGate()
        gate.open()
        waiting = create_task(gate.wait(LONG_S))
        await sleep(0.0)
        self.assertTrue(waiting.done())

    async def test_the_wait_times_out(self) -> None:
        await StartGate().wait(0.001)
