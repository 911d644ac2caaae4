"""Which VMs are the homes of a group, as this VM sees the fleet."""

from typing import NamedTuple

from redwingpost.configuration.routes import ServiceRules
from redwingpost.groups.choice import ASSUMED_SLOTS
from redwingpost.groups.directory import Directory
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.routing.homes import (
    choose_homes,
    count_homes,
    order_homes,
)

#: Seconds for which a group's homes are kept: they are asked for with each
#: operation, and change with the list and with who is heard.
KEEP_S = 0.2

#: Seconds without a heartbeat after which another VM becomes home in place
#: of one. Longer than a few heartbeats that are late: each change of home
#: costs connections. A home that doesn't answer is passed over sooner.
GONE_S = 3.0

#: Seconds for which a home that has left a statement waiting is passed over.
DOUBT_S = 2.0


class Homes(NamedTuple):
    """The homes of a group; ``is_all`` where every VM is one."""

    addresses: tuple[VmAddress, ...]
    is_all: bool

    @property
    def names(self) -> frozenset[str]:
        """The homes' names."""
        return frozenset(address.vm for address in self.addresses)


ALL_VMS = Homes((), is_all=True)


class _Choice(NamedTuple):
    """What a group's homes are chosen by."""

    alive: tuple[VmAddress, ...]
    data_centres: frozenset[str]
    slots: int


class _Kept(NamedTuple):
    """Homes, what they were chosen by, and until when they hold."""

    homes: Homes
    choice: _Choice
    until: float


class HomeView:
    """The homes of each group.

    Parameters
    ----------
    vm : str
        This VM.
    vms, directory : VmTable, Directory
        The fleet, and the groups' members.
    """

    def __init__(self, vm: str, vms: VmTable, directory: Directory) -> None:
        self._vm = vm
        self._vms = vms
        self._directory = directory
        self._rules: ServiceRules | None = None
        self._kept_by_group: dict[str, _Kept] = {}
        self._doubted_until: dict[str, float] = {}
        self._alive: tuple[VmAddress, ...] = ()
        self._alive_until = float("-inf")

    def take_rules(self, rules: ServiceRules) -> None:
        """Take in the configuration in force."""
        self._rules = rules
        self._kept_by_group.clear()

    def homes_of(self, group: str, now: float) -> Homes:
        """Return a group's homes at ``now`` (seconds)."""
        kept = self._kept_by_group.get(group)
        if kept is None or now >= kept.until:
            choice = self._choice(group, now)
            if kept is not None and kept.choice == choice:
                homes = kept.homes
            else:
                homes = self._choose(group, choice)
            kept = _Kept(homes, choice, now + KEEP_S)
            self._kept_by_group[group] = kept
        return kept.homes

    def is_home(self, group: str, now: float) -> bool:
        """Say whether this VM is a home of a group."""
        homes = self.homes_of(group, now)
        return homes.is_all or self._vm in homes.names

    def place(self, group: str, now: float) -> int:
        """Return this VM's place in the order of a group's homes."""
        homes = self.homes_of(group, now)
        among = None if homes.is_all else homes.names
        return self._vms.place(group, now, among)

    def sharers(self, group: str, now: float) -> int:
        """Return how many VMs share the connections of a group's members."""
        homes = self.homes_of(group, now)
        if homes.is_all or self._vm not in homes.names:
            return self._vms.count()
        return len(homes.addresses)

    def order(
        self, group: str, organisation: str, now: float
    ) -> tuple[VmAddress, ...]:
        """Return the homes to try for an organisation, the first first.

        Empty where this VM runs the statement itself.
        """
        homes = self.homes_of(group, now)
        if homes.is_all:
            return ()
        ranked = order_homes(group, organisation, homes.addresses)
        names = [address.vm for address in ranked]
        if self._vm in names:
            ranked = ranked[: names.index(self._vm)]
        return tuple(
            address
            for address in ranked
            if self._doubted_until.get(address.vm, 0.0) <= now
        )

    def doubt(self, vm: str, now: float) -> None:
        """Pass a home over for a while: it left a statement waiting."""
        self._doubted_until[vm] = now + DOUBT_S

    def _choice(self, group: str, now: float) -> _Choice:
        members = self._directory.members_of(group)
        slots = (entry.slots or ASSUMED_SLOTS for entry in members)
        return _Choice(
            self._alive_vms(now),
            frozenset(entry.data_centre for entry in members),
            min(slots, default=ASSUMED_SLOTS),
        )

    def _alive_vms(self, now: float) -> tuple[VmAddress, ...]:
        """Return the VMs that may be homes, the same for all groups."""
        if now >= self._alive_until:
            self._alive = self._vms.alive_addresses(now, GONE_S)
            self._alive_until = now + KEEP_S / 2.0
        return self._alive

    def _choose(self, group: str, choice: _Choice) -> Homes:
        rule = self._rules and self._rules.groups_by_name.get(group)
        if rule is None:
            return ALL_VMS
        organisations = len(self._rules.organisations_by_name)
        wanted = count_homes(rule.max_connections, choice.slots, organisations)
        if len(self._vms.known()) <= wanted:
            return ALL_VMS
        homes = choose_homes(group, choice.data_centres, choice.alive, wanted)
        return Homes(homes, is_all=False)
