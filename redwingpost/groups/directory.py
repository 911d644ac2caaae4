"""The members that the registry lists, with a grace period after outages.

The registry drops a member that has been silent for three heartbeats,
sometimes only because the registry itself was unavailable. If its list were
used unchanged right after an outage, a group could be left without members
although all of them run, and every caller would be refused. So a member that
is missing then is kept for ``REREGISTRATION_S`` after the registry's return,
within which living members register again. One still missing after that is
gone.

An outage may go unnoticed: a VM that waits for the registry's next change
gets it once the outage is over. So a member that is removed without having
announced its end is kept equally long if it answers.
"""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.groups.evacuations import Evacuations
from redwingpost.ports.database import MemberEntry

#: Seconds after the registry's return within which living members have
#: registered again: about two according to the platform, and a margin.
REREGISTRATION_S = 2.5

#: Seconds after an outage of the registry during which its list may be stale:
#: its first answers after the return.
STALE_LIST_S = 1.0

#: Seconds for which a removed member is remembered, so that a takeover can
#: still request its report before it goes on without it. Its log may hold an
#: acknowledged commit while only its registration has lapsed.
REMOVED_RETENTION_S = 30.0


class ListedMember(NamedTuple):
    """A listed member and the times of its state changes (seconds).

    ``draining_since`` is the earliest time at which the member can have
    announced its end: the last time when the list, without the announcement,
    was known to be up to date. It is minus infinity if this VM did not see the
    announcement: at the start of this VM, or after an outage. If the drain
    time were counted from when this VM learned of it, a member whose
    announcement was delayed would get new work until it exits.
    ``restarted_at`` is when the
    member was first seen with another start time than before; minus infinity
    if that has never changed. ``cold_until`` is when it stops being cold by
    its own statement, which is counted from its arrival; minus infinity if
    it states nothing. ``joined_at`` is when the member was first listed;
    minus infinity if it already was when this VM first read the list.
    """

    entry: MemberEntry
    draining_since: float | None
    restarted_at: float
    cold_until: float = float("-inf")
    joined_at: float = float("-inf")


class RemovedMember(NamedTuple):
    """A member as last listed, and when it was removed (seconds)."""

    listed: ListedMember
    removed_at: float


class Directory:
    """The listed members, with a grace period after an outage.

    Examples
    --------
    >>> directory = Directory()
    >>> entry = MemberEntry("m1", "g", "10.0.0.1", 80, "a", False, True)
    >>> directory.put(entry, now=1.0)
    >>> directory.note_outage(now=5.0)
    >>> directory.remove("m1", now=5.5)
    >>> [item.member for item in directory.members_of("g")]
    ['m1']
    >>> directory.expire(now=8.0)
    >>> directory.members_of("g")
    ()

    Parameters
    ----------
    keep_answering_s : float, optional
        Seconds for which a removed member that still answers is kept.
    evacuations : Evacuations, optional
        The data centres whose members get no statements.
    """

    def __init__(
        self,
        keep_answering_s: float = REREGISTRATION_S,
        evacuations: Evacuations | None = None,
    ) -> None:
        self.evacuations = evacuations or Evacuations()
        self._keep_answering_s = keep_answering_s
        self._listed_by_member: dict[str, ListedMember] = {}
        self._entries_by_group: dict[str, dict[str, MemberEntry]] = {}
        self._removed_by_member: dict[str, RemovedMember] = {}
        self._drop_at_by_member: dict[str, float] = {}
        self._outage_at = float("-inf")
        self._has_list = False
        self._current_at: float | None = None
        self._changed_groups: set[str] = set()
        self._known_groups: set[str] = set()
        #: Increases with each change of a group's members.
        self.version = 0

    def take_changed_groups(self) -> frozenset[str]:
        """Return the groups whose members changed since the last call."""
        changed = frozenset(self._changed_groups)
        self._changed_groups.clear()
        return changed

    def note_current(self, now: float) -> None:
        """Record that the list held all that the registry had until now."""
        self._current_at = now

    def put(self, entry: MemberEntry, now: float) -> None:
        """Add a member's entry, or replace its earlier one."""
        previous = self._listed_by_member.get(entry.member)
        since = (
            self._draining_since(previous, now) if entry.is_draining else None
        )
        restarted_at = self._restarted_at(previous, entry, now)
        if previous is not None and previous.entry.group != entry.group:
            self._drop_from_group(previous.entry)
        cold_until = float("-inf")
        if entry.cold_left_s is not None:
            cold_until = now + entry.cold_left_s
        listed = ListedMember(
            entry, since, restarted_at, cold_until, self._joined_at(entry, now)
        )
        self._listed_by_member[entry.member] = listed
        entries = self._entries_by_group.setdefault(entry.group, {})
        entries[entry.member] = entry
        if previous is None or previous.entry != entry:
            self._note_change(entry.group)
        self._drop_at_by_member.pop(entry.member, None)
        self._removed_by_member.pop(entry.member, None)

    def remove(self, member: str, now: float, answers: bool = False) -> None:
        """Remove a member that the registry no longer lists.

        Parameters
        ----------
        member : str
            Its name.
        now : float
            Seconds.
        answers : bool, optional
            Whether no request to it has failed since its last answer.
        """
        listed = self._listed_by_member.get(member)
        if listed is None:
            return
        drop_at = self._outage_at + REREGISTRATION_S
        if answers and listed.draining_since is None:
            drop_at = max(drop_at, now + self._keep_answering_s)
        if now < drop_at:
            self._drop_at_by_member.setdefault(member, drop_at)
            return
        self._drop(member, now)

    def replace(
        self,
        entries: tuple[MemberEntry, ...],
        now: float,
        answers: Callable[[str], bool] = lambda member: False,
    ) -> None:
        """Replace the whole list; ``answers`` is as in ``remove``."""
        present = {entry.member for entry in entries}
        for entry in entries:
            self.put(entry, now)
        for member in tuple(self._listed_by_member):
            if member not in present:
                self.remove(member, now, answers(member))
        self._has_list = True

    def note_outage(self, now: float) -> None:
        """Record that the registry is, or was until now, unavailable."""
        self._outage_at = now

    def expire(self, now: float) -> None:
        """Drop missing members whose grace ended, and old removed ones."""
        for member, drop_at in tuple(self._drop_at_by_member.items()):
            if now >= drop_at:
                self._drop(member, now)
        for member, removed in tuple(self._removed_by_member.items()):
            if now - removed.removed_at > REMOVED_RETENTION_S:
                del self._removed_by_member[member]

    def get(self, member: str) -> ListedMember | None:
        """Return a listed member, None if it isn't listed."""
        return self._listed_by_member.get(member)

    def members_of(self, group: str) -> tuple[MemberEntry, ...]:
        """Return the entries of a group's listed members."""
        return tuple(self._entries_by_group.get(group, {}).values())

    def recently_removed(self, group: str) -> tuple[MemberEntry, ...]:
        """Return the entries of a group's recently removed members."""
        return tuple(
            removed.listed.entry
            for removed in self._removed_by_member.values()
            if removed.listed.entry.group == group
        )

    def announced_s(self, member: str) -> float | None:
        """Return how long before its removal a member announced its end.

        None if it didn't, or if the member isn't among the removed ones.
        """
        removed = self._removed_by_member.get(member)
        if removed is None or removed.listed.draining_since is None:
            return None
        return removed.removed_at - removed.listed.draining_since

    def groups(self) -> frozenset[str]:
        """Return the groups that have members."""
        return frozenset(self._entries_by_group)

    def known_groups(self) -> frozenset[str]:
        """Return the groups that have, or had, members."""
        return frozenset(self._known_groups)

    def _restarted_at(
        self, previous: ListedMember | None, entry: MemberEntry, now: float
    ) -> float:
        """Return when a member was first seen after a restart (seconds)."""
        removed = self._removed_by_member.get(entry.member)
        if previous is None and removed is not None:
            previous = removed.listed
            if not entry.started_ms:
                # It may have restarted while it was not listed.
                return now
        if previous is None:
            return float("-inf")
        if previous.entry.started_ms != entry.started_ms:
            return now
        return previous.restarted_at

    def _joined_at(self, entry: MemberEntry, now: float) -> float:
        """Return when a member was first listed (seconds)."""
        previous = self._listed_by_member.get(entry.member)
        if previous is None and entry.member in self._removed_by_member:
            previous = self._removed_by_member[entry.member].listed
        if previous is not None:
            return previous.joined_at
        return now if self._has_list else float("-inf")

    def _draining_since(
        self, previous: ListedMember | None, now: float
    ) -> float:
        """Return when a draining member announced its end (seconds)."""
        if previous is not None and previous.draining_since is not None:
            return previous.draining_since
        if previous is None or now < self._outage_at + STALE_LIST_S:
            return float("-inf")
        return now if self._current_at is None else self._current_at

    def _note_change(self, group: str) -> None:
        self._changed_groups.add(group)
        self._known_groups.add(group)
        self.version += 1

    def _drop_from_group(self, entry: MemberEntry) -> None:
        self._note_change(entry.group)
        entries = self._entries_by_group[entry.group]
        del entries[entry.member]
        if not entries:
            del self._entries_by_group[entry.group]

    def _drop(self, member: str, now: float) -> None:
        listed = self._listed_by_member.pop(member)
        self._drop_from_group(listed.entry)
        self._drop_at_by_member.pop(member, None)
        self._removed_by_member[member] = RemovedMember(listed, now)
