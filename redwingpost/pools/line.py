"""Who gets a connection that comes free, of those that wait for one.

Load pattern: replicas lag by seconds and callers press, so that all reads
run at the primary. Its slots are full, and so are the connections that a
VM may hold to it. A connection belongs to one organisation; given to
another's statement it is closed and opened anew, which takes a slot of the
full member for 12 ms besides the 11 to 55 ms of the statement. First come,
first served changes the organisation with nearly every statement of eight
organisations, and a quarter of the member's time goes into handshakes.

So a connection goes to a statement of its own organisation, of the same
priority, but passes over those that came before at most ``MAX_PASSES``
times in a row: what they wait more is bounded, and an organisation that
floods can't keep a connection for itself.

Grounds: 8 organisations press 120 statements a second on 3 connections, of
33 ms of work and 15 ms to open each. First come, first served 67 a second
are served, 82 so, where 90 would need no handshake at all (played load).
"""

from itertools import count
from typing import NamedTuple

#: Statements in a row for which a connection may pass over others. Each
#: saves a handshake, a third of a statement's time; the first in line
#: waits a tenth of a second more at most, half of the least target.
MAX_PASSES = 3


class Waiter(NamedTuple):
    """A statement that waits; ordered by priority, then by arrival."""

    priority: int
    number: int
    organisation: str


class Turn(NamedTuple):
    """Whose turn it is, and whether somebody was passed over for it."""

    waiter: Waiter
    is_passing: bool


class WaitingLine:
    """Statements of one VM that wait for a connection to one member.

    Examples
    --------
    >>> line = WaitingLine()
    >>> line.join(line.new_waiter(1, "a"))
    >>> line.join(line.new_waiter(1, "b"))
    >>> line.take("b", passes=0).waiter.organisation
    'b'
    >>> line.take("b", passes=1).waiter.organisation
    'a'
    """

    def __init__(self) -> None:
        self._numbers = count()
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def new_waiter(self, priority: int, organisation: str) -> Waiter:
        """Return a statement's place, which it keeps until it is served.

        One that looks at the pool by itself and joins again would stand
        behind all who came meanwhile with a place of that moment.
        """
        return Waiter(priority, next(self._numbers), organisation)

    def join(self, waiter: Waiter) -> None:
        """Let a statement wait; lower priorities go first."""
        self._waiters.append(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Take out a statement that waits no more."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def take(self, organisation: str | None, passes: int) -> Turn | None:
        """Remove whose turn it is; None where nobody waits.

        Parameters
        ----------
        organisation : str or None
            Whose connection came free; None where a place did.
        passes : int
            How often in a row it has passed over others.
        """
        if not self._waiters:
            return None
        first = chosen = min(self._waiters)
        if passes < MAX_PASSES:
            own = [
                waiter
                for waiter in self._waiters
                if waiter.organisation == organisation
                and waiter.priority == first.priority
            ]
            chosen = min(own, default=first)
        self._waiters.remove(chosen)
        return Turn(chosen, chosen is not first)
