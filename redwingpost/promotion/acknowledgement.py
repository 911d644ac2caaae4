"""Decide when a committed write may be acknowledged.

A primary that is cut off from its replicas continues to commit, and
those commits are lost once another member is promoted. A write at
(term, index) is therefore acknowledged only when enough replicas hold it
*and* their promised term is still that term. Together with the primary
they are a majority. The claims of every promotion overlap with that
majority, so the log of every later primary holds the write.

Load pattern: hundreds of writes per second wait for the same two
replicas. One round trip per write and replica would double the number of
statements that a member answers. Waiting writes share round trips
instead, with at most ``MAX_OUTSTANDING_WAITS`` in flight per replica;
without that limit a slow replica would accumulate one wait per write.

``Acknowledgements`` holds the state; it has no clock and performs no
I/O. The rule itself is ``proves``, which the model checker uses too.
"""

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from redwingpost.core import Position

#: Waits in flight to one replica, at most. Each occupies a connection, and
#: connections are scarce. A second one hardly lowers latency: with eight
#: writers and 1.5 ms one way, p50 is 23.4 ms with one and 23.1 ms with two,
#: at 0.75 and 1.18 waits per write.
MAX_OUTSTANDING_WAITS = 1

#: Seconds after which a write counts as unconfirmed. Much longer than the
#: usual receive delay of a replica and shorter than a promotion, so that
#: the record of a keyed write can still be read at the new primary.
CONFIRM_TIMEOUT_S = 1.0


class UnconfirmedPolicy(Enum):
    """How to answer a write that no replica confirmed in time.

    Configured per request kind. ``REFUSE`` answers not-confirmed, since
    a promotion may drop the write. ``ACCEPT`` acknowledges if the term
    is proven to be still current, although only the primary holds the
    write.
    """

    REFUSE = "refuse"
    ACCEPT = "accept"


class WaitAnswer(NamedTuple):
    """A replica's answer to ``REDWING WAIT RECEIVED``."""

    replica: str
    promised_term: int
    received: Position


class Decision(Enum):
    """How the wait of a write ended."""

    ACKNOWLEDGED = "acknowledged"
    REPLACED = "the primary has been replaced"
    NOT_CONFIRMED = "not confirmed in time"


class SettledWrite(NamedTuple):
    """A write whose wait has ended, with the decision."""

    write: int
    decision: Decision


class Wait(NamedTuple):
    """A ``REDWING WAIT RECEIVED`` for ``position``, to be sent.

    ``number`` identifies the wait when it is answered; later waits have
    higher numbers.
    """

    replica: str
    number: int
    position: Position


def replicas_needed(members: int) -> int:
    """Return how many replicas form a majority with the primary.

    Examples
    --------
    >>> replicas_needed(3), replicas_needed(5), replicas_needed(1)
    (1, 2, 0)
    """
    return members // 2


def proves(answer: WaitAnswer, position: Position) -> bool:
    """Return whether a replica's answer confirms the write at ``position``.

    The replica must hold the position and its promised term must still
    be the term of the position. A replica that promised a later term may
    already have been counted in a claim with a log that ended before
    this write.
    """
    return (
        answer.promised_term == position.term
        and answer.received.term == position.term
        and answer.received.index >= position.index
    )


def proves_term(answer: WaitAnswer, term: int) -> bool:
    """Return whether ``term`` was still the replica's promised term."""
    return answer.promised_term == term


class _Waiting(NamedTuple):
    """A write that waits, and the replicas that have confirmed it.

    ``holders`` hold its position. ``term_confirmed_by`` confirmed the term
    in a wait numbered ``first_wait_after_commit`` or higher.
    """

    write: int
    position: Position
    expires_at: float
    policy: UnconfirmedPolicy
    first_wait_after_commit: int
    holders: frozenset[str]
    term_confirmed_by: frozenset[str]


class Acknowledgements:
    """Writes of one primary's term that wait for confirmation.

    Parameters
    ----------
    term : int
        Term of the primary.
    replicas : sequence of str
        The other members of its group.
    needed : int
        How many of them have to confirm; see ``replicas_needed``.
    outstanding : int, optional
        Maximum number of waits in flight per replica.
    by_term : bool, optional
        Require only proof that the term is still current, from waits
        that were sent after the write or read was answered; replicas
        need not hold its position.

    Examples
    --------
    >>> acks = Acknowledgements(2, ("b", "c"), 1)
    >>> acks.add(7, Position(2, 5), expires_at=1.0)
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
        outstanding: int = MAX_OUTSTANDING_WAITS,
        by_term: bool = False,
    ) -> None:
        self.term = term
        self._by_term = by_term
        self.needed = needed
        self._outstanding = outstanding
        self._replaced = False
        self._next_number = 1
        self._waiting_by_write: dict[int, _Waiting] = {}
        self._in_flight_by_replica: dict[str, dict[int, Position]] = {
            replica: {} for replica in replicas
        }

    def __len__(self) -> int:
        return len(self._waiting_by_write)

    def add(
        self,
        write: int,
        position: Position,
        expires_at: float,
        policy: UnconfirmedPolicy = UnconfirmedPolicy.REFUSE,
    ) -> tuple[SettledWrite, ...]:
        """Add a write that the primary committed at ``position``.

        Returns
        -------
        tuple of SettledWrite
            The write, if no replica is needed or the term is known to
            have ended; otherwise empty.
        """
        if self._replaced or position.term != self.term:
            return (SettledWrite(write, Decision.REPLACED),)
        if not self.needed:
            return (SettledWrite(write, Decision.ACKNOWLEDGED),)
        self._waiting_by_write[write] = _Waiting(
            write,
            position,
            expires_at,
            policy,
            self._next_number,
            frozenset(),
            frozenset(),
        )
        return ()

    def next_wait(self, replica: str) -> Wait | None:
        """Return the wait to send to ``replica`` now, if any.

        It covers the highest unconfirmed position, unless waits in
        flight already cover all of them.
        """
        in_flight = self._in_flight_by_replica[replica]
        if self._replaced or len(in_flight) >= self._outstanding:
            return None
        wanted = [
            waiting
            for waiting in self._waiting_by_write.values()
            if replica not in self._confirmed_by(waiting)
        ]
        if all(self._is_covered(waiting, in_flight) for waiting in wanted):
            return None
        highest = max(waiting.position for waiting in wanted)
        number = self._next_number
        self._next_number += 1
        in_flight[number] = highest
        return Wait(replica, number, highest)

    def failed(self, replica: str, number: int) -> None:
        """Record that a wait got no answer."""
        self._in_flight_by_replica[replica].pop(number, None)

    def answered(
        self, number: int, answer: WaitAnswer
    ) -> tuple[SettledWrite, ...]:
        """Process a replica's answer and return the writes it settles."""
        self._in_flight_by_replica[answer.replica].pop(number, None)
        if answer.promised_term > self.term:
            return self._replace()
        decided = []
        for waiting in list(self._waiting_by_write.values()):
            waiting = self._record_answer(waiting, number, answer)
            self._waiting_by_write[waiting.write] = waiting
            if len(self._confirmed_by(waiting)) >= self.needed:
                decided.append(
                    SettledWrite(waiting.write, Decision.ACKNOWLEDGED)
                )
        return self._settle(decided)

    def expired(self, now: float) -> tuple[SettledWrite, ...]:
        """Remove and return the writes whose wait has timed out."""
        decided = [
            SettledWrite(waiting.write, self._expired_decision(waiting))
            for waiting in self._waiting_by_write.values()
            if now >= waiting.expires_at
        ]
        return self._settle(decided)

    def replaced(self) -> tuple[SettledWrite, ...]:
        """Settle all writes as replaced: a later term is known."""
        return self._replace()

    def forget(self, write: int) -> None:
        """Remove a write whose caller no longer waits."""
        self._waiting_by_write.pop(write, None)

    def _confirmed_by(self, waiting: _Waiting) -> frozenset[str]:
        return waiting.term_confirmed_by if self._by_term else waiting.holders

    def _is_covered(
        self, waiting: _Waiting, in_flight: dict[int, Position]
    ) -> bool:
        """Return whether a wait in flight can confirm the write."""
        return any(
            position >= waiting.position
            and (
                not self._by_term or number >= waiting.first_wait_after_commit
            )
            for number, position in in_flight.items()
        )

    def _record_answer(
        self, waiting: _Waiting, number: int, answer: WaitAnswer
    ) -> _Waiting:
        if proves(answer, waiting.position):
            holders = waiting.holders | {answer.replica}
            waiting = waiting._replace(holders=holders)
        # Only a wait sent after the commit proves that the term was still
        # current after the target answered; an earlier one may have been
        # answered before a claim that preceded the commit.
        sent_after_commit = number >= waiting.first_wait_after_commit
        if sent_after_commit and proves_term(answer, self.term):
            confirmed_by = waiting.term_confirmed_by | {answer.replica}
            waiting = waiting._replace(term_confirmed_by=confirmed_by)
        return waiting

    def _expired_decision(self, waiting: _Waiting) -> Decision:
        accepts = waiting.policy is UnconfirmedPolicy.ACCEPT
        if accepts and len(waiting.term_confirmed_by) >= self.needed:
            return Decision.ACKNOWLEDGED
        return Decision.NOT_CONFIRMED

    def _replace(self) -> tuple[SettledWrite, ...]:
        # A later promised term does not invalidate earlier confirmations:
        # the writes that enough replicas confirmed are already removed.
        self._replaced = True
        return self._settle(
            SettledWrite(write, Decision.REPLACED)
            for write in list(self._waiting_by_write)
        )

    def _settle(
        self, decided: Iterable[SettledWrite]
    ) -> tuple[SettledWrite, ...]:
        settled = tuple(decided)
        for done in settled:
            self._waiting_by_write.pop(done.write, None)
        return settled
