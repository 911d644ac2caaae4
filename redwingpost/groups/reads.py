"""Where a read may run, and what the member must hold first.

Load pattern: reads of a stated age and reads after a session's own write
outnumber writes ten to one. All of them at the primary fill the one
member that must take every write; at a replica without proof they show
old data. A *sample* (``redwingpost.groups.evidence``) young enough for
the route makes any replica that holds it good; a replica that doesn't
says so at once.
"""

from typing import NamedTuple

from redwingpost.configuration.routes import Consistency, RouteRule
from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.groups.evidence import GroupEvidence

#: Part of the stated age that is not used: clocks of a suspended VM and
#: of the caller run apart by far less.
STALENESS_MARGIN = 0.05


class ReadPlan(NamedTuple):
    """How a read may be served.

    ``after`` is the position that the member must hold (None: the
    primary needs none). ``needs_proof``: the primary's answer counts only
    with a proof asked for after the read arrived.
    """

    after: Position | None
    replicas: bool
    needs_proof: bool


AT_PRIMARY_WITH_PROOF = ReadPlan(None, replicas=False, needs_proof=True)


def oldest_sample_time(route: RouteRule, arrived_at: float) -> float:
    """Return since when a sample is young enough (seconds)."""
    usable_s = route.max_staleness_s * (1.0 - STALENESS_MARGIN)
    return arrived_at - usable_s


def plan_read(
    route: RouteRule,
    evidence: GroupEvidence,
    written: Position,
    arrived_at: float,
) -> ReadPlan:
    """Return how a read may be served by what is proven now.

    Parameters
    ----------
    route : RouteRule
        Its consistency and stated age.
    evidence : GroupEvidence
        What is proven of the group.
    written : Position
        The session's last acknowledged commit.
    arrived_at : float
        When the read, or its transaction, arrived (seconds).

    Returns
    -------
    ReadPlan
        At the primary with a fresh proof where nothing younger than the
        stated age is proven.
    """
    if route.consistency is Consistency.PRIMARY:
        return AT_PRIMARY_WITH_PROOF
    since = oldest_sample_time(route, arrived_at)
    sample = evidence.sample_since(since)
    if sample is None:
        return AT_PRIMARY_WITH_PROOF
    after = sample.position
    if route.consistency is Consistency.READ_YOUR_WRITES:
        after = max(after, written)
    # An empty log lacks nothing, and there is no position to wait for.
    wait_for = None if after == ZERO_POSITION else after
    return ReadPlan(wait_for, replicas=True, needs_proof=False)
