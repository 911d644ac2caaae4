"""The homes of each group, chosen from this VM's view of the fleet."""

from operator import attrgetter
from typing import NamedTuple

from redwingpost.configuration.routes import ServiceRules
from redwingpost.groups.choice import ASSUMED_SLOTS
from redwingpost.groups.directory import Directory
from redwingpost.groups.regions import ALL_REGIONS, RegionMap, Regions
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.routing.homes import (
    MAX_VMS_ALL_HOMES,
    choose_homes,
    count_homes,
    order_homes,
)

#: Seconds for which a group's homes are cached: they are needed for each
#: operation, and change only with the fleet's list and the VMs whose
#: heartbeats arrive.
CACHE_S = 0.2

#: Seconds without a heartbeat after which another VM replaces a home. Longer
#: than a few delayed heartbeats, since each change of home costs
#: connections. A home that doesn't answer is skipped sooner.
HOME_TIMEOUT_S = 3.0

#: Seconds for which a home that didn't answer a statement is skipped.
SUSPECT_S = 2.0


class Homes(NamedTuple):
    """The homes of a group and their names; ``is_all`` if every VM is one."""

    addresses: tuple[VmAddress, ...]
    is_all: bool
    names: frozenset[str]


ALL_VMS = Homes((), is_all=True, names=frozenset())


class _Choice(NamedTuple):
    """The inputs for choosing a group's homes."""

    alive: tuple[VmAddress, ...]
    data_centres: frozenset[str]
    slots: int


class _CachedHomes(NamedTuple):
    """Homes, the inputs of their choice, and when the cache expires."""

    homes: Homes
    choice: _Choice
    until: float


class HomeView:
    """Chooses the homes of each group.

    Parameters
    ----------
    vm : str
        This VM's name.
    vms : VmTable
        The fleet's VMs.
    directory : Directory
        The groups' members.
    regions : RegionMap, optional
        The regions of the data centres.
    """

    def __init__(
        self,
        vm: str,
        vms: VmTable,
        directory: Directory,
        regions: RegionMap = ALL_REGIONS,
    ) -> None:
        self._vm = vm
        self._vms = vms
        self._directory = directory
        self._regions = regions
        self._rules: ServiceRules | None = None
        self._cached_by_group: dict[str, _CachedHomes] = {}
        self._suspect_until: dict[str, float] = {}
        self._alive: tuple[VmAddress, ...] = ()
        self._alive_until = float("-inf")

    def take_rules(self, rules: ServiceRules) -> None:
        """Apply the configuration in force."""
        self._rules = rules
        self._cached_by_group.clear()

    def homes_of(self, group: str, now: float) -> Homes:
        """Return a group's homes at ``now`` (seconds)."""
        cached = self._cached_by_group.get(group)
        if cached is None or now >= cached.until:
            choice = self._choice_for(group, now)
            if cached is not None and cached.choice == choice:
                homes = cached.homes
            else:
                homes = self._choose(group, choice)
            cached = _CachedHomes(homes, choice, now + CACHE_S)
            self._cached_by_group[group] = cached
        return cached.homes

    def is_home(self, group: str, now: float) -> bool:
        """Return whether this VM is a home of a group."""
        homes = self.homes_of(group, now)
        return homes.is_all or self._vm in homes.names

    def rank(self, group: str, now: float) -> int:
        """Return this VM's rank in the order of a group's homes."""
        homes = self.homes_of(group, now)
        among = None if homes.is_all else homes.names
        return self._vms.rank(group, now, among)

    def sharers(self, group: str, now: float) -> int:
        """Return how many VMs share the connections of a group's members."""
        homes = self.homes_of(group, now)
        if homes.is_all or self._vm not in homes.names:
            return self._vms.count()
        return len(homes.addresses)

    def senders(self, group: str, now: float) -> tuple[str, ...]:
        """Return the VMs that may send statements to a group's cold members.

        These are the group's homes. While a listed VM isn't heard, or an
        unlisted one is, other VMs may have chosen other homes: then all VMs
        count, in an order that doesn't depend on which of them are heard;
        unlisted ones have no name. Empty if this VM isn't a home, or doesn't
        know the other VMs yet.
        """
        if not self._vms.has_list or not self.is_home(group, now):
            return ()
        homes = self.homes_of(group, now)
        listed = self._vms.alive_addresses(now, float("inf"))
        unlisted = max(0, self._vms.count() - len(listed))
        if not homes.is_all and not unlisted and not self._vms.missing(now):
            return tuple(address.vm for address in homes.addresses)
        choice = self._choice_for(group, now)
        ordered = choose_homes(
            group,
            choice.data_centres,
            listed,
            len(listed),
            attrgetter("capacity"),
        )
        names = tuple(address.vm for address in ordered)
        return names + ("",) * unlisted

    def homes_to_try(
        self,
        group: str,
        organisation: str,
        now: float,
        regions: Regions = None,
    ) -> tuple[VmAddress, ...]:
        """Return the homes to try for an organisation, the best first.

        Those outside ``regions`` are left out. Empty if this VM runs the
        statement itself.
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
            if self._suspect_until.get(address.vm, 0.0) <= now
            and self._regions.allows(regions, address.data_centre)
        )

    def mark_suspect(self, vm: str, now: float) -> None:
        """Skip a home for ``SUSPECT_S``, as it didn't answer or refused."""
        self._suspect_until[vm] = now + SUSPECT_S

    def _choice_for(self, group: str, now: float) -> _Choice:
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
            self._alive = self._vms.alive_addresses(now, HOME_TIMEOUT_S)
            self._alive_until = now + CACHE_S / 2.0
        return self._alive

    def _choose(self, group: str, choice: _Choice) -> Homes:
        rule = self._rules and self._rules.groups_by_name.get(group)
        if rule is None:
            return ALL_VMS
        organisations = len(self._rules.organisations_by_name)
        wanted = count_homes(rule.max_connections, choice.slots, organisations)
        if len(self._vms.known_vms()) <= max(wanted, MAX_VMS_ALL_HOMES):
            return ALL_VMS
        homes = choose_homes(
            group,
            choice.data_centres,
            choice.alive,
            wanted,
            attrgetter("capacity"),
        )
        names = frozenset(address.vm for address in homes)
        return Homes(homes, is_all=False, names=names)
