"""Make the other members follow the new primary after a promotion.

An old primary that was partitioned still acts as primary, and a replica
that missed the promotion follows a dead primary. Unless they are
redirected, each promotion leaves the group with one member less. The
observer of the lowest rank repeats ``FOLLOW`` until each member follows
the leader, so that it also happens if the proposer dies right after the
promotion.
"""

from collections.abc import Sequence
from typing import NamedTuple

from redwingpost.core import Position
from redwingpost.ports import MemberStatus


def last_log_term(status: MemberStatus) -> int:
    """Return the term in which the member's log ends, 0 if it's empty."""
    return status.history[-1].term if status.history else 0


def leads(status: MemberStatus) -> bool:
    """Return whether a member is an active primary.

    A primary that has promised a later term takes no more writes.

    Examples
    --------
    >>> at = Position(1, 1)
    >>> status = MemberStatus("a", "primary", 2, at, at, "", (at,), 0)
    >>> leads(status), leads(status._replace(promised_term=1))
    (False, True)
    """
    primary = status.role == "primary"
    return primary and last_log_term(status) == status.promised_term


def leader_of(statuses: Sequence[MemberStatus]) -> MemberStatus | None:
    """Return the primary of the highest term among the statuses."""
    leaders = [status for status in statuses if leads(status)]
    return max(leaders, key=last_log_term, default=None)


def must_follow(
    statuses: Sequence[MemberStatus],
) -> tuple[MemberStatus, ...]:
    """Return the members that have to be sent ``FOLLOW``.

    Members that promised a later term than the leader's are left out:
    either a claim is in progress, or they need a promotion with a new
    term.
    """
    leader = leader_of(statuses)
    if leader is None:
        return ()
    term = last_log_term(leader)
    return tuple(
        status
        for status in statuses
        if status.member != leader.member
        and status.promised_term <= term
        and (status.role == "primary" or status.follows != leader.member)
    )


class DivergedTransaction(NamedTuple):
    """A transaction that only a replaced primary holds."""

    member: str
    position: Position
    statement: str
