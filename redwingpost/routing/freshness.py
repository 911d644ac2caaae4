"""Prove that a member holds what a read needs.

Load pattern: replicas lag by 100 ms on an ordinary day and by minutes on
a bad one. Without proof a session misses its own write; with proof by
asking before each read, every read costs two round trips. One status
poll per member proves positions for all reads until the next.
"""

from redwingpost.core import GroupView, Position
from redwingpost.ports import MemberStatus

#: Role of a member that takes writes, in its own words.
_PRIMARY = "primary"


def is_trusted(status: MemberStatus, view: GroupView) -> bool:
    """Say whether a member's words prove anything in the term in force.

    A primary that was replaced and comes back answers as before: it is
    primary, its age is zero, and its log holds positions of the old
    term that the new one dropped. Callers would read data from before
    the promotion as if it were new. Its term gives it away, or that the
    view names another primary.
    """
    if status.promised_term < view.term:
        return False
    return status.role != _PRIMARY or status.member == view.primary


def holds(status: MemberStatus, position: Position) -> bool:
    """Say whether a member is proven to have applied a position.

    Applied positions only grow within one history; what was applied when
    the status was given still is.
    """
    return status.applied >= position


def is_young(
    status: MemberStatus, known_for_s: float, max_staleness_ms: int
) -> bool:
    """Say whether a member is proven to be younger than a stated age.

    Parameters
    ----------
    status : MemberStatus
        With the age that the member proved.
    known_for_s : float
        Seconds since the status was *asked for*: its answer may have
        been on the way for any part of that.
    max_staleness_ms : int
        The stated age in milliseconds.
    """
    return status.age_ms + known_for_s * 1000.0 <= max_staleness_ms
