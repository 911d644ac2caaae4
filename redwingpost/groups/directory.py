"""Which members there are, from a registry that may be away for a while.

The registry drops a member that has been silent for three heartbeats, at
times only because the registry itself was away. Taken at its word right
after an outage, it would leave a group without members although all of
them run, and every caller would be refused. So what is missing then is
kept for ``REAPPEAR_S`` after the registry's return, the time within
which living members are back; what is still missing is gone.

An outage may show nowhere: a VM that waits for the registry's next change
gets it once the outage is over. So a member that is removed without having
announced its end is kept as long if it answers.
"""

from collections.abc import Callable
from typing import NamedTuple

from redwingpost.ports.database import MemberEntry

#: Seconds after the registry's return within which living members have
#: registered again: about two by the platform's word, and some margin.
REAPPEAR_S = 2.5

#: Seconds after an outage of the registry in which what it tells may be
#: old news: the first answers after its return.
OLD_NEWS_S = 1.0

#: Seconds for which a member that is gone can still be asked whether it
#: lives, before a takeover concludes without it. Its log may hold an
#: acknowledged commit while only its registration has lapsed.
REMEMBER_GONE_S = 30.0


class Listed(NamedTuple):
    """A member and since when it has been in its state (seconds).

    ``draining_since`` is minus infinity where nobody here saw the member
    announce that it leaves: at the start of this VM, or after an outage.
    It may have done so long ago, and would get new work until it exits if
    its time were counted from when this VM heard of it. ``restarted_at``
    is when it was first seen in another life than
    before; minus infinity where it has always been the same.
    """

    entry: MemberEntry
    draining_since: float | None
    restarted_at: float


class Gone(NamedTuple):
    """A member as it was listed last, and when it went (seconds)."""

    listed: Listed
    gone_at: float


class Directory:
    """The members by name, with their grace after an outage.

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
        Seconds for which a member that is removed and answers is kept.
    """

    def __init__(self, keep_answering_s: float = REAPPEAR_S) -> None:
        self._keep_answering_s = keep_answering_s
        self._listed_by_member: dict[str, Listed] = {}
        self._gone_by_member: dict[str, Gone] = {}
        self._leaving_at_by_member: dict[str, float] = {}
        self._outage_at = float("-inf")

    def put(self, entry: MemberEntry, now: float) -> None:
        """Take in a member's present entry."""
        known = self._listed_by_member.get(entry.member)
        since = self._draining_since(known, now) if entry.is_draining else None
        restarted_at = self._restarted_at(known, entry, now)
        listed = Listed(entry, since, restarted_at)
        self._listed_by_member[entry.member] = listed
        self._leaving_at_by_member.pop(entry.member, None)
        self._gone_by_member.pop(entry.member, None)

    def remove(self, member: str, now: float, answers: bool = False) -> None:
        """Take in that the registry no longer lists a member.

        Parameters
        ----------
        member : str
            Its name.
        now : float
            Seconds.
        answers : bool, optional
            Whether nothing has failed there since its last answer.
        """
        listed = self._listed_by_member.get(member)
        if listed is None:
            return
        leave_at = self._outage_at + REAPPEAR_S
        if answers and listed.draining_since is None:
            leave_at = max(leave_at, now + self._keep_answering_s)
        if now < leave_at:
            self._leaving_at_by_member.setdefault(member, leave_at)
            return
        self._drop(member, now)

    def replace(
        self,
        entries: tuple[MemberEntry, ...],
        now: float,
        answers: Callable[[str], bool] = lambda member: False,
    ) -> None:
        """Take in the whole list; ``answers`` as in ``remove``."""
        present = {entry.member for entry in entries}
        for entry in entries:
            self.put(entry, now)
        for member in tuple(self._listed_by_member):
            if member not in present:
                self.remove(member, now, answers(member))

    def note_outage(self, now: float) -> None:
        """Note that the registry is, or was until now, away."""
        self._outage_at = now

    def expire(self, now: float) -> None:
        """Drop what did not come back in time, forget what is long gone."""
        for member, leave_at in tuple(self._leaving_at_by_member.items()):
            if now >= leave_at:
                self._drop(member, now)
        for member, gone in tuple(self._gone_by_member.items()):
            if now - gone.gone_at > REMEMBER_GONE_S:
                del self._gone_by_member[member]

    def get(self, member: str) -> Listed | None:
        """Return a listed member."""
        return self._listed_by_member.get(member)

    def members_of(self, group: str) -> tuple[MemberEntry, ...]:
        """Return a group's members."""
        return tuple(
            listed.entry
            for listed in self._listed_by_member.values()
            if listed.entry.group == group
        )

    def lately_gone(self, group: str) -> tuple[MemberEntry, ...]:
        """Return a group's members that have gone a short while ago."""
        return tuple(
            gone.listed.entry
            for gone in self._gone_by_member.values()
            if gone.listed.entry.group == group
        )

    def announced_s(self, member: str) -> float | None:
        """Return for how long a member had announced its end as it went.

        None where it hadn't, or where this VM doesn't know the member.
        """
        gone = self._gone_by_member.get(member)
        if gone is None or gone.listed.draining_since is None:
            return None
        return gone.gone_at - gone.listed.draining_since

    def groups(self) -> frozenset[str]:
        """Return the groups that have members."""
        return frozenset(
            listed.entry.group for listed in self._listed_by_member.values()
        )

    def _restarted_at(
        self, known: Listed | None, entry: MemberEntry, now: float
    ) -> float:
        """Return when a member was first seen in another life (seconds)."""
        gone = self._gone_by_member.get(entry.member)
        if known is None and gone is not None:
            known = gone.listed
            if not entry.started_ms:
                # Nothing tells whether it started again off the list.
                return now
        if known is None:
            return float("-inf")
        if known.entry.started_ms != entry.started_ms:
            return now
        return known.restarted_at

    def _draining_since(self, known: Listed | None, now: float) -> float:
        """Return since when a member that is leaving has been (seconds)."""
        if known is not None and known.draining_since is not None:
            return known.draining_since
        if known is None or now < self._outage_at + OLD_NEWS_S:
            return float("-inf")
        return now

    def _drop(self, member: str, now: float) -> None:
        listed = self._listed_by_member.pop(member)
        self._leaving_at_by_member.pop(member, None)
        self._gone_by_member[member] = Gone(listed, now)
