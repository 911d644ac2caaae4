"""The homes of a group as chosen by the VMs of a fleet."""

from collections.abc import Iterable
from unittest import TestCase
from unittest.mock import patch

from redwingpost.configuration.routes import (
    GroupRule,
    NO_RULES,
    OrganisationRule,
)
from redwingpost.groups.directory import Directory
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
