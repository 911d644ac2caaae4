"""State machine of one promotion: claims, choice, promotion, announcement.

A pure state machine: ``step`` takes a state and an event and returns the
next state with the commands to carry out. The same code runs in the
agent and in the model checker.

Load pattern: a lost primary, with several proposers, lost messages and
members that fail and return meanwhile. If a claim didn't need a
majority, two proposers could promote two primaries in one term. If the
chosen member weren't the most advanced of that majority, an acknowledged
write could be lost. Raft's election rule ensures the same by the highest
(term, index) of a majority (Ongaro and Ousterhout, 2014, section 5.4.1).
"""

from enum import Enum
from typing import NamedTuple

from redwingpost.core import ZERO_POSITION, Position

#: Seconds to wait for the remaining claims after a majority accepted: a
#: more advanced third member keeps transactions that weren't acknowledged.
#: Several round trips between data centres, of 1 to 3 ms each.
GRACE_S = 0.1

#: Seconds after which a promotion without a majority is aborted and tried
#: again with a higher term. Three retransmission timeouts of 200 ms.
CLAIM_TIMEOUT_S = 0.6

#: Seconds to wait for the answer to a promotion: the candidate applies its
#: relay log first, which takes long if it lags by minutes.
PROMOTE_TIMEOUT_S = 10.0

#: First and longest delay between attempts (seconds, before jitter). The
#: second attempt follows soon, since the loser of a race sees the
#: winner's term within a probe interval. Later ones back off to limit the
#: load on the members.
BACKOFF_BASE_S = 0.25
BACKOFF_MAX_S = 2.0


class Phase(Enum):
    """Phase of a promotion."""

    CLAIMING = "claiming"
    GRACE = "grace"
    PROMOTING = "promoting"
    DONE = "done"
    ABORTED = "aborted"


class Timer(Enum):
    """Purpose of a timer."""

    CLAIM = "claim"
    GRACE = "grace"
    PROMOTE = "promote"


class ClaimAnswer(NamedTuple):
    """A member's answer to ``REDWING CLAIM``."""

    member: str
    ok: bool
    promised_term: int
    received: Position = ZERO_POSITION
    applied: Position = ZERO_POSITION


class PromoteAnswer(NamedTuple):
    """A member's answer to ``REDWING PROMOTE``.

    ``start`` is the first position of the new term, set if ``ok``.
    """

    member: str
    ok: bool
    start: Position = ZERO_POSITION


class MemberFailed(NamedTuple):
    """A member can't be reached.

    Optional: without this event the timers end the wait for the member.
    """

    member: str


class TimerFired(NamedTuple):
    """A timer that a ``StartTimer`` command started has expired."""

    timer: Timer


Event = ClaimAnswer | PromoteAnswer | MemberFailed | TimerFired


class SendClaim(NamedTuple):
    """Send ``REDWING CLAIM``."""

    member: str
    term: int


class SendPromote(NamedTuple):
    """Send ``REDWING PROMOTE``."""

    member: str
    term: int


class SendFollow(NamedTuple):
    """Send ``REDWING FOLLOW``; repeat until the member accepts."""

    member: str
    term: int
    primary: str


class StartTimer(NamedTuple):
    """Send ``TimerFired(timer)`` after ``seconds``."""

    timer: Timer
    seconds: float


class Announce(NamedTuple):
    """Announce the new primary to agents and proxies."""

    term: int
    primary: str
    start: Position


class Abort(NamedTuple):
    """End the promotion without a new primary.

    ``highest_term`` is the highest term that is known to be promised.
    """

    reason: str
    highest_term: int


Command = SendClaim | SendPromote | SendFollow | StartTimer | Announce | Abort


class Candidate(NamedTuple):
    """A member that may be promoted, with the criteria besides its log.

    ``distance`` is 0 in the proposer's data centre and higher elsewhere.
    """

    member: str
    distance: int = 0
    leaving: bool = False


class Election(NamedTuple):
    """Immutable state of one promotion, so that states can be compared.

    ``claims`` holds the accepting answers in order of arrival.
    """

    candidates: tuple[Candidate, ...]
    term: int
    phase: Phase = Phase.CLAIMING
    claims: tuple[ClaimAnswer, ...] = ()
    failed: frozenset[str] = frozenset()
    highest_term: int = 0
    chosen: str = ""

    @property
    def majority(self) -> int:
        """Return the number of members that must accept the claim."""
        return len(self.candidates) // 2 + 1


Step = tuple[Election, tuple[Command, ...]]


def next_term(known_terms: tuple[int, ...]) -> int:
    """Return the term to claim, above every known term.

    Examples
    --------
    >>> next_term((3, 7))
    8
    """
    return max(known_terms, default=0) + 1


def backoff_s(attempt: int, jitter: float) -> float:
    """Return the delay before the next attempt, in seconds.

    Two proposers that claim at the same times would block each other
    indefinitely; jitter prevents this.

    Parameters
    ----------
    attempt : int
        Number of failed promotions so far, minus one.
    jitter : float
        Random, between 0 and 1.

    Examples
    --------
    >>> backoff_s(0, 0.5), backoff_s(9, 0.5)
    (0.25, 2.0)
    """
    delay_s = min(BACKOFF_BASE_S * 2**attempt, BACKOFF_MAX_S)
    return delay_s * (0.5 + jitter)


def start(candidates: tuple[Candidate, ...], term: int) -> Step:
    """Start a promotion by claiming ``term`` at every member."""
    election = Election(candidates, term, highest_term=term)
    claims = tuple(SendClaim(c.member, term) for c in candidates)
    timer = StartTimer(Timer.CLAIM, CLAIM_TIMEOUT_S)
    return election, (*claims, timer)


def choose_primary(election: Election) -> str:
    """Return the most advanced member among those that accepted the claim.

    Members that are leaving are considered only if the others are no
    majority: the most advanced log of any majority holds every
    acknowledged write. Ties go to the member with the fewest entries left
    to apply, since callers wait for that, then to the nearest one.
    """
    candidates_by_member = {c.member: c for c in election.candidates}
    eligible = [
        claim
        for claim in election.claims
        if not candidates_by_member[claim.member].leaving
    ]
    if len(eligible) < election.majority:
        eligible = list(election.claims)

    def preference(claim: ClaimAnswer) -> tuple:
        candidate = candidates_by_member[claim.member]
        return (
            claim.received,
            claim.applied,
            -candidate.distance,
            claim.member,
        )

    return max(eligible, key=preference).member


def _promote(election: Election) -> Step:
    chosen = choose_primary(election)
    state = election._replace(phase=Phase.PROMOTING, chosen=chosen)
    return state, (
        SendPromote(chosen, election.term),
        StartTimer(Timer.PROMOTE, PROMOTE_TIMEOUT_S),
    )


def _abort(election: Election, reason: str) -> Step:
    state = election._replace(phase=Phase.ABORTED)
    return state, (Abort(reason, election.highest_term),)


def _after_claim(election: Election) -> Step:
    """Return the next step after a claim was answered or a member failed."""
    answered_or_failed = len(election.claims) + len(election.failed)
    if len(election.claims) >= election.majority:
        if answered_or_failed >= len(election.candidates):
            return _promote(election)
        if election.phase is Phase.GRACE:
            return election, ()
        state = election._replace(phase=Phase.GRACE)
        return state, (StartTimer(Timer.GRACE, GRACE_S),)
    possible_claims = len(election.candidates) - len(election.failed)
    if possible_claims < election.majority:
        return _abort(election, "no majority accepts the claim")
    return election, ()


def _on_claim(election: Election, answer: ClaimAnswer) -> Step:
    if any(claim.member == answer.member for claim in election.claims):
        return election, ()
    if answer.ok:
        claims = (*election.claims, answer)
        failed = election.failed - {answer.member}
        state = election._replace(claims=claims, failed=failed)
        return _after_claim(state)
    highest = max(election.highest_term, answer.promised_term)
    failed = election.failed | {answer.member}
    state = election._replace(failed=failed, highest_term=highest)
    return _after_claim(state)


def _on_failure(election: Election, failure: MemberFailed) -> Step:
    if any(claim.member == failure.member for claim in election.claims):
        return election, ()
    failed = election.failed | {failure.member}
    return _after_claim(election._replace(failed=failed))


def _on_promote(election: Election, answer: PromoteAnswer) -> Step:
    if answer.member != election.chosen:
        return election, ()
    if not answer.ok:
        return _abort(election, "the chosen member refused")
    state = election._replace(phase=Phase.DONE)
    follows = tuple(
        SendFollow(c.member, election.term, election.chosen)
        for c in election.candidates
        if c.member != election.chosen
    )
    announce = Announce(election.term, election.chosen, answer.start)
    return state, (announce, *follows)


def _on_timer(election: Election, timer: Timer) -> Step:
    claiming = election.phase is Phase.CLAIMING
    if timer is Timer.GRACE and election.phase is Phase.GRACE:
        return _promote(election)
    if timer is Timer.CLAIM and claiming:
        return _abort(election, "no majority answered in time")
    if timer is Timer.PROMOTE and election.phase is Phase.PROMOTING:
        return _abort(election, "the chosen member did not answer")
    return election, ()


def step(election: Election, event: Event) -> Step:
    """Return the state after ``event`` and the commands to carry out.

    Late, duplicate and out-of-order events are ignored.

    Examples
    --------
    >>> candidates = tuple(Candidate(m) for m in "abc")
    >>> election, commands = start(candidates, 2)
    >>> for member in "bca":
    ...     answer = ClaimAnswer(member, True, 2, Position(1, 4))
    ...     election, commands = step(election, answer)
    >>> commands[0]
    SendPromote(member='c', term=2)
    """
    if election.phase in (Phase.DONE, Phase.ABORTED):
        return election, ()
    if isinstance(event, TimerFired):
        return _on_timer(election, event.timer)
    if isinstance(event, PromoteAnswer):
        if election.phase is not Phase.PROMOTING:
            return election, ()
        return _on_promote(election, event)
    if election.phase is Phase.PROMOTING:
        return election, ()
    if isinstance(event, MemberFailed):
        return _on_failure(election, event)
    return _on_claim(election, event)
