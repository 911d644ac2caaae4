"""The homes of each group, chosen from this VM's view of the fleet.

Load pattern: 300 VMs and 40 groups, at rest. If each VM chose the homes of
each group several times a second, this would be most of its work. So they are
chosen again only after the alive VMs, the list, the members or the
configuration have changed; VMs are ranked for a group once for each list.
"""

from math import ceil
from operator import attrgetter
from typing import NamedTuple

from redwingpost.configuration.routes import ServiceRules
from redwingpost.groups.choice import ASSUMED_SLOTS
from redwingpost.groups.directory import Directory
from redwingpost.groups.regions import ALL_REGIONS, RegionMap, Regions
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.forwarding.heard_part import HeardPart
from redwingpost.routing.homes import (
    MAX_VMS_ALL_HOMES,
    choose_ranked_homes,
    count_homes,
    order_homes,
    rank_for_homes,
)

#: Seconds after which a change of the alive VMs is applied, at most.
CACHE_S = 0.2

#: Seconds without a heartbeat after which another VM replaces a home. Longer
#: than a few delayed heartbeats, since each change of home costs
#: connections. A home that doesn't answer is skipped sooner.
HOME_TIMEOUT_S = 3.0

#: Seconds from its start for which a VM waits for the list of VMs before it
#: takes itself for one of a small fleet. If all VMs of a large fleet did so
#: at once, each would open a connection to each member when it starts.
LIST_WAIT_S = 0.5

#: Seconds for which a home that didn't answer a statement is skipped.
SUSPECT_S = 2.0

#: Orders of homes that are kept, one for each group and organisation with
#: callers here.
MAX_RANKINGS = 4096


class Homes(NamedTuple):
    """The homes of a group and their names; ``is_all`` if every VM is one."""

    addresses: tuple[VmAddress, ...]
    is_all: bool
    names: frozenset[str]


ALL_VMS = Homes((), is_all=True, names=frozenset())
NO_VM = Homes((), is_all=False, names=frozenset())


class _Versions(NamedTuple):
    """Versions of the inputs from which homes are chosen."""

    alive: int
    listed: int
    members: int
    awaits_list: bool


class _Ranking(NamedTuple):
    """A group's homes, and their order for one organisation."""

    homes: Homes
    addresses: tuple[VmAddress, ...]


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
        self.vm = vm
        self._vms = vms
        self._directory = directory
        self._regions = regions
        self._rules: ServiceRules | None = None
        self._heard = HeardPart()
        self._ranking_by_key: dict[tuple[str, str], _Ranking] = {}
        self._homes_by_group: dict[str, Homes] = {}
        self._own_groups: frozenset[str] | None = None
        self._versions = _Versions(0, 0, 0, False)
        self._ranked_by_group: dict[str, tuple[VmAddress, ...]] = {}
        self._suspect_until: dict[str, float] = {}
        self._alive: tuple[VmAddress, ...] = ()
        self._alive_names: frozenset[str] = frozenset()
        self._alive_version = 0
        self._alive_until = float("-inf")

    def take_rules(self, rules: ServiceRules) -> None:
        """Apply the configuration in force."""
        self._rules = rules
        self._forget_homes()
        self._ranking_by_key.clear()

    def homes_of(self, group: str, now: float) -> Homes:
        """Return a group's homes at ``now`` (seconds)."""
        self._apply_changes(now)
        homes = self._homes_by_group.get(group)
        if homes is None:
            homes = self._homes_by_group[group] = self._choose(group)
        return homes

    def own_groups(self, now: float) -> frozenset[str]:
        """Return the known groups that this VM is a home of.

        It is the same object until something has changed.
        """
        self._apply_changes(now)
        if self._own_groups is None:
            self._own_groups = frozenset(
                group
                for group in self._directory.known_groups()
                if self.is_home(group, now)
            )
        return self._own_groups

    def is_home(self, group: str, now: float) -> bool:
        """Return whether this VM is a home of a group."""
        homes = self.homes_of(group, now)
        return homes.is_all or self.vm in homes.names

    def rank(self, group: str, now: float) -> int:
        """Return this VM's rank in the order of a group's homes."""
        homes = self.homes_of(group, now)
        among = None if homes.is_all else homes.names
        return self._vms.rank(group, now, among)

    def sharers(self, group: str, now: float) -> int:
        """Return how many VMs share the connections of a group's members.

        The VMs that aren't heard may have chosen homes among themselves.
        Those get the rest of the members' connections, in proportion.
        """
        homes = self.homes_of(group, now)
        if homes.is_all or self.vm not in homes.names:
            return self._vms.count()
        if not self.places_by_load(group):
            return len(homes.addresses)
        return ceil(len(homes.addresses) / self.heard_part(now) - 1e-9)

    def heard_part(self, now: float) -> float:
        """Return the part of the fleet that is heard (0 to 1).

        Drops shorter than ``DROP_S`` are left out.
        """
        return self._heard.note(self._vms.part(now), now)

    def is_cut(self, group: str, now: float) -> bool:
        """Return whether homes may exist that this one doesn't hear of."""
        if not self.places_by_load(group):
            return False
        homes = self.homes_of(group, now)
        return not homes.is_all and self.heard_part(now) < 1.0

    def places_by_load(self, group: str) -> bool:
        """Return whether statements are placed by what homes report.

        Where each organisation can have a connection of its own, the order
        of homes by the organisation's name keeps these in use.
        """
        rule = self._rules and self._rules.groups_by_name.get(group)
        return rule is not None and self._rules.has_few_connections(
            rule.max_connections
        )

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
        members = self._directory.members_of(group)
        ordered = choose_ranked_homes(
            self._rank(group),
            {entry.data_centre for entry in members},
            len(listed),
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
        ranked = self.ranked_homes(group, organisation, now, regions)
        names = [address.vm for address in ranked]
        if self.vm in names:
            ranked = ranked[: names.index(self.vm)]
        return tuple(
            address
            for address in ranked
            if not self.is_suspect(address.vm, now)
        )

    def ranked_homes(
        self,
        group: str,
        organisation: str,
        now: float,
        regions: Regions = None,
    ) -> tuple[VmAddress, ...]:
        """Return a group's homes in ``regions`` in an organisation's order.

        This VM and suspected homes are included. The order is kept as long
        as the group's homes are the same.
        """
        homes = self.homes_of(group, now)
        key = group, organisation
        kept = self._ranking_by_key.get(key)
        if kept is None or kept.homes is not homes:
            if len(self._ranking_by_key) >= MAX_RANKINGS:
                self._ranking_by_key.clear()
            ranked = order_homes(group, organisation, homes.addresses)
            kept = self._ranking_by_key[key] = _Ranking(homes, ranked)
        if regions is None:
            return kept.addresses
        return tuple(
            address
            for address in kept.addresses
            if self._regions.allows(regions, address.data_centre)
        )

    def is_suspect(self, vm: str, now: float) -> bool:
        """Return whether a home is skipped, as it didn't answer."""
        return self._suspect_until.get(vm, 0.0) > now

    def mark_suspect(self, vm: str, now: float) -> None:
        """Skip a home for ``SUSPECT_S``, as it didn't answer or refused."""
        self._suspect_until[vm] = now + SUSPECT_S

    def _apply_changes(self, now: float) -> None:
        """Forget the homes if an input of their choice has changed."""
        list_version = self._vms.list_version
        is_new_list = list_version != self._versions.listed
        if now >= self._alive_until or is_new_list:
            self._update_alive(now)
        versions = _Versions(
            self._alive_version,
            list_version,
            self._directory.version,
            self._awaits_list(now),
        )
        if versions == self._versions:
            return
        self._versions = versions
        self._forget_homes()
        if is_new_list:
            self._ranked_by_group.clear()

    def _awaits_list(self, now: float) -> bool:
        return not self._vms.has_list and self._vms.age_s(now) < LIST_WAIT_S

    def _update_alive(self, now: float) -> None:
        """Update the VMs that may be homes, the same for all groups."""
        self._alive_until = now + CACHE_S
        alive = self._vms.alive_addresses(now, HOME_TIMEOUT_S)
        if alive != self._alive:
            self._alive = alive
            self._alive_names = frozenset(address.vm for address in alive)
            self._alive_version += 1

    def _forget_homes(self) -> None:
        self._homes_by_group.clear()
        self._own_groups = None

    def _rank(self, group: str) -> tuple[VmAddress, ...]:
        """Return all listed VMs in the order of preference for a group."""
        ranked = self._ranked_by_group.get(group)
        if ranked is None:
            listed = self._vms.listed_addresses()
            ranked = rank_for_homes(group, listed, attrgetter("capacity"))
            self._ranked_by_group[group] = ranked
        return ranked

    def _choose(self, group: str) -> Homes:
        if self._rules is None or self._versions.awaits_list:
            return NO_VM
        rule = self._rules.groups_by_name.get(group)
        if rule is None:
            return ALL_VMS
        members = self._directory.members_of(group)
        slots = min(
            (entry.slots or ASSUMED_SLOTS for entry in members),
            default=ASSUMED_SLOTS,
        )
        organisations = len(self._rules.organisations_by_name)
        wanted = count_homes(rule.max_connections, slots, organisations)
        if len(self._vms.known_vms()) <= max(wanted, MAX_VMS_ALL_HOMES):
            return ALL_VMS
        homes = choose_ranked_homes(
            (vm for vm in self._rank(group) if vm.vm in self._alive_names),
            {entry.data_centre for entry in members},
            wanted,
        )
        names = frozenset(address.vm for address in homes)
        return Homes(homes, is_all=False, names=names)
