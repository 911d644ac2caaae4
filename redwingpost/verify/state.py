"""State of the protocol's model, and the invariant of every state."""

from typing import NamedTuple

from redwingpost.core import Outcome, Position
from redwingpost.promotion.acknowledgement import WaitAnswer
from redwingpost.promotion.election import (
    ClaimAnswer,
    Election,
    PromoteAnswer,
)
from redwingpost.verify.member import Entry, Member


class Bounds(NamedTuple):
    """Size of the model.

    ``keyed`` tells for each writer whether its write has a key,
    ``elections`` how many elections each proposer may start.
    """

    members: int = 3
    elections: tuple[int, ...] = (1, 1)
    keyed: tuple[bool, ...] = (True,)
    attempts: int = 2


class Proposer(NamedTuple):
    """One agent: its current election, and the starts that it has left."""

    name: str
    starts_left: int
    known_term: int
    election: Election | None = None

    @property
    def claimant(self) -> str:
        """Return the claimant's name, different for each start."""
        return f"{self.name}/{self.starts_left}"


class Writer(NamedTuple):
    """One caller's write and its proxy.

    ``attempt`` is the number of the last attempt; ``sent_to`` holds those
    still in the network as (attempt, member). ``answers`` are the replicas'
    answers for the attempt that committed at ``position``. ``known_term``
    is the newest term that the proxy has found in a history.
    """

    name: str
    keyed: bool
    attempt: int = 0
    sent_to: frozenset[tuple[int, str]] = frozenset()
    replies: frozenset[tuple[int, str, Position]] = frozenset()
    is_waiting: bool = False
    primary: str = ""
    position: Position | None = None
    answers: frozenset[WaitAnswer] = frozenset()
    may_have_run: bool = False
    outcome: str = ""
    known_term: int = 0


class ClaimSent(NamedTuple):
    """A claim sent to every member; it is never removed."""

    proposer: int
    claimant: str
    term: int


class PromoteSent(NamedTuple):
    """A promotion order in the network; it is never removed."""

    proposer: int
    claimant: str
    term: int
    member: str


class State(NamedTuple):
    """State of the whole model: members, proposers, writers, network.

    ``leaders`` holds each term's primaries so far as (term, member);
    ``acknowledged`` each acknowledged write with its term.
    """

    members: tuple[Member, ...]
    proposers: tuple[Proposer, ...]
    writers: tuple[Writer, ...]
    claims: frozenset[ClaimSent] = frozenset()
    claim_answers: frozenset[tuple[int, str, ClaimAnswer]] = frozenset()
    promotes: frozenset[PromoteSent] = frozenset()
    promote_answers: frozenset[tuple[int, str, PromoteAnswer]] = frozenset()
    leaders: frozenset[tuple[int, str]] = frozenset()
    acknowledged: frozenset[tuple[str, int]] = frozenset()


ACKNOWLEDGED = "acknowledged"


def initial_state(bounds: Bounds) -> State:
    """Return a healthy group whose first member leads in term 1."""
    names = [chr(ord("a") + number) for number in range(bounds.members)]
    log = (Entry(1, ""),)
    members = tuple(
        Member(name, log, 1, "", name == "a", "" if name == "a" else "a")
        for name in names
    )
    proposers = tuple(
        Proposer(f"p{number}", starts_left, 1)
        for number, starts_left in enumerate(bounds.elections)
    )
    writers = tuple(
        Writer(f"w{number}", keyed)
        for number, keyed in enumerate(bounds.keyed)
    )
    leaders = frozenset({(1, "a")})
    return State(members, proposers, writers, leaders=leaders)


def violation(state: State) -> str:
    """Return which invariant a state violates, or an empty string."""
    terms = [term for term, _ in state.leaders]
    if len(terms) != len(set(terms)):
        return "two primaries of one term"
    for name, term in state.acknowledged:
        for member in state.members:
            later = member.primary and member.own_term >= term
            if later and name not in member.writes():
                return f"{name} was acknowledged, {member.name} lacks it"
    not_run = {
        writer.name
        for writer in state.writers
        if writer.outcome == Outcome.NOT_RUN.value
    }
    for member in state.members:
        writes = member.writes()
        if len(writes) != len(set(writes)):
            return f"{member.name} ran a write twice"
        # A replaced primary may hold a dropped write until it follows the
        # new one. No log of the newest term may hold it.
        if member.own_term == max(terms) and not_run.intersection(writes):
            return f"{member.name} ran what was called not run"
    return ""
