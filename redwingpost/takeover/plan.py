"""Which replica to promote in a takeover, and when the promotion is safe.

A primary acknowledges a commit once a replica has received it. A promotion
is safe under two conditions: the chosen replica's log holds every
acknowledged commit, and from the moment of the promotion order the old
primary can't acknowledge another, although the order may not have reached it.

An old primary that answers is stopped first. From then on it acknowledges
nothing, and its log holds every commit that it has acknowledged. A replica
that holds the whole of that log may be promoted whichever other members are
silent. A replica that is behind may be promoted only if every other member
answered after the stop and none is ahead of it. A member that joined before
the stop may have confirmed commits at once, so that this requires the
registry's list as of then (``redwingpost.takeover.joining``).

An old primary that is silent may still run behind a network partition. Then
no other member may be silent, and all that answer are paused: each commit
that the old primary has acknowledged is in the log of one of them, and none
of them confirms another. The registry is read again for this, too.

A silent member counts as long as its log may hold acknowledged commits, also
after the registry has dropped it (``redwingpost.takeover.roster``).
Otherwise two members behind the same partition could go on acknowledging
commits after a third was promoted, and a crashed member that returns between
the order and its effect could confirm commits that the new primary lacks.

``docs/design/takeover.md`` has the full table of cases.
"""

from typing import NamedTuple

from redwingpost.core.positions import Position
from redwingpost.groups.regions import Losses
from redwingpost.takeover.status import MemberStatus

#: Members that may be silent where no primary was stopped: only the primary
#: itself. A second one may hold the other copy of a commit, confirm further
#: commits, and prove to readers that a primary that was replaced still leads.
MAX_SILENT = 1


class Survey(NamedTuple):
    """Status of a group's members immediately before a promotion order.

    ``statuses`` has every member whose log may hold acknowledged commits,
    including silent ones. ``stopped`` names an old primary that has confirmed
    that it no longer leads; the other members answered after that.
    ``paused_for`` is the term for which members were paused,
    ``sync_replicas`` the number of replicas that must receive a commit before
    it is acknowledged. ``floor`` is the position that the chosen log must
    hold in any case (``redwingpost.groups.evidence.GroupEvidence.floor``).
    ``has_all_members`` tells whether ``statuses`` also has the members that
    joined during the takeover, up to the primary's stop or the pauses.
    """

    statuses: tuple[MemberStatus, ...]
    stopped: str | None
    paused_for: int
    sync_replicas: int
    floor: Position
    has_all_members: bool

    def others(self, member: str) -> tuple[MemberStatus, ...]:
        """Return the statuses of all members but one."""
        return tuple(
            item for item in self.statuses if item.entry.member != member
        )


class Choice(NamedTuple):
    """The replica to promote, and the members to pause before that."""

    chosen: MemberStatus
    others: tuple[MemberStatus, ...]


def pause_term(statuses: tuple[MemberStatus, ...]) -> int:
    """Return the term to pause for: above every reported term.

    Examples
    --------
    >>> from redwingpost.ports.database import MemberEntry, StatusReport
    >>> entry = MemberEntry("a", "g", "ip", 1, "z", False, False)
    >>> report = StatusReport(False, 3, Position(3, 1), 5, 0, 0, 0)
    >>> pause_term((MemberStatus(entry, report),))
    6
    """
    terms = [
        max(item.report.term, item.report.paused_for)
        for item in statuses
        if item.report is not None
    ]
    return max(terms, default=0) + 1


def candidates(
    statuses: tuple[MemberStatus, ...],
    leader: str | None,
    ordered: str | None = None,
) -> tuple[MemberStatus, ...]:
    """Return the replicas that may be promoted, best first.

    ``ordered`` is a member whose promotion may be under way: then there is
    no other candidate (``redwingpost.takeover.orders``).

    A draining member comes after all others, as it would have to be replaced
    again. It is included because it may be the only one that holds every
    acknowledged commit. Before that, a member comes first in whose region
    the fewest routes are left without a primary, and among equals a cold
    one last. A member that no route of the group could use is left out:
    as a primary it would serve nobody, and keep those away that could.
    """
    replicas = [
        item
        for item in statuses
        if item.entry.member != leader
        and not item.is_silent
        and ordered in (None, item.entry.member)
        # Still reports as primary, although it was replaced. Its log is
        # taken into account all the same.
        and not item.report.is_primary and not item.losses.is_all
    ]
    replicas.sort(key=lambda s: (s.received, s.entry.member), reverse=True)
    return tuple(sorted(replicas, key=_reluctance))


def _reluctance(status: MemberStatus) -> tuple[bool, Losses, bool]:
    """Return a key by which the members to be preferred come first."""
    return status.entry.is_draining, status.losses, status.is_cold


def choose_replica(
    statuses: tuple[MemberStatus, ...],
    leader: str | None,
    ordered: str | None = None,
) -> Choice | None:
    """Choose the first of the candidates.

    Returns
    -------
    Choice or None
        None if no replica answers.
    """
    best = candidates(statuses, leader, ordered)
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
    """Return whether the chosen log holds every acknowledged commit.

    Parameters
    ----------
    chosen : Position
        Last position that the chosen replica has received.
    others : tuple of MemberStatus
        The other replicas as they reported when paused. Each must have
        answered, since one that is unreachable may be ahead. One that still
        reports as primary can't be paused: it would step down later and
        confirm commits that the chosen one lacks.
    floor : Position
        Position that the log must hold in any case
        (``redwingpost.groups.evidence.GroupEvidence.floor``).
    """
    return chosen >= floor and all(
        item.report is not None
        and not item.report.is_primary
        and item.received <= chosen
        for item in others
    )


def may_promote(chosen: MemberStatus, survey: Survey) -> bool:
    """Return whether a promotion can be ordered without losing a commit.

    Parameters
    ----------
    chosen : MemberStatus
        The member to promote.
    survey : Survey
        Status of the group's members.

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
    >>> survey = Survey((old, *both), None, 2, 1, ZERO_POSITION, True)
    >>> may_promote(both[0], survey)
    True
    >>> lost = both[1]._replace(report=None)
    >>> survey = survey._replace(statuses=(old, both[0], lost))
    >>> may_promote(both[0], survey)
    False
    """
    others = survey.others(chosen.entry.member)
    if survey.stopped is not None:
        return _may_replace_stopped(chosen, survey, others)
    if not survey.has_all_members:
        return False
    answering = tuple(item for item in others if not item.is_silent)
    if len(others) - len(answering) > MAX_SILENT:
        return False
    if not _are_paused((chosen, *answering), survey.paused_for):
        return False
    return is_complete(chosen.received, answering, survey.floor)


def _may_replace_stopped(
    chosen: MemberStatus, survey: Survey, others: tuple[MemberStatus, ...]
) -> bool:
    """Return whether a member may replace a primary that was stopped."""
    stopped = tuple(
        item for item in others if item.entry.member == survey.stopped
    )
    if is_complete(chosen.received, stopped, survey.floor):
        return True
    if survey.sync_replicas == 0 or not survey.has_all_members:
        return False
    # A commit that is in the stopped log but not in the chosen one was
    # acknowledged only if another member holds it too.
    rest = tuple(item for item in others if item not in stopped)
    return is_complete(chosen.received, rest, survey.floor)


def _are_paused(answering: tuple[MemberStatus, ...], term: int) -> bool:
    """Return whether all members are still paused for a term.

    A member that has restarted since it was paused has lost the pause, and
    would confirm commits to an old primary that only this VM can't reach.
    Its report shows the lost pause.
    """
    return all(item.report.paused_for >= term for item in answering)


def is_worth_stopping(
    chosen: MemberStatus,
    survey: Survey,
    old: str,
    ordered: str | None = None,
) -> bool:
    """Return whether stopping the old primary would allow a promotion.

    Stopping it where no promotion can follow leaves the group without a
    primary until the next attempt. The registry is read after the stop.
    While a promotion may be under way (``ordered``) the stopped primary
    can't be promoted again, so the chosen member must hold its whole log.
    """
    statuses = tuple(
        _as_stopped(item) if item.entry.member == old else item
        for item in survey.statuses
    )
    after_stop = survey._replace(
        statuses=statuses, stopped=old, has_all_members=ordered is None
    )
    return may_promote(chosen, after_stop)


def _as_stopped(status: MemberStatus) -> MemberStatus:
    if status.report is None:
        return status
    report = status.report._replace(is_primary=False)
    return status._replace(report=report)
