"""Conduct one promotion: claims, choice, promotion, announcement.

A pure state machine: ``step`` takes a state and an event and returns the
next state with the commands to carry out. The same code runs in the
agent and in the model checker.

Load pattern: a lost primary, with several proposers, lost messages and
members that come and go meanwhile. Without a claim by a majority two
proposers would make two primaries of one term; without choosing the most
advanced of the majority an acknowledged write would vanish. The choice
of the log with the highest (term, index) of a majority is Raft's (Ongaro
and Ousterhout, 2014, section 5.4.1).
"""

from enum import Enum
from typing import NamedTuple

from redwingpost.core import ZERO_POSITION, Position

#: The slowest member's answer still counts within this time: a more
#: advanced third member saves transactions that nobody acknowledged.
#: Several round trips between the data centres of today (1 to 3 ms).
GRACE_S = 0.1

#: No majority within it: give up, try again with a higher term. Three
#: retransmission timeouts of 200 ms.
CLAIM_TIMEOUT_S = 0.6

#: The candidate applies its relay log first; minutes of lag take long.
PROMOTE_TIMEOUT_S = 10.0

#: A second try follows soon (the loser of a race sees the winner's term
#: within a probe interval), later ones leave the members in peace.
BACKOFF_BASE_S = 0.25
BACKOFF_MAX_S = 2.0


class Phase(Enum):
    """How far the promotion is."""

    CLAIMING = "claiming"
    GRACE = "grace"
    PROMOTING = "promoting"
    DONE = "done"
    GAVE_UP = "gave up"


class Timer(Enum):
    """What a timer was started for."""

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
    """A member's answer to ``REDWING PROMOTE``; ``start`` if ok."""

    member: str
    ok: bool
    start: Position = ZERO_POSITION


class MemberFailed(NamedTuple):
    """A member can't be reached; the event is optional."""

    member: str


class TimerFired(NamedTuple):
    """A timer that a command started has run out."""

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
    """Tell agents and proxies who leads."""

    term: int
    primary: str
    start: Position


class GiveUp(NamedTuple):
    """The promotion failed; ``highest_term`` is what members promised."""

    reason: str
    highest_term: int


Command = SendClaim | SendPromote | SendFollow | StartTimer | Announce | GiveUp


class Candidate(NamedTuple):
    """What speaks for a member besides its log."""

    member: str
    distance: int = 0
    leaving: bool = False


class Election(NamedTuple):
    """State of one promotion; a value, so that states can be compared.

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
        """Return how many members have to accept the claim."""
        return len(self.candidates) // 2 + 1


Step = tuple[Election, tuple[Command, ...]]


def next_term(known_terms: tuple[int, ...]) -> int:
    """Return the term to claim: above every term heard of.

    Examples
    --------
    >>> next_term((3, 7))
    8
    """
    return max(known_terms, default=0) + 1


def backoff_s(attempt: int, jitter: float) -> float:
    """Return the pause before the next promotion, in seconds.

    Two proposers that keep claiming in step would refuse each other for
    ever; the jitter parts them.

    Parameters
    ----------
    attempt : int
        Failed promotions so far, less one.
    jitter : float
        Random, between 0 and 1.

    Examples
    --------
    >>> backoff_s(0, 0.5), backoff_s(9, 0.5)
    (0.25, 2.0)
    """
    pause = min(BACKOFF_BASE_S * 2**attempt, BACKOFF_MAX_S)
    return pause * (0.5 + jitter)


def start(candidates: tuple[Candidate, ...], term: int) -> Step:
    """Begin a promotion: claim ``term`` at every member."""
    election = Election(candidates, term, highest_term=term)
    claims = tuple(SendClaim(c.member, term) for c in candidates)
    timer = StartTimer(Timer.CLAIM, CLAIM_TIMEOUT_S)
    return election, (*claims, timer)


def choose_primary(election: Election) -> str:
    """Return the most advanced claimed member.

    Members that are leaving count only where the others are too few to
    be a majority: any majority's most advanced log holds every
    acknowledged write. Ties go to the least left to apply (callers wait
    for that), then to the nearest.
    """
    candidates_by_member = {c.member: c for c in election.candidates}
    staying = [
        claim
        for claim in election.claims
        if not candidates_by_member[claim.member].leaving
    ]
    if len(staying) < election.majority:
        staying = list(election.claims)

    def merit(claim: ClaimAnswer) -> tuple:
        candidate = candidates_by_member[claim.member]
        return (
            claim.received,
            claim.applied,
            -candidate.distance,
            claim.member,
        )

    return max(staying, key=merit).member


def _promote(election: Election) -> Step:
    chosen = choose_primary(election)
    state = election._replace(phase=Phase.PROMOTING, chosen=chosen)
    return state, (
        SendPromote(chosen, election.term),
        StartTimer(Timer.PROMOTE, PROMOTE_TIMEOUT_S),
    )


def _give_up(election: Election, reason: str) -> Step:
    state = election._replace(phase=Phase.GAVE_UP)
    return state, (GiveUp(reason, election.highest_term),)


def _after_claim(election: Election) -> Step:
    """Go on once an answer came or a member failed."""
    heard = len(election.claims) + len(election.failed)
    if len(election.claims) >= election.majority:
        if heard >= len(election.candidates):
            return _promote(election)
        if election.phase is Phase.GRACE:
            return election, ()
        state = election._replace(phase=Phase.GRACE)
        return state, (StartTimer(Timer.GRACE, GRACE_S),)
    possible = len(election.candidates) - len(election.failed)
    if possible < election.majority:
        return _give_up(election, "no majority accepts the claim")
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
        return _give_up(election, "the chosen member refused")
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
        return _give_up(election, "no majority answered in time")
    if timer is Timer.PROMOTE and election.phase is Phase.PROMOTING:
        return _give_up(election, "the chosen member did not answer")
    return election, ()


def step(election: Election, event: Event) -> Step:
    """Return the state after ``event`` and what to do now.

    Events that come late, twice or out of order change nothing.

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
    if election.phase in (Phase.DONE, Phase.GAVE_UP):
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
