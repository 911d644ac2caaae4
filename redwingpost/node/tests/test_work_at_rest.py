"""The work of a VM without callers in a fleet with many groups."""

from asyncio import sleep
from collections import Counter
from contextlib import ExitStack
from typing import Any
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from redwingpost.configuration.routes import (
    NO_RULES,
    GroupRule,
    OrganisationRule,
)
from redwingpost.core.positions import Position
from redwingpost.groups.probing import IDLE_PROBE_S
from redwingpost.membership.heartbeat import (
    Heartbeat,
    PrimaryHealth,
    SharedSample,
    VmAddress,
)
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.fleet import readiness_inputs
from redwingpost.node.forwarding.homes import LIST_WAIT_S
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient
from redwingpost.node.service import SYNC_EVERY_STEPS, Node, NodePorts
from redwingpost.node.settings import Endpoint, NodeSettings
from redwingpost.platform.entries import FORMAT
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import (
    LinkLost,
    MemberEntry,
    StatusReport,
)
from redwingpost.routing import homes as routing_homes

_NOWHERE = Endpoint("127.0.0.1", 1)
_GROUPS = tuple(f"g{number}" for number in range(40))
_CENTRES = ("dc-a", "dc-b", "dc-c")
_VMS = 60


class _NoLinks:
    """Opens no connection, and counts the attempts."""

    def __init__(self) -> None:
        self.attempts = 0

    async def open(self, *arguments: Any) -> None:
        """Fail to open one."""
        self.attempts += 1
        raise LinkLost("no member runs", False)


def _settings(vm: str) -> NodeSettings:
    return NodeSettings(
        vm=vm,
        data_centre=_CENTRES[0],
        ip="127.0.0.1",
        callers=_NOWHERE,
        readiness=_NOWHERE,
        heartbeat_port=1,
        metrics_port=1,
        store=_NOWHERE,
        orders=_NOWHERE,
        peer_ips=(),
        drain_s=7.0,
        grace_s=6.0,
        evacuate_s=5.0,
        capacity=1.0,
    )


def _entry(group: str, number: int, **changes: Any) -> MemberEntry:
    entry = MemberEntry(
        f"{group}-m{number}",
        group,
        "127.0.0.1",
        1,
        _CENTRES[number],
        False,
        number == 0,
        17,
        5,
    )
    return entry._replace(**changes)


def _make_node(clock: VirtualClock) -> Node:
    """Return a node that knows its fleet, its members and its rules."""
    node = _make_started_node(clock, _NoLinks())
    _read_list(node)
    _read_rules(node)
    return node


def _make_started_node(clock: VirtualClock, links: _NoLinks) -> Node:
    """Return a node that has only read its members."""
    node = Node(_settings("vm-0"), NodePorts(None, links, None, FORMAT, clock))
    for group in _GROUPS:
        for number in range(3):
            node.directory.put(_entry(group, number), clock.now())
    node._on_members()
    return node


def _read_list(node: Node, vms: int = _VMS) -> None:
    node._vms.set_listed(
        tuple(
            VmAddress(f"vm-{n}", "ip", 1, _CENTRES[n % 3]) for n in range(vms)
        )
    )


def _read_rules(node: Node) -> None:
    node._admission.take_rules(
        NO_RULES._replace(
            version=1,
            groups_by_name={name: GroupRule(name, 32, 1) for name in _GROUPS},
            organisations_by_name={
                f"o{n}": OrganisationRule(f"o{n}", frozenset(), 9.0, 9.0, 1)
                for n in range(20)
            },
        )
    )
    node._on_rules()


class WorkTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.node = _make_node(self.clock)
        self.counts: Counter[str] = Counter()
        self._patches = ExitStack()
        self.addCleanup(self._patches.close)
        self._hear_all()
        self.own = {
            name
            for name in _GROUPS
            if self.node._homes.is_home(name, self.clock.now())
        }

    def _hear_all(self) -> None:
        for number in range(1, _VMS):
            heartbeat = Heartbeat(f"vm-{number}", 1, "ip", 1, {}, 1, None, ())
            self.node._vms.note(heartbeat, self.clock.now())

    def _count(self, owner: Any, name: str) -> None:
        original = getattr(owner, name)

        def counted(*args: Any, **kwargs: Any) -> Any:
            self.counts[name] += 1
            return original(*args, **kwargs)

        self._patches.enter_context(patch.object(owner, name, counted))

    async def _run_steps(self) -> None:
        """Run the steps of half a second."""
        for _ in range(SYNC_EVERY_STEPS):
            await self.node._run_checks()
            await self.node._probe_members()
            self.node._probe_check_pause_s()
            self.node._heartbeat_writer.describe(False)
            self.clock.advance(0.1)
            self._hear_all()

    async def test_steps_visit_only_the_groups_in_use(self) -> None:
        """A VM is a home of a few of 40 groups and has no callers.

        If each step visited all groups, the VMs of a large fleet would
        spend their time on groups that others look after: with 100 VMs, the
        fleet's processor time was used up before its callers came.
        """
        self.assertLess(len(self.own), 10)
        await self._run_steps()
        for name in ("follow_directory", "is_active", "probe_if_due"):
            self._count(GroupClient, name)
        await self._run_steps()
        own = len(self.own)
        self.assertEqual(own, self.counts["follow_directory"])
        self.assertEqual(own * SYNC_EVERY_STEPS, self.counts["probe_if_due"])
        self.assertLessEqual(
            self.counts["is_active"], own * SYNC_EVERY_STEPS * 4
        )

    async def test_homes_are_not_chosen_again_at_rest(self) -> None:
        """Guards against ranking 60 VMs for each of 40 groups at rest."""
        await self._run_steps()
        self._count(routing_homes, "_score")
        await self._run_steps()
        self.assertEqual(0, self.counts["_score"])

    async def test_a_vm_that_dies_costs_no_new_ranking(self) -> None:
        await self._run_steps()
        self._count(routing_homes, "_score")
        for _ in range(40):
            self.clock.advance(0.1)
            for number in range(2, _VMS):
                heartbeat = Heartbeat(
                    f"vm-{number}", 1, "ip", 1, {}, 1, None, ()
                )
                self.node._vms.note(heartbeat, self.clock.now())
            await self.node._run_checks()
        self.assertEqual(0, self.counts["_score"])
        names = self.node._homes.homes_of("g0", self.clock.now()).names
        self.assertNotIn("vm-1", names)

    async def test_one_member_changes(self) -> None:
        """Only its group is updated, and at once."""
        await self._run_steps()
        self._count(GroupClient, "follow_directory")
        other = next(name for name in _GROUPS if name not in self.own)
        changed = _entry(other, 1, is_draining=True)
        self.node.directory.put(changed, self.clock.now())
        self.node._on_members()
        self.assertEqual(1, self.counts["follow_directory"])
        client = self.node.group_by_name[other].member_by_name[changed.member]
        self.assertTrue(client.entry.is_draining)

    async def test_a_group_that_is_used_is_attended_to(self) -> None:
        """A VM runs a statement of a group that it isn't a home of.

        Its homes may be lost. The limits of its connections must be those
        of now, its members must be probed, and its connections must close
        once they are idle.
        """
        await self._run_steps()
        name = next(name for name in _GROUPS if name not in self.own)
        group = self.node.group_by_name[name]
        group.leaderless_since = 1.0
        self._count(GroupClient, "follow_directory")
        group.note_use()
        self.assertEqual(1, self.counts["follow_directory"])
        self.assertEqual(self.clock.now(), group.leaderless_since)
        activity = self.node._activity
        self.assertIn(group, activity.active(self.clock.now()))
        self.clock.advance(6.0)
        self._hear_all()
        self.assertNotIn(group, activity.active(self.clock.now()))
        with patch.object(MemberClient, "has_connections", True):
            self.assertIn(group, activity.attended(self.clock.now()))
        self.assertNotIn(group, activity.attended(self.clock.now()))

    async def test_a_group_that_lost_its_last_member(self) -> None:
        """Its homes must go on to count it as not served."""
        name = sorted(self.own)[0]
        await self._run_steps()
        for number in range(3):
            self.node.directory.remove(f"{name}-m{number}", self.clock.now())
        self.node._on_members()
        group = self.node.group_by_name[name]
        self.assertEqual({}, group.member_by_name)
        self.assertIn(group, self.node._activity.active(self.clock.now()))

    async def test_other_vms_are_asked_about_only_after_a_silence(
        self,
    ) -> None:
        """Guards against searching all heartbeats for each member."""
        await self._run_steps()
        name = sorted(self.own)[0]
        group = self.node.group_by_name[name]
        for number in range(3):
            member = f"{name}-m{number}"
            report = StatusReport(number == 0, 1, Position(1, 9), 0, 0, 0, 1)
            now = self.clock.now()
            group.evidence.note_report(member, report, now)
            group.member_by_name[member].answered_at = now
        group.round_at = self.clock.now()
        self._count(VmTable, "reached_elsewhere_s")
        group.probe_if_due()
        self.assertEqual(0, self.counts["reached_elsewhere_s"])
        self.clock.advance(IDLE_PROBE_S + 0.01)
        group.probe_if_due()
        self.assertEqual(1, self.counts["reached_elsewhere_s"])

    async def test_other_vms_primaries_are_counted_once(self) -> None:
        """Guards against counting each VM's primaries ten times a second."""
        health = {"p": PrimaryHealth(5, 0, 5, 0)}
        heartbeat = Heartbeat("vm-1", 1, "ip", 1, health, 1, None, ())
        brief = heartbeat._replace(health_by_primary={}, is_brief=True)
        await self._run_steps()
        self.node._update_readiness()
        self._count(readiness_inputs, "count_reached")
        for message in (heartbeat, brief, brief):
            self.node._vms.note(message, self.clock.now())
            self.node._update_readiness()
        self.assertEqual(1, self.counts["count_reached"])

    async def test_a_gatherer_passes_on_samples_of_other_homes(self) -> None:
        """A home tells its gatherers a sample; they are homes of others.

        If they dropped it, as they know no primary of the group, the other
        homes would have to ask the members for what one has found out.
        """
        name = next(name for name in _GROUPS if name not in self.own)
        member = f"{name}-m0"
        writer = self.node._heartbeat_writer
        cases = ((True, 0.0, 1), (False, 0.0, 0), (True, 2.0, 0))
        for gathers, later_s, count in cases:
            with self.subTest(gathers=gathers, later_s=later_s):
                self.node._vms.gathers = gathers
                sample = SharedSample(member, Position(3, 9), 100)
                now = self.clock.now()
                writer.take_samples((sample,), now - 0.1)
                self.clock.advance(later_s)
                shared = writer.describe(False).samples
                members = [item.member for item in shared]
                self.assertEqual([member] * count, members)
                for item in shared:
                    # Rounded up: it must not count as younger than it is.
                    self.assertLessEqual(200, item.age_ms)
                    self.assertLessEqual(item.age_ms, 201)


class StartTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = VirtualClock(100.0)
        self.links = _NoLinks()
        self.node = _make_started_node(self.clock, self.links)

    async def _probe(self) -> int:
        """Return how many connections a check opens."""
        before = self.links.attempts
        await self.node._run_checks()
        await self.node._probe_members()
        await sleep(0)
        for _ in range(10):
            await sleep(0)
        return self.links.attempts - before

    async def test_a_vm_that_starts_in_a_large_fleet(self) -> None:
        """A VM has read its members, but not the rules or the list yet.

        If it took itself for a home of all groups, each VM of a fleet that
        starts would connect to each member: 100 VMs to members that accept
        32 connections.
        """
        self.assertEqual(0, await self._probe())
        _read_rules(self.node)
        self.assertEqual(0, await self._probe())
        _read_list(self.node)
        own = [
            name
            for name in _GROUPS
            if self.node._homes.is_home(name, self.clock.now())
        ]
        self.assertLess(len(own), 10)
        self.assertEqual(3 * len(own), await self._probe())

    async def test_a_vm_of_a_small_fleet_probes_at_once(self) -> None:
        _read_rules(self.node)
        _read_list(self.node, 6)
        self.assertEqual(3 * len(_GROUPS), await self._probe())

    async def test_a_vm_whose_list_does_not_arrive(self) -> None:
        """The store is unavailable, and the rules came from another VM.

        Callers of this VM must still be served.
        """
        _read_rules(self.node)
        self.clock.advance(LIST_WAIT_S)
        self.assertEqual(3 * len(_GROUPS), await self._probe())
