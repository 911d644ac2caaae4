"""Decide whether a group has lost its primary.

Load pattern: an overloaded or paused primary, lossy links and cut-off
observers look, to one observer, just like a dead primary. Ordering a
promotion on one observer's word would fence a healthy primary whenever
one VM loses its network, and each needless promotion stalls all writes
of the group for about a second. So silence counts only when it is longer
than any pause or retransmission that must be ridden out, and when
observers in several data centres agree.

Grounds for the figures: a pause of 300 ms plus one probe interval of
150 ms gives 450 ms of silence at most; one lost segment stalls a TCP
connection 200 ms, two in a row 600 ms, and an observer opens a second
connection for its probes after ``FRESH_CONNECTION_S``, so a stall of
both at most of the observers at once is what 0.7 s leaves. The gap that
callers see is 0.55 to 0.7 s of silence plus some 0.2 s of promotion.
"""

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from redwingpost.core import Position

PROBE_INTERVAL_S = 0.15

#: See the module's docstring.
SILENCE_S = 0.7

#: After that much silence probes also go over a new connection, which
#: isn't stuck behind an older one's retransmission timer.
FRESH_CONNECTION_S = 0.3

#: A member that answered within this time counts as reachable.
REACHABLE_S = 0.45

#: Where a replica still hears the primary the silence may be ours: wait
#: longer, but not for ever, since callers reach the group as we do.
VOUCHED_SILENCE_S = 1.5

#: How long a group may answer without any primary in office before the
#: proposer at work is taken for dead; a promotion takes about 0.2 s.
LEADERLESS_S = 0.7

#: A member that promised a term which nobody leads takes no more log.
STRANDED_S = 3.0

#: For how long no replica may have received anything although the primary
#: holds more. Replicas ask for news many times a second; two seconds of
#: that leave nothing but a cut between them and the primary.
ISOLATED_S = 2.0

#: Between one proposer and the next in rank; a claim round with its
#: grace is done within it.
STAGGER_S = 0.4

#: Observers in so many data centres have to agree where that many
#: data centres hold observers.
DATA_CENTRES = 2


class SilenceMeter:
    """How long a member has been silent, as one observer saw it.

    A paused observer wakes up to what looks like silence of everybody.
    ``tick`` is called at every probe; time between two ticks counts up
    to ``2 * PROBE_INTERVAL_S`` only, so that a pause of the observer
    adds nothing to the silence of the observed.

    Parameters
    ----------
    now : float
        Seconds.

    Examples
    --------
    >>> meter = SilenceMeter(0.0)
    >>> for tenth in range(1, 11):
    ...     meter.tick(tenth / 10)
    >>> round(meter.silent_s(1.0), 3)
    1.0
    >>> meter.tick(60.0)
    >>> round(meter.silent_s(60.0), 3)
    1.3
    """

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._silent_s = 0.0

    def tick(self, now: float) -> None:
        """Note that the observer is awake and probing."""
        self._silent_s = self.silent_s(now)
        self._ticked_at = now

    def answered(self, now: float) -> None:
        """Note an answer of the member."""
        self._silent_s = 0.0
        self._ticked_at = now

    def silent_s(self, now: float) -> float:
        """Return the seconds of silence while the observer was awake."""
        passed = min(now - self._ticked_at, 2 * PROBE_INTERVAL_S)
        return self._silent_s + passed


class Sighting(NamedTuple):
    """What one observer says of one member.

    ``term`` is the promised term, ``leads`` whether the member is a
    primary in office: its own term is what it has promised. ``age_s``
    is the replica's proven age, infinite where unknown.
    """

    member: str
    silent_s: float
    term: int = 0
    leads: bool = False
    age_s: float = float("inf")


class Report(NamedTuple):
    """One observer's sightings of a group, fresh from that observer."""

    observer: str
    data_centre: str
    sightings: tuple[Sighting, ...]


class Verdict(Enum):
    """What the reports add up to."""

    HEALTHY = "healthy"
    PRIMARY_LOST = "primary lost"
    LEADERLESS = "no primary in office"
    STRANDED = "a member follows nobody"
    LEAVING = "the primary is to leave"
    ISOLATED = "the primary's replicas receive nothing from it"
    MEMBERS_AWAY = "no majority of members answers"
    TOO_FEW_OBSERVERS = "too few observers agree"


def _silence(report: Report, member: str) -> float:
    for sighting in report.sightings:
        if sighting.member == member:
            return sighting.silent_s
    return float("inf")


def _reaches_majority(report: Report, members: Sequence[str]) -> bool:
    reached = sum(_silence(report, m) < REACHABLE_S for m in members)
    return reached > len(members) // 2


def _vouched(report: Report, primary: str) -> bool:
    return any(
        sighting.member != primary
        and sighting.silent_s < REACHABLE_S
        and sighting.age_s < REACHABLE_S
        for sighting in report.sightings
    )


def _agreed(
    silent: Iterable[Report], heard: Sequence[Report], data_centres: int
) -> bool:
    voters = list(silent)
    if 2 * len(voters) <= len(heard):
        return False
    voting = {report.data_centre for report in voters}
    return len(voting) >= min(DATA_CENTRES, data_centres)


def judge_primary(
    primary: str,
    members: Sequence[str],
    reports: Sequence[Report],
    data_centres: int,
) -> Verdict:
    """Say whether ``primary`` is lost, from the observers that answered.

    The first report is the proposer's own. It has to reach a majority
    of the members itself, else its claim could only disturb: a claim
    that a minority accepts leaves these members without a primary.

    Parameters
    ----------
    primary : str
        Who leads by the view in force.
    members : sequence of str
        All members of the group.
    reports : sequence of Report
        The proposer's own first, then those that others just gave.
    data_centres : int
        In how many data centres observers were chosen.

    Returns
    -------
    Verdict
        ``PRIMARY_LOST`` if a majority of the reports, from at least two
        data centres, had no answer for long enough.

    Examples
    --------
    >>> seen = (Sighting("a", 0.9), Sighting("b", 0.1), Sighting("c", 0.1))
    >>> one = Report("vm-1", "dc-1", seen)
    >>> two = Report("vm-2", "dc-2", seen)
    >>> judge_primary("a", ("a", "b", "c"), [one, two], 2).name
    'PRIMARY_LOST'
    >>> judge_primary("a", ("a", "b", "c"), [one], 2).name
    'TOO_FEW_OBSERVERS'
    """
    own = reports[0]
    if _silence(own, primary) < SILENCE_S:
        return Verdict.HEALTHY
    if not _reaches_majority(own, members):
        return Verdict.MEMBERS_AWAY
    vouched = any(_vouched(report, primary) for report in reports)
    needed_s = VOUCHED_SILENCE_S if vouched else SILENCE_S
    silent = [r for r in reports if _silence(r, primary) >= needed_s]
    if _agreed(silent, reports, data_centres):
        return Verdict.PRIMARY_LOST
    return Verdict.TOO_FEW_OBSERVERS


def has_leader(sightings: Sequence[Sighting]) -> bool:
    """Say whether a reachable member leads the highest promised term."""
    reachable = [s for s in sightings if s.silent_s < REACHABLE_S]
    highest = max((s.term for s in reachable), default=0)
    return any(s.leads and s.term == highest for s in reachable)


def judge_office(
    members: Sequence[str],
    sightings: Sequence[Sighting],
    leaderless_s: float,
) -> Verdict:
    """Say whether a reachable group stands without a primary in office.

    A proposer that died after its claim leaves a group whose members
    all answer but take no writes. A claim that only a replica heard
    leaves that replica deaf to its primary. Neither is silent.

    Parameters
    ----------
    members : sequence of str
        All members of the group.
    sightings : sequence of Sighting
        The proposer's own.
    leaderless_s : float
        For how long ``has_leader`` has been false.

    Returns
    -------
    Verdict
        ``LEADERLESS`` where nobody leads any term, ``STRANDED`` where
        somebody leads but another member promised a higher term.
    """
    reachable = [s for s in sightings if s.silent_s < REACHABLE_S]
    if len(reachable) <= len(members) // 2:
        return Verdict.MEMBERS_AWAY
    if has_leader(sightings):
        return Verdict.HEALTHY
    if any(sighting.leads for sighting in reachable):
        stranded = leaderless_s >= STRANDED_S
        return Verdict.STRANDED if stranded else Verdict.HEALTHY
    if leaderless_s >= LEADERLESS_S:
        return Verdict.LEADERLESS
    return Verdict.HEALTHY


def judge_leaving(
    primary: str,
    members: Sequence[str],
    leaving: frozenset[str],
    sightings: Sequence[Sighting],
) -> Verdict:
    """Say whether an operator's drain asks for another primary.

    Only while every member answers: a hand-over that is planned may
    wait, and one among two members leaves the group without a spare.
    """
    if primary not in leaving:
        return Verdict.HEALTHY
    staying = [member for member in members if member not in leaving]
    if len(staying) <= len(members) // 2:
        return Verdict.HEALTHY
    reached = {s.member for s in sightings if s.silent_s < REACHABLE_S}
    if reached.issuperset(members):
        return Verdict.LEAVING
    return Verdict.MEMBERS_AWAY


class ReplicationMeter:
    """For how long replication of one primary has stood still.

    A primary that observers reach, but its replicas don't, answers every
    probe. Its writes are committed and never confirmed, so that callers
    get "not confirmed" for as long as the cut lasts.

    Examples
    --------
    >>> meter = ReplicationMeter()
    >>> meter.observe(Position(1, 9), (Position(1, 7),), now=0.0)
    >>> meter.observe(Position(1, 9), (Position(1, 7),), now=2.5)
    >>> meter.stalled_s(2.5)
    2.5
    >>> meter.observe(Position(1, 9), (Position(1, 8),), now=2.6)
    >>> meter.stalled_s(2.6)
    0.0
    """

    def __init__(self) -> None:
        self._received: tuple[Position, ...] = ()
        self._stalled_since: float | None = None

    def observe(
        self, primary: Position, replicas: tuple[Position, ...], now: float
    ) -> None:
        """Note what the primary and its followers hold.

        ``replicas`` is empty where not all the others answer and follow;
        then nothing can be said.
        """
        behind = bool(replicas) and max(replicas) < primary
        moved = replicas != self._received or self._stalled_since is None
        if not behind:
            self._stalled_since = None
        elif moved:
            self._stalled_since = now
        self._received = replicas

    def stalled_s(self, now: float) -> float:
        """Return the seconds since a replica received anything."""
        if self._stalled_since is None:
            return 0.0
        return now - self._stalled_since


def may_propose(rank: int, suspected_for_s: float) -> bool:
    """Say whether the turn of the proposer of ``rank`` has come.

    Examples
    --------
    >>> may_propose(0, 0.0), may_propose(2, 0.5), may_propose(2, 0.9)
    (True, False, True)
    """
    return suspected_for_s >= rank * STAGGER_S
