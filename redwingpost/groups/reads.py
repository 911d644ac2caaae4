"""Where a read may run, and which position the member must hold.

Load pattern: reads with bounded staleness and reads after a session's own
write outnumber writes ten to one. If all of them run at the primary, they
fill the one member that must take every write; at a replica without proof
they may return stale data. With a *sample* (``redwingpost.groups.evidence``)
recent enough for the route, any replica that holds its position may serve the
read; a replica that doesn't hold it reports that at once.
"""

from typing import NamedTuple

from redwingpost.configuration.routes import Consistency, RouteRule
from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.groups.evidence import GroupEvidence, ReadNeeds

#: Part of the maximum staleness that is left unused: the clocks of a
#: suspended VM and of the caller differ by far less.
STALENESS_MARGIN = 0.05


class ReadPlan(NamedTuple):
    """How a read may be served.

    ``after`` is the position that the member must hold, None if none is
    required. ``replicas``: replicas may serve the read. ``needs_proof``: the
    primary's answer counts only with a proof that was requested after the
    read arrived.
    """

    after: Position | None
    replicas: bool
    needs_proof: bool


AT_PRIMARY_WITH_PROOF = ReadPlan(None, replicas=False, needs_proof=True)


def read_needs(
    route: RouteRule, written: Position, arrived_at: float
) -> ReadNeeds:
    """Return what a read on a route must see.

    Parameters
    ----------
    route : RouteRule
        Gives the consistency and the maximum staleness.
    written : Position
        The session's last acknowledged commit in the route's group.
    arrived_at : float
        When the read, or its transaction, arrived (seconds).
    """
    if route.consistency is not Consistency.READ_YOUR_WRITES:
        written = ZERO_POSITION
    usable_s = route.max_staleness_s * (1.0 - STALENESS_MARGIN)
    return ReadNeeds(arrived_at - usable_s, written)


def plan_read(
    route: RouteRule,
    evidence: GroupEvidence,
    written: Position,
    arrived_at: float,
) -> ReadPlan:
    """Return how a read may be served, by what is proven now.

    Parameters
    ----------
    route : RouteRule
        Gives the consistency and the maximum staleness.
    evidence : GroupEvidence
        What is proven about the group.
    written : Position
        The session's last acknowledged commit in the route's group.
    arrived_at : float
        When the read, or its transaction, arrived (seconds).

    Returns
    -------
    ReadPlan
        At the primary with a new proof, if there is no sample within the
        maximum staleness.
    """
    if route.consistency is Consistency.PRIMARY:
        return AT_PRIMARY_WITH_PROOF
    needs = read_needs(route, written, arrived_at)
    sample = evidence.sample_since(needs.since)
    if sample is None:
        return AT_PRIMARY_WITH_PROOF
    after = max(sample.position, needs.written)
    # For an empty log there is no position to wait for.
    wait_for = None if after == ZERO_POSITION else after
    return ReadPlan(wait_for, replicas=True, needs_proof=False)
