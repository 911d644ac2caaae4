"""Policies that choose a member for a read, among those recent enough.

Load pattern: three members, one of them slow, far or busy with long jobs,
used by many proxies at once. With a fixed order the first replica takes all
reads; if all proxies choose the least loaded member, they choose the same
one.

The score of affinity against load follows RcLLM (section III-C1: affinity
minus load, each with a factor). Affinity here is nearness and a warm
connection; load is the number of outstanding requests over the limit.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from redwingpost.core import Registry

#: Seconds to open a connection to a member in present installations.
CONNECT_S = 0.012


class Candidate(NamedTuple):
    """A member that may serve a read, as seen from this VM.

    ``service_s`` is its service time and ``distance_s`` the round trip to it
    (seconds). ``outstanding`` is the cost in flight and queued, ``limit`` the
    number of statements that may be in flight. ``warm``: a connection is
    open. ``share`` is the part of its usual load that a returning member may
    have, above 0.
    """

    member: str
    outstanding: float
    limit: int
    service_s: float
    distance_s: float
    warm: bool
    share: float = 1.0

    @property
    def expected_s(self) -> float:
        """Return the expected response time (seconds)."""
        rounds = 1.0 + self.outstanding / max(1, self.limit)
        opening_s = 0.0 if self.warm else CONNECT_S
        busy_s = rounds * self.service_s / self.share
        return self.distance_s + opening_s + busy_s


Policy = Callable[[Sequence[Candidate], Random], Candidate]

#: Policies by name.
POLICIES: Registry[Policy] = Registry("routing policy")

#: Weights of the affinity score. Nearness decides between members that are
#: equally loaded; a full member loses to an idle one far away.
AFFINITY_WEIGHT = 0.3
LOAD_WEIGHT = 1.0

#: Part of the affinity for a warm connection: opening one takes 12 ms, about
#: half as long as a page view.
WARM_CONNECTION_AFFINITY = 0.5


@POLICIES.register("first")
def choose_first(candidates: Sequence[Candidate], random: Random) -> Candidate:
    """Return the first candidate, the baseline of a fixed order."""
    return candidates[0]


@POLICIES.register("least-outstanding")
def choose_least_outstanding(
    candidates: Sequence[Candidate], random: Random
) -> Candidate:
    """Return the candidate with the fewest requests outstanding."""
    return min(candidates, key=lambda c: (c.outstanding, random.random()))


@POLICIES.register("power-of-two")
def choose_power_of_two(
    candidates: Sequence[Candidate], random: Random
) -> Candidate:
    """Return the faster of two random candidates, by expected time.

    After Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", 2001.
    """
    if len(candidates) < 2:
        return candidates[0]
    first, second = random.sample(list(candidates), 2)
    return first if first.expected_s <= second.expected_s else second


@POLICIES.register("affinity-load")
def choose_affinity_load(
    candidates: Sequence[Candidate], random: Random
) -> Candidate:
    """Return the candidate with the best score of affinity against load."""

    def score(candidate: Candidate) -> float:
        near = 1.0 / (1.0 + 1000.0 * candidate.distance_s)
        affinity = near + (WARM_CONNECTION_AFFINITY if candidate.warm else 0.0)
        load = candidate.outstanding / max(1, candidate.limit)
        return AFFINITY_WEIGHT * affinity - LOAD_WEIGHT * load

    return max(candidates, key=lambda c: (score(c), random.random()))


@POLICIES.register("expected-time")
def choose_expected_time(
    candidates: Sequence[Candidate], random: Random
) -> Candidate:
    """Return the candidate with the least expected time; ties at random."""
    return min(candidates, key=lambda c: (c.expected_s, random.random()))
