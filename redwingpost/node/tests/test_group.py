"""What a group's client makes of its members' reports."""

from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from redwingpost.core.positions import Position
from redwingpost.groups.directory import Directory
from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.hearing import VmTable
from redwingpost.node.group import GroupClient
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import MemberEntry, StatusReport


class ReportingMembers:
    """Opens links whose members answer with the report they were given."""

    def __init__(self) -> None:
        self.report_by_member: dict[str, StatusReport] = {}

    async def open(
        self, entry: MemberEntry, organisation: str, timeout_s: float
    ) -> SimpleNamespace:
        """Open a link to a member."""

        async def status() -> StatusReport:
            return self.report_by_member[entry.member]

        return SimpleNamespace(is_open=True, status=status, close=lambda: None)

    def lead(self, leader: str, term: int) -> None:
        """Let one member lead and the others follow."""
        for member in ("m1", "m2", "m3"):
            head = Position(term, 9)
            self.report_by_member[member] = StatusReport(
                member == leader, term, head, 0, 0, 0, 1
            )


class NewPrimaryTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = VirtualClock()
        directory = Directory()
        for member in ("m1", "m2", "m3"):
            directory.put(
                MemberEntry(member, "g", "ip", 1, "a", False, member == "m1"),
                0.0,
            )
        self.members = ReportingMembers()
        self.group = GroupClient(
            "g",
            directory,
            self.members,
            self.clock,
            "a",
            7.0,
            VmTable("vm-1", 0.0),
            CentreWatch("a"),
        )
        self.group.follow_directory(32, 1)

    async def _learn(self, leader: str, term: int) -> None:
        self.clock.advance(0.1)
        self.members.lead(leader, term)
        await self.group.run_round()
        self.assertEqual(leader, self.group.evidence.leader)

    async def test_hanging_writes_don_t_speak_against_a_new_primary(
        self,
    ) -> None:
        """A primary goes dark with writes under way, and is replaced.

        The writes hang on until their time limit. If they counted for
        the new primary, it would seem to acknowledge nothing, and would
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

    async def test_a_round_leaves_the_watch_of_writes_alone(self) -> None:
        await self._learn("m1", 1)
        self.group.writes.start(self.clock.now())
        self.clock.advance(2.0)
        await self._learn("m1", 1)
        self.assertLess(2.0, self.group.writes.stuck_s(self.clock.now()))
