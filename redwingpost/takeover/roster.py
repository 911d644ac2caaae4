"""The members of a group whose logs may hold acknowledged commits.

The registry lists the members that run now. A member that it has dropped may
still run behind a network partition, or return with its log. If another
member is promoted without regard to it, that member may lack commits that
only the dropped one and the old primary hold, and callers lose acknowledged
writes. So a group's roster names all members that the group has had. It is
kept in the fleet's store, since a VM that has just started has only the
registry's present list.

A member is removed from the roster under two conditions. It is gone: it
announced its end and drained for the full time, or it has been off the list
for long. And all remaining members have been seen to hold the position that
the primary held after that, so that every commit that the missing member
confirmed is in every log that may be chosen.
"""

from typing import Any, NamedTuple

from redwingpost.core.foreign import is_host_ip, is_port, is_word
from redwingpost.core.positions import Position
from redwingpost.ports.database import MemberEntry, StatusReport

#: Seconds off the registry's list after which a member that never announced
#: its end counts as gone: far longer than a crash or a partition lasts.
PERMANENT_ABSENCE_S = 30.0

#: Smallest number of remaining members that must hold the commits which a
#: missing one may have confirmed: as many as held a commit when it was
#: acknowledged.
MIN_HOLDERS = 2


class Absence(NamedTuple):
    """How a member left the registry's list; times are seconds.

    ``missing_s`` is how long it has been off the list, ``announced_s`` how
    long before that it had announced its end (None if it hadn't).
    """

    missing_s: float
    announced_s: float | None


class Roster(NamedTuple):
    """A group's members as recorded in the fleet's store."""

    member_by_name: dict[str, MemberEntry]

    def with_listed(self, entries: tuple[MemberEntry, ...]) -> "Roster":
        """Return the roster with the members that the registry lists.

        A member that restarts at its address may have another name, and the
        log of the earlier entry; it replaces that entry.

        Examples
        --------
        >>> old = MemberEntry("m1", "g", "10.0.0.1", 80, "a", False, True)
        >>> new = old._replace(member="m2", claims_primary=False)
        >>> roster = Roster({}).with_listed((old,))
        >>> sorted(roster.with_listed((new,)).member_by_name)
        ['m2']
        """
        listed = {entry.member: _without_state(entry) for entry in entries}
        addresses = {(entry.ip, entry.port) for entry in entries}
        earlier = {
            name: entry
            for name, entry in self.member_by_name.items()
            if (entry.ip, entry.port) not in addresses
        }
        return Roster({**earlier, **listed})

    def merged(self, other: "Roster") -> "Roster":
        """Return the roster with the members of another one added."""
        return Roster({**other.member_by_name, **self.member_by_name})

    def without(self, members: frozenset[str]) -> "Roster":
        """Return the roster without members whose logs are not needed."""
        return Roster(
            {
                name: entry
                for name, entry in self.member_by_name.items()
                if name not in members
            }
        )

    def to_value(self) -> dict[str, Any]:
        """Return the value to store in the group's row."""
        return {
            name: [entry.ip, entry.port, entry.data_centre]
            for name, entry in self.member_by_name.items()
        }

    @classmethod
    def from_value(cls, group: str, value: Any) -> "Roster":
        """Return the roster in a row's value, without unreadable entries.

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
                name: MemberEntry(name, group, *address, False, False)
                for name, address in value.items()
                if is_word(name) and _is_address(address)
            }
        )


def is_gone(absence: Absence, drain_s: float) -> bool:
    """Return whether a member that is off the list will not return.

    Parameters
    ----------
    absence : Absence
        How it left the list.
    drain_s : float
        Seconds for which a member goes on serving after it has announced its
        end. One that left sooner did not end as planned: it crashed, or it
        runs behind a partition and goes on confirming commits.

    Examples
    --------
    >>> is_gone(Absence(missing_s=1.0, announced_s=10.2), drain_s=10.0)
    True
    >>> is_gone(Absence(missing_s=1.0, announced_s=2.0), drain_s=10.0)
    False
    >>> is_gone(Absence(missing_s=1.0, announced_s=None), drain_s=10.0)
    False
    """
    if absence.missing_s >= PERMANENT_ABSENCE_S:
        return True
    return absence.announced_s is not None and absence.announced_s >= drain_s


def is_held_by_all(
    position: Position, reports: tuple[StatusReport | None, ...]
) -> bool:
    """Return whether all remaining members report that they hold a position.

    One member is not enough: if it is lost next, commits that only it held
    are lost unnoticed.
    """
    return len(reports) >= MIN_HOLDERS and all(
        report is not None and report.received >= position
        for report in reports
    )


def _without_state(entry: MemberEntry) -> MemberEntry:
    """Return an entry without the state that changes while a member runs."""
    return MemberEntry(
        entry.member,
        entry.group,
        entry.ip,
        entry.port,
        entry.data_centre,
        False,
        False,
    )


def _is_address(value: Any) -> bool:
    return (
        isinstance(value, list)
        and len(value) == 3
        and is_host_ip(value[0])
        and is_port(value[1])
        and isinstance(value[2], str)
    )
