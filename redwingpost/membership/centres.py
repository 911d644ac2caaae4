"""Whether a whole data centre is out of reach.

Load pattern: a data centre is cut off or loses power while callers go on.
Everything there falls silent at the same moment. A single silent member
may be slow or have lost an answer, so it gets a second before another
primary takes its place, and the callers of its group wait for that.
Several members at once, in one place, while others answer, are no
coincidence: a VM may act after little more than half of that time.

A VM that was suspended finds everybody silent when it wakes. So a data
centre counts as lost only while another one answers.
"""

from typing import NamedTuple

#: Seconds that a statement or a question may wait before it speaks for a
#: loss: hardly any takes longer where all is well. A data centre that is
#: silent as long and keeps one waiting has its other members asked, so
#: that nobody must wait until callers happen to need them.
AWAITED_S = 0.2

#: Members that must keep this VM waiting: one alone may be slow.
LEAST_AWAITED = 2

#: Seconds within which another data centre must have answered: at ten
#: statements a second and VM an answer comes every tenth of a second.
ALIVE_S = 0.4


class MemberHealth(NamedTuple):
    """What one member's answers say; times are seconds.

    ``answered_s`` since its last answer, ``awaited_s`` for how long
    something sent there has waited in vain (0 where nothing does).
    """

    data_centre: str
    answered_s: float
    awaited_s: float


class _Centre(NamedTuple):
    silent_s: float
    awaited: int


class CentreWatch:
    """Which data centres answer, as one VM sees them.

    Parameters
    ----------
    own : str
        The VM's own data centre.

    Examples
    --------
    >>> watch = CentreWatch("a")
    >>> near = MemberHealth("a", 0.1, 0.0)
    >>> far = MemberHealth("b", 0.7, 0.5)
    >>> watch.take((near, far, far))
    >>> watch.lost_s("b"), watch.lost_s("a")
    (0.7, 0.0)
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._centre_by_name: dict[str, _Centre] = {}

    def take(self, members: tuple[MemberHealth, ...]) -> None:
        """Take in what all members answer."""
        members_by_centre: dict[str, list[MemberHealth]] = {}
        for member in members:
            members_by_centre.setdefault(member.data_centre, []).append(member)
        self._centre_by_name = {
            name: _Centre(
                min(member.answered_s for member in found),
                sum(member.awaited_s >= AWAITED_S for member in found),
            )
            for name, found in members_by_centre.items()
        }

    def is_suspect(self, centre: str) -> bool:
        """Say whether all members there should be asked."""
        found = self._centre_by_name.get(centre)
        if found is None or found.awaited == 0:
            return False
        return found.silent_s >= AWAITED_S

    def lost_s(self, centre: str) -> float:
        """Return for how long a data centre has been lost (seconds).

        Returns
        -------
        float
            Zero while it may just be a slow member, or this VM.
        """
        found = self._centre_by_name.get(centre)
        if found is None or found.awaited < LEAST_AWAITED:
            return 0.0
        others_answer = any(
            other.silent_s <= ALIVE_S
            for name, other in self._centre_by_name.items()
            if name != centre
        )
        return found.silent_s if others_answer else 0.0

    def cut_off_s(self) -> float:
        """Return for how long only the own data centre has answered.

        Returns
        -------
        float
            Seconds; zero where nothing speaks for it. Short while
            another answers.
        """
        others = [
            found
            for name, found in self._centre_by_name.items()
            if name != self._own
        ]
        own = self._centre_by_name.get(self._own)
        if not others or own is None or own.silent_s > ALIVE_S:
            return 0.0
        if sum(found.awaited for found in others) < LEAST_AWAITED:
            return 0.0
        return min(found.silent_s for found in others)
