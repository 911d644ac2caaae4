"""Bring members back in line after a promotion.

An old primary that was cut off still believes that it leads; a replica
that missed the promotion follows a dead primary. Unless somebody tells
them, the group runs on two members, then on one. The observer of the
lowest rank repeats ``FOLLOW`` until each member follows the leader, so
that a proposer's death after its promotion changes nothing.
"""

from collections.abc import Sequence
from typing import NamedTuple

from redwingpost.core import Position
from redwingpost.ports import MemberStatus


def own_term(status: MemberStatus) -> int:
    """Return the term that the member's log ends in, by its history."""
    return status.history[-1].term if status.history else 0


def leads(status: MemberStatus) -> bool:
    """Say whether a member is a primary in office.

    A primary that has promised a later term takes no more writes.

    Examples
    --------
    >>> at = Position(1, 1)
    >>> status = MemberStatus("a", "primary", 2, at, at, "", (at,), 0)
    >>> leads(status), leads(status._replace(promised_term=1))
    (False, True)
    """
    primary = status.role == "primary"
    return primary and own_term(status) == status.promised_term


def leader_of(statuses: Sequence[MemberStatus]) -> MemberStatus | None:
    """Return the primary of the highest term among the statuses."""
    leading = [status for status in statuses if leads(status)]
    return max(leading, key=own_term, default=None)


def must_follow(
    statuses: Sequence[MemberStatus],
) -> tuple[MemberStatus, ...]:
    """Return the members that should be told to follow the leader.

    A member that promised a later term than the leader's is left
    alone: a claim is under way, or it is stranded and needs a new term.
    """
    leader = leader_of(statuses)
    if leader is None:
        return ()
    term = own_term(leader)
    return tuple(
        status
        for status in statuses
        if status.member != leader.member
        and status.promised_term <= term
        and (status.role == "primary" or status.follows != leader.member)
    )


class SetAside(NamedTuple):
    """A transaction that only a replaced primary held."""

    member: str
    position: Position
    statement: str
