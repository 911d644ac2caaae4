"""When a group's primary must be replaced.

A primary may crash, stop answering, be partitioned from its replicas or from
some of the VMs, or announce that it will stop. If a single VM's timeouts were
enough, a primary that only this VM can't reach would be replaced, and all
callers would lose about a second of writes. So a primary counts as lost only
if no VM whose heartbeats arrive has reached it recently, or if more than half
of them can't reach it.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from redwingpost.membership.heartbeat import MergedHealth, PrimaryHealth

#: Seconds without an answer after which a primary counts as silent:
#: several times the longest ordinary response time and the probe interval.
SILENT_S = 1.0

#: Silence (seconds) that the other VMs must report at least: their probes are
#: spread over an interval, and a report is one heartbeat old.
OTHERS_SILENT_S = 0.6

#: Seconds for which the primary's whole data centre must have been
#: unreachable: below ``SILENT_S``, as several members and VMs confirm it, and
#: the group is without a primary meanwhile.
CENTRE_LOST_S = 0.6

#: Silence (seconds) that the VMs with a recent heartbeat must report at least
#: in that case: their report is one heartbeat old.
CENTRE_OTHERS_SILENT_S = 0.3

#: Seconds that commits may wait for a replica before the primary counts as
#: partitioned from its replicas. Replicas receive a commit within
#: milliseconds, however long they take to apply it.
STALLED_S = 1.2

#: Seconds without a primary among the members that answer, after which one
#: of them is promoted.
NO_PRIMARY_S = 0.8

#: Seconds by which each further VM delays its takeover after the one before
#: it: the time to claim the duty, with a margin. If two act at once, only one
#: of them gets the duty's row.
TAKEOVER_STAGGER_S = 0.15


class Reason(Enum):
    """Why another primary is needed."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    SILENT = "silent"
    STALLED = "stalled"
    NONE_LEADS = "none-leads"
    LEFT_PAUSED = "left-paused"


class LeaderView(NamedTuple):
    """One VM's view of a group's primary; times are seconds.

    Attributes
    ----------
    leader : str or None
        The primary.
    is_listed, is_draining : bool
        The primary's state in the registry.
    silent_s : float
        How long it hasn't answered this VM; 0 while nothing has failed.
    others_silent_s, others_failing_s : tuple of float
        The same from the VMs whose heartbeats arrive: one value for each
        report, and one for each VM that observes the primary.
    hears_half : bool
        Heartbeats arrive from at least half of the VMs, this one included.
    stalled_s : float
        How long no replica has received the primary's log.
    stuck_s : float
        How long writes of some VM have waited while no VM whose heartbeats
        arrive had one acknowledged.
    leaderless_s : float
        How long no member has reported as primary.
    registry_has_no_primary : bool
        The registry answers and lists no primary.
    replicas_answering : int
        Members other than the primary that answer.
    paused_s : float
        How long a member has been paused for a newer term.
    centre_lost_s : float
        How long the primary's whole data centre has been unreachable.
    latest_silent_s : tuple of float
        As ``others_silent_s``, only from VMs with a recent heartbeat.
    hears_half_lately : bool
        As ``hears_half``, counting only VMs with a recent heartbeat.
    is_evacuated : bool
        The primary's data centre is ordered to be evacuated.
    replicas_elsewhere : int
        Replicas that answer and aren't in such a data centre.
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
    registry_has_no_primary: bool
    replicas_answering: int
    paused_s: float
    centre_lost_s: float = 0.0
    latest_silent_s: tuple[float, ...] = ()
    hears_half_lately: bool = True
    is_evacuated: bool = False
    replicas_elsewhere: int = 0


def reason_to_act(view: LeaderView) -> Reason | None:
    """Return why the primary must be replaced, or None.

    Examples
    --------
    >>> healthy = LeaderView(
    ...     "a", True, False, 0.0, (), (), True, 0.0, 0.0, 0.0, False, 2, 0.0
    ... )
    >>> reason_to_act(healthy) is None
    True
    >>> reason_to_act(healthy._replace(is_draining=True)).value
    'leaving'
    """
    if view.replicas_answering == 0:
        return None
    if view.leader is None:
        return _without_leader(view)
    if view.is_draining and view.silent_s < SILENT_S:
        return Reason.LEAVING
    if _may_leave_evacuated(view):
        return Reason.EVACUATED
    if _is_silent(view) or _is_centre_lost(view):
        return Reason.SILENT
    if _is_stalled(view):
        return Reason.STALLED
    if view.silent_s >= SILENT_S:
        return None
    if view.paused_s >= SILENT_S:
        return Reason.LEFT_PAUSED
    return None


def stuck_everywhere_s(
    own_stuck_s: float,
    own_acked_s: float,
    reports: Iterable[PrimaryHealth | MergedHealth],
) -> float:
    """Return how long writes have waited while none was acknowledged.

    Parameters
    ----------
    own_stuck_s, own_acked_s : float
        How long this VM's writes have waited, and how long ago one was
        acknowledged (seconds).
    reports : iterable of PrimaryHealth or MergedHealth
        The same from the VMs whose heartbeats arrive.

    Examples
    --------
    >>> stuck_everywhere_s(2.0, 9.0, [])
    2.0
    >>> stuck_everywhere_s(0.0, 9.0, [PrimaryHealth(100, 1500, 8000, 0)])
    1.5
    >>> stuck_everywhere_s(2.0, 9.0, [PrimaryHealth(100, 0, 300, 0)])
    0.0
    """
    stuck_s = [own_stuck_s, *(report.stuck_ms / 1000.0 for report in reports)]
    acked_s = [own_acked_s, *(report.acked_ms / 1000.0 for report in reports)]
    longest_s = max(stuck_s)
    return longest_s if min(acked_s) > longest_s else 0.0


def _without_leader(view: LeaderView) -> Reason | None:
    if view.leaderless_s < NO_PRIMARY_S:
        return None
    # The registry drops a primary that has not reported for three
    # heartbeats. Then even a VM that receives no heartbeats may act, since
    # it may be the only one on the replicas' side of a partition.
    if view.hears_half or view.registry_has_no_primary:
        return Reason.NONE_LEADS
    return None


def _may_leave_evacuated(view: LeaderView) -> bool:
    """Return whether the primary can be moved out of an evacuated centre."""
    return (
        view.is_evacuated
        and view.replicas_elsewhere > 0
        and view.silent_s < SILENT_S
    )


def _is_stalled(view: LeaderView) -> bool:
    """Return whether the primary's commits don't reach its replicas.

    A VM that reaches all members detects it by their logs. Otherwise the
    sign is that writes wait and no VM has one acknowledged. That also covers a
    partition with the primary and some VMs on one side and its replicas on
    the other, where no VM reaches both.
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
    """Return whether the primary's data centre is lost to all VMs.

    Only the VMs whose heartbeats arrived recently count.
    """
    if view.centre_lost_s < CENTRE_LOST_S or not view.hears_half_lately:
        return False
    return all(s >= CENTRE_OTHERS_SILENT_S for s in view.latest_silent_s)


def _is_lost_to_most(view: LeaderView) -> bool:
    """Return whether more than half of the VMs can't reach the primary.

    A primary that only a few VMs reach serves only their callers; a replica
    that all VMs reach serves all callers.
    """
    failing = 1 + sum(s >= OTHERS_SILENT_S for s in view.others_failing_s)
    return 2 * failing > 1 + len(view.others_failing_s)
