"""The homes of a group as chosen by the VMs of a fleet."""

from collections.abc import Iterable
from fractions import Fraction
from unittest import TestCase
from unittest.mock import patch

from redwingpost.configuration.routes import (
    GroupRule,
    NO_RULES,
    OrganisationRule,
)
from redwingpost.groups.directory import Directory
from redwingpost.groups.regions import RegionMap
from redwingpost.membership.heartbeat import Heartbeat, VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.forwarding import homes as homes_module
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
    order_homes,
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
    With more ``organisations`` than 75, they share connections.
    """

    def __init__(
        self, vms: int, strong: Iterable[str] = (), organisations: int = 70
    ) -> None:
        self.addresses = _addresses(vms, strong)
        rules = NO_RULES._replace(
            groups_by_name={"g": GroupRule("g", 75, 1)},
            organisations_by_name={
                f"o{n}": OrganisationRule(f"o{n}", frozenset(), 9.0, 9.0, 1)
                for n in range(organisations)
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

    def exchange_heartbeats_within(
        self, sides: tuple[frozenset[str], ...], now: float
    ) -> None:
        """Deliver heartbeats between the VMs of the same side only."""
        for side in sides:
            for address in self.addresses:
                if address.vm not in side:
                    continue
                heartbeat = Heartbeat(
                    address.vm, 1, address.ip, 1, {}, 1, None, ()
                )
                for vm in side:
                    self.table_by_vm[vm].note(heartbeat, now)

    def sharers(self, now: float) -> dict[str, int]:
        """Return with how many VMs each one shares a member's connections."""
        return {
            vm: view.sharers("g", now) for vm, view in self.view_by_vm.items()
        }

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

    def test_homes_are_ranked_once(self) -> None:
        """Guards against hashing all homes several times per operation.

        Each operation asks whether another VM should run it, and then which.
        """
        fleet = _Fleet(62)
        homes = fleet.homes(1.0)
        vm = next(iter(set(fleet.view_by_vm) - homes))
        view = fleet.view_by_vm[vm]
        with patch.object(homes_module, "order_homes", wraps=order_homes) as o:
            first = view.homes_to_try("g", "o1", 1.0)
            self.assertEqual(first, view.homes_to_try("g", "o1", 1.0))
            self.assertEqual(1, o.call_count)
            view.homes_to_try("g", "o2", 1.0)
            self.assertEqual(2, o.call_count)
        fleet.exchange_heartbeats(2.0)
        gone = first[0].vm
        for now in (3.0, 4.0, 5.0, 6.0):
            fleet.exchange_heartbeats(now, silent=frozenset({gone}))
        left = view.homes_to_try("g", "o1", 6.0)
        self.assertNotIn(gone, [address.vm for address in left])

    def test_both_sides_of_a_partition_share_the_connections(self) -> None:
        """Each side chooses homes of its own.

        With whole shares on both sides, members would get twice as many
        connections as they accept, and reset or refuse them.
        """
        for cut in (3, 20, 31, 61):
            with self.subTest(cut=cut):
                fleet = _Fleet(62, organisations=80)
                sides = (
                    frozenset(a.vm for a in fleet.addresses[:cut]),
                    frozenset(a.vm for a in fleet.addresses[cut:]),
                )
                for step in range(60):
                    fleet.exchange_heartbeats_within(sides, step * 0.1)
                    fleet.sharers(step * 0.1)
                by_vm = fleet.sharers(6.0)
                homes = fleet.homes(6.0)
                self.assertGreater(len(homes), min(cut, _HOMES))
                shares = [Fraction(1, by_vm[vm]) for vm in homes]
                self.assertLessEqual(sum(shares), 1)
                for step in range(60, 100):
                    fleet.exchange_heartbeats(step * 0.1)
                    by_vm = fleet.sharers(step * 0.1)
                homes = fleet.homes(10.0)
                self.assertEqual({_HOMES}, {by_vm[vm] for vm in homes})

    def test_a_small_fleet_divides_connections_as_before(self) -> None:
        """All of its VMs are homes, also those that aren't heard."""
        fleet = _Fleet(MAX_VMS_ALL_HOMES)
        for step in range(60):
            fleet.exchange_heartbeats(step * 0.1, frozenset({"vm-1", "vm-2"}))
            by_vm = fleet.sharers(step * 0.1)
            self.assertEqual({MAX_VMS_ALL_HOMES}, set(by_vm.values()))
        for view in fleet.view_by_vm.values():
            self.assertFalse(view.is_cut("g", 6.0))
            self.assertEqual((), view.ranked_homes("g", "o1", 6.0))

    def test_a_short_drop_changes_no_share(self) -> None:
        """Guards against connections closed for a few late heartbeats."""
        fleet = _Fleet(62, organisations=80)
        homes = fleet.homes(0.1)
        far = frozenset(fleet.view_by_vm) - homes
        for step in range(60):
            # Heartbeats count for 0.85 s: a drop of 0.85 s.
            is_late = 20 <= step < 36
            fleet.exchange_heartbeats(
                step * 0.1, far if is_late else frozenset()
            )
            by_vm = fleet.sharers(step * 0.1)
            self.assertEqual({_HOMES}, {by_vm[vm] for vm in homes})
        for step in range(60, 90):
            fleet.exchange_heartbeats(step * 0.1, far)
            by_vm = fleet.sharers(step * 0.1)
        self.assertNotIn(_HOMES, {by_vm[vm] for vm in homes})

    def test_where_statements_are_placed_by_load(self) -> None:
        """Guards against a change of deployments that it isn't meant for."""
        for organisations, expected in ((70, False), (75, False), (76, True)):
            with self.subTest(organisations=organisations):
                fleet = _Fleet(62, organisations=organisations)
                for step in range(60):
                    fleet.exchange_heartbeats(step * 0.1, frozenset({"vm-1"}))
                    fleet.sharers(step * 0.1)
                for vm in fleet.homes(6.0) - {"vm-1"}:
                    view = fleet.view_by_vm[vm]
                    self.assertEqual(expected, view.places_by_load("g"))
                    self.assertEqual(expected, view.is_cut("g", 6.0))

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
