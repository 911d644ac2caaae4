"""Heartbeats between VMs: who is there, what was used, what is reached."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections.abc import Callable
from time import time_ns
from typing import Any

from mode import Service

from redwingpost.membership.hearing import (
    BEAT_S,
    Heartbeat,
    VmAddress,
    VmTable,
)
from redwingpost.node.steps import repeat
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.rates.usage import Usage, UsageLedger
from redwingpost.wire.heartbeat import pack_heartbeat, unpack_heartbeat

#: Heartbeats after which all counters are sent rather than those that
#: changed: a VM that came late, or lost datagrams, is complete again
#: within this many.
FULL_EVERY = 10

#: Heartbeats after which the health of primaries is sent although nothing
#: is wrong with any: they are three quarters of a heartbeat, and samples,
#: which travel with them, serve for a second and more.
HEALTH_EVERY = 2


class Heartbeats(Service):
    """Sends and takes in heartbeats.

    Parameters
    ----------
    vms : VmTable
        Gets what is heard.
    ledger : UsageLedger
        Counters to send and to take in.
    describe : callable
        Returns this VM's heartbeat; gets whether it may be brief.
    clock : Clock
        For the time of hearing.
    ip, port : str, int
        Where heartbeats arrive; the port is the same at all VMs.
    seeds : tuple of str
        Addresses to try while no list could be read.
    on_heartbeat : callable
        Gets each heartbeat.
    """

    def __init__(
        self,
        vms: VmTable,
        ledger: UsageLedger,
        describe: Callable[[bool], Heartbeat],
        clock: Clock,
        ip: str,
        port: int,
        seeds: tuple[str, ...],
        on_heartbeat: Callable[[Heartbeat], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._vms = vms
        self._ledger = ledger
        self._describe = describe
        self._clock = clock
        self._ip = ip
        self._port = port
        self._seeds = seeds
        self._on_heartbeat = on_heartbeat
        self._transport: DatagramTransport | None = None
        self._beats = 0

    async def on_start(self) -> None:
        """Open the socket."""
        loop = get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._take_in), local_addr=(self._ip, self._port)
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def report_if_due(self, organisation: str) -> None:
        """Tell the others at once where much was admitted."""
        if self._ledger.is_report_due(organisation):
            self._send(everything=False, may_be_brief=True)

    def greet(self) -> None:
        """Send a heartbeat at once to listed VMs that aren't heard.

        A VM that starts uses the part of each rate that the VMs in
        hearing make up. When a whole fleet starts again, waiting for the
        next heartbeats refuses callers for a quarter of a second more.
        """
        now = self._clock.now()
        for address in self._targets():
            if not self._vms.is_heard(address.vm, now):
                self._greet_one(address)

    @property
    def _can_send(self) -> bool:
        """Whether the socket is open."""
        transport = self._transport
        return transport is not None and not transport.is_closing()

    def _greet_one(self, address: VmAddress) -> None:
        if not self._can_send:
            return
        self._send_to(address, self._describe(False), ())

    @Service.task
    async def _beat(self) -> None:
        await repeat(self, self._send_beat, BEAT_S)

    async def _send_beat(self) -> None:
        beats = self._beats
        self._beats += 1
        self._send(
            everything=beats % FULL_EVERY == 0,
            may_be_brief=beats % HEALTH_EVERY != 0,
        )

    def _send(self, everything: bool, may_be_brief: bool) -> None:
        if not self._can_send:
            return
        usages = self._ledger.take_report(everything, self._clock.now())
        heartbeat = self._describe(may_be_brief)
        for address in self._targets():
            self._send_to(address, heartbeat, usages)

    def _send_to(
        self,
        address: VmAddress,
        heartbeat: Heartbeat,
        usages: tuple[Usage, ...],
    ) -> None:
        echo = self._vms.echo_for(address.vm, self._clock.now())
        datagram = pack_heartbeat(heartbeat._replace(echo=echo), usages)
        self._transport.sendto(datagram, (address.ip, self._port))

    def _targets(self) -> tuple[VmAddress, ...]:
        known = self._vms.addresses(self._port)
        if known:
            return known
        return tuple(
            VmAddress("", ip, self._port)
            for ip in self._seeds
            if ip != self._ip
        )

    def _take_in(self, datagram: bytes, ip: str) -> None:
        unpacked = unpack_heartbeat(datagram, ip)
        if unpacked is None:
            log_event("heartbeat-unreadable", size=len(datagram))
            return
        heartbeat, usages = unpacked
        now = self._clock.now()
        is_new = not self._vms.is_heard(heartbeat.vm, now)
        self._vms.note(heartbeat, now)
        if is_new:
            self._greet_one(VmAddress(heartbeat.vm, ip, self._port))
        self._on_heartbeat(heartbeat)
        self._ledger.note_peer(heartbeat.vm, heartbeat.boot, usages, now)


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
