"""Which of the members that may serve a read gets it.

Load pattern: three members of five slots each, one of them slow or
behind, and one of them the only one that takes writes. Spread evenly,
every third read waits at the slow one; sent to the fastest alone, its
slots fill. Each read goes where its expected time is least: the member's
usual time, stretched by what is already under way there.
"""

from typing import NamedTuple

#: What a new connection counts for (seconds): the handshake's time at the
#: member, and two round trips. Counted for less, the reads of one
#: organisation change members and find no connection of theirs there.
OPEN_S = 0.02

#: A primary counts as this much slower than it is, so that reads which
#: replicas can serve leave its slots to writes until replicas are that
#: much busier.
PRIMARY_WEIGHT = 3.0

#: A member of another data centre counts as this much slower: traffic
#: between data centres is paid for, and a near replica of equal load has
#: the same data.
FAR_WEIGHT = 1.25

#: Slots of a member whose registry entry doesn't say; they set how fast a
#: member that others fill becomes unattractive. Most of today have five.
ASSUMED_SLOTS = 5

#: Seconds that a member without any measurement is expected to take: of
#: the order of the statements of today, so that it gets its share.
FIRST_GUESS_S = 0.03

#: Seconds for which a replica that answered that it lags is passed over.
BEHIND_PAUSE_S = 0.25


class Candidate(NamedTuple):
    """A member as a read sees it; ``usual_s`` is its smoothed time.

    ``under_way`` are this VM's statements there, ``busy`` the slots that
    it last reported as occupied, of ``slots`` in all.
    """

    member: str
    usual_s: float
    under_way: int
    busy: int
    has_link: bool
    is_primary: bool
    is_near: bool
    slots: int = ASSUMED_SLOTS


def expected_s(candidate: Candidate) -> float:
    """Return the time that a read is expected to take there (seconds).

    Examples
    --------
    >>> idle = Candidate("a", 0.03, 0, 0, True, False, True)
    >>> expected_s(idle) < expected_s(idle._replace(under_way=3))
    True
    """
    load = max(candidate.under_way, candidate.busy) / candidate.slots
    seconds = candidate.usual_s * (1.0 + load)
    if candidate.is_primary:
        seconds *= PRIMARY_WEIGHT
    if not candidate.has_link:
        seconds += OPEN_S
    return seconds if candidate.is_near else seconds * FAR_WEIGHT


def rank(candidates: list[Candidate]) -> list[str]:
    """Return the members, the one to try first at the front."""
    ordered = sorted(candidates, key=lambda c: (expected_s(c), c.member))
    return [candidate.member for candidate in ordered]
