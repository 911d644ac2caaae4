"""When a group needs another primary, and who sees to it.

Load pattern: a primary crashes, goes silent, is cut off from its
replicas or from some of the VMs, or announces that it will stop. Acting
on one VM's silence replaces a primary that only that VM can't reach, and
every caller pays for it with a second without writes. So a primary
counts as lost only if no VM in hearing has reached it lately, or if more
than half of them can't.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from redwingpost.membership.heartbeat import MergedHealth, PrimaryHealth

#: Seconds without an answer after which a primary counts as silent:
#: several times the longest ordinary answer and the probe's interval.
SILENT_S = 1.0

#: What others must report at least (seconds): their probes are spread
#: over an interval, and a report is one heartbeat old.
OTHERS_SILENT_S = 0.6

#: Seconds for which the primary's whole data centre must have been lost:
#: the evidence of several members and VMs needs no second, for which the
#: group would be without a primary.
CENTRE_LOST_S = 0.6

#: What the VMs heard lately must report at least then (seconds): their
#: report is a heartbeat old.
CENTRE_OTHERS_SILENT_S = 0.3

#: Seconds that commits may wait for a replica before the primary counts
#: as cut off from its replicas. Replicas receive a commit within
#: milliseconds, however long they take to apply it.
STALLED_S = 1.2

#: Seconds without any primary among members that answer.
NONE_LEADS_S = 0.8

#: Seconds that each further VM waits for the one before it to act: what
#: a claim of the duty takes, with some margin. Two that act at once meet
#: at the duty's row, and one of them gives way.
TURN_S = 0.15


class Reason(Enum):
    """Why another primary is needed."""

    LEAVING = "leaving"
    SILENT = "silent"
    STALLED = "stalled"
    NONE_LEADS = "none-leads"
    LEFT_PAUSED = "left-paused"


class LeaderView(NamedTuple):
    """What one VM sees of a group's primary; times are seconds.

    ``silent_s`` is 0 while nothing has failed; ``others_silent_s`` and
    ``others_failing_s`` hold what the VMs in hearing say. ``hears_half``:
    at least half of the VMs are in hearing, this one included.
    ``is_off_list``: the registry, which answers, lists no primary.
    ``stuck_s`` is since when writes of some VM have waited in vain while
    no VM in hearing had one acknowledged. ``centre_lost_s`` is for how
    long the primary's whole data centre has been out of reach, and
    ``latest_silent_s`` what the VMs heard lately say of the primary;
    ``hears_half_lately`` counts these.
    """

    leader: str | None
    is_listed: bool
    is_draining: bool
    silent_s: float
    others_silent_s: tuple[float, ...]
    others_failing_s: tuple[float, ...]
    hears_half: bool
    stalled_s: float
    stuck_s: float
    leaderless_s: float
    is_off_list: bool
    replicas_answering: int
    paused_s: float
    centre_lost_s: float = 0.0
    latest_silent_s: tuple[float, ...] = ()
    hears_half_lately: bool = True


def reason_to_act(view: LeaderView) -> Reason | None:
    """Return why the primary must be replaced, or None.

    Examples
    --------
    >>> calm = LeaderView(
    ...     "a", True, False, 0.0, (), (), True, 0.0, 0.0, 0.0, False, 2, 0.0
    ... )
    >>> reason_to_act(calm) is None
    True
    >>> reason_to_act(calm._replace(is_draining=True)).value
    'leaving'
    """
    if view.replicas_answering == 0:
        return None
    if view.leader is None:
        return _without_leader(view)
    if view.is_draining and view.silent_s < SILENT_S:
        return Reason.LEAVING
    if _is_silent(view) or _is_centre_lost(view):
        return Reason.SILENT
    if _is_stalled(view):
        return Reason.STALLED
    if view.silent_s >= SILENT_S:
        return None
    if view.paused_s >= SILENT_S:
        return Reason.LEFT_PAUSED
    return None


def stuck_at_all_s(
    own_stuck_s: float,
    own_acked_s: float,
    reports: Iterable[PrimaryHealth | MergedHealth],
) -> float:
    """Return since when writes wait in vain and none is acknowledged.

    Parameters
    ----------
    own_stuck_s, own_acked_s : float
        This VM's experience (seconds).
    reports : iterable of PrimaryHealth or MergedHealth
        That of the VMs in hearing.

    Examples
    --------
    >>> stuck_at_all_s(2.0, 9.0, [])
    2.0
    >>> stuck_at_all_s(0.0, 9.0, [PrimaryHealth(100, 1500, 8000, 0)])
    1.5
    >>> stuck_at_all_s(2.0, 9.0, [PrimaryHealth(100, 0, 300, 0)])
    0.0
    """
    stuck_s = [own_stuck_s, *(report.stuck_ms / 1000.0 for report in reports)]
    acked_s = [own_acked_s, *(report.acked_ms / 1000.0 for report in reports)]
    longest_s = max(stuck_s)
    return longest_s if min(acked_s) > longest_s else 0.0


def _without_leader(view: LeaderView) -> Reason | None:
    if view.leaderless_s < NONE_LEADS_S:
        return None
    # The registry drops a primary that has not reported for three
    # heartbeats: then even a VM that hears nobody may act. It may be the
    # only one on the replicas' side of a cut.
    if view.hears_half or view.is_off_list:
        return Reason.NONE_LEADS
    return None


def _is_stalled(view: LeaderView) -> bool:
    """Say whether the primary can't get commits to its replicas.

    Seen either in the logs, by a VM that reaches all members; or in that
    writes wait in vain and none is acknowledged to anybody. The latter
    also shows where the primary and some VMs are on one side of a cut
    and its replicas on the other: no VM then sees both.
    """
    if view.stalled_s >= STALLED_S:
        return True
    return view.stuck_s >= STALLED_S and view.hears_half


def _is_silent(view: LeaderView) -> bool:
    if view.silent_s < SILENT_S:
        return False
    if not view.is_listed:
        return True
    if not view.hears_half:
        return False
    if all(silent >= OTHERS_SILENT_S for silent in view.others_silent_s):
        return True
    return _is_lost_to_most(view)


def _is_centre_lost(view: LeaderView) -> bool:
    """Say whether the primary's data centre is lost to all in hearing."""
    if view.centre_lost_s < CENTRE_LOST_S or not view.hears_half_lately:
        return False
    return all(s >= CENTRE_OTHERS_SILENT_S for s in view.latest_silent_s)


def _is_lost_to_most(view: LeaderView) -> bool:
    """Say whether more than half of the VMs can't reach the primary.

    A primary that a cut leaves to a few VMs serves their callers and
    nobody else's; a replica that all reach serves everybody.
    """
    failing = 1 + sum(s >= OTHERS_SILENT_S for s in view.others_failing_s)
    return 2 * failing > 1 + len(view.others_failing_s)
