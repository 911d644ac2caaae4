"""Decide when a committed write may be acknowledged.

A primary that was cut off goes on committing; what it commits is lost
once another is promoted. A write at (term, index) is acknowledged only
when enough replicas hold it *and* still had promised that very term: with
the primary they are a majority, every promotion's claims meet that
majority, so every later primary's log holds the write.

Load pattern: hundreds of writes a second wait for the same two replicas.
One round trip per write and replica would double the statements that a
member answers; here the writes that wait share each round trip, at most
``OUTSTANDING`` under way per replica. Without that limit a slow replica
would collect one outstanding wait per write.

The state is held by ``Acknowledgements``; it has no clock and sends
nothing. The rule itself is ``proves``, which the model checker uses too.
"""

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from redwingpost.core import Position

#: Connections are scarce, and each wait under way holds one. Measured at
#: eight writers and 1.5 ms one way, a second brought nothing: p50 23.4 ms
#: with one and 23.1 ms with two, at 0.75 and 1.18 waits a write.
OUTSTANDING = 1

#: Past this a write counts as unconfirmed. Longer than a replica's
#: usual receiving delay by far, shorter than a promotion, so that a
#: keyed write can still be asked for at the new primary.
CONFIRM_BOUND_S = 1.0


class PastBound(Enum):
    """What a request kind wants when no replica confirms in time.

    ``REFUSE`` answers not-confirmed (the write may be lost by a
    promotion). ``ACCEPT`` acknowledges on proof that the term was still
    current, although only the primary holds the write.
    """

    REFUSE = "refuse"
    ACCEPT = "accept"


class WaitAnswer(NamedTuple):
    """A replica's answer to ``REDWING WAIT RECEIVED``."""

    replica: str
    promised_term: int
    received: Position


class Decision(Enum):
    """What becomes of a waiting write."""

    ACKNOWLEDGED = "acknowledged"
    REPLACED = "the primary has been replaced"
    NOT_CONFIRMED = "not confirmed in time"


class Decided(NamedTuple):
    """A write that needn't wait any longer."""

    write: int
    decision: Decision


class Wait(NamedTuple):
    """A wait to send: ``REDWING WAIT RECEIVED`` for ``position``.

    ``number`` comes back with the answer and orders the waits.
    """

    replica: str
    number: int
    position: Position


def replicas_needed(members: int) -> int:
    """Return how many replicas make a majority with the primary.

    Examples
    --------
    >>> replicas_needed(3), replicas_needed(5), replicas_needed(1)
    (1, 2, 0)
    """
    return members // 2


def proves(answer: WaitAnswer, position: Position) -> bool:
    """Say whether a replica's answer speaks for a write's safety.

    The replica must hold the position while its promise was still the
    position's term. A replica that promised more may be counted in a
    claim already, with a log that ended before this write.
    """
    return (
        answer.promised_term == position.term
        and answer.received.term == position.term
        and answer.received.index >= position.index
    )


def proves_term(answer: WaitAnswer, term: int) -> bool:
    """Say whether the replica had not yet promised a later term."""
    return answer.promised_term == term


class _Waiting(NamedTuple):
    write: int
    position: Position
    bound_at: float
    past_bound: PastBound
    first_wait: int
    holders: frozenset[str]
    term_seen: frozenset[str]


class Acknowledgements:
    """The writes that wait for confirmation from one primary's term.

    Parameters
    ----------
    term : int
        Term of the primary.
    replicas : sequence of str
        The other members of its group.
    needed : int
        How many of them have to confirm; see ``replicas_needed``.
    outstanding : int, optional
        Waits under way per replica.
    by_term : bool, optional
        Settle on proof that the term is still current, asked for after
        the write (or read) was answered, whoever holds its position.

    Examples
    --------
    >>> acks = Acknowledgements(2, ("b", "c"), 1)
    >>> acks.add(7, Position(2, 5), bound_at=1.0)
    ()
    >>> wait = acks.next_wait("b")
    >>> answer = WaitAnswer("b", 2, Position(2, 5))
    >>> acks.answered(wait.number, answer)[0].decision.name
    'ACKNOWLEDGED'
    """

    def __init__(
        self,
        term: int,
        replicas: Sequence[str],
        needed: int,
        outstanding: int = OUTSTANDING,
        by_term: bool = False,
    ) -> None:
        self.term = term
        self._by_term = by_term
        self.needed = needed
        self._outstanding = outstanding
        self._replaced = False
        self._next_number = 1
        self._waiting_by_write: dict[int, _Waiting] = {}
        self._under_way_by_replica: dict[str, dict[int, Position]] = {
            replica: {} for replica in replicas
        }

    def __len__(self) -> int:
        return len(self._waiting_by_write)

    def add(
        self,
        write: int,
        position: Position,
        bound_at: float,
        past_bound: PastBound = PastBound.REFUSE,
    ) -> tuple[Decided, ...]:
        """Note a write that the primary committed at ``position``.

        Returns
        -------
        tuple of Decided
            At once where no replica is needed or the term is known to
            be over; else empty.
        """
        if self._replaced or position.term != self.term:
            return (Decided(write, Decision.REPLACED),)
        if not self.needed:
            return (Decided(write, Decision.ACKNOWLEDGED),)
        self._waiting_by_write[write] = _Waiting(
            write,
            position,
            bound_at,
            past_bound,
            self._next_number,
            frozenset(),
            frozenset(),
        )
        return ()

    def next_wait(self, replica: str) -> Wait | None:
        """Return the wait to send to ``replica`` now, if any.

        It asks for the highest position that waits, if no wait under
        way asks for as much already.
        """
        under_way = self._under_way_by_replica[replica]
        if self._replaced or len(under_way) >= self._outstanding:
            return None
        wanted = [
            waiting
            for waiting in self._waiting_by_write.values()
            if replica not in self._proven_by(waiting)
        ]
        if all(self._is_asked(waiting, under_way) for waiting in wanted):
            return None
        highest = max(waiting.position for waiting in wanted)
        number = self._next_number
        self._next_number += 1
        under_way[number] = highest
        return Wait(replica, number, highest)

    def failed(self, replica: str, number: int) -> None:
        """Note that a wait got no answer."""
        self._under_way_by_replica[replica].pop(number, None)

    def answered(self, number: int, answer: WaitAnswer) -> tuple[Decided, ...]:
        """Take a replica's answer and return the writes it settles."""
        self._under_way_by_replica[answer.replica].pop(number, None)
        if answer.promised_term > self.term:
            return self._replace()
        decided = []
        for waiting in list(self._waiting_by_write.values()):
            waiting = self._credit(waiting, number, answer)
            self._waiting_by_write[waiting.write] = waiting
            if len(self._proven_by(waiting)) >= self.needed:
                decided.append(Decided(waiting.write, Decision.ACKNOWLEDGED))
        return self._settle(decided)

    def expired(self, now: float) -> tuple[Decided, ...]:
        """Return the writes whose bound has passed, and drop them."""
        decided = [
            Decided(waiting.write, self._past_bound(waiting))
            for waiting in self._waiting_by_write.values()
            if now >= waiting.bound_at
        ]
        return self._settle(decided)

    def replaced(self) -> tuple[Decided, ...]:
        """Note that a later term is known; nothing is acknowledged."""
        return self._replace()

    def forget(self, write: int) -> None:
        """Drop a write whose caller has gone."""
        self._waiting_by_write.pop(write, None)

    def _proven_by(self, waiting: _Waiting) -> frozenset[str]:
        return waiting.term_seen if self._by_term else waiting.holders

    def _is_asked(
        self, waiting: _Waiting, under_way: dict[int, Position]
    ) -> bool:
        """Say whether a wait under way will speak for the write."""
        return any(
            position >= waiting.position
            and (not self._by_term or number >= waiting.first_wait)
            for number, position in under_way.items()
        )

    def _credit(
        self, waiting: _Waiting, number: int, answer: WaitAnswer
    ) -> _Waiting:
        if proves(answer, waiting.position):
            holders = waiting.holders | {answer.replica}
            waiting = waiting._replace(holders=holders)
        # Only a wait sent after the commit tells that the term was still
        # current after the target answered; an older one may have been
        # answered before a claim that preceded the commit.
        asked_since = number >= waiting.first_wait
        if asked_since and proves_term(answer, self.term):
            seen = waiting.term_seen | {answer.replica}
            waiting = waiting._replace(term_seen=seen)
        return waiting

    def _past_bound(self, waiting: _Waiting) -> Decision:
        accepts = waiting.past_bound is PastBound.ACCEPT
        if accepts and len(waiting.term_seen) >= self.needed:
            return Decision.ACKNOWLEDGED
        return Decision.NOT_CONFIRMED

    def _replace(self) -> tuple[Decided, ...]:
        # A member's promise above the term does not undo what enough
        # replicas have proven before: those writes are settled and gone.
        self._replaced = True
        return self._settle(
            Decided(write, Decision.REPLACED)
            for write in list(self._waiting_by_write)
        )

    def _settle(self, decided: Iterable[Decided]) -> tuple[Decided, ...]:
        settled = tuple(decided)
        for done in settled:
            self._waiting_by_write.pop(done.write, None)
        return settled
