"""Heartbeats between two VMs over real datagrams."""

from asyncio import sleep, wait_for
from socket import AF_INET, SOCK_DGRAM, socket
from unittest import IsolatedAsyncioTestCase, TestCase

from redwingpost.core.positions import Position
from redwingpost.groups.directory import Directory
from redwingpost.groups.evidence import GroupEvidence
from redwingpost.membership.gathering import Gathering
from redwingpost.membership.heartbeat import (
    Echo,
    Heartbeat,
    SharedSample,
    VmAddress,
)
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.fleet.digest_writer import DigestWriter
from redwingpost.node.fleet.heartbeat_writer import HeartbeatWriter
from redwingpost.node.fleet.heartbeats import Heartbeats, LocalVm
from redwingpost.node.group import GroupClient
from redwingpost.node.request.admission import Admission
from redwingpost.ports.clock import MonotonicClock, VirtualClock
from redwingpost.ports.database import MemberEntry, StatusReport
from redwingpost.rates.usage import UsageLedger
from redwingpost.wire.heartbeat import pack_digest, unpack

_REPORT = StatusReport(True, 3, Position(3, 9), 0, 0, 0, 0)
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


class FakeActivity:
    """No group is in use on this VM."""

    def active(self, now: float) -> list[GroupClient]:
        """Return no group."""
        return []


class FakeGroup:
    """A group whose samples are kept."""

    name = "g"

    def __init__(self) -> None:
        self.evidence = GroupEvidence()
        self.evidence.note_report("m1", _REPORT, 0.0)

    def note_shared(
        self, member: str, position: Position, taken_at: float
    ) -> None:
        """Add a sample."""
        self.evidence.note_shared(member, position, taken_at)


class SampleTest(TestCase):
    def test_an_echo_of_a_clock_before_a_restart(self) -> None:
        """Guards against samples that never age, and heartbeats that fail."""
        clock = VirtualClock(60.0)
        cases = (
            ("of this clock", 59_000, 900, True),
            ("of the clock before", 86_400_000, 40_000, False),
            ("of no clock", 2**64 - 1, 2**32 - 1, False),
        )
        for name, clock_ms, held_ms, is_taken in cases:
            for gathers in (False, True):
                with self.subTest(name, gathers=gathers):
                    group = FakeGroup()
                    writer = self._writer(clock, group, gathers)
                    sample = SharedSample("m1", Position(3, 9), 1)
                    echo = Echo(clock_ms, held_ms)
                    writer.take_samples((sample,), echo.earliest_sent_at())
                    newest = group.evidence.newest_sample()
                    self.assertEqual(is_taken, newest is not None)
                    heartbeat = writer.describe(False)
                    digest = DigestWriter(
                        VmTable("vm-1", 0.0)
                    ).build_cell_digest(heartbeat, "a/0", False, clock.now())
                    received = unpack(pack_digest(digest), "ip")
                    self.assertEqual(is_taken, bool(received.samples))

    def _writer(
        self, clock: VirtualClock, group: FakeGroup, gathers: bool
    ) -> HeartbeatWriter:
        directory = Directory()
        directory.put(
            MemberEntry("m1", "g", "10.0.0.1", 80, "a", False, True), 0.0
        )
        vms = VmTable("vm-1", 0.0)
        return HeartbeatWriter(
            "vm-1",
            "ip",
            {"g": group},
            FakeActivity(),
            directory,
            Admission(vms, UsageLedger(0.0), clock),
            clock,
            lambda: gathers,
        )


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
