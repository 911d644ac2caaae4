"""Heartbeats between VMs: liveness, usage counters, health of primaries.

In a small fleet each VM sends heartbeats to each other. In a larger one
VMs report to gatherers (``redwingpost.membership.gathering``), which send
digests to each other and to these VMs.
"""

from asyncio import (
    DatagramProtocol,
    DatagramTransport,
    TimerHandle,
    get_running_loop,
)
from collections.abc import Callable, Iterable
from time import time_ns
from typing import Any, NamedTuple, Protocol

from mode import Service

from redwingpost.membership.gathering import Gathering
from redwingpost.membership.heartbeat import (
    Digest,
    Heartbeat,
    SharedSample,
    VmAddress,
    vm_number,
)
from redwingpost.membership.vm_table import HEARTBEAT_INTERVAL_S, VmTable
from redwingpost.node.fleet.digest_writer import DigestWriter
from redwingpost.node.steps import repeat
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.rates.counters import Usage, VmUsage
from redwingpost.rates.relay import UsageRelay
from redwingpost.rates.usage import UsageLedger
from redwingpost.wire.heartbeat import (
    HeartbeatWithUsages,
    pack_digests,
    pack_heartbeats,
    unpack,
)

#: Number of heartbeats after which all counters are sent rather than those
#: that changed: within it, a VM that started late or lost datagrams has all
#: counters again.
FULL_REPORT_EVERY = 10

#: Number of heartbeats after which the health of primaries is sent even if
#: none of them fails: it is three quarters of a heartbeat's size, and the
#: samples, which are sent with it, remain useful for over a second.
HEALTH_EVERY = 2

#: Names of missing VMs in one log line, at most.
_MAX_NAMES_LOGGED = 4

#: Seconds for which a gatherer batches urgent counters before it forwards
#: them. Over two gatherers they reach every VM after twice this delay and
#: the latency of the network. Without batching, each admission would cost a
#: datagram to every VM of a cell.
FORWARD_DELAY_S = 0.03


class HeartbeatSource(Protocol):
    """Builds this VM's heartbeats and receives other VMs' samples."""

    def describe(self, may_be_brief: bool) -> Heartbeat:
        """Return this VM's heartbeat."""

    def take_samples(
        self, samples: tuple[SharedSample, ...], earliest_sent_at: float | None
    ) -> None:
        """Apply another VM's samples."""


class LocalVm(NamedTuple):
    """This VM and the address that receives its heartbeats.

    The port is the same at all VMs. ``seeds`` are IP addresses that get
    heartbeats while the list of VMs could not be read.
    """

    vm: str
    ip: str
    port: int
    seeds: tuple[str, ...] = ()


class Heartbeats(Service):
    """Sends and receives heartbeats and digests.

    Parameters
    ----------
    vms : VmTable
        Stores what is received.
    ledger : UsageLedger
        The usage counters to send, and to update from other VMs.
    gathering : Gathering
        Selects the VMs to send to.
    writer : HeartbeatSource
        Builds heartbeats.
    clock : Clock
        Source of the times of sending and receiving.
    local_vm : LocalVm
        The address that receives heartbeats.
    call_later : callable, optional
        Calls a function after some seconds; by default ``call_later`` of
        the running loop.
    """

    def __init__(
        self,
        vms: VmTable,
        ledger: UsageLedger,
        gathering: Gathering,
        writer: HeartbeatSource,
        clock: Clock,
        local_vm: LocalVm,
        call_later: Callable[[float, Callable[[], None]], Any] | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._call_later = call_later
        self._vms = vms
        self._ledger = ledger
        self._gathering = gathering
        self._writer = writer
        self._clock = clock
        self._local_vm = local_vm
        self._digest_writer = DigestWriter(vms)
        self._relay = UsageRelay()
        self._wants_usages_by_vm: dict[str, bool] = {}
        self._has_new_reader = False
        self._forward_timer: TimerHandle | None = None
        self._forwards_to_cells = False
        self._transport: DatagramTransport | None = None
        self._beats = 0
        self._last_beat_at = clock.now()
        self._missing: tuple[str, ...] = ()

    def use_transport(self, transport: DatagramTransport) -> None:
        """Send through a transport that is already open."""
        self._transport = transport

    async def on_start(self) -> None:
        """Open the socket."""
        loop = get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self.receive),
            local_addr=(self._local_vm.ip, self._local_vm.port),
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._forward_timer is not None:
            self._forward_timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def report_if_due(self, organisation: str) -> None:
        """Report at once if many operations were admitted."""
        if not self._ledger.is_report_due(organisation):
            return
        if self._gathering.is_direct:
            self._send_to_all(is_full=False, may_be_brief=True)
            return
        now = self._clock.now()
        if self._gathering.gathers(now):
            self._schedule_forward(to_other_cells=True)
        self._report(is_full=False, may_be_brief=True, is_urgent=True)

    def announce(self) -> None:
        """Send a heartbeat at once to VMs that aren't alive, or to gatherers.

        A VM that starts may only use the part of each rate that belongs
        to the VMs that are alive. When a whole fleet restarts, waiting
        for the next heartbeat would mean that callers are refused for a
        quarter of a second more.
        """
        if not self._gathering.is_direct:
            self._report(is_full=True, may_be_brief=False)
            return
        now = self._clock.now()
        heartbeat = self._writer.describe(False)
        for address in self._targets():
            if not self._vms.is_alive(address.vm, now):
                self._send_heartbeat(address, heartbeat, ())

    def forget(self, vm: str) -> None:
        """Drop the state of a VM that has left the fleet for good."""
        self._relay.forget(vm)
        self._wants_usages_by_vm.pop(vm, None)

    @Service.task
    async def _beat(self) -> None:
        await repeat(self, self._send_beat, HEARTBEAT_INTERVAL_S)

    async def _send_beat(self) -> None:
        self.beat()

    def beat(self) -> None:
        """Send a heartbeat and, from a gatherer, its digests."""
        self._log_missing(self._clock.now())
        beats = self._beats
        self._beats += 1
        is_full = beats % FULL_REPORT_EVERY == 0
        may_be_brief = beats % HEALTH_EVERY != 0
        self._update_role(self._gathering.gathers(self._clock.now()))
        if self._gathering.is_direct:
            self._send_to_all(is_full, may_be_brief)
            return
        self._report(is_full, may_be_brief)
        if self._vms.gathers:
            self._send_digests(may_be_brief, is_full)

    def _log_missing(self, now: float) -> None:
        """Log the listed VMs that aren't alive, each time they change."""
        missing = self._vms.missing(now)
        if missing != self._missing:
            log_event(
                "fleet-hearing",
                part=round(self._vms.part(now), 3),
                missing=len(missing),
                some_missing=missing[:_MAX_NAMES_LOGGED],
                cell_age_ms={
                    report.cell: report.age_ms
                    for report in self._vms.cells(now, float("inf"))
                },
                beat_s=round(now - self._last_beat_at, 3),
            )
        self._missing = missing
        self._last_beat_at = now

    def _update_role(self, gathers: bool) -> None:
        if gathers != self._vms.gathers and not self._gathering.is_direct:
            log_event("gathers", gathers=gathers, cell=self._gathering.cell)
        self._vms.gathers = gathers

    # Direct heartbeats ---------------------------------------------------

    def _send_to_all(self, is_full: bool, may_be_brief: bool) -> None:
        usages = self._ledger.take_report(is_full, self._clock.now())
        heartbeat = self._writer.describe(may_be_brief)
        for address in self._targets():
            self._send_heartbeat(address, heartbeat, usages)

    def _announce_to(self, address: VmAddress) -> None:
        self._send_heartbeat(address, self._writer.describe(False), ())

    def _targets(self) -> tuple[VmAddress, ...]:
        known = self._vms.addresses(self._local_vm.port)
        if known:
            return known
        return tuple(
            VmAddress("", ip, self._local_vm.port)
            for ip in self._local_vm.seeds
            if ip != self._local_vm.ip
        )

    # Heartbeats by way of gatherers --------------------------------------

    def _report(
        self, is_full: bool, may_be_brief: bool, is_urgent: bool = False
    ) -> None:
        """Send a heartbeat with usage counters to this VM's gatherers."""
        now = self._clock.now()
        usages = self._ledger.take_report(is_full, now)
        heartbeat = self._writer.describe(may_be_brief)
        if self._vms.gathers:
            self._relay.record(
                heartbeat.vm, heartbeat.boot, usages, is_own=True
            )
        gatherers = self._gathering.gatherers(now)
        for number, address in enumerate(gatherers):
            report = heartbeat._replace(
                wants_usages=number == 0 and not self._vms.gathers,
                is_urgent=is_urgent,
            )
            self._send_heartbeat(address, report, usages)
        self._gathering.note_sent((item.vm for item in gatherers), now)

    def _schedule_forward(self, to_other_cells: bool) -> None:
        """Forward urgent counters soon: to this cell's VMs, or to all cells.

        What another cell sent goes to this cell's VMs only. If it made this
        gatherer send its own to the other cells at once, these would answer
        in the same way, and the exchange would never end.
        """
        self._forwards_to_cells = self._forwards_to_cells or to_other_cells
        if self._forward_timer is None:
            call_later = self._call_later or get_running_loop().call_later
            self._forward_timer = call_later(
                FORWARD_DELAY_S, self._forward_counters
            )

    def _forward_counters(self) -> None:
        """Forward urgent counters, and nothing else."""
        self._forward_timer = None
        cell = self._gathering.cell
        if cell is None or not self._can_send:
            return
        now = self._clock.now()
        own = self._writer.describe(True)
        digest = self._digest_writer.build_counters_digest(own)
        if self._forwards_to_cells:
            self._forwards_to_cells = False
            other_gatherers = self._gathering.other_cell_gatherers(now)
            changed_own = self._relay.take_changed_own()
            self._send_digest(digest, other_gatherers, changed_own, now)
        readers = self._usage_readers(now)
        changed = self._relay.take_changed()
        self._send_digest(digest, readers, changed, now)

    def _send_digests(self, may_be_brief: bool, is_full: bool) -> None:
        """Send the cell's digest to other gatherers, the fleet's to VMs."""
        cell = self._gathering.cell
        if cell is None or not self._can_send:
            return
        now = self._clock.now()
        own = self._writer.describe(False)
        digest = self._digest_writer.build_cell_digest(
            own, cell, may_be_brief, now
        )
        digest = self._digest_writer.omit_sent_sets(digest, is_full)
        other_gatherers = self._gathering.other_cell_gatherers(now)
        counters = (
            *self._relay.take_changed_own(),
            *self._relay.next_repeated(),
        )
        self._send_digest(digest, other_gatherers, counters, now)
        self._gathering.note_sent((item.vm for item in other_gatherers), now)
        has_new_reader, self._has_new_reader = self._has_new_reader, False
        digest = self._digest_writer.build_fleet_digest(
            own, cell, may_be_brief, now
        )
        digest = self._digest_writer.omit_sent_sets(
            digest, is_full or has_new_reader
        )
        readers = self._usage_readers(now)
        changed = self._relay.take_changed()
        self._send_digest(digest, readers, changed, now)
        # The other VMs get the rest from another gatherer, until it fails.
        reporters = self._gathering.reporters(now)
        others = [item for item in reporters if item not in readers]
        self._send_digest(digest.without_health(), others, (), now)

    def _usage_readers(self, now: float) -> list[VmAddress]:
        return [
            item
            for item in self._gathering.reporters(now)
            if self._wants_usages_by_vm.get(item.vm)
        ]

    def _send_digest(
        self,
        digest: Digest,
        readers: Iterable[VmAddress],
        usages: Iterable[VmUsage],
        now: float,
    ) -> None:
        readers = tuple(readers)
        if not readers:
            return
        with_echoes = self._digest_writer.add_echoes(digest, readers, now)
        datagrams = tuple(pack_digests(with_echoes, tuple(usages)))
        for address in readers:
            for datagram in datagrams:
                self._transport.sendto(
                    datagram, (address.ip, self._local_vm.port)
                )

    # The socket ----------------------------------------------------------

    @property
    def _can_send(self) -> bool:
        """Whether the socket is open."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def _send_heartbeat(
        self,
        address: VmAddress,
        heartbeat: Heartbeat,
        usages: tuple[Usage, ...],
    ) -> None:
        if not self._can_send:
            return
        echo = self._vms.echo_for(address.vm, self._clock.now())
        with_echo = heartbeat._replace(echo=echo)
        for datagram in pack_heartbeats(with_echo, usages):
            self._transport.sendto(datagram, (address.ip, self._local_vm.port))

    def receive(self, datagram: bytes, ip: str) -> None:
        """Apply a datagram from another VM."""
        message = unpack(datagram, ip)
        if message is None:
            log_event("heartbeat-unreadable", size=len(datagram))
        elif isinstance(message, HeartbeatWithUsages):
            self._receive_heartbeat(message, ip)
        else:
            self._receive_digest(message)

    def _receive_heartbeat(
        self, message: HeartbeatWithUsages, ip: str
    ) -> None:
        heartbeat, usages = message
        now = self._clock.now()
        vm = heartbeat.vm
        is_new = not self._vms.is_alive(vm, now)
        self._vms.note(heartbeat, now)
        self._writer.take_samples(
            heartbeat.samples, heartbeat.earliest_sent_at()
        )
        changed = self._ledger.note_peer(vm, heartbeat.boot, usages, now)
        if self._gathering.is_direct:
            if is_new:
                self._announce_to(VmAddress(vm, ip, self._local_vm.port))
            return
        if vm not in self._wants_usages_by_vm:
            self._has_new_reader = True
        self._gathering.note_report(vm, now)
        self._relay.record(vm, heartbeat.boot, changed, is_own=True)
        self._wants_usages_by_vm[vm] = heartbeat.wants_usages
        if changed and heartbeat.is_urgent:
            self._schedule_forward(to_other_cells=True)

    def _receive_digest(self, digest: Digest) -> None:
        now = self._clock.now()
        if digest.vm == self._local_vm.vm:
            return
        self._vms.note_digest(digest, now)
        self._gathering.note_digest(digest.vm, now)
        echo = digest.echo_by_number.get(vm_number(self._local_vm.vm))
        earliest_sent_at = None if echo is None else echo.earliest_sent_at()
        self._writer.take_samples(digest.samples, earliest_sent_at)
        self._receive_usages(digest, now)

    def _receive_usages(self, digest: Digest, now: float) -> None:
        """Apply counters; a gatherer forwards those of other cells."""
        is_forwarded = self._vms.gathers and not digest.is_fleet
        has_changed = False
        for vm, boot, usages in digest.usages.iter_by_vm():
            changed = self._ledger.note_peer(
                vm, boot, usages, now, is_direct=False
            )
            if is_forwarded and changed:
                self._relay.record(vm, boot, changed, is_own=False)
                has_changed = True
        if has_changed and digest.is_urgent:
            self._schedule_forward(to_other_cells=False)


class _Receiver(DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, str], None]) -> None:
        self._on_datagram = receive

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._on_datagram(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        log_event("heartbeat-unsent", reason=type(exc).__name__)


def new_boot() -> int:
    """Return a number that is different for each start of this VM.

    It grows from start to start unless the clock goes back meanwhile
    (``redwingpost.rates.starts``).
    """
    return time_ns()
