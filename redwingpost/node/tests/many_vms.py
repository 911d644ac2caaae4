"""A simulated fleet of hundreds of VMs, with a virtual clock.

The VMs pack and unpack real heartbeats and digests. The network is a queue
with a delay, which can be cut between any two VMs.
"""

from collections import Counter
from collections.abc import Callable, Collection
from heapq import heappop, heappush
from itertools import count
from random import Random

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.membership.gathering import Gathering
from redwingpost.membership.heartbeat import (
    Heartbeat,
    PrimaryHealth,
    VmAddress,
)
from redwingpost.membership.vm_table import HEARTBEAT_INTERVAL_S, VmTable
from redwingpost.node.fleet.heartbeats import Heartbeats, LocalVm
from redwingpost.ports.clock import VirtualClock
from redwingpost.rates.usage import UsageLedger

#: Latency of the network in seconds, between any two VMs.
DELAY_S = 0.0015

#: Longest queue at a link in seconds; what comes later is lost.
MAX_QUEUE_S = 0.5

#: Capacity of a VM with ten times the link of the others.
STRONG_CAPACITY = 10.0

#: Bytes of the headers of a datagram.
_HEADER_BYTES = 42

#: The only primary that heartbeats report on.
PRIMARY = "primary"

_PORT = 7


class _Writer:
    """Builds heartbeats of a VM that reaches all primaries."""

    def __init__(self, vm: str, ip: str, boot: int, clock: VirtualClock):
        self._vm, self._ip, self._boot = vm, ip, boot
        self._clock = clock
        self.health = PrimaryHealth(0, 0, 0, 0)

    def describe(self, may_be_brief: bool) -> Heartbeat:
        """Return the VM's heartbeat."""
        is_brief = may_be_brief and not self.health.failing_ms
        return Heartbeat(
            self._vm,
            self._boot,
            self._ip,
            1,
            {} if is_brief else {PRIMARY: self.health},
            int(self._clock.now() * 1000),
            None,
            (),
            is_brief,
        )

    def take_samples(self, samples, earliest_sent_at) -> None:
        """Ignore samples."""


class _Transport:
    """Sends the datagrams of one VM."""

    def __init__(self, fleet: "SimulatedFleet", vm: str) -> None:
        self._fleet = fleet
        self._vm = vm

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self._fleet.send(self._vm, address[0], datagram)

    def is_closing(self) -> bool:
        """Return False: the transport stays open."""
        return False


class SimulatedVm:
    """A VM, from one start to its end."""

    def __init__(self, fleet: "SimulatedFleet", address: VmAddress, boot: int):
        now = fleet.clock.now()
        self.address = address
        self.vms = VmTable(address.vm, now)
        self.ledger = UsageLedger(now)
        self.gathering = Gathering(address.vm)
        self.writer = _Writer(address.vm, address.ip, boot, fleet.clock)
        self.heartbeats = Heartbeats(
            self.vms,
            self.ledger,
            self.gathering,
            self.writer,
            fleet.clock,
            LocalVm(address.vm, address.ip, _PORT),
            fleet.call_later,
        )
        self.heartbeats.use_transport(_Transport(fleet, address.vm))

    def set_listed(self, addresses: tuple[VmAddress, ...]) -> None:
        """Apply the list of VMs."""
        self.vms.set_listed(addresses)
        self.gathering.set_listed(addresses)
        self.heartbeats.announce()

    def admit(self, rule: OrganisationRule, now: float) -> bool:
        """Admit an operation if the rate allows it."""
        if not self.ledger.admit(rule, self.vms.part(now), now):
            return False
        self.heartbeats.report_if_due(rule.name)
        return True


class SimulatedFleet:
    """VMs in several data centres, all started at once.

    Those whose numbers are in ``strong`` have ``STRONG_CAPACITY``.

    ``sent`` and ``received`` count datagrams by VM. ``is_cut`` returns
    whether datagrams from the first VM to the second are lost. Datagrams
    of more than ``max_bytes`` are lost, too.
    """

    def __init__(
        self,
        vms: int,
        data_centres: int,
        seed: int = 1,
        strong: Collection[int] = (),
    ) -> None:
        self.clock = VirtualClock(1000.0)
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.max_bytes = float("inf")
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self._random = Random(seed)
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._boots = count(1)
        self.addresses = tuple(
            VmAddress(
                f"vm-{n}",
                f"10.0.{n}",
                _PORT,
                f"dc-{n % data_centres}",
                STRONG_CAPACITY if n in strong else 1.0,
            )
            for n in range(vms)
        )
        #: Bytes a second that a VM of capacity 1 can send; infinite: any.
        self.link_bytes_per_s = float("inf")
        self._link_free_at: dict[str, float] = {}
        self._name_by_ip = {item.ip: item.vm for item in self.addresses}
        self.vm_by_name: dict[str, SimulatedVm] = {}
        for address in self.addresses:
            self.start(address)

    def start(self, address: VmAddress) -> None:
        """Start a VM, or restart it."""
        instance = SimulatedVm(self, address, next(self._boots))
        self.vm_by_name[address.vm] = instance
        instance.set_listed(self.addresses)
        first_s = self._random.uniform(0.0, HEARTBEAT_INTERVAL_S)
        self.call_later(first_s, lambda: self._beat(instance))

    def stop(self, vm: str) -> None:
        """Kill a VM."""
        del self.vm_by_name[vm]

    def run(self, seconds: float) -> None:
        """Advance the clock and run what is due."""
        until = self.clock.now() + seconds
        while self._scheduled and self._scheduled[0][0] <= until:
            at, _, step = heappop(self._scheduled)
            self.clock.advance(max(0.0, at - self.clock.now()))
            step()
        self.clock.advance(until - self.clock.now())

    def call_later(self, seconds: float, step: Callable[[], None]) -> None:
        """Call a function after some seconds."""
        at = self.clock.now() + seconds
        heappush(self._scheduled, (at, next(self._order), step))

    def send(self, vm: str, ip: str, datagram: bytes) -> None:
        """Deliver a datagram, unless the sender or the reader has stopped."""
        if vm not in self.vm_by_name:
            return
        self.sent[vm] += 1
        reader = self._name_by_ip[ip]
        sender = self.vm_by_name[vm].address
        queued_s = self._queue(sender, len(datagram) + _HEADER_BYTES)
        if queued_s > MAX_QUEUE_S:
            return
        if len(datagram) <= self.max_bytes and not self.is_cut(vm, reader):
            self.call_later(
                queued_s + DELAY_S,
                lambda: self._arrive(reader, datagram, sender.ip),
            )

    def _queue(self, sender: VmAddress, size: int) -> float:
        """Return how long bytes wait for the sender's link (seconds)."""
        now = self.clock.now()
        free_at = max(now, self._link_free_at.get(sender.vm, now))
        if free_at - now <= MAX_QUEUE_S:
            free_at += size / (self.link_bytes_per_s * sender.capacity)
            self._link_free_at[sender.vm] = free_at
        return free_at - now

    def parts(self) -> list[float]:
        """Return the part of the fleet that is alive for each VM."""
        now = self.clock.now()
        return [vm.vms.part(now) for vm in self.vm_by_name.values()]

    def gatherers(self) -> list[str]:
        """Return the VMs that are gatherers."""
        now = self.clock.now()
        return [
            name
            for name, vm in self.vm_by_name.items()
            if vm.gathering.gathers(now)
        ]

    def _arrive(self, vm: str, datagram: bytes, ip: str) -> None:
        instance = self.vm_by_name.get(vm)
        if instance is not None:
            self.received[vm] += 1
            instance.heartbeats.receive(datagram, ip)

    def _beat(self, instance: SimulatedVm) -> None:
        if self.vm_by_name.get(instance.address.vm) is not instance:
            return
        instance.heartbeats.beat()
        self.call_later(HEARTBEAT_INTERVAL_S, lambda: self._beat(instance))
