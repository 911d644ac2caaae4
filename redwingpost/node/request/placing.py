"""Describe a group's members to the choice of who serves a read."""

from typing import NamedTuple

from redwingpost.groups.choice import (
    ASSUMED_SLOTS,
    INITIAL_LATENCY_S,
    Candidate,
    rank,
)
from redwingpost.groups.evidence import GroupEvidence
from redwingpost.node.member import MemberClient


class Placing(NamedTuple):
    """Whose read is to be placed, by whom, and when (seconds)."""

    organisation: str
    data_centre: str
    now: float


def rank_for_read(
    clients: list[MemberClient], evidence: GroupEvidence, placing: Placing
) -> list[MemberClient]:
    """Return the members, the best first.

    Parameters
    ----------
    clients : list of MemberClient
        Those that may serve the read.
    evidence : GroupEvidence
        Who leads, and what members reported.
    placing : Placing
        Whose read it is.
    """
    # A member whose time isn't known counts as the best that is.
    known_s = [
        client.latency.smoothed_s
        for client in clients
        if client.latency.is_known(placing.now)
    ]
    best_s = min(known_s, default=INITIAL_LATENCY_S)
    client_by_member = {client.entry.member: client for client in clients}
    candidates = [
        _candidate(client, evidence, placing, best_s) for client in clients
    ]
    return [client_by_member[member] for member in rank(candidates)]


def _candidate(
    client: MemberClient,
    evidence: GroupEvidence,
    placing: Placing,
    best_s: float,
) -> Candidate:
    is_known = client.latency.is_known(placing.now)
    heard = evidence.last_report(client.entry.member)
    return Candidate(
        client.entry.member,
        client.latency.smoothed_s if is_known else best_s,
        client.under_way,
        heard.report.busy if heard is not None else 0,
        client.pool.has_idle(placing.organisation),
        client.entry.member == evidence.leader,
        client.entry.data_centre == placing.data_centre,
        client.entry.slots or ASSUMED_SLOTS,
    )
