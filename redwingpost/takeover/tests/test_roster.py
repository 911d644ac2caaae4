"""Tests of rosters: members that join, leave and return."""

from unittest import TestCase

from redwingpost.core.positions import Position
from redwingpost.ports.database import MemberEntry, StatusReport
from redwingpost.takeover.roster import (
    PERMANENT_ABSENCE_S,
    Absence,
    Roster,
    is_gone,
    is_held_by_all,
)

_DRAIN_S = 7.0


def _entry(member: str, port: int = 80) -> MemberEntry:
    return MemberEntry(member, "g", "10.0.0.1", port, "a", False, False)


def _report(index: int) -> StatusReport:
    return StatusReport(False, 1, Position(1, index), 0, 0, 0, 0)


class RosterTest(TestCase):
    def test_which_members_are_listed(self) -> None:
        """Guards against the loss of a commit that only one member holds.

        A member that the registry has dropped may hold the only copy, so it
        stays on the roster. One that restarts at its address has its log,
        under whatever name.
        """
        recorded = Roster({}).with_listed((_entry("a", 1), _entry("b", 2)))
        cases = (
            ("dropped", (_entry("a", 1),), ["a", "b"]),
            ("a third joins", (_entry("c", 3),), ["a", "b", "c"]),
            ("another name at its address", (_entry("c", 2),), ["a", "c"]),
            ("none is listed", (), ["a", "b"]),
        )
        for name, listed, expected in cases:
            with self.subTest(name):
                roster = recorded.with_listed(listed)
                self.assertEqual(expected, sorted(roster.member_by_name))

    def test_round_trip_through_the_store(self) -> None:
        roster = Roster({}).with_listed((_entry("a", 1), _entry("b", 2)))
        read = Roster.from_value("g", roster.to_value())
        self.assertEqual(roster, read)
        for value in (
            None,
            7,
            {"a": 3},
            {"a": ["10.0.0.1", "80", "x"]},
            {"a": ["10.0.0.1", 65536, "x"]},
            {"a": ["0.0.0.0", 80, "x"]},
            {"a": ["255.255.255.255", 80, "x"]},
            {"a": ["name.invalid", 80, "x"]},
            {"a\r\nQUERY - STATUS": ["10.0.0.1", 80, "x"]},
            {"": ["10.0.0.1", 80, "x"]},
        ):
            with self.subTest(value):
                self.assertEqual(Roster({}), Roster.from_value("g", value))

    def test_which_members_are_gone(self) -> None:
        cases = (
            ("drained", Absence(0.5, _DRAIN_S + 1.0), True),
            ("ended while draining", Absence(0.5, _DRAIN_S - 1.0), False),
            ("crashed", Absence(5.0, None), False),
            ("permanently absent", Absence(PERMANENT_ABSENCE_S, None), True),
        )
        for name, absence, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, is_gone(absence, _DRAIN_S))

    def test_when_a_member_may_be_removed(self) -> None:
        """Guards against promoting a replica that lacks confirmed commits.

        A member that had confirmed commits ends while one replica receives
        nothing. If it is taken off the roster before the others hold these
        commits, the replica that lacks them may be promoted next.
        """
        position = Position(1, 7)
        cases = (
            ("all hold it", (_report(7), _report(8)), True),
            ("one receives nothing", (_report(9), _report(3)), False),
            ("one is silent", (_report(9), None), False),
            ("only one member is left", (_report(9),), False),
        )
        for name, reports, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, is_held_by_all(position, reports))
