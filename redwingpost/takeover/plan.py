"""The order of a takeover: whom to stop, whom to choose, when it is safe.

A commit is acknowledged once a replica has received it. Two things must
hold. The chosen log must have all that was acknowledged; and from the
moment the promotion is ordered, the old primary must not be able to
acknowledge anything more, although it may not know yet.

An old primary that answers is stopped first. From then on it acknowledges
nothing, and its own log has everything it ever did: a replica that holds
that log may lead, whoever else is silent. One that is behind may lead only
if every other member answered after the stop and none is ahead.

An old primary that is silent may live, behind a cut. Then nobody else may
be silent, and all that answer are paused: each commit that it ever
acknowledged is in the log of one of them, and none confirms another.

Silent members count as long as their logs may matter: also those that the
registry no longer lists (``redwingpost.takeover.roster``). Two members
behind one cut would otherwise go on acknowledging while the third leads;
a crashed one that comes back between order and effect would confirm
commits that the new primary lacks.

``docs/design/takeover.md`` has the whole table.
"""

from typing import NamedTuple

from redwingpost.core.positions import Position
from redwingpost.takeover.status import MemberStatus

#: Members that may be silent where no primary was stopped: the primary
#: itself. A second one may hold the other copy of a commit, confirm more
#: of them, and vouch to readers for a primary that was replaced.
MAX_SILENT = 1


class Survey(NamedTuple):
    """What is known of a group's members right before an order.

    ``statuses`` has every member whose log may matter, silent ones too.
    ``stopped`` names an old primary that has said that it leads no more;
    the other answers came after that. ``paused_for`` is the term for which
    members were paused, ``sync_replicas`` how many replicas must receive a
    commit before it is acknowledged. ``floor`` is what the chosen log must
    hold in any case (``redwingpost.groups.evidence.GroupEvidence.floor``).
    """

    statuses: tuple[MemberStatus, ...]
    stopped: str | None
    paused_for: int
    sync_replicas: int
    floor: Position

    def others(self, member: str) -> tuple[MemberStatus, ...]:
        """Return the statuses of all members but one."""
        return tuple(
            item for item in self.statuses if item.entry.member != member
        )


class Choice(NamedTuple):
    """The replica to promote, and those to pause before."""

    chosen: MemberStatus
    others: tuple[MemberStatus, ...]


def pause_term(statuses: tuple[MemberStatus, ...]) -> int:
    """Return the term to pause for: above all that is known.

    Examples
    --------
    >>> from redwingpost.ports.database import MemberEntry, StatusReport
    >>> entry = MemberEntry("a", "g", "ip", 1, "z", False, False)
    >>> report = StatusReport(False, 3, Position(3, 1), 5, 0, 0, 0)
    >>> pause_term((MemberStatus(entry, report),))
    6
    """
    known = [
        max(item.report.term, item.report.paused_for)
        for item in statuses
        if item.report is not None
    ]
    return max(known, default=0) + 1


def candidates(
    statuses: tuple[MemberStatus, ...], leader: str | None
) -> tuple[MemberStatus, ...]:
    """Return the replicas that may be promoted, the best first.

    A member that is about to stop comes after those that stay: it would
    have to be replaced again. It is there all the same, since it may be
    the only one with everything that was acknowledged.
    """
    replicas = [
        item
        for item in statuses
        if item.entry.member != leader and not item.is_silent
        # A primary that was replaced and doesn't know yet; what it holds
        # counts all the same.
        and not item.report.is_primary
    ]
    replicas.sort(key=lambda s: (s.received, s.entry.member), reverse=True)
    return tuple(sorted(replicas, key=lambda s: s.entry.is_draining))


def choose(
    statuses: tuple[MemberStatus, ...], leader: str | None
) -> Choice | None:
    """Choose the replica that is furthest ahead, of those that stay.

    Returns
    -------
    Choice or None
        None where no replica answers.
    """
    best = candidates(statuses, leader)
    if not best:
        return None
    chosen = best[0].entry.member
    others = tuple(
        item for item in statuses if item.entry.member not in (leader, chosen)
    )
    return Choice(best[0], others)


def is_complete(
    chosen: Position, others: tuple[MemberStatus, ...], floor: Position
) -> bool:
    """Say whether the chosen log holds all that was acknowledged.

    Parameters
    ----------
    chosen : Position
        What the chosen replica has received by now.
    others : tuple of MemberStatus
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


def may_promote(chosen: MemberStatus, survey: Survey) -> bool:
    """Say whether a promotion may be ordered without losing a commit.

    Parameters
    ----------
    chosen : MemberStatus
        The member that is to lead.
    survey : Survey
        What is known of the group.

    Examples
    --------
    >>> from redwingpost.core.positions import ZERO_POSITION
    >>> from redwingpost.ports.database import MemberEntry, StatusReport
    >>> def status(name, index):
    ...     entry = MemberEntry(name, "g", "ip", 1, "z", False, False)
    ...     head = Position(1, index)
    ...     report = StatusReport(False, 1, head, 2, 0, 0, 0)
    ...     return MemberStatus(entry, report)
    >>> old = status("old", 0)._replace(report=None)
    >>> both = (status("a", 7), status("b", 5))
    >>> may_promote(both[0], Survey((old, *both), None, 2, 1, ZERO_POSITION))
    True
    >>> lost = both[1]._replace(report=None)
    >>> known = (old, both[0], lost)
    >>> may_promote(both[0], Survey(known, None, 2, 1, ZERO_POSITION))
    False
    """
    others = survey.others(chosen.entry.member)
    if survey.stopped is not None:
        return _may_follow_stopped(chosen, survey, others)
    answering = tuple(item for item in others if not item.is_silent)
    if len(others) - len(answering) > MAX_SILENT:
        return False
    if not _are_paused((chosen, *answering), survey.paused_for):
        return False
    return is_complete(chosen.received, answering, survey.floor)


def _may_follow_stopped(
    chosen: MemberStatus, survey: Survey, others: tuple[MemberStatus, ...]
) -> bool:
    """Say whether a member may lead after a primary that was stopped."""
    stopped = tuple(
        item for item in others if item.entry.member == survey.stopped
    )
    if is_complete(chosen.received, stopped, survey.floor):
        return True
    if survey.sync_replicas == 0:
        return False
    # What the stopped log has beyond the chosen one was acknowledged only
    # if another member has it too.
    rest = tuple(item for item in others if item not in stopped)
    return is_complete(chosen.received, rest, survey.floor)


def _are_paused(answering: tuple[MemberStatus, ...], term: int) -> bool:
    """Say whether members still heed a pause.

    One that has started again since it was paused has forgotten that, and
    would confirm commits to an old primary that only this VM can't reach.
    Its answer shows it.
    """
    return all(item.report.paused_for >= term for item in answering)


def is_worth_stopping(chosen: MemberStatus, survey: Survey, old: str) -> bool:
    """Say whether a stop of the old primary would let a replica lead.

    A primary that is stopped in vain leaves the group without one until
    the next try.
    """
    statuses = tuple(
        _as_stopped(item) if item.entry.member == old else item
        for item in survey.statuses
    )
    return may_promote(chosen, survey._replace(statuses=statuses, stopped=old))


def _as_stopped(status: MemberStatus) -> MemberStatus:
    if status.report is None:
        return status
    report = status.report._replace(is_primary=False)
    return status._replace(report=report)
