"""Ranks a group's members as candidates to serve a read."""

from typing import NamedTuple

from redwingpost.groups.choice import (
    ASSUMED_SLOTS,
    INITIAL_LATENCY_S,
    Candidate,
    rank,
)
from redwingpost.groups.evidence import GroupEvidence
from redwingpost.node.member import MemberClient


class ReadContext(NamedTuple):
    """The read's organisation, this VM's data centre and the time (seconds).

    The time is that of the choice.
    """

    organisation: str
    data_centre: str
    now: float


def rank_for_read(
    clients: list[MemberClient], evidence: GroupEvidence, context: ReadContext
) -> list[MemberClient]:
    """Return the members, the best first.

    Parameters
    ----------
    clients : list of MemberClient
        Members that may serve the read.
    evidence : GroupEvidence
        The known primary and the members' last reports.
    context : ReadContext
        Organisation, data centre and time of the choice.
    """
    # A member without a known latency gets the best known one.
    known_s = [
        client.latency.smoothed_s
        for client in clients
        if client.latency.is_known(context.now)
    ]
    best_s = min(known_s, default=INITIAL_LATENCY_S)
    client_by_member = {client.entry.member: client for client in clients}
    candidates = [
        _candidate(client, evidence, context, best_s) for client in clients
    ]
    return [client_by_member[member] for member in rank(candidates)]


def _candidate(
    client: MemberClient,
    evidence: GroupEvidence,
    context: ReadContext,
    best_s: float,
) -> Candidate:
    is_known = client.latency.is_known(context.now)
    last = evidence.last_report(client.entry.member)
    return Candidate(
        client.entry.member,
        client.latency.smoothed_s if is_known else best_s,
        client.statements_in_flight,
        last.report.busy if last is not None else 0,
        client.pool.has_idle(context.organisation),
        client.entry.member == evidence.leader,
        client.entry.data_centre == context.data_centre,
        client.entry.slots or ASSUMED_SLOTS,
    )
