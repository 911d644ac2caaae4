"""Heartbeats between VMs: who is there, what was used, what is reached.

Small fleets tell each to each; in larger ones VMs report to gatherers
(``redwingpost.membership.gathering``), which tell each other and them.
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

#: Heartbeats after which all counters are sent rather than those that
#: changed: a VM that came late, or lost datagrams, is complete again
#: within this many.
FULL_EVERY = 10

#: Heartbeats after which the health of primaries is sent although nothing
#: is wrong with any: it is three quarters of a heartbeat, and samples,
#: which travel with it, serve for a second and more.
HEALTH_EVERY = 2

#: Names of missing VMs in one line of the log.
_NAMES_LOGGED = 4

#: Seconds for which a gatherer lets urgent counters gather before it
#: passes them on. Over two gatherers they are at every VM after twice
#: this and the way; each admission by itself would be a datagram to every
#: VM of a cell.
PASS_ON_S = 0.03


class Writer(Protocol):
    """Says what this VM's heartbeats hold."""

    def describe(self, may_be_brief: bool) -> Heartbeat:
        """Return this VM's heartbeat."""

    def take_samples(
        self, samples: tuple[SharedSample, ...], left_at: float | None
    ) -> None:
        """Take in another VM's samples."""


class Here(NamedTuple):
    """This VM, and where its heartbeats arrive: one port at all VMs.

    ``seeds`` are addresses to try while no list could be read.
    """

    vm: str
    ip: str
    port: int
    seeds: tuple[str, ...] = ()


class Heartbeats(Service):
    """Sends and takes in heartbeats.

    Parameters
    ----------
    vms : VmTable
        Gets what is heard.
    ledger : UsageLedger
        Counters to send and to take in.
    gathering : Gathering
        Says whom this VM tells what.
    writer : Writer
        Says what heartbeats hold.
    clock : Clock
        For the time of hearing.
    here : Here
        Where heartbeats arrive.
    call_later : callable, optional
        Calls a function after some seconds; that of the running loop where
        left out.
    """

    def __init__(
        self,
        vms: VmTable,
        ledger: UsageLedger,
        gathering: Gathering,
        writer: Writer,
        clock: Clock,
        here: Here,
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
        self._here = here
        self._digests = DigestWriter(vms)
        self._relay = UsageRelay()
        self._wanting: dict[str, bool] = {}
        self._has_new_reader = False
        self._passing_on: TimerHandle | None = None
        self._transport: DatagramTransport | None = None
        self._beats = 0
        self._beat_at = clock.now()
        self._missing: tuple[str, ...] = ()

    def use(self, transport: DatagramTransport) -> None:
        """Send through a transport that is open already."""
        self._transport = transport

    async def on_start(self) -> None:
        """Open the socket."""
        loop = get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self.take_in),
            local_addr=(self._here.ip, self._here.port),
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._passing_on is not None:
            self._passing_on.cancel()
        if self._transport is not None:
            self._transport.close()

    def report_if_due(self, organisation: str) -> None:
        """Tell the others at once where much was admitted."""
        if not self._ledger.is_report_due(organisation):
            return
        if self._gathering.is_direct:
            self._tell_each(everything=False, may_be_brief=True)
            return
        now = self._clock.now()
        if self._gathering.gathers(now):
            self._pass_on_soon()
        self._report(everything=False, may_be_brief=True, is_urgent=True)

    def greet(self) -> None:
        """Send a heartbeat at once to listed VMs that aren't heard.

        A VM that starts uses the part of each rate that the VMs in
        hearing make up. When a whole fleet starts again, waiting for the
        next heartbeats refuses callers for a quarter of a second more.
        """
        if not self._gathering.is_direct:
            self._report(everything=True, may_be_brief=False)
            return
        now = self._clock.now()
        for address in self._targets():
            if not self._vms.is_alive(address.vm, now):
                self._greet_one(address)

    def forget(self, vm: str) -> None:
        """Drop what is kept of a VM that is gone for good."""
        self._relay.forget(vm)
        self._wanting.pop(vm, None)

    @Service.task
    async def _beat(self) -> None:
        await repeat(self, self._send_beat, HEARTBEAT_INTERVAL_S)

    async def _send_beat(self) -> None:
        self.beat()

    def beat(self) -> None:
        """Send what is due with one heartbeat."""
        self._log_hearing(self._clock.now())
        beats = self._beats
        self._beats += 1
        everything = beats % FULL_EVERY == 0
        may_be_brief = beats % HEALTH_EVERY != 0
        self._note_role(self._gathering.gathers(self._clock.now()))
        if self._gathering.is_direct:
            self._tell_each(everything, may_be_brief)
            return
        self._report(everything, may_be_brief)
        if self._vms.gathers:
            self._pass_on(may_be_brief, everything)

    def _log_hearing(self, now: float) -> None:
        """Log each change of which VMs are in hearing."""
        missing = self._vms.missing(now)
        if missing != self._missing:
            log_event(
                "fleet-hearing",
                part=round(self._vms.part(now), 3),
                missing=len(missing),
                some_missing=missing[:_NAMES_LOGGED],
                cell_age_ms={
                    report.cell: report.age_ms
                    for report in self._vms.cells(now, float("inf"))
                },
                beat_s=round(now - self._beat_at, 3),
            )
        self._missing = missing
        self._beat_at = now

    def _note_role(self, gathers: bool) -> None:
        if gathers != self._vms.gathers and not self._gathering.is_direct:
            log_event("gathers", gathers=gathers, cell=self._gathering.cell)
        self._vms.gathers = gathers

    # Each to each --------------------------------------------------------

    def _tell_each(self, everything: bool, may_be_brief: bool) -> None:
        usages = self._ledger.take_report(everything, self._clock.now())
        heartbeat = self._writer.describe(may_be_brief)
        for address in self._targets():
            self._send_heartbeat(address, heartbeat, usages)

    def _greet_one(self, address: VmAddress) -> None:
        self._send_heartbeat(address, self._writer.describe(False), ())

    def _targets(self) -> tuple[VmAddress, ...]:
        known = self._vms.addresses(self._here.port)
        if known:
            return known
        return tuple(
            VmAddress("", ip, self._here.port)
            for ip in self._here.seeds
            if ip != self._here.ip
        )

    # By gatherers --------------------------------------------------------

    def _report(
        self, everything: bool, may_be_brief: bool, is_urgent: bool = False
    ) -> None:
        """Tell this VM's gatherers how it does and what it has used."""
        now = self._clock.now()
        usages = self._ledger.take_report(everything, now)
        heartbeat = self._writer.describe(may_be_brief)
        if self._vms.gathers:
            self._relay.record(
                heartbeat.vm, heartbeat.boot, usages, is_own=True
            )
        gatherers = self._gathering.gatherers(now)
        for number, address in enumerate(gatherers):
            told = heartbeat._replace(
                wants_usages=number == 0 and not self._vms.gathers,
                is_urgent=is_urgent,
            )
            self._send_heartbeat(address, told, usages)
        self._gathering.note_sent((item.vm for item in gatherers), now)

    def _pass_on_soon(self) -> None:
        if self._passing_on is None:
            call_later = self._call_later or get_running_loop().call_later
            self._passing_on = call_later(PASS_ON_S, self._pass_on_now)

    def _pass_on_now(self) -> None:
        """Pass on counters that others need soon, and nothing else."""
        self._passing_on = None
        cell = self._gathering.cell
        if cell is None or not self._can_send:
            return
        now = self._clock.now()
        own = self._writer.describe(True)
        digest = self._digests.of_counters(own)
        news = self._relay.take_changed()
        far = self._gathering.other_cell_gatherers(now)
        self._send_digest(digest, far, self._relay.select_own_cell(news), now)
        readers = self._wanting_readers(now)
        self._send_digest(digest, readers, news, now)

    def _pass_on(self, may_be_brief: bool, everything: bool) -> None:
        """Tell other gatherers of this cell, and its VMs of all."""
        cell = self._gathering.cell
        if cell is None or not self._can_send:
            return
        now = self._clock.now()
        own = self._writer.describe(False)
        news = self._relay.take_changed()
        digest = self._digests.of_cell(own, cell, may_be_brief, now)
        digest = self._digests.leave_out_known(digest, everything)
        far = self._gathering.other_cell_gatherers(now)
        counters = (
            *self._relay.select_own_cell(news),
            *self._relay.next_repeated(),
        )
        self._send_digest(digest, far, counters, now)
        self._gathering.note_sent((item.vm for item in far), now)
        has_new, self._has_new_reader = self._has_new_reader, False
        digest = self._digests.of_fleet(own, cell, may_be_brief, now)
        digest = self._digests.leave_out_known(digest, everything or has_new)
        readers = self._wanting_readers(now)
        self._send_digest(digest, readers, news, now)
        # The others have the rest from another gatherer, until it dies.
        reporters = self._gathering.reporters(now)
        others = [item for item in reporters if item not in readers]
        self._send_digest(digest.without_health(), others, (), now)

    def _wanting_readers(self, now: float) -> list[VmAddress]:
        return [
            item
            for item in self._gathering.reporters(now)
            if self._wanting.get(item.vm)
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
        told = self._digests.for_readers(digest, readers, now)
        datagrams = tuple(pack_digests(told, tuple(usages)))
        for address in readers:
            for datagram in datagrams:
                self._transport.sendto(datagram, (address.ip, self._here.port))

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
        told = heartbeat._replace(echo=echo)
        for datagram in pack_heartbeats(told, usages):
            self._transport.sendto(datagram, (address.ip, self._here.port))

    def take_in(self, datagram: bytes, ip: str) -> None:
        """Take in a datagram from another VM."""
        message = unpack(datagram, ip)
        if message is None:
            log_event("heartbeat-unreadable", size=len(datagram))
        elif isinstance(message, HeartbeatWithUsages):
            self._take_heartbeat(message, ip)
        else:
            self._take_digest(message)

    def _take_heartbeat(self, message: HeartbeatWithUsages, ip: str) -> None:
        heartbeat, usages = message
        now = self._clock.now()
        vm = heartbeat.vm
        is_new = not self._vms.is_alive(vm, now)
        self._vms.note(heartbeat, now)
        self._writer.take_samples(
            heartbeat.samples, heartbeat.earliest_sent_at()
        )
        news = self._ledger.note_peer(vm, heartbeat.boot, usages, now)
        if self._gathering.is_direct:
            if is_new:
                self._greet_one(VmAddress(vm, ip, self._here.port))
            return
        if vm not in self._wanting:
            self._has_new_reader = True
        self._gathering.note_report(vm, now)
        self._relay.record(vm, heartbeat.boot, news, is_own=True)
        self._wanting[vm] = heartbeat.wants_usages
        if news and heartbeat.is_urgent:
            self._pass_on_soon()

    def _take_digest(self, digest: Digest) -> None:
        now = self._clock.now()
        if digest.vm == self._here.vm:
            return
        self._vms.note_digest(digest, now)
        self._gathering.note_digest(digest.vm, now)
        echo = digest.echo_by_number.get(vm_number(self._here.vm))
        left_at = None if echo is None else echo.earliest_sent_at()
        self._writer.take_samples(digest.samples, left_at)
        self._take_usages(digest, now)

    def _take_usages(self, digest: Digest, now: float) -> None:
        """Take in counters; a gatherer passes on those of other cells."""
        relays = self._vms.gathers and not digest.is_fleet
        is_news = False
        for item in digest.usages.iter_usages():
            news = self._ledger.note_peer(
                item.vm, item.boot, (item.usage,), now
            )
            if relays and news:
                self._relay.record(item.vm, item.boot, news, is_own=False)
                is_news = True
        if is_news and digest.is_urgent:
            self._pass_on_soon()


class _Receiver(DatagramProtocol):
    def __init__(self, take_in: Callable[[bytes, str], None]) -> None:
        self._take_in = take_in

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._take_in(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        log_event("heartbeat-unsent", reason=type(exc).__name__)


def new_boot() -> int:
    """Return a number that tells this start from others of this VM."""
    return time_ns()
