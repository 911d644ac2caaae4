"""One takeover among members that fail while it goes on."""

from collections.abc import Callable
from unittest import IsolatedAsyncioTestCase

from redwingpost.core.positions import Position
from redwingpost.groups.directory import Directory
from redwingpost.groups.evidence import GroupEvidence
from redwingpost.leases.duty import HeldDuty
from redwingpost.node.takeover.conductor import Conductor, Outside
from redwingpost.ports.clock import MonotonicClock
from redwingpost.ports.database import MemberEntry, StatusReport
from redwingpost.takeover.roster import Roster
from redwingpost.takeover.triggers import Reason

_GROUP = "g"


def _entry(member: str, is_primary: bool = False) -> MemberEntry:
    return MemberEntry(member, _GROUP, "ip", ord(member), "a", 0, is_primary)


class FakeMember:
    """A member of a group, and its client in one."""

    def __init__(self, name: str, index: int, is_primary: bool = False):
        self.entry = _entry(name, is_primary)
        self.is_primary = is_primary
        self.index = index
        self.term = 1
        self.paused_for = 0
        self.is_silent = False
        self.heard: list[str] = []
        self.before: Callable[[str], None] = lambda command: None

    async def send_command(
        self, command: str, *arguments: int
    ) -> StatusReport | None:
        """Do as told, and report."""
        self.before(command)
        if self.is_silent:
            return None
        self.heard.append(command)
        if command == "pause":
            self.paused_for = arguments[0]
        elif command == "resume":
            self.paused_for = 0
        elif command == "step_down" and arguments[0] > self.term:
            self.is_primary = False
        head = Position(self.term, self.index)
        return StatusReport(
            self.is_primary, self.term, head, self.paused_for, 0, 0, 0
        )

    def close(self) -> None:
        """Nothing rests here."""


class FakeGroup:
    """A group of three, and the platform's orders."""

    name = _GROUP

    def __init__(self, listed: str = "pab") -> None:
        self.all_by_name = {
            "p": FakeMember("p", 9, is_primary=True),
            "a": FakeMember("a", 9),
            "b": FakeMember("b", 9),
        }
        self.member_by_name = {name: self.all_by_name[name] for name in listed}
        self.evidence = GroupEvidence()
        self.ordered: list[str] = []
        self.stopped_by_order: list[bool] = []

    async def promote(self, group, member, holder, fence) -> bool:
        """Take an order, which takes effect at once."""
        primary = self.all_by_name["p"]
        self.ordered.append(member)
        self.stopped_by_order.append(not primary.is_primary)
        chosen = self.all_by_name[member]
        chosen.is_primary = True
        chosen.term += 1
        return True

    async def fresh_round(self) -> None:
        """Ask nobody."""


class TakeoverTest(IsolatedAsyncioTestCase):
    def _conductor(self, group: FakeGroup, roster: str = "pab") -> Conductor:
        clock = MonotonicClock()
        directory = Directory()
        for member in group.member_by_name.values():
            directory.put(member.entry, clock.now())
        outside = Outside(directory, None, group, clock, "vm-1")
        entries = tuple(_entry(name) for name in roster)
        duty = HeldDuty(1, clock.now() + 60.0)
        known = Roster({}).with_listed(entries)
        conductor = Conductor(group, known, 1, duty, outside)
        for name, client in group.all_by_name.items():
            if name in conductor.clients:
                conductor.clients[name] = client
        return conductor

    async def test_a_primary_that_answers_is_stopped_first(self) -> None:
        """A primary is to stop soon, and another replaces it.

        Commits that it takes until the new one leads may reach a replica
        that has just forgotten its pause, and nobody else.
        """
        group = FakeGroup()
        outcome = await self._conductor(group).run(Reason.LEAVING)
        self.assertEqual("done", outcome)
        self.assertEqual([True], group.stopped_by_order)
        self.assertIn("pause", group.all_by_name["a"].heard)

    async def test_two_silent_members(self) -> None:
        """The primary is silent, and another member with it.

        They may be behind one cut and go on acknowledging to callers
        there; or the other one comes back, unpaused, before the promotion
        takes effect. On the registry's list only the third is left, and
        the VM has just started: it has never seen the others.
        """
        cases = (
            ("both dropped", "b", "pab", []),
            ("the primary dropped", "ab", "pab", []),
            ("the primary alone is silent", "pab", "pab", ["b"]),
            ("the other is long gone", "pb", "pb", ["b"]),
        )
        for name, listed, roster, expected in cases:
            with self.subTest(name):
                group = FakeGroup(listed)
                group.all_by_name["p"].is_silent = True
                group.all_by_name["a"].is_silent = not expected
                conductor = self._conductor(group, roster)
                await conductor.run(Reason.NONE_LEADS)
                self.assertEqual(expected, group.ordered)

    async def test_a_replica_starts_again_before_the_order(self) -> None:
        """A paused replica starts again and has forgotten its pause.

        The primary can't be asked, but lives, and has this replica confirm
        a commit before it is paused once more. The other one, which was
        as far, lacks that commit now.
        """
        group = FakeGroup()
        group.all_by_name["p"].is_silent = True
        restarting = group.all_by_name["a"]

        def confirm(command: str) -> None:
            if command == "pause" and restarting.heard.count("pause") == 1:
                restarting.index += 1

        restarting.before = confirm
        outcome = await self._conductor(group).run(Reason.SILENT)
        self.assertEqual("done", outcome)
        self.assertEqual(["a"], group.ordered)

    async def test_a_stop_in_vain_is_not_tried(self) -> None:
        """A primary's commits reach no replica, and a member is missing.

        The missing one may have confirmed what the others lack. A stop
        would only end the primary's service.
        """
        group = FakeGroup()
        group.all_by_name["p"].index = 20
        group.all_by_name["a"].is_silent = True
        outcome = await self._conductor(group).run(Reason.STALLED)
        self.assertEqual("not safe yet", outcome)
        self.assertNotIn("step_down", group.all_by_name["p"].heard)

    async def test_a_primary_that_does_not_stop(self) -> None:
        """A primary answers the stop, and leads all the same.

        It has heard of a newer term than this VM. Promoted over it,
        another would lack what it goes on acknowledging.
        """
        group = FakeGroup()
        primary = group.all_by_name["p"]

        def hear_of_a_newer_term(command: str) -> None:
            if command == "step_down":
                primary.term = 9

        primary.before = hear_of_a_newer_term
        outcome = await self._conductor(group).run(Reason.LEAVING)
        self.assertEqual("not safe yet", outcome)
        self.assertEqual([], group.ordered)
