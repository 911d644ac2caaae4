"""Decide whether a group has lost its primary.

Load pattern: to a single observer, a dead primary can't be distinguished
from an overloaded or paused one, a lossy link or a network partition of
the observer itself. If one observer could start a promotion, a VM that
loses its network would fence a healthy primary, and each needless
promotion stalls all writes of the group for about a second. Silence
therefore counts only if it is longer than any pause or retransmission
that must be tolerated, and if observers in several data centres agree.

Choice of the timeouts: a pause of 300 ms plus one probe interval of
150 ms causes at most 450 ms of silence. One lost segment stalls a TCP
connection for 200 ms, two in a row for 600 ms. An observer opens a second
connection for its probes after ``FRESH_CONNECTION_S``, so 0.7 s is only
exceeded if both connections stall at most of the observers at once.
Callers see a gap of 0.55 to 0.7 s of silence plus about 0.2 s of
promotion.
"""

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from redwingpost.core import Position

#: Seconds between an observer's probes of a member.
PROBE_INTERVAL_S = 0.15

#: Seconds of silence after which a primary counts as lost; the module's
#: docstring gives the reasons.
SILENCE_S = 0.7

#: Seconds of silence after which probes are also sent over a new connection,
#: which doesn't wait for the retransmission timer of the older one.
FRESH_CONNECTION_S = 0.3

#: Seconds since its last answer for which a member counts as reachable.
REACHABLE_S = 0.45

#: As ``SILENCE_S`` while a replica still receives from the primary: the
#: fault may then be on the observers' links. The wait is longer, but not
#: indefinite, since callers reach the group over the same links.
REPLICA_CONTACT_SILENCE_S = 1.5

#: Seconds that a group may be without an active primary before the current
#: proposer is considered dead; a promotion takes about 0.2 s.
LEADERLESS_S = 0.7

#: Seconds that a member may have promised a term without a primary before
#: a promotion is needed: meanwhile it receives no log entries.
STRANDED_S = 3.0

#: Seconds that replicas may receive nothing although the primary holds more.
#: Replicas poll many times a second, so after two seconds only a network
#: partition between them and the primary explains it.
ISOLATED_S = 2.0

#: Seconds between proposers of consecutive ranks; a claim round including
#: its grace period finishes within it.
STAGGER_S = 0.4

#: Observers in at least this many data centres must agree, or in all of
#: them if fewer have observers.
MIN_AGREEING_DATA_CENTRES = 2


class SilenceMeter:
    """Measures how long a member has not answered one observer.

    After a pause of the observer every member seems to have been silent.
    ``tick`` is called at every probe. The time between two ticks counts
    only up to ``2 * PROBE_INTERVAL_S``, so that a pause of the observer
    isn't counted as silence of the member.

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
        """Record that the observer is running and probing."""
        self._silent_s = self.silent_s(now)
        self._ticked_at = now

    def answered(self, now: float) -> None:
        """Record an answer of the member."""
        self._silent_s = 0.0
        self._ticked_at = now

    def silent_s(self, now: float) -> float:
        """Return the silence while the observer was running, in seconds."""
        passed = min(now - self._ticked_at, 2 * PROBE_INTERVAL_S)
        return self._silent_s + passed


class MemberObservation(NamedTuple):
    """State of one member as one observer has it from its probes.

    ``term`` is the promised term. ``leads`` says whether the member is
    an active primary, one whose log ends in its promised term. ``age_s``
    is the proven age of a replica's data, infinite if unknown.
    """

    member: str
    silent_s: float
    term: int = 0
    leads: bool = False
    age_s: float = float("inf")


class Report(NamedTuple):
    """One observer's current observations of a group's members."""

    observer: str
    data_centre: str
    observations: tuple[MemberObservation, ...]


class Diagnosis(Enum):
    """State of a group that the reports indicate."""

    HEALTHY = "healthy"
    PRIMARY_LOST = "primary lost"
    LEADERLESS = "no primary in office"
    STRANDED = "a member follows nobody"
    LEAVING = "the primary is to leave"
    ISOLATED = "the primary's replicas receive nothing from it"
    MAJORITY_UNREACHABLE = "no majority of members answers"
    TOO_FEW_OBSERVERS = "too few observers agree"


def _silence_s(report: Report, member: str) -> float:
    for observation in report.observations:
        if observation.member == member:
            return observation.silent_s
    return float("inf")


def _reaches_majority(report: Report, members: Sequence[str]) -> bool:
    reached = sum(_silence_s(report, m) < REACHABLE_S for m in members)
    return reached > len(members) // 2


def _has_replica_contact(report: Report, primary: str) -> bool:
    return any(
        observation.member != primary
        and observation.silent_s < REACHABLE_S
        and observation.age_s < REACHABLE_S
        for observation in report.observations
    )


def _agreed(
    silent: Iterable[Report], reports: Sequence[Report], data_centres: int
) -> bool:
    """Return whether enough of the reports are among the silent ones."""
    silent_reports = list(silent)
    if 2 * len(silent_reports) <= len(reports):
        return False
    agreeing_data_centres = {report.data_centre for report in silent_reports}
    return len(agreeing_data_centres) >= min(
        MIN_AGREEING_DATA_CENTRES, data_centres
    )


def diagnose_primary(
    primary: str,
    members: Sequence[str],
    reports: Sequence[Report],
    data_centres: int,
) -> Diagnosis:
    """Decide whether ``primary`` is lost, from the observers' reports.

    The first report is the proposer's own. The proposer must reach a
    majority of the members: a claim that only a minority accepts can't
    succeed and leaves these members without a primary.

    Parameters
    ----------
    primary : str
        The primary according to the current view.
    members : sequence of str
        All members of the group.
    reports : sequence of Report
        The proposer's own first, then those that other observers just
        sent.
    data_centres : int
        Number of data centres in which observers were chosen.

    Returns
    -------
    Diagnosis
        ``PRIMARY_LOST`` if a majority of the reports, from at least two
        data centres, had no answer for long enough.

    Examples
    --------
    >>> observations = (
    ...     MemberObservation("a", 0.9),
    ...     MemberObservation("b", 0.1),
    ...     MemberObservation("c", 0.1),
    ... )
    >>> one = Report("vm-1", "dc-1", observations)
    >>> two = Report("vm-2", "dc-2", observations)
    >>> diagnose_primary("a", ("a", "b", "c"), [one, two], 2).name
    'PRIMARY_LOST'
    >>> diagnose_primary("a", ("a", "b", "c"), [one], 2).name
    'TOO_FEW_OBSERVERS'
    """
    own = reports[0]
    if _silence_s(own, primary) < SILENCE_S:
        return Diagnosis.HEALTHY
    if not _reaches_majority(own, members):
        return Diagnosis.MAJORITY_UNREACHABLE
    has_replica_contact = any(
        _has_replica_contact(report, primary) for report in reports
    )
    needed_s = REPLICA_CONTACT_SILENCE_S if has_replica_contact else SILENCE_S
    silent = [r for r in reports if _silence_s(r, primary) >= needed_s]
    if _agreed(silent, reports, data_centres):
        return Diagnosis.PRIMARY_LOST
    return Diagnosis.TOO_FEW_OBSERVERS


def has_leader(observations: Sequence[MemberObservation]) -> bool:
    """Return whether a reachable member leads the highest promised term."""
    reachable = [
        state for state in observations if state.silent_s < REACHABLE_S
    ]
    highest = max((state.term for state in reachable), default=0)
    return any(state.leads and state.term == highest for state in reachable)


def diagnose_leadership(
    members: Sequence[str],
    observations: Sequence[MemberObservation],
    leaderless_s: float,
) -> Diagnosis:
    """Decide whether a reachable group has no active primary.

    If a proposer dies after its claim, all members answer but none takes
    writes. If a claim reaches only a replica, that replica no longer
    accepts log entries from its primary. Neither case shows as silence.

    Parameters
    ----------
    members : sequence of str
        All members of the group.
    observations : sequence of MemberObservation
        The proposer's own.
    leaderless_s : float
        For how long ``has_leader`` has been false.

    Returns
    -------
    Diagnosis
        ``LEADERLESS`` if no member leads any term, ``STRANDED`` if a
        member leads but another one promised a higher term.
    """
    reachable = [
        state for state in observations if state.silent_s < REACHABLE_S
    ]
    if len(reachable) <= len(members) // 2:
        return Diagnosis.MAJORITY_UNREACHABLE
    if has_leader(observations):
        return Diagnosis.HEALTHY
    if any(observation.leads for observation in reachable):
        stranded = leaderless_s >= STRANDED_S
        return Diagnosis.STRANDED if stranded else Diagnosis.HEALTHY
    if leaderless_s >= LEADERLESS_S:
        return Diagnosis.LEADERLESS
    return Diagnosis.HEALTHY


def diagnose_drain(
    primary: str,
    members: Sequence[str],
    leaving: frozenset[str],
    observations: Sequence[MemberObservation],
) -> Diagnosis:
    """Decide whether an operator's drain requires another primary.

    ``LEAVING`` only while every member answers: a planned promotion can
    wait, and with a member unreachable it would leave the group without
    a spare.
    """
    if primary not in leaving:
        return Diagnosis.HEALTHY
    staying = [member for member in members if member not in leaving]
    if len(staying) <= len(members) // 2:
        return Diagnosis.HEALTHY
    reached = {
        state.member for state in observations if state.silent_s < REACHABLE_S
    }
    if reached.issuperset(members):
        return Diagnosis.LEAVING
    return Diagnosis.MAJORITY_UNREACHABLE


class ReplicationMeter:
    """Measures how long replication of one primary has been stalled.

    A primary that observers reach but its replicas don't answers every
    probe. Its writes are committed but never confirmed, so callers get
    not-confirmed as long as the partition lasts.

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
        """Record the positions of the primary and of its replicas.

        ``replicas`` is empty unless all the others answer and follow the
        primary; then no stall is reported.
        """
        behind = bool(replicas) and max(replicas) < primary
        moved = replicas != self._received or self._stalled_since is None
        if not behind:
            self._stalled_since = None
        elif moved:
            self._stalled_since = now
        self._received = replicas

    def stalled_s(self, now: float) -> float:
        """Return the time since a replica received anything, in seconds."""
        if self._stalled_since is None:
            return 0.0
        return now - self._stalled_since


def may_propose(rank: int, suspected_for_s: float) -> bool:
    """Return whether the proposer of ``rank`` may start a promotion.

    Examples
    --------
    >>> may_propose(0, 0.0), may_propose(2, 0.5), may_propose(2, 0.9)
    (True, False, True)
    """
    return suspected_for_s >= rank * STAGGER_S
