"""Heartbeats between two VMs over real datagrams."""

from asyncio import sleep, wait_for
from socket import AF_INET, SOCK_DGRAM, socket
from unittest import IsolatedAsyncioTestCase

from redwingpost.membership.gathering import Gathering
from redwingpost.membership.heartbeat import Heartbeat, VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.fleet.heartbeats import Heartbeats, LocalVm
from redwingpost.ports.clock import MonotonicClock
from redwingpost.rates.usage import UsageLedger

_IPS = ("127.0.71.1", "127.0.71.2")

#: Seconds to wait for datagrams on the loopback interface, which take far
#: less.
TIMEOUT_S = 10.0


def _free_port() -> int:
    with socket(AF_INET, SOCK_DGRAM) as probe:
        probe.bind((_IPS[0], 0))
        return probe.getsockname()[1]


class FakeWriter:
    """Builds the same heartbeat each time."""

    def __init__(self, heartbeat: Heartbeat) -> None:
        self._heartbeat = heartbeat

    def describe(self, may_be_brief: bool) -> Heartbeat:
        """Return the heartbeat."""
        return self._heartbeat

    def take_samples(self, samples, earliest_sent_at) -> None:
        """Ignore samples."""


class SilentHeartbeats(Heartbeats):
    """Sends no periodic heartbeats."""

    async def _send_beat(self) -> None:
        await sleep(0.0)


class AnnounceTest(IsolatedAsyncioTestCase):
    def _make(self, number: int, port: int) -> tuple[VmTable, Heartbeats]:
        clock = MonotonicClock()
        vm, ip = f"vm-{number}", _IPS[number]
        vms = VmTable(vm, clock.now())
        gathering = Gathering(vm)
        heartbeats = SilentHeartbeats(
            vms,
            UsageLedger(clock.now()),
            gathering,
            FakeWriter(Heartbeat(vm, 1, ip, 1, {}, 1, None, ())),
            clock,
            LocalVm(vm, ip, port),
        )
        return vms, heartbeats

    async def test_starting_vms_exchange_heartbeats_at_once(self) -> None:
        """A fleet restarts, and a VM reads the list of VMs.

        Until it has heartbeats from the others it may use only a small
        part of each rate. If it waited for the next heartbeat, callers
        within their rates would be refused.
        """
        port = _free_port()
        tables = []
        for number in range(2):
            vms, heartbeats = self._make(number, port)
            await heartbeats.start()
            self.addAsyncCleanup(heartbeats.stop)
            tables.append((vms, heartbeats))
        first, announcer = tables[0]
        first.set_listed((VmAddress("vm-1", _IPS[1], port),))
        announcer.announce()
        await wait_for(self._until_exchanged(tables), TIMEOUT_S)

    async def _until_exchanged(self, tables) -> None:
        now = MonotonicClock().now
        while not all(
            len(vms.fresh_heartbeats(now())) == 1 for vms, _ in tables
        ):
            await sleep(0.001)
