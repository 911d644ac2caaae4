"""Whether a member is proven to hold the position that a read needs.

Load pattern: replicas lag by 100 ms in normal operation and by minutes under
faults. Without proof a session may miss its own write. If each read first
requested the member's position, it would cost two round trips; instead one
status poll of each member proves positions for all reads until the next poll.
"""

from redwingpost.core import GroupView, Position
from redwingpost.ports import MemberStatus

#: Role that a primary reports.
_PRIMARY = "primary"


def is_trusted(status: MemberStatus, view: GroupView) -> bool:
    """Return whether a member's status is valid in the current term.

    A primary that was replaced and returns reports as before: it is primary,
    its age is zero, and its log holds positions of the old term that the new
    term dropped. Callers would take data from before the promotion for
    current data. Such a member shows by its older term, or by the view, which
    names another primary.
    """
    if status.promised_term < view.term:
        return False
    return status.role != _PRIMARY or status.member == view.primary


def holds(status: MemberStatus, position: Position) -> bool:
    """Return whether a member is proven to have applied a position.

    Applied positions only grow within one history, so a position that was
    applied at the time of the status still is.
    """
    return status.applied >= position


def is_recent_enough(
    status: MemberStatus, known_for_s: float, max_staleness_ms: int
) -> bool:
    """Return whether a member's data is proven to be recent enough.

    Parameters
    ----------
    status : MemberStatus
        Has the age that the member proved.
    known_for_s : float
        Seconds since the status was *requested*: the answer may have been in
        transit for any part of that.
    max_staleness_ms : int
        Maximum staleness in milliseconds.
    """
    return status.age_ms + known_for_s * 1000.0 <= max_staleness_ms
