"""The homes of a group as chosen by the VMs of a fleet."""

from collections.abc import Iterable
from unittest import TestCase

from redwingpost.configuration.routes import (
    GroupRule,
    NO_RULES,
    OrganisationRule,
)
from redwingpost.groups.directory import Directory
from redwingpost.groups.regions import RegionMap
from redwingpost.membership.heartbeat import Heartbeat, VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.forwarding.homes import (
    CACHE_S,
    HOME_TIMEOUT_S,
    SUSPECT_S,
    HomeView,
)
from redwingpost.ports.database import MemberEntry
from redwingpost.routing.homes import (
    MAX_VMS_ALL_HOMES,
    MIN_HOMES,
    count_homes,
)

_CENTRES = ("a", "b", "c")

#: Homes of the group of a ``_Fleet``, whose members accept 75 connections.
_HOMES = 10


def _addresses(vms: int, strong: Iterable[str]) -> tuple[VmAddress, ...]:
    return tuple(
        VmAddress(
            f"vm-{n}",
            f"10.0.0.{n}",
            7,
            _CENTRES[n % 3],
            4.0 if f"vm-{n}" in strong else 0.5,
        )
        for n in range(vms)
    )


class _Fleet:
    """The views of all VMs of a fleet that exchange heartbeats.

    The VMs named in ``strong`` can carry eight times as much as the others.
    """

    def __init__(self, vms: int, strong: Iterable[str] = ()) -> None:
        self.addresses = _addresses(vms, strong)
        rules = NO_RULES._replace(
            groups_by_name={"g": GroupRule("g", 75, 1)},
            organisations_by_name={
                f"o{n}": OrganisationRule(f"o{n}", frozenset(), 9.0, 9.0, 1)
                for n in range(70)
            },
        )
        self.table_by_vm: dict[str, VmTable] = {}
        self.view_by_vm: dict[str, HomeView] = {}
        directory = Directory()
        for number, centre in enumerate(_CENTRES):
            entry = MemberEntry(
                f"m{number}", "g", "ip", 1, centre, False, True
            )
            directory.put(entry, 0.0)
        for address in self.addresses:
            table = VmTable(address.vm, 0.0)
            table.set_listed(self.addresses)
            view = HomeView(address.vm, table, directory)
            view.take_rules(rules)
            self.table_by_vm[address.vm] = table
            self.view_by_vm[address.vm] = view

    def exchange_heartbeats(
        self, now: float, silent: frozenset[str] = frozenset()
    ) -> None:
        """Deliver the heartbeats of all VMs except the silent ones."""
        for address in self.addresses:
            if address.vm in silent:
                continue
            heartbeat = Heartbeat(
                address.vm, 1, address.ip, 1, {}, 1, None, ()
            )
            for table in self.table_by_vm.values():
                table.note(heartbeat, now)

    def homes(self, now: float) -> frozenset[str]:
        """Return the VMs that consider themselves a home."""
        return frozenset(
            vm
            for vm, view in self.view_by_vm.items()
            if view.is_home("g", now)
        )


class CountTest(TestCase):
    def test_how_many_homes_a_group_has(self) -> None:
        cases = (
            ("half as many connections as organisations", 36, 2, 79, 4),
            ("fewer connections than organisations", 75, 6, 81, _HOMES),
            ("a home for each set of slots that is left", 270, 6, 79, 27),
            ("a small fleet's member", 32, 5, 8, MIN_HOMES),
            ("a member with hardly any connections", 8, 2, 79, MIN_HOMES),
        )
        for name, connections, slots, organisations, homes in cases:
            with self.subTest(name):
                counted = count_homes(connections, slots, organisations)
                self.assertEqual(homes, counted)


class HomeViewTest(TestCase):
    def test_every_vm_of_a_small_fleet_is_a_home(self) -> None:
        fleet = _Fleet(MAX_VMS_ALL_HOMES)
        self.assertEqual(MAX_VMS_ALL_HOMES, len(fleet.homes(1.0)))
        for view in fleet.view_by_vm.values():
            self.assertEqual((), view.homes_to_try("g", "o1", 1.0))

    def test_all_vms_agree_on_the_homes(self) -> None:
        """Guards against a fleet in which every VM connects to members."""
        fleet = _Fleet(62)
        for name, now in (("just started", 0.1), ("with heartbeats", 2.0)):
            with self.subTest(name):
                if now > 1.0:
                    fleet.exchange_heartbeats(now)
                homes = fleet.homes(now)
                self.assertEqual(_HOMES, len(homes))
                for view in fleet.view_by_vm.values():
                    self.assertEqual(homes, view.homes_of("g", now).names)

    def test_an_organisation_uses_one_home(self) -> None:
        fleet = _Fleet(62)
        others = set(fleet.view_by_vm) - fleet.homes(1.0)
        first = {
            fleet.view_by_vm[vm].homes_to_try("g", "o1", 1.0)[0].vm
            for vm in others
        }
        self.assertEqual(1, len(first))

    def test_a_home_that_is_gone_has_a_successor(self) -> None:
        fleet = _Fleet(62)
        gone = frozenset(list(fleet.homes(0.1))[:3])
        now = 0.0
        while now < HOME_TIMEOUT_S + 2 * CACHE_S:
            now += 0.1
            fleet.exchange_heartbeats(now, silent=gone)
        left = fleet.homes(now) - gone
        self.assertEqual(_HOMES, len(left))

    def test_homes_are_the_vms_that_carry_most(self) -> None:
        """Guards against callers that wait for a small VM's processor."""
        strong = {"vm-5", "vm-6", "vm-7", "vm-30", "vm-31", "vm-32"}
        fleet = _Fleet(62, strong)
        self.assertLessEqual(strong, fleet.homes(1.0))

    def test_a_suspected_home_is_skipped_for_a_while(self) -> None:
        fleet = _Fleet(62)
        vm = next(iter(set(fleet.view_by_vm) - fleet.homes(1.0)))
        view = fleet.view_by_vm[vm]
        first, second = view.homes_to_try("g", "o1", 1.0)[:2]
        view.mark_suspect(first.vm, 1.0)
        self.assertEqual(second, view.homes_to_try("g", "o1", 1.1)[0])
        self.assertEqual(
            first, view.homes_to_try("g", "o1", 1.0 + SUSPECT_S)[0]
        )


class RegionTest(TestCase):
    """Homes that a restricted route may use, and who sends to cold members."""

    def setUp(self) -> None:
        self.fleet = _Fleet(40)
        self.fleet.exchange_heartbeats(1.0)
        self.view = self.fleet.view_by_vm["vm-0"]
        self.view._regions = RegionMap({"a": "north", "b": "south"})

    def test_homes_in_the_regions(self) -> None:
        """Guards against statements forwarded out of their regions."""
        cases = (
            ("unrestricted", None, {"a", "b", "c"}),
            ("one region", frozenset({"south"}), {"b"}),
            ("two regions", frozenset({"north", "south"}), {"a", "b"}),
            ("a region without VMs", frozenset({"west"}), set()),
            ("no region", frozenset(), set()),
        )
        for name, regions, expected in cases:
            with self.subTest(name):
                found = {
                    home.data_centre
                    for number in range(20)
                    for home in self.view.homes_to_try(
                        "g", f"o{number}", 1.0, regions
                    )
                }
                self.assertEqual(expected, found)

    def test_who_sends_to_cold_members(self) -> None:
        """Guards against shares that add up to more than the rate."""
        homes = self.fleet.homes(1.0)
        home = self.fleet.view_by_vm[min(homes)]
        other = next(vm for vm in self.fleet.view_by_vm if vm not in homes)
        self.assertEqual(homes, frozenset(home.senders("g", 1.0)))
        view = self.fleet.view_by_vm[other]
        self.assertEqual((), view.senders("g", 1.0))
        self.fleet.exchange_heartbeats(3.0, silent=frozenset({other}))
        self.assertEqual(40, len(home.senders("g", 3.0)))
        self.assertEqual(
            home.senders("g", 3.0),
            self.fleet.view_by_vm[max(homes)].senders("g", 3.0),
        )

    def test_an_unlisted_vm_counts_as_a_sender(self) -> None:
        home = self.fleet.view_by_vm[min(self.fleet.homes(1.0))]
        table = self.fleet.table_by_vm[min(self.fleet.homes(1.0))]
        table.note(Heartbeat("vm-new", 1, "ip", 1, {}, 1, None, ()), 1.0)
        self.assertEqual(41, len(home.senders("g", 1.0)))

    def test_a_vm_that_has_not_read_the_list(self) -> None:
        table = VmTable("vm-0", 0.0)
        view = HomeView("vm-0", table, Directory())
        self.assertEqual((), view.senders("g", 1.0))
