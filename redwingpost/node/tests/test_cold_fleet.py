"""What a fleet sends to a cold member while VMs start, end or aren't heard.

The VMs' tables, homes and shares are the real ones; the clock, heartbeats
and the list of VMs are simulated.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple
from unittest import TestCase

from redwingpost.configuration.routes import (
    NO_RULES,
    GroupRule,
    OrganisationRule,
    ServiceRules,
)
from redwingpost.groups.cold_members import ColdBounds, most_in_one_second
from redwingpost.groups.directory import Directory
from redwingpost.membership.heartbeat import Heartbeat, VmAddress
from redwingpost.membership.vm_table import REMOVE_AFTER_S, VmTable
from redwingpost.node.forwarding.homes import HomeView
from redwingpost.node.places import ColdGuard, Places
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import MemberEntry

_CENTRES = ("a", "b", "c")
_BOUNDS = ColdBounds()

#: Seconds between a VM's attempts to send, and between its heartbeats.
_ATTEMPT_S = 0.05
_BEAT_S = 0.25

#: Longest delays (seconds) of the list of VMs, and of statements.
_LIST_DELAY_S = 0.6
_STATEMENT_DELAY_S = 0.2

#: Seconds for which the member is cold, far longer than a play.
_COLD_S = 10_000.0


class Play(NamedTuple):
    """A fleet, a rate and the number of random troubles in 40 s."""

    name: str
    vms: int
    rate: float
    troubles: int
    seed: int


class _Vm:
    """A VM from its start to its end."""

    def __init__(self, fleet: "ColdFleet", address: VmAddress) -> None:
        now = fleet.clock.now()
        self.address = address
        self.frozen_until = 0.0
        self.list_version = 0
        self.table = VmTable(address.vm, now)
        homes = HomeView(address.vm, self.table, fleet.directory)
        homes.take_rules(fleet.rules)
        self.places = Places(
            address.vm,
            homes.senders,
            lambda group, member: None,
            fleet.clock,
            bounds=_BOUNDS,
        )
        self.places.take_rules(fleet.rules)

    def guard(self, directory: Directory) -> ColdGuard:
        """Return the guard of the cold member, as after a step."""
        return self.places.guard_for("g", directory.get("m0"))


class ColdFleet:
    """VMs that all have more statements for a cold member than they may send.

    ``is_cut`` returns whether heartbeats from the first VM to the second are
    lost. ``arrived_at`` has the times of arrivals at the member.
    """

    def __init__(self, vms: int, rate: float, seed: int) -> None:
        self.clock = VirtualClock(1000.0)
        self.random = Random(seed)
        self.rules = _rules(rate)
        self.directory = Directory()
        for number, centre in enumerate(_CENTRES):
            entry = MemberEntry(
                f"m{number}", "g", "ip", 1, centre, False, number == 0
            )
            self.directory.put(entry._replace(cold_left_s=_COLD_S), 1000.0)
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.arrived_at: list[float] = []
        self.vm_by_name: dict[str, _Vm] = {}
        self._listed: dict[str, VmAddress] = {}
        self._names = count()
        self._order = count()
        self._list_versions = count(1)
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        for _ in range(vms):
            self.start_new()

    def start_new(self) -> None:
        """Start a VM under a new name."""
        number = next(self._names)
        centre = _CENTRES[number % len(_CENTRES)]
        self.start(VmAddress(f"vm-{number}", f"10.0.{number}", 7, centre))

    def start(self, address: VmAddress) -> None:
        """Start a VM, or one that has ended again."""
        vm = self.vm_by_name[address.vm] = _Vm(self, address)
        self._listed[address.vm] = address
        self._spread_list()
        self._later(self.random.uniform(0.0, _BEAT_S), lambda: self._beat(vm))
        self._later(
            self.random.uniform(0.0, _ATTEMPT_S), lambda: self._attempt(vm)
        )

    def kill(self, name: str) -> VmAddress:
        """End a VM; it stays listed until others remove it."""
        address = self.vm_by_name.pop(name).address

        def remove() -> None:
            if name not in self.vm_by_name:
                self._listed.pop(name, None)
                self._spread_list()

        self._later(REMOVE_AFTER_S, remove)
        return address

    def restart(self, name: str) -> None:
        """End a VM and start it again under its name soon after."""
        address = self.kill(name)
        self._later(self.random.uniform(0.1, 2.0), lambda: self.start(address))

    def freeze(self, name: str, seconds: float) -> None:
        """Let a VM stand still."""
        self.vm_by_name[name].frozen_until = self.clock.now() + seconds

    def cut(self, names: frozenset[str], seconds: float, both: bool) -> None:
        """Cut VMs off from the others, in one or both directions."""

        def is_cut(one: str, other: str) -> bool:
            if both:
                return (one in names) != (other in names)
            return one not in names and other in names

        self.is_cut = is_cut
        self._later(seconds, self._heal)

    def run(self, seconds: float) -> None:
        """Advance the clock and run what is due."""
        until = self.clock.now() + seconds
        while self._scheduled and self._scheduled[0][0] <= until:
            at, _, step = heappop(self._scheduled)
            self.clock.advance(max(0.0, at - self.clock.now()))
            step()
        self.clock.advance(until - self.clock.now())

    def _heal(self) -> None:
        self.is_cut = lambda one, other: False

    def _later(self, seconds: float, step: Callable[[], None]) -> None:
        at = self.clock.now() + seconds
        heappush(self._scheduled, (at, next(self._order), step))

    def _spread_list(self) -> None:
        """Let each VM read the list after a delay of its own.

        It never reads an older list after a newer one.
        """
        version = next(self._list_versions)
        addresses = tuple(self._listed.values())

        def apply(vm: _Vm) -> None:
            if vm.list_version < version:
                vm.list_version = version
                vm.table.set_listed(addresses)

        for vm in self.vm_by_name.values():
            delay_s = self.random.uniform(0.0, _LIST_DELAY_S)
            self._later(delay_s, lambda vm=vm: apply(vm))

    def _is_running(self, vm: _Vm) -> bool:
        return self.vm_by_name.get(vm.address.vm) is vm

    def _beat(self, vm: _Vm) -> None:
        if not self._is_running(vm):
            return
        self._later(_BEAT_S, lambda: self._beat(vm))
        now = self.clock.now()
        if now < vm.frozen_until:
            return
        vm.table.forget_long_silent(now)
        sender = vm.address
        heartbeat = Heartbeat(
            sender.vm, 1, sender.ip, 1, {}, int(now * 1000), None, ()
        )
        for name, other in self.vm_by_name.items():
            is_frozen = now < other.frozen_until
            if not is_frozen and not self.is_cut(sender.vm, name):
                other.table.note(heartbeat, now)

    def _attempt(self, vm: _Vm) -> None:
        """Send as much as the VM may; its callers want more than that."""
        if not self._is_running(vm):
            return
        now = self.clock.now()
        if now < vm.frozen_until:
            self._later(vm.frozen_until - now, lambda: self._attempt(vm))
            return
        guard = vm.guard(self.directory)
        while guard.wait_s(1) <= 0.0:
            guard.note_sent()
            delay_s = self.random.uniform(0.0, _STATEMENT_DELAY_S)
            self.arrived_at.append(now + delay_s)
        self._later(_ATTEMPT_S, lambda: self._attempt(vm))


def _rules(rate: float) -> ServiceRules:
    return NO_RULES._replace(
        groups_by_name={"g": GroupRule("g", 75, 1, rate, 30.0)},
        organisations_by_name={
            f"o{n}": OrganisationRule(f"o{n}", frozenset(), 9.0, 9.0, 1)
            for n in range(70)
        },
    )


def _trouble(fleet: ColdFleet) -> None:
    """Bring about one random trouble."""
    random = fleet.random
    names = sorted(fleet.vm_by_name)
    kind = random.choice(("start", "kill", "restart", "freeze", "cut", "cut"))
    if kind == "start":
        fleet.start_new()
    elif kind == "kill" and len(names) > 2:
        fleet.kill(random.choice(names))
    elif kind == "restart":
        fleet.restart(random.choice(names))
    elif kind == "freeze":
        fleet.freeze(random.choice(names), random.uniform(0.5, 8.0))
    else:
        # One direction is lost for fewer than half of the VMs.
        both = random.random() < 0.7
        most = len(names) if both else max(1, len(names) // 2)
        part = random.sample(names, random.randint(1, most))
        fleet.cut(frozenset(part), random.uniform(1.0, 12.0), both)


_PLAYS = tuple(
    Play(f"{vms} VMs, {rate} per second, seed {seed}", vms, rate, 12, seed)
    for vms, rate, seeds in (
        (2, 20.0, range(6)),
        (3, 12.0, range(6)),
        (6, 20.0, range(6)),
        (12, 8.0, range(4)),
        (14, 20.0, range(4)),
        (33, 20.0, range(2)),
        (33, 80.0, range(2)),
    )
    for seed in seeds
)


class ColdFleetTest(TestCase):
    def test_the_bound_holds_in_random_plays(self) -> None:
        """Guards against more statements than a cold member may get.

        VMs start, end, restart, stand still and don't hear each other, so
        that they disagree about how many of them send.
        """
        for play in _PLAYS:
            with self.subTest(play.name):
                fleet = ColdFleet(play.vms, play.rate, play.seed)
                for _ in range(play.troubles):
                    fleet.run(fleet.random.uniform(0.3, 5.0))
                    _trouble(fleet)
                fleet.run(6.0)
                most = most_in_one_second(fleet.arrived_at)
                self.assertLessEqual(most, _BOUNDS.most(play.rate))

    def test_a_quiet_fleet_uses_the_rate(self) -> None:
        """Guards against a member that is kept idle while it is cold."""
        cases = ((1, 20.0), (3, 12.0), (6, 20.0), (33, 20.0), (33, 7.0))
        for vms, rate in cases:
            with self.subTest(vms=vms, rate=rate):
                fleet = ColdFleet(vms, rate, seed=1)
                fleet.run(5.0)
                before = len(fleet.arrived_at)
                fleet.run(10.0)
                per_s = (len(fleet.arrived_at) - before) / 10.0
                self.assertGreaterEqual(per_s, 0.7 * rate)
                self.assertLessEqual(
                    most_in_one_second(fleet.arrived_at), rate + _BOUNDS.slack
                )

    def test_a_vm_that_has_just_started(self) -> None:
        """Guards against a share before the other VMs know of a VM."""
        fleet = ColdFleet(3, 12.0, seed=2)
        fleet.run(1.9)
        self.assertEqual([], fleet.arrived_at)

    def test_a_fleet_that_starts_one_vm_after_the_other(self) -> None:
        """Guards against shares of a fleet that isn't complete yet.

        Each VM reads a list without those that start after it.
        """
        for seed in range(8):
            with self.subTest(seed=seed):
                fleet = ColdFleet(0, 20.0, seed)
                for _ in range(6):
                    fleet.start_new()
                    fleet.run(fleet.random.uniform(0.0, 0.6))
                fleet.run(6.0)
                most = most_in_one_second(fleet.arrived_at)
                self.assertLessEqual(most, _BOUNDS.most(20.0))

    def test_a_vm_that_is_cut_off(self) -> None:
        """A VM that hears no other takes all listed ones into account."""
        fleet = ColdFleet(33, 99.0, seed=3)
        fleet.run(5.0)
        fleet.cut(frozenset({"vm-5"}), 100.0, both=True)
        fleet.run(8.0)
        shares = {
            name: vm.places._find_share("g")
            for name, vm in fleet.vm_by_name.items()
        }
        self.assertEqual(3, shares["vm-5"])
        self.assertEqual({0, 3}, set(shares.values()))

    def test_a_dead_vm_is_counted_until_it_is_removed(self) -> None:
        """Guards against a share that grows while a silent VM may send."""
        fleet = ColdFleet(4, 12.0, seed=4)
        fleet.run(5.0)
        fleet.kill("vm-1")
        fleet.run(10.0)
        live = fleet.vm_by_name["vm-0"]
        self.assertEqual(3, live.places._find_share("g"))
        fleet.run(REMOVE_AFTER_S)
        self.assertEqual(4, live.places._find_share("g"))
