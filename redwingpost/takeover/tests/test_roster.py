"""Whose logs matter: members that come, go, and come back."""

from unittest import TestCase

from redwingpost.core.positions import Position
from redwingpost.ports.database import MemberEntry, StatusReport
from redwingpost.takeover.roster import (
    GONE_FOR_GOOD_S,
    Absence,
    Roster,
    do_all_hold,
    is_gone,
)

_DRAIN_S = 7.0


def _entry(member: str, port: int = 80) -> MemberEntry:
    return MemberEntry(member, "g", "10.0.0.1", port, "a", False, False)


def _report(index: int) -> StatusReport:
    return StatusReport(False, 1, Position(1, index), 0, 0, 0, 0)


class RosterTest(TestCase):
    def test_who_is_on_it(self) -> None:
        """A member that the registry dropped may hold the only copy.

        One that starts again at its address has the log of the one
        before, whatever its name.
        """
        known = Roster({}).with_listed((_entry("a", 1), _entry("b", 2)))
        cases = (
            ("dropped", (_entry("a", 1),), ["a", "b"]),
            ("another comes", (_entry("c", 3),), ["a", "b", "c"]),
            ("another name at its address", (_entry("c", 2),), ["a", "c"]),
            ("nobody is listed", (), ["a", "b"]),
        )
        for name, listed, expected in cases:
            with self.subTest(name):
                roster = known.with_listed(listed)
                self.assertEqual(expected, sorted(roster.member_by_name))

    def test_it_lasts_in_the_store(self) -> None:
        roster = Roster({}).with_listed((_entry("a", 1), _entry("b", 2)))
        read = Roster.from_value("g", roster.to_value())
        self.assertEqual(roster, read)
        for value in (None, 7, {"a": ["10.0.0.1", "80", "x"]}, {"a": 3}):
            with self.subTest(value):
                self.assertEqual(Roster({}), Roster.from_value("g", value))

    def test_who_is_gone(self) -> None:
        cases = (
            ("ended as announced", Absence(0.5, _DRAIN_S + 1.0), True),
            ("ended before its time", Absence(0.5, _DRAIN_S - 1.0), False),
            ("crashed", Absence(5.0, None), False),
            ("lost for good", Absence(GONE_FOR_GOOD_S, None), True),
        )
        for name, absence, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, is_gone(absence, _DRAIN_S))

    def test_when_it_may_be_forgotten(self) -> None:
        """A member goes that had confirmed commits; one replica is deaf.

        Forgotten before the others hold them, it leaves the deaf one to
        be promoted next.
        """
        position = Position(1, 7)
        cases = (
            ("all hold it", (_report(7), _report(8)), True),
            ("one is deaf", (_report(9), _report(3)), False),
            ("one is silent", (_report(9), None), False),
            ("one alone is left", (_report(9),), False),
        )
        for name, reports, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, do_all_hold(position, reports))
