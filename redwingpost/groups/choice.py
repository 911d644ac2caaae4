"""Choice of the member that serves a read.

Load pattern: three members of five slots each, one of them slow or lagging,
and only one that takes writes. If reads are spread evenly, every third one
waits at the slow member; if all go to the fastest member, its slots fill. So
each read goes to the member with the least expected time: its smoothed
response time, scaled by its present load.
"""

from typing import NamedTuple

#: Cost of a new connection (seconds): the handshake's time at the member and
#: two round trips. With a lower cost, an organisation's reads keep moving to
#: members where it has no open connection.
CONNECT_COST_S = 0.02

#: Factor on a primary's expected time, so that reads which replicas can serve
#: leave its slots to writes until the replicas are that much busier.
PRIMARY_WEIGHT = 3.0

#: Factor on the expected time of a member in another data centre: traffic
#: between data centres is billed, and a near replica of equal load has the
#: same data.
REMOTE_WEIGHT = 1.25

#: Slots of a member whose registry entry doesn't give them; they set how fast
#: the expected time rises with the load from other VMs. Most members have
#: five.
ASSUMED_SLOTS = 5

#: Expected response time (seconds) of a member without a measurement: about
#: that of ordinary statements, so that it gets its share of the reads.
INITIAL_LATENCY_S = 0.03

#: Seconds for which a replica that reported that it lags gets no reads.
LAGGING_PAUSE_S = 0.25


class Candidate(NamedTuple):
    """A member that may serve a read.

    ``smoothed_s`` is its smoothed response time (seconds), ``in_flight`` the
    number of this VM's statements there, ``busy`` the number of its ``slots``
    that it last reported as occupied. ``has_connection``: an idle connection
    of the read's organisation is open. ``is_near``: the member is in this
    VM's data centre.
    """

    member: str
    smoothed_s: float
    in_flight: int
    busy: int
    has_connection: bool
    is_primary: bool
    is_near: bool
    slots: int = ASSUMED_SLOTS


def expected_s(candidate: Candidate) -> float:
    """Return the expected response time of a read at a member (seconds).

    Examples
    --------
    >>> idle = Candidate("a", 0.03, 0, 0, True, False, True)
    >>> expected_s(idle) < expected_s(idle._replace(in_flight=3))
    True
    """
    load = max(candidate.in_flight, candidate.busy) / candidate.slots
    seconds = candidate.smoothed_s * (1.0 + load)
    if candidate.is_primary:
        seconds *= PRIMARY_WEIGHT
    if not candidate.has_connection:
        seconds += CONNECT_COST_S
    return seconds if candidate.is_near else seconds * REMOTE_WEIGHT


def rank(candidates: list[Candidate]) -> list[str]:
    """Return the members' names in the order in which to try them."""
    ordered = sorted(candidates, key=lambda c: (expected_s(c), c.member))
    return [candidate.member for candidate in ordered]
