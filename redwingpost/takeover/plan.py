"""The order of a takeover: whom to pause, whom to choose, when it is safe.

A commit is acknowledged once one replica has received it. Two things
must hold. The chosen replica must have all that was acknowledged; and
from the moment it leads, the old primary must not be able to acknowledge
anything, although it may not know yet.

Both follow from pausing. A paused replica receives nothing, so once all
replicas but the chosen one are paused, only the chosen one can confirm a
commit: whatever is acknowledged from then on it holds, and if it is not
behind any paused one it holds what was acknowledged before. When it
leads, the old primary has nobody left to confirm its commits.

A planned change leaves the chosen replica receiving, so the old primary
serves on until the new one leads. Where the primary is lost all replicas
are paused first, since which of them is ahead can then no longer change.

Each replica must be paused or known to be gone. One that only this VM
can't reach may hold the single copy of an acknowledged commit, and may
vouch for the old primary to others.

One that is gone may have held it as well. A primary crashes for good
while one replica receives nothing; the other, which leads now, holds the
single copy of what was acknowledged before, and commits nothing, for want
of a replica that receives. To the rules above the deaf replica is then
complete: nobody else is left to compare it with. So the chosen log must
also hold what the present primary began with (``floor``).
"""

from typing import NamedTuple

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.ports.database import MemberEntry, StatusReport


class Standing(NamedTuple):
    """A member and its report; None where it didn't answer."""

    entry: MemberEntry
    report: StatusReport | None

    @property
    def received(self) -> Position:
        """Return the head of the member's log, as far as known."""
        return ZERO_POSITION if self.report is None else self.report.received


class Choice(NamedTuple):
    """The replica to promote, and those to pause before."""

    chosen: Standing
    others: tuple[Standing, ...]


def pause_term(standings: tuple[Standing, ...]) -> int:
    """Return the term to pause for: above all that is known.

    Examples
    --------
    >>> entry = MemberEntry("a", "g", "ip", 1, "z", False, False)
    >>> report = StatusReport(False, 3, Position(3, 1), 5, 0, 0, 0)
    >>> pause_term((Standing(entry, report),))
    6
    """
    known = [
        max(item.report.term, item.report.paused_for)
        for item in standings
        if item.report is not None
    ]
    return max(known, default=0) + 1


def choose(
    standings: tuple[Standing, ...], leader: str | None
) -> Choice | None:
    """Choose the replica that is furthest ahead.

    A member that is about to stop is chosen only where no other has as
    much: it would have to be replaced again.

    Returns
    -------
    Choice or None
        None where no replica answers.
    """
    replicas = [
        item
        for item in standings
        if item.entry.member != leader and item.report is not None
        # A primary that was replaced and doesn't know yet; what it holds
        # counts below all the same.
        and not item.report.is_primary
    ]
    if not replicas:
        return None
    staying = [item for item in replicas if not item.entry.is_draining]
    pool = staying or replicas
    chosen = max(pool, key=lambda s: (s.received, s.entry.member))
    others = tuple(
        item
        for item in standings
        if item.entry.member not in (leader, chosen.entry.member)
    )
    return Choice(chosen, others)


def is_complete(
    chosen: Position, others: tuple[Standing, ...], floor: Position
) -> bool:
    """Say whether the chosen log holds all that was acknowledged.

    Parameters
    ----------
    chosen : Position
        What the chosen replica has received by now.
    others : tuple of Standing
        The other replicas as they reported when paused; each must have
        answered, since one that is unreachable may be ahead. One that
        still takes itself for the primary can't be paused: it would step
        down later and confirm commits that the chosen one lacks.
    floor : Position
        What the log must hold in any case
        (``redwingpost.groups.evidence.GroupEvidence.floor``).
    """
    return chosen >= floor and all(
        item.report is not None
        and not item.report.is_primary
        and item.received <= chosen
        for item in others
    )
