"""How a group's client evaluates its members' reports."""

from asyncio import gather
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from redwingpost.configuration.routes import NO_RULES, GroupRule
from redwingpost.core.codes import Code, Outcome
from redwingpost.core.positions import Position
from redwingpost.groups.confirmation import HELD_UP_S, SETTLED_S
from redwingpost.groups.directory import Directory
from redwingpost.groups.regions import RegionMap, Regions
from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.heartbeat import (
    Heartbeat,
    PrimaryHealth,
    VmAddress,
)
from redwingpost.membership.vm_table import HEARTBEAT_INTERVAL_S, VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.member import CONTROL_IDLE_S
from redwingpost.node.places import Places
from redwingpost.node.request.commits import AcknowledgedCommit, confirm_commit
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import LinkLost, MemberEntry, StatusReport

#: Change of a report: the member has received the commit in question.
_HOLDS = {"received": Position(1, 10)}


def _entry(member: str, started_ms: int = 0) -> MemberEntry:
    is_primary = member == "m1"
    return MemberEntry(
        member, "g", "ip", 1, "a", False, is_primary, started_ms
    )


class ReportingMembers:
    """Opens links whose members answer with the report they were given."""

    def __init__(self) -> None:
        self.report_by_member: dict[str, StatusReport] = {}
        self.asked = 0

    async def open(
        self, entry: MemberEntry, organisation: str, timeout_s: float
    ) -> SimpleNamespace:
        """Open a link to a member."""

        async def status() -> StatusReport | None:
            self.asked += 1
            return self.report_by_member.get(entry.member)

        return SimpleNamespace(is_open=True, status=status, close=lambda: None)

    def lead(self, leader: str, term: int) -> None:
        """Set reports of one primary and two replicas that follow it."""
        for member in ("m1", "m2", "m3"):
            head = Position(term, 9)
            self.report_by_member[member] = StatusReport(
                member == leader, term, head, 0, 0, 0, 1
            )


class GroupTest(IsolatedAsyncioTestCase):
    """A group of three whose members answer with given reports."""

    async def asyncSetUp(self) -> None:
        self.clock = VirtualClock()
        self.directory = directory = Directory()
        self.vms = VmTable("vm-1", 0.0)
        for member in ("m1", "m2", "m3"):
            directory.put(_entry(member), 0.0)
        self.members = ReportingMembers()
        self.group = GroupClient(
            "g",
            directory,
            self.members,
            self.clock,
            "a",
            7.0,
            self.vms,
            CentreWatch("a"),
        )
        self.group.follow_directory(32, 1)

    async def _learn(self, leader: str, term: int) -> None:
        self.clock.advance(0.1)
        self.members.lead(leader, term)
        await self.group.run_round()
        self.assertEqual(leader, self.group.evidence.leader)


class NewPrimaryTest(GroupTest):
    async def test_writes_at_the_old_primary_do_not_count_for_the_new(
        self,
    ) -> None:
        """A primary stops answering with writes in flight; it is replaced.

        The writes stay unanswered until they time out. If they counted for
        the new primary, it would appear to acknowledge nothing and would
        be replaced as well: callers would wait through a second takeover.
        """
        await self._learn("m1", 1)
        watch = self.group.writes
        number = watch.start(self.clock.now())
        self.clock.advance(2.0)
        self.assertEqual(2.0, self.group.writes.stuck_s(self.clock.now()))
        await self._learn("m2", 2)
        watch.end(number, is_answered=False)
        self.assertEqual(0.0, self.group.writes.stuck_s(self.clock.now()))

    async def test_a_probe_round_keeps_the_age_of_waiting_writes(self) -> None:
        await self._learn("m1", 1)
        self.group.writes.start(self.clock.now())
        self.clock.advance(2.0)
        await self._learn("m1", 1)
        self.assertLess(2.0, self.group.writes.stuck_s(self.clock.now()))


class ReplacedPrimaryTest(GroupTest):
    """A takeover that this VM doesn't know of: m2 is to replace m1."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.vms.set_listed((VmAddress("vm-1", "ip1", 1),))
        await self._learn("m1", 1)
        self._run_on(vms=1)

    def _run_on(self, vms: int) -> None:
        """Let time pass while this VM runs and hears the others."""
        for _ in range(2 * round(SETTLED_S / HEARTBEAT_INTERVAL_S)):
            self.clock.advance(HEARTBEAT_INTERVAL_S)
            self._hear(vms)
            self.vms.note_hears_half(self.clock.now())

    def _hear(self, vms: int) -> None:
        for number in range(2, vms + 1):
            name, ip = f"vm-{number}", f"ip{number}"
            heartbeat = Heartbeat(name, 1, ip, 1, {}, 1, None, ())
            self.vms.note(heartbeat, self.clock.now())

    def _change(self, member: str, **changes) -> None:
        report = self.members.report_by_member[member]
        self.members.report_by_member[member] = report._replace(**changes)

    def _restart(self, member: str) -> None:
        self.directory.put(_entry(member, started_ms=9), self.clock.now())

    def _fail_elsewhere(self) -> None:
        health = {"m1": PrimaryHealth(900, 0, 900, 900)}
        heartbeat = Heartbeat("vm-2", 1, "ip2", 1, health, 1, None, ())
        self.vms.note(heartbeat, self.clock.now())

    async def _confirm(self, sent_s_ago: float = 0.0) -> bool:
        now = self.clock.now()
        commit = AcknowledgedCommit(
            "1", Position(1, 10), now - sent_s_ago, deadline=now
        )
        leader = self.group.member_by_name["m1"]
        return await confirm_commit(self.group, leader, commit, 1, self.clock)

    async def test_when_a_commit_needs_confirmation(self) -> None:
        """Guards against commits confirmed by a replica that restarted."""
        cases = (
            (
                "no sign of a takeover, no replica queried",
                None,
                {"m2": {"paused_for": 2}},
                1.0,
                True,
            ),
            (
                "fails elsewhere",
                self._fail_elsewhere,
                {"m2": _HOLDS, "m3": _HOLDS},
                0.0,
                True,
            ),
            (
                "fails elsewhere, pause lost in an unknown restart",
                self._fail_elsewhere,
                {"m2": {"paused_for": 2}, "m3": _HOLDS},
                0.0,
                False,
            ),
            (
                "fails elsewhere, both paused",
                self._fail_elsewhere,
                {"m2": {"paused_for": 2}, "m3": {"paused_for": 2}},
                0.0,
                False,
            ),
            (
                "m3 has restarted, m2 is paused",
                lambda: self._restart("m3"),
                {"m2": {"paused_for": 2}},
                0.0,
                False,
            ),
            (
                "m3 has restarted, m2 leads",
                lambda: self._restart("m3"),
                {"m2": {"is_primary": True, "term": 2}},
                0.0,
                False,
            ),
            (
                "pause lost in a restart that this VM doesn't know of",
                self._fail_elsewhere,
                {"m2": {"paused_for": 2}},
                HELD_UP_S,
                False,
            ),
        )
        for name, prepare, changes, sent_s_ago, expected in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                for member, change in changes.items():
                    self._change(member, **change)
                if prepare is not None:
                    prepare()
                self.assertEqual(expected, await self._confirm(sent_s_ago))

    async def test_a_vm_that_was_suspended_through_a_takeover(self) -> None:
        """Guards against signs from before the suspension.

        m2 leads without the commit, which m3 had confirmed to m1. Heartbeats
        that the VM reads when it goes on are old.
        """
        cases = (
            ("two VMs, nothing heard yet", 2, 1, 0.0),
            ("three VMs, one old heartbeat", 3, 2, 0.0),
            ("six VMs, nothing heard yet", 6, 1, 0.0),
            ("six VMs, two old heartbeats", 6, 3, 0.0),
            ("six VMs, the next commit", 6, 3, 0.002),
        )
        for name, vms, heard, later_s in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                self.vms.set_listed(
                    tuple(
                        VmAddress(f"vm-{number}", f"ip{number}", 1)
                        for number in range(1, vms + 1)
                    )
                )
                self._run_on(vms)
                self.clock.advance(7.0)
                self.members.lead("m2", 2)
                self._hear(heard)
                if later_s:
                    self.group.proofs.signs()
                    self.clock.advance(later_s)
                    self._hear(heard + 1)
                self.assertFalse(await self._confirm(7.0))

    async def test_commits_share_one_query(self) -> None:
        """Guards against commits that wait in turn for a member's answer."""
        self._fail_elsewhere()
        for member in ("m2", "m3"):
            self._change(member, **_HOLDS)
        self.members.asked = 0
        told = await gather(*(self._confirm() for _ in range(50)))
        self.assertEqual([True] * 50, told)
        self.assertEqual(2, self.members.asked)

    async def test_a_primary_that_is_known_to_be_replaced(self) -> None:
        """Guards against proofs of the new primary's lead used for the old."""
        leader = self.group.member_by_name["m1"]
        await self._learn("m2", 2)
        now = self.clock.now()
        for sent_s_ago in (0.0, HELD_UP_S):
            with self.subTest(sent_s_ago=sent_s_ago):
                commit = AcknowledgedCommit(
                    "1", Position(1, 10), now - sent_s_ago, deadline=now
                )
                is_kept = await confirm_commit(
                    self.group, leader, commit, 1, self.clock
                )
                self.assertFalse(is_kept)

    async def test_a_commit_that_the_new_primary_has_is_kept(self) -> None:
        self._restart("m3")
        head = Position(1, 10)
        self._change("m2", is_primary=True, term=2, received=head)
        self.assertTrue(await self._confirm())

    async def test_a_draining_primary_must_confirm_that_it_leads(self) -> None:
        """Guards against stale reads proven by a partitioned replica."""
        self.assertTrue(await self.group.prove())
        leaving = _entry("m1")._replace(is_draining=True)
        self.directory.put(leaving, self.clock.now())
        self.group.follow_directory(32, 1)
        self.assertTrue(await self.group.prove())
        self._change("m1", is_primary=False)
        self.assertFalse(await self.group.prove())

    async def test_an_isolated_vm_asks_the_primary_if_it_leads(self) -> None:
        """Guards against stale reads right after a partition has healed."""
        others = tuple(VmAddress(f"vm-{n}", f"ip{n}", 1) for n in (1, 2, 3))
        self.vms.set_listed(others)
        self.assertTrue(await self.group.prove())
        self._change("m1", is_primary=False)
        self.assertFalse(await self.group.prove())


class PlacesTest(GroupTest):
    """Members in three data centres; "a" and "c" are in the region north.

    m1, the primary, is in "a", m2 in "b" and m3 in "c".
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.refused: list[tuple[str, str]] = []
        self.places = Places(
            "vm-1",
            lambda group, now: ("vm-1",),
            lambda *refused: self.refused.append(refused),
            self.clock,
            RegionMap({"a": "north", "b": "south", "c": "north"}),
        )
        self.group._places = self.places
        for member, data_centre in zip(("m1", "m2", "m3"), "abc"):
            self._list(member, data_centre)
        await self._learn("m1", 1)

    def _list(
        self, member: str, data_centre: str, left_s: float | None = None
    ) -> None:
        entry = _entry(member)._replace(
            data_centre=data_centre, cold_left_s=left_s
        )
        self.directory.put(entry, self.clock.now())
        self.group.follow_directory(32, 1)

    def _limit(self, rate: float | None) -> None:
        """Apply a rate for cold members, and wait until shares apply."""
        rule = GroupRule("g", 32, 1, rate, 30.0)
        self.places.take_rules(NO_RULES._replace(groups_by_name={"g": rule}))
        for _ in range(6):
            self.group.follow_directory(32, 1)
            self.clock.advance(0.5)

    def _ranked(self, regions: Regions) -> str:
        clients = self.group.ranked("parish", regions)
        return "".join(sorted(item.entry.member[1] for item in clients))

    async def test_members_in_the_regions(self) -> None:
        """Guards against statements outside a caller's regions."""
        north, south, west = (
            frozenset({name}) for name in ("north", "south", "west")
        )
        refused = Code.NO_MEMBER_IN_REGION.name
        cases = (
            ("unrestricted", None, "123", None, None),
            ("the primary's region", north, "13", None, None),
            ("another region", south, "2", None, refused),
            ("both regions", north | south, "123", None, None),
            ("a region without members", west, "", refused, refused),
            ("nowhere", frozenset(), "", refused, refused),
        )
        for name, regions, ranked, read, primary in cases:
            with self.subTest(name):
                self.assertEqual(ranked, self._ranked(regions))
                reads = self.group.refuse_reads(regions)
                self.assertEqual(read, reads and reads.code.name)
                writes = self.group.refuse_primary(regions)
                self.assertEqual(primary, writes and writes.code.name)
                for refusal in filter(None, (reads, writes)):
                    self.assertIs(Outcome.NOT_RUN, refusal.code.outcome)
                    self.assertGreater(refusal.retry_after_ms, 0)

    async def test_all_members_of_a_region_are_evacuated(self) -> None:
        self.directory.evacuations.put("b", self.clock.now())
        south = frozenset({"south"})
        self.assertEqual("", self._ranked(south))
        refused = self.group.refuse_reads(south)
        self.assertEqual(Code.NO_MEMBER_IN_REGION.name, refused.code.name)
        self.assertEqual("13", self._ranked(None))

    async def test_a_member_that_only_failed_is_waited_for(self) -> None:
        """Guards against a refusal where the next probe may succeed."""
        south = frozenset({"south"})
        client = self.group.member_by_name["m2"]
        self.clock.advance(0.1)
        client.failed_at = self.clock.now()
        self.assertEqual("", self._ranked(south))
        self.assertIsNone(self.group.refuse_reads(south))

    async def test_a_primary_that_is_not_known(self) -> None:
        self.group.evidence.forget("m1")
        self.assertIsNone(self.group.refuse_primary(frozenset({"south"})))
        refused = self.group.refuse_primary(frozenset({"west"}))
        self.assertEqual(Code.NO_MEMBER_IN_REGION.name, refused.code.name)

    async def test_a_cold_replica(self) -> None:
        """Guards against a read at a member that may get no more."""
        self._limit(2.0)
        self._list("m2", "b", 10.0)
        for _ in range(2):
            self.assertEqual("123", self._ranked(None))
            self.group.member_by_name["m2"].note_sent()
        self.assertEqual("13", self._ranked(None))
        refused = self.group.refuse_reads(frozenset({"south"}))
        self.assertEqual(Code.OVER_CAPACITY.name, refused.code.name)
        self.assertEqual([("g", "m2")], self.refused)
        self.clock.advance(refused.retry_after_ms / 1000.0)
        self.assertEqual("123", self._ranked(None))

    async def test_a_cold_primary(self) -> None:
        """Guards against more statements than a cold primary may get."""
        self._limit(4.0)
        self._list("m1", "a", 10.0)
        self.assertIsNone(self.group.refuse_primary(None, 3))
        for _ in range(2):
            self.group.member_by_name["m1"].note_sent()
        self.assertIsNone(self.group.refuse_primary(None))
        refused = self.group.refuse_primary(None, 3)
        self.assertEqual(Code.OVER_CAPACITY.name, refused.code.name)
        self.assertIs(Outcome.NOT_RUN, refused.code.outcome)

    async def test_when_a_member_is_cold(self) -> None:
        """Guards against a restart, or an old row, that hides coldness."""
        self._limit(0.0)
        cases = (
            ("not stated", None, 0, 0.0, False),
            ("stated", 10.0, 0, 9.0, True),
            ("stated, and over", 10.0, 0, 11.0, False),
            ("stated as warm", 0.0, 0, 0.0, False),
            ("restarted, not stated", None, 7, 29.0, True),
            ("restarted long ago", None, 8, 31.0, False),
            ("restarted, stated as warm", 0.0, 9, 0.0, False),
        )
        for name, left_s, started_ms, later_s, expected in cases:
            with self.subTest(name):
                entry = _entry("m2", started_ms)._replace(
                    data_centre="b", cold_left_s=left_s
                )
                self.directory.put(entry, self.clock.now())
                self.group.follow_directory(32, 1)
                self.clock.advance(later_s)
                client = self.group.member_by_name["m2"]
                self.assertEqual(expected, client.cold_wait_s() > 0.0)
                listed = self.directory.get("m2")
                self.assertEqual(expected, self.places.is_cold("g", listed))

    async def test_a_member_that_may_have_restarted(self) -> None:
        """Guards against a flood before the row of a new process arrives.

        Nothing listens at the member's address, then it answers again. Its
        row still states that it is warm.
        """
        self.clock.advance(CONTROL_IDLE_S)
        self._limit(2.0)
        self._list("m2", "b", 0.0)
        client = self.group.member_by_name["m2"]

        async def refuse(*arguments) -> None:
            raise LinkLost("ConnectionRefusedError", False, is_refused=True)

        client.close()
        open_link, self.members.open = self.members.open, refuse
        await client.send_command("status")
        self.members.open = open_link
        await client.send_command("status")
        for expected in (False, False, True):
            self.assertEqual(expected, client.cold_wait_s() > 0.0)
            client.note_sent()
        cases = (
            ("the old row again", 0, 0.0, 1.9, True),
            ("the new row, cold", 7, 9.0, 0.0, True),
            ("the new row, warm", 8, 0.0, 0.0, False),
        )
        for name, started_ms, left_s, later_s, expected in cases:
            with self.subTest(name):
                entry = _entry("m2", started_ms)._replace(
                    data_centre="b", cold_left_s=left_s
                )
                self.clock.advance(later_s)
                self.directory.put(entry, self.clock.now())
                self.group.follow_directory(32, 1)
                client = self.group.member_by_name["m2"]
                for _ in range(3):
                    client.note_sent()
                self.assertEqual(expected, client.cold_wait_s() > 0.0)

    async def test_a_member_that_answers_again_without_a_new_row(
        self,
    ) -> None:
        self._limit(1.0)
        client = self.group.member_by_name["m2"]
        client.cold_guard.note_ended()
        client.note_sent()
        self.clock.advance(5.0)
        self.group.follow_directory(32, 1)
        client.note_sent()
        self.assertGreater(client.cold_wait_s(), 0.0)
        client.note_answer()
        self.clock.advance(1.9)
        client.note_sent()
        self.assertGreater(client.cold_wait_s(), 0.0)
        self.clock.advance(0.2)
        self.assertEqual(0.0, client.cold_wait_s())

    async def test_without_a_rate(self) -> None:
        """Guards against a limit that no configuration names."""
        self._limit(None)
        self._list("m1", "a", 10.0)
        for _ in range(500):
            self.group.member_by_name["m1"].note_sent()
        self.assertIsNone(self.group.refuse_primary(None))
        self.assertIsNone(self.group.member_by_name["m1"].cold_guard)
