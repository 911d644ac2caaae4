"""Which members' logs may hold commits that callers count on.

The registry lists who runs now. A member that it has dropped may still
run behind a cut, or come back with its log: promoted without it, another
member may lack commits that only the dropped one and the old primary
have. Its callers would find them gone. So a group's roster names all
members it has had, and lasts in the fleet's store, since a VM that has
just started has only seen the list of that moment.

A member is taken off the roster once two things hold. It is gone: it
announced its end and used the time for that, or nothing has been seen of
it for long. And all members that stay were seen to hold what the primary
held after that; a commit that the missing one confirmed is then in every
log that may be chosen.
"""

from typing import Any, NamedTuple

from redwingpost.core.positions import Position
from redwingpost.ports.database import MemberEntry, StatusReport

#: Seconds off the registry's list after which a member that never
#: announced its end counts as gone: far above what a crash or a cut lasts.
GONE_FOR_GOOD_S = 30.0

#: Members that must hold what a missing one may have confirmed: as many as
#: held it when it was acknowledged.
MIN_HOLDERS = 2


class Absence(NamedTuple):
    """How a member went off the registry's list.

    ``missing_s`` is since when it is off the list, ``announced_s`` for how
    long its end had been announced by then; None where it wasn't.
    """

    missing_s: float
    announced_s: float | None


class Roster(NamedTuple):
    """A group's members as the fleet's store keeps them."""

    member_by_name: dict[str, MemberEntry]

    def with_listed(self, entries: tuple[MemberEntry, ...]) -> "Roster":
        """Return the roster with those that the registry lists.

        A member that starts again at its address may come under another
        name, with the log of the one before; that one is listed no more.

        Examples
        --------
        >>> old = MemberEntry("m1", "g", "10.0.0.1", 80, "a", False, True)
        >>> new = old._replace(member="m2", claims_primary=False)
        >>> roster = Roster({}).with_listed((old,))
        >>> sorted(roster.with_listed((new,)).member_by_name)
        ['m2']
        """
        listed = {entry.member: _lasting(entry) for entry in entries}
        addresses = {(entry.ip, entry.port) for entry in entries}
        earlier = {
            name: entry
            for name, entry in self.member_by_name.items()
            if (entry.ip, entry.port) not in addresses
        }
        return Roster({**earlier, **listed})

    def without(self, members: frozenset[str]) -> "Roster":
        """Return the roster without members whose logs matter no more."""
        return Roster(
            {
                name: entry
                for name, entry in self.member_by_name.items()
                if name not in members
            }
        )

    def to_value(self) -> dict[str, Any]:
        """Return the row's value."""
        return {
            name: [entry.ip, entry.port, entry.data_centre]
            for name, entry in self.member_by_name.items()
        }

    @classmethod
    def from_value(cls, group: str, value: Any) -> "Roster":
        """Return what a row holds; entries that can't be read are left out.

        Examples
        --------
        >>> value = {"m1": ["10.0.0.1", 80, "a"], "m2": None}
        >>> roster = Roster.from_value("g", value)
        >>> roster.to_value()
        {'m1': ['10.0.0.1', 80, 'a']}
        """
        if not isinstance(value, dict):
            return cls({})
        return cls(
            {
                name: MemberEntry(name, group, *place, False, False)
                for name, place in value.items()
                if _is_place(place)
            }
        )


def is_gone(absence: Absence, drain_s: float) -> bool:
    """Say whether a member that is off the list will not come back.

    Parameters
    ----------
    absence : Absence
        How it went.
    drain_s : float
        Seconds that a member serves on after it has announced its end. One
        that went sooner did not end as planned: it crashed, or lives
        behind a cut and goes on confirming commits.

    Examples
    --------
    >>> is_gone(Absence(missing_s=1.0, announced_s=10.2), drain_s=10.0)
    True
    >>> is_gone(Absence(missing_s=1.0, announced_s=2.0), drain_s=10.0)
    False
    >>> is_gone(Absence(missing_s=1.0, announced_s=None), drain_s=10.0)
    False
    """
    if absence.missing_s >= GONE_FOR_GOOD_S:
        return True
    return absence.announced_s is not None and absence.announced_s >= drain_s


def do_all_hold(
    position: Position, reports: tuple[StatusReport | None, ...]
) -> bool:
    """Say whether all members that stay say that they hold a position.

    One alone is not enough: it may be lost next, and nobody would miss
    what was only there.
    """
    return len(reports) >= MIN_HOLDERS and all(
        report is not None and report.received >= position
        for report in reports
    )


def _lasting(entry: MemberEntry) -> MemberEntry:
    """Return an entry without what changes while a member runs."""
    return MemberEntry(
        entry.member,
        entry.group,
        entry.ip,
        entry.port,
        entry.data_centre,
        False,
        False,
    )


def _is_place(place: Any) -> bool:
    return (
        isinstance(place, list)
        and len(place) == 3
        and isinstance(place[0], str)
        and isinstance(place[1], int)
        and isinstance(place[2], str)
    )
