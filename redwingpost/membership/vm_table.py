"""The VM table: listed VMs, their heartbeats and what they reach.

Heartbeats go from VM to VM; the list of VMs comes from the platform's
table service. A VM that is listed but sends no heartbeats may be dead or
cut off. As this VM can't tell which, it has to assume that the other one
goes on serving.

A VM is *alive* here if this VM has a fresh heartbeat from it, received
directly or through a gatherer's digest.
"""

from collections.abc import Mapping
from typing import NamedTuple

from redwingpost.membership.digests import DigestTable
from redwingpost.membership.heartbeat import (
    CellReport,
    Digest,
    Echo,
    Heartbeat,
    MergedHealth,
    PrimaryHealth,
    VmAddress,
    vm_number,
)

#: Seconds between heartbeats: with a quarter of a second a dead VM is
#: detected within a second, for about a kilobyte a second to each other VM.
HEARTBEAT_INTERVAL_S = 0.25

#: Seconds without a heartbeat after which a VM no longer counts as alive:
#: three lost datagrams in a row.
HEARTBEAT_TIMEOUT_S = 0.85

#: Seconds without a heartbeat after which a VM's last report may predate
#: an incident that has just begun: two lost datagrams in a row.
RECENT_HEARTBEAT_S = 0.6

#: Seconds without a heartbeat after which one is overdue, in a fleet whose
#: VMs send heartbeats to each other: a datagram is lost or late.
OVERDUE_HEARTBEAT_S = 0.45

#: Seconds without a heartbeat after which a VM is removed from the list:
#: far longer than a restart, so that a restarting VM stays listed.
REMOVE_AFTER_S = 20.0

#: Number of VMs assumed until the list has been read.
ASSUMED_VMS = 6

#: Seconds for which the set of alive VMs is cached: it is needed for every
#: operation, but changes only as datagrams arrive or fail to.
_CACHE_S = 0.05


class _ReceivedHeartbeat(NamedTuple):
    """The last heartbeat of a VM and when it was received (seconds)."""

    heartbeat: Heartbeat
    received_at: float


class VmTable:
    """One VM's table of all VMs that are listed or send heartbeats.

    Examples
    --------
    >>> table = VmTable("a", now=0.0)
    >>> table.set_listed((VmAddress("a", "ip1", 1), VmAddress("b", "ip2", 1)))
    >>> table.part(now=1.0)
    0.5
    >>> table.note(Heartbeat("b", 1, "ip2", 7, {}, 5, None, ()), now=1.0)
    >>> table.part(now=1.1)
    1.0
    """

    def __init__(self, vm: str, now: float) -> None:
        self._vm = vm
        self._number = vm_number(vm)
        self._started_at = now
        self._listed_by_vm: dict[str, VmAddress] = {}
        self._number_by_vm: dict[str, int] = {vm: self._number}
        self._sorted_vms: list[str] = [vm]
        self._received_by_vm: dict[str, _ReceivedHeartbeat] = {}
        self._digests = DigestTable()
        self._seen_at_by_number: dict[int, float] = {}
        self._alive_cache: dict[float, tuple[float, frozenset[int]]] = {}
        #: Whether any report received so far, fresh or not, has a stuck write.
        self._may_be_stuck = False
        self._count_cache: int | None = None
        self._has_list = False
        #: Increases each time the list of VMs is applied.
        self.list_version = 0
        self._lacked_half_at = now
        self._noted_half_at = now
        #: Whether this VM gathers. If so, reports on primaries come from
        #: heartbeats and other cells' digests, else from a fleet digest.
        self.gathers = False

    def set_listed(self, addresses: tuple[VmAddress, ...]) -> None:
        """Apply the list of VMs."""
        self._listed_by_vm = {address.vm: address for address in addresses}
        self._sorted_vms = sorted(self.known_vms())
        self._number_by_vm = {vm: vm_number(vm) for vm in self._sorted_vms}
        self._has_list = True
        self.list_version += 1
        self._alive_cache.clear()
        self._count_cache = None

    @property
    def has_list(self) -> bool:
        """Whether the list of VMs has been read."""
        return self._has_list

    def age_s(self, now: float) -> float:
        """Return the time since this VM's start (seconds)."""
        return now - self._started_at

    def is_listed(self, address: VmAddress) -> bool:
        """Return whether a VM is on the list with exactly this address."""
        return self._listed_by_vm.get(address.vm) == address

    def note(self, heartbeat: Heartbeat, now: float) -> None:
        """Store a heartbeat."""
        if heartbeat.vm == self._vm:
            return
        previous = self._received_by_vm.get(heartbeat.vm)
        if previous is None:
            self._count_cache = None
        if heartbeat.is_brief and previous is not None:
            health = previous.heartbeat.health_by_primary
            heartbeat = heartbeat._replace(health_by_primary=health)
        self._may_be_stuck |= _has_stuck(heartbeat.health_by_primary)
        self._received_by_vm[heartbeat.vm] = _ReceivedHeartbeat(heartbeat, now)
        self._note_alive(frozenset((vm_number(heartbeat.vm),)))

    def note_digest(self, digest: Digest, now: float) -> None:
        """Store a gatherer's digest of the fleet or of its cell."""
        if not digest.cells:
            return
        digest = self._digests.note(digest, now)
        self._may_be_stuck |= _has_stuck(digest.health_by_primary)
        count_before = len(self._seen_at_by_number)
        for report in digest.cells:
            seen_at = now - report.age_ms / 1000.0
            self._seen_at_by_number.update(dict.fromkeys(report.vms, seen_at))
        if len(self._seen_at_by_number) > count_before:
            self._count_cache = None
        for report in digest.cells:
            self._note_alive(report.vms)

    def _note_alive(self, numbers: frozenset[int]) -> None:
        """Discard the cached sets of alive VMs that lack one of these.

        The others stay valid: nearly all datagrams come from VMs that are
        alive already, and a gatherer receives hundreds a second.
        """
        for within_s, (_, alive) in tuple(self._alive_cache.items()):
            if not numbers - {self._number} <= alive:
                del self._alive_cache[within_s]

    def echo_for(self, vm: str, now: float) -> Echo | None:
        """Return a VM's clock as last received from it."""
        clock = self._digests.latest_clock(vm)
        received = self._received_by_vm.get(vm)
        if received is not None and (
            clock is None or clock[1] < received.received_at
        ):
            clock = (received.heartbeat.clock_ms, received.received_at)
        if clock is None:
            return None
        return Echo(clock[0], int((now - clock[1]) * 1000))

    def reached_elsewhere_s(self, primary: str, now: float) -> float:
        """Return the time since a primary last answered another VM."""
        reports = self._health_of(primary, now, float("inf"))
        return min(
            (age_s + health.silent_ms / 1000.0 for age_s, health in reports),
            default=float("inf"),
        )

    def health_of(
        self, primary: str, now: float, within_s: float = HEARTBEAT_TIMEOUT_S
    ) -> tuple[MergedHealth, ...]:
        """Return the other VMs' reports on a primary, each VM in one."""
        reports = self._health_of(primary, now, within_s)
        return tuple(health for _, health in reports)

    def is_any_write_stuck(self, now: float) -> bool:
        """Return whether an alive VM reports an unanswered write."""
        if not self._may_be_stuck:
            return False
        if self._is_any_fresh_stuck(now):
            return True
        self._may_be_stuck = any(
            map(_has_stuck, self._digests.all_health())
        ) or any(
            _has_stuck(received.heartbeat.health_by_primary)
            for received in self._received_by_vm.values()
        )
        return False

    def _is_any_fresh_stuck(self, now: float) -> bool:
        reports = [
            heartbeat.health_by_primary
            for heartbeat in self.fresh_heartbeats(now)
        ]
        for is_fleet in (True, False):
            for _, health_by_primary in self._digests.health_reports(
                now, HEARTBEAT_TIMEOUT_S, is_fleet
            ):
                reports.append(health_by_primary)
        return any(map(_has_stuck, reports))

    def fresh_heartbeats(
        self, now: float, within_s: float = HEARTBEAT_TIMEOUT_S
    ) -> tuple[Heartbeat, ...]:
        """Return the other VMs' heartbeats that are not too old."""
        return tuple(
            received.heartbeat
            for received in self._received_by_vm.values()
            if now - received.received_at <= within_s
        )

    def cells(
        self, now: float, within_s: float = HEARTBEAT_TIMEOUT_S
    ) -> tuple[CellReport, ...]:
        """Return the fresh reports on the fleet's cells."""
        return self._digests.cells(now, within_s)

    def cell_reports(
        self, now: float, within_s: float
    ) -> tuple[CellReport, ...]:
        """Return the fresh reports on cells, with their own ages."""
        return self._digests.reports(now, within_s)

    def health_of_other_cells(
        self, now: float, within_s: float = HEARTBEAT_TIMEOUT_S
    ) -> tuple[tuple[float, dict[str, MergedHealth]], ...]:
        """Return the other cells' reports on primaries, with their ages."""
        return tuple(
            self._digests.health_reports(now, within_s, is_fleet=False)
        )

    def alive_numbers(
        self, now: float, within_s: float = HEARTBEAT_TIMEOUT_S
    ) -> frozenset[int]:
        """Return the numbers of the other VMs that are alive."""
        cached = self._alive_cache.get(within_s)
        if cached is not None and 0.0 <= now - cached[0] <= _CACHE_S:
            return cached[1]
        numbers = {
            vm_number(heartbeat.vm)
            for heartbeat in self.fresh_heartbeats(now, within_s)
        }
        for report in self.cells(now, within_s):
            numbers |= report.vms
        numbers.discard(self._number)
        alive = frozenset(numbers)
        self._alive_cache[within_s] = (now, alive)
        return alive

    def alive_addresses(
        self, now: float, within_s: float
    ) -> tuple[VmAddress, ...]:
        """Return the listed VMs that are alive, this one included.

        Right after this VM's start all others count as alive.
        """
        return tuple(
            address
            for vm, address in self._listed_by_vm.items()
            if vm == self._vm or now - self._last_seen_at(vm) <= within_s
        )

    def listed_addresses(self) -> tuple[VmAddress, ...]:
        """Return the listed VMs."""
        return tuple(self._listed_by_vm.values())

    def is_alive(self, vm: str, now: float) -> bool:
        """Return whether a VM is alive."""
        return vm_number(vm) in self.alive_numbers(now)

    def known_vms(self) -> frozenset[str]:
        """Return all VMs that may be serving, this one included."""
        return frozenset(self._listed_by_vm) | {self._vm}

    def count(self) -> int:
        """Return the number of VMs, as far as known."""
        if self._count_cache is None:
            self._count_cache = self._count()
        return self._count_cache

    def _count(self) -> int:
        numbers = set(self._seen_at_by_number)
        numbers.update(map(vm_number, self._received_by_vm))
        numbers.add(self._number)
        if not self._has_list:
            return max(ASSUMED_VMS, len(numbers))
        return len(numbers.union(self._number_by_vm.values()))

    def missing(self, now: float) -> tuple[str, ...]:
        """Return the listed VMs that are not alive."""
        alive = self.alive_numbers(now) | {self._number}
        return tuple(
            vm
            for vm, number in self._number_by_vm.items()
            if number not in alive
        )

    def part(self, now: float, within_s: float = HEARTBEAT_TIMEOUT_S) -> float:
        """Return the fraction of all VMs that are alive (0 to 1)."""
        return (1 + len(self.alive_numbers(now, within_s))) / self.count()

    def hears_half(
        self, now: float, within_s: float = HEARTBEAT_TIMEOUT_S
    ) -> bool:
        """Return whether at least half of the VMs are alive."""
        alive = 1 + len(self.alive_numbers(now, within_s))
        return 2 * alive >= self.count()

    def note_hears_half(self, now: float) -> None:
        """Note whether at least half of the VMs are alive now.

        Between two calls that are far apart this VM was suspended, and heard
        nobody: heartbeats that it reads now may be old.
        """
        was_suspended = now - self._noted_half_at > HEARTBEAT_TIMEOUT_S
        self._noted_half_at = now
        if was_suspended or not self.hears_half(now):
            self._lacked_half_at = now

    def heard_half_s(self, now: float) -> float:
        """Return for how long at least half of the VMs were alive (s)."""
        self.note_hears_half(now)
        return now - self._lacked_half_at

    def newest_configuration(self, now: float) -> tuple[int, tuple[str, ...]]:
        """Return the newest version at other VMs, and the IPs of these."""
        versions = {
            (item.config_version, item.ip)
            for item in self.fresh_heartbeats(now)
        }
        versions.update(
            (report.config_version, report.config_ip)
            for report in self.cells(now)
        )
        newest = max((version for version, _ in versions), default=0)
        ips = (ip for version, ip in versions if version == newest)
        return newest, tuple(sorted(ips))

    def silent_vms(self, now: float) -> tuple[str, ...]:
        """Return the listed VMs to remove, silent for too long."""
        return tuple(
            vm
            for vm in self._listed_by_vm
            if vm != self._vm and now - self._last_seen_at(vm) > REMOVE_AFTER_S
        )

    def forget_long_silent(self, now: float) -> tuple[str, ...]:
        """Forget unlisted VMs that are silent for too long; return them."""
        self._count_cache = None
        listed = set(self._number_by_vm.values())
        for number, seen_at in tuple(self._seen_at_by_number.items()):
            if number not in listed and now - seen_at > REMOVE_AFTER_S:
                del self._seen_at_by_number[number]
        self._digests.forget(now, REMOVE_AFTER_S)
        gone = tuple(
            vm
            for vm, received in self._received_by_vm.items()
            if vm not in self._listed_by_vm
            and now - received.received_at > REMOVE_AFTER_S
        )
        for vm in gone:
            del self._received_by_vm[vm]
        return gone

    def rank(
        self, subject: str, now: float, among: frozenset[str] | None = None
    ) -> int:
        """Return this VM's rank in the order in which VMs act on a subject.

        Without an order all VMs would act at once. The order differs by
        subject. VMs that aren't alive are left out: otherwise those of a
        data centre that is cut off would delay all others by 0.4 s each.

        Parameters
        ----------
        subject : str
            What to act on, as a group's name.
        now : float
            Seconds.
        among : frozenset of str, optional
            The VMs that act, besides this one; by default all.
        """
        vms = self._sorted_vms
        first = -sum(subject.encode()) % len(vms)
        rotated = vms[first:] + vms[:first]
        before = rotated[: rotated.index(self._vm)]
        if among is not None:
            before = [vm for vm in before if vm in among]
        alive = self.alive_numbers(now, RECENT_HEARTBEAT_S)
        return sum(self._number_by_vm[vm] in alive for vm in before)

    def addresses(self, port: int) -> tuple[VmAddress, ...]:
        """Return where to send heartbeats to.

        Unlisted VMs that sent heartbeats count besides the listed ones.
        """
        by_vm = {
            vm: VmAddress(vm, received.heartbeat.ip, port)
            for vm, received in self._received_by_vm.items()
        }
        by_vm.update(self._listed_by_vm)
        by_vm.pop(self._vm, None)
        return tuple(by_vm.values())

    def _health_of(
        self, primary: str, now: float, within_s: float
    ) -> list[tuple[float, MergedHealth]]:
        """Return reports on a primary and their ages (seconds)."""
        if not self.gathers:
            of_fleet = self._digest_health(primary, now, within_s, True)
            if of_fleet:
                return of_fleet
        own_reports = [
            (now - received.received_at, MergedHealth.of_one(health))
            for received in self._received_by_vm.values()
            if now - received.received_at <= within_s
            and (health := received.heartbeat.health_by_primary.get(primary))
        ]
        return own_reports + self._digest_health(primary, now, within_s, False)

    def _digest_health(
        self, primary: str, now: float, within_s: float, is_fleet: bool
    ) -> list[tuple[float, MergedHealth]]:
        return [
            (age_s, health_by_primary[primary])
            for age_s, health_by_primary in self._digests.health_reports(
                now, within_s, is_fleet
            )
            if primary in health_by_primary
        ]

    def _last_seen_at(self, vm: str) -> float:
        """Return when a VM was last known to be alive (seconds).

        Either by a heartbeat of its own or by a gatherer's report.
        """
        seen_at = self._seen_at_by_number.get(vm_number(vm), self._started_at)
        received = self._received_by_vm.get(vm)
        return (
            seen_at if received is None else max(seen_at, received.received_at)
        )


def _has_stuck(
    health_by_primary: Mapping[str, PrimaryHealth | MergedHealth],
) -> bool:
    """Return whether a report has an unanswered write."""
    return any(health.stuck_ms for health in health_by_primary.values())
