"""Which VMs there are, which of them are heard, and what they reach.

Heartbeats go from VM to VM; the list of VMs comes from the platform's
table service. A VM that is listed but not heard may be dead or cut off:
whoever can't tell must assume that it goes on working.
"""

from typing import NamedTuple

from redwingpost.membership.digests import DigestTable
from redwingpost.membership.heartbeat import (
    CellReport,
    Digest,
    Echo,
    Heartbeat,
    MergedHealth,
    VmAddress,
    vm_number,
)

#: Seconds between heartbeats: a quarter of a second finds a dead VM within
#: a second and costs about a kilobyte a second to each other VM.
BEAT_S = 0.25

#: Seconds without a heartbeat after which a VM isn't heard: three lost
#: datagrams in a row.
HEARD_S = 0.85

#: Seconds without a heartbeat after which a VM's last report may be from
#: before whatever happens just now: two lost datagrams in a row.
LATELY_S = 0.6

#: Seconds after which a VM that nobody hears is taken off the list: far
#: above a restart, so that its place is kept meanwhile.
REMOVE_AFTER_S = 20.0

#: VMs assumed while no list has been read.
ASSUMED_VMS = 6

#: Seconds for which the set of VMs in hearing is kept: it is asked for with
#: every operation, and changes with datagrams.
_CACHE_S = 0.05


class Hearing(NamedTuple):
    """The last heartbeat of a VM and when it came (seconds)."""

    heartbeat: Heartbeat
    heard_at: float


class VmTable:
    """Listed and heard VMs, as one VM sees them.

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
        self._ordered: list[str] = [vm]
        self._hearing_by_vm: dict[str, Hearing] = {}
        self._digests = DigestTable()
        self._seen_at_by_number: dict[int, float] = {}
        self._heard_cache: dict[float, tuple[float, frozenset[int]]] = {}
        self._has_list = False
        self._lacked_half_at = now
        #: Whether this VM gathers: then what its own VMs say counts besides
        #: the digests of the other cells; else the digest of the fleet.
        self.gathers = False

    def set_listed(self, addresses: tuple[VmAddress, ...]) -> None:
        """Take in the list of VMs."""
        self._listed_by_vm = {address.vm: address for address in addresses}
        self._ordered = sorted(self.known())
        self._number_by_vm = {vm: vm_number(vm) for vm in self._ordered}
        self._has_list = True
        self._heard_cache.clear()

    @property
    def has_list(self) -> bool:
        """Return whether the list of VMs was read."""
        return self._has_list

    def is_listed(self, address: VmAddress) -> bool:
        """Say whether a VM is on the list with just this address."""
        return self._listed_by_vm.get(address.vm) == address

    def note(self, heartbeat: Heartbeat, now: float) -> None:
        """Take in a heartbeat."""
        if heartbeat.vm == self._vm:
            return
        known = self._hearing_by_vm.get(heartbeat.vm)
        if heartbeat.is_brief and known is not None:
            health = known.heartbeat.health_by_primary
            heartbeat = heartbeat._replace(health_by_primary=health)
        self._hearing_by_vm[heartbeat.vm] = Hearing(heartbeat, now)
        self._heard_cache.clear()

    def note_digest(self, digest: Digest, now: float) -> None:
        """Take in what a gatherer tells of the fleet or of its cell."""
        if not digest.cells:
            return
        digest = self._digests.note(digest, now)
        for report in digest.cells:
            seen_at = now - report.age_ms / 1000.0
            for number in report.vms:
                self._seen_at_by_number[number] = seen_at
        self._heard_cache.clear()

    def echo_for(self, vm: str, now: float) -> Echo | None:
        """Return a VM's clock as last heard from it."""
        clock = self._digests.clock_of(vm)
        hearing = self._hearing_by_vm.get(vm)
        if hearing is not None and (
            clock is None or clock[1] < hearing.heard_at
        ):
            clock = (hearing.heartbeat.clock_ms, hearing.heard_at)
        if clock is None:
            return None
        return Echo(clock[0], int((now - clock[1]) * 1000))

    def reached_elsewhere_s(self, primary: str, now: float) -> float:
        """Return how long ago another VM had an answer of a primary."""
        reports = self._health_of(primary, now, float("inf"))
        return min(
            (age_s + health.silent_ms / 1000.0 for age_s, health in reports),
            default=float("inf"),
        )

    def health_of(
        self, primary: str, now: float, within_s: float = HEARD_S
    ) -> tuple[MergedHealth, ...]:
        """Return what the other VMs say of a primary, each VM once."""
        reports = self._health_of(primary, now, within_s)
        return tuple(health for _, health in reports)

    def is_any_write_stuck(self, now: float) -> bool:
        """Say whether writes wait in vain at some VM in hearing."""
        reports = [
            health
            for heartbeat in self.heard(now)
            for health in heartbeat.health_by_primary.values()
        ]
        for is_fleet in (True, False):
            for _, told in self._digests.healths(now, HEARD_S, is_fleet):
                reports.extend(told.values())
        return any(report.stuck_ms for report in reports)

    def heard(
        self, now: float, within_s: float = HEARD_S
    ) -> tuple[Heartbeat, ...]:
        """Return the heartbeats that are fresh."""
        return tuple(
            hearing.heartbeat
            for hearing in self._hearing_by_vm.values()
            if now - hearing.heard_at <= within_s
        )

    def cells(
        self, now: float, within_s: float = HEARD_S
    ) -> tuple[CellReport, ...]:
        """Return what gatherers told of the fleet's cells."""
        return self._digests.cells(now, within_s)

    def told_by_cells(
        self, now: float, within_s: float = HEARD_S
    ) -> tuple[tuple[float, dict[str, MergedHealth]], ...]:
        """Return what the other cells say of primaries, and their ages."""
        return tuple(self._digests.healths(now, within_s, is_fleet=False))

    def heard_numbers(
        self, now: float, within_s: float = HEARD_S
    ) -> frozenset[int]:
        """Return the numbers of the other VMs in hearing, relayed or not."""
        cached = self._heard_cache.get(within_s)
        if cached is not None and 0.0 <= now - cached[0] <= _CACHE_S:
            return cached[1]
        numbers = {
            vm_number(heartbeat.vm) for heartbeat in self.heard(now, within_s)
        }
        for report in self.cells(now, within_s):
            numbers |= report.vms
        numbers.discard(self._number)
        found = frozenset(numbers)
        self._heard_cache[within_s] = (now, found)
        return found

    def at_work(self, now: float, within_s: float) -> tuple[VmAddress, ...]:
        """Return the listed VMs that were heard, and this one.

        Right after this VM's start all others count as heard.
        """
        return tuple(
            address
            for vm, address in self._listed_by_vm.items()
            if vm == self._vm or now - self._last(vm) <= within_s
        )

    def is_heard(self, vm: str, now: float) -> bool:
        """Say whether a VM is in hearing."""
        return vm_number(vm) in self.heard_numbers(now)

    def known(self) -> frozenset[str]:
        """Return all VMs that may be at work, this one included."""
        return frozenset(self._listed_by_vm) | {self._vm}

    def count(self) -> int:
        """Return how many VMs there are, as far as known."""
        numbers = set(self._seen_at_by_number)
        numbers.update(map(vm_number, self._hearing_by_vm))
        numbers.add(self._number)
        if not self._has_list:
            return max(ASSUMED_VMS, len(numbers))
        return len(numbers.union(self._number_by_vm.values()))

    def missing(self, now: float) -> tuple[str, ...]:
        """Return the listed VMs that are not in hearing."""
        heard = self.heard_numbers(now) | {self._number}
        return tuple(
            vm
            for vm, number in self._number_by_vm.items()
            if number not in heard
        )

    def part(self, now: float) -> float:
        """Return the part of all VMs that hear each other (0 to 1)."""
        return (1 + len(self.heard_numbers(now))) / self.count()

    def hears_half(self, now: float, within_s: float = HEARD_S) -> bool:
        """Say whether at least half of the VMs are in hearing."""
        heard = 1 + len(self.heard_numbers(now, within_s))
        return 2 * heard >= self.count()

    def note_hearing(self, now: float) -> None:
        """Note whether at least half of the VMs are in hearing now."""
        if not self.hears_half(now):
            self._lacked_half_at = now

    def heard_half_s(self, now: float) -> float:
        """Return for how long at least half have been in hearing (seconds)."""
        self.note_hearing(now)
        return now - self._lacked_half_at

    def newest_configuration(self, now: float) -> tuple[int, str]:
        """Return the newest version that others have, and where."""
        versions = [(item.config_version, item.ip) for item in self.heard(now)]
        versions.extend(
            (report.config_version, report.config_ip)
            for report in self.cells(now)
        )
        return max(versions, default=(0, ""))

    def silent_vms(self, now: float) -> tuple[str, ...]:
        """Return listed VMs that have long not been heard."""
        return tuple(
            vm
            for vm in self._listed_by_vm
            if vm != self._vm and now - self._last(vm) > REMOVE_AFTER_S
        )

    def forget_long_silent(self, now: float) -> tuple[str, ...]:
        """Forget VMs that are off the list and silent; return them."""
        listed = set(self._number_by_vm.values())
        for number, seen_at in tuple(self._seen_at_by_number.items()):
            if number not in listed and now - seen_at > REMOVE_AFTER_S:
                del self._seen_at_by_number[number]
        self._digests.forget(now, REMOVE_AFTER_S)
        gone = tuple(
            vm
            for vm, hearing in self._hearing_by_vm.items()
            if vm not in self._listed_by_vm
            and now - hearing.heard_at > REMOVE_AFTER_S
        )
        for vm in gone:
            del self._hearing_by_vm[vm]
        return gone

    def place(
        self, subject: str, now: float, among: frozenset[str] | None = None
    ) -> int:
        """Return this VM's place in the order in which VMs see to it.

        ``among`` names those that do, besides this one; all where None.

        Without an order all would act at once. It differs by subject.
        VMs that aren't heard have no turn: those of a data centre that
        is cut off would delay all others, 0.4 s each.
        """
        ordered = self._ordered
        first = -sum(subject.encode()) % len(ordered)
        in_turn = ordered[first:] + ordered[:first]
        before = in_turn[: in_turn.index(self._vm)]
        if among is not None:
            before = [vm for vm in before if vm in among]
        heard = self.heard_numbers(now, LATELY_S)
        return sum(self._number_by_vm[vm] in heard for vm in before)

    def addresses(self, port: int) -> tuple[VmAddress, ...]:
        """Return where heartbeats go; heard VMs count besides listed."""
        by_vm = {
            vm: VmAddress(vm, hearing.heartbeat.ip, port)
            for vm, hearing in self._hearing_by_vm.items()
        }
        by_vm.update(self._listed_by_vm)
        by_vm.pop(self._vm, None)
        return tuple(by_vm.values())

    def _health_of(
        self, primary: str, now: float, within_s: float
    ) -> list[tuple[float, MergedHealth]]:
        """Return reports on a primary and their ages (seconds)."""
        if not self.gathers:
            told = self._told_health(primary, now, within_s, True)
            if told:
                return told
        found = [
            (now - hearing.heard_at, MergedHealth.of_one(health))
            for hearing in self._hearing_by_vm.values()
            if now - hearing.heard_at <= within_s
            and (health := hearing.heartbeat.health_by_primary.get(primary))
        ]
        return found + self._told_health(primary, now, within_s, False)

    def _told_health(
        self, primary: str, now: float, within_s: float, is_fleet: bool
    ) -> list[tuple[float, MergedHealth]]:
        return [
            (age_s, health_by_primary[primary])
            for age_s, health_by_primary in self._digests.healths(
                now, within_s, is_fleet
            )
            if primary in health_by_primary
        ]

    def _last(self, vm: str) -> float:
        """Return when a VM was heard last, relayed or not (seconds)."""
        seen_at = self._seen_at_by_number.get(vm_number(vm), self._started_at)
        hearing = self._hearing_by_vm.get(vm)
        return seen_at if hearing is None else max(seen_at, hearing.heard_at)
