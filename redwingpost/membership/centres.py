"""Detection of the loss of a whole data centre.

Load pattern: a data centre is cut off or loses power while callers go on.
All its members stop answering at the same moment. A single silent member
may be slow or have lost an answer, so it gets a second before another
primary takes its place, and the callers of its group wait for that. If
several members of one data centre stop answering at once while others
answer, this is hardly chance: a VM may act after little more than half
of that time.

A VM that was suspended finds all members silent when it resumes. So a
data centre counts as lost only while another one answers.
"""

from typing import NamedTuple

#: Seconds without an answer after which a statement or a probe counts as
#: evidence of a loss: hardly any takes longer in normal operation. Once a
#: data centre has been silent as long and one is overdue there, its other
#: members are probed, so that detection doesn't wait for callers' traffic.
OVERDUE_AFTER_S = 0.2

#: Members with an overdue answer that make a loss: one alone may be slow.
MIN_OVERDUE_MEMBERS = 2

#: Seconds within which another data centre must have answered: at ten
#: statements a second and VM, an answer arrives every tenth of a second.
ALIVE_WITHIN_S = 0.4


class MemberHealth(NamedTuple):
    """How promptly one member answers this VM; times are seconds.

    ``answered_s`` is the time since its last answer, ``awaited_s`` the
    age of the oldest unanswered statement or probe (0 for none).
    """

    data_centre: str
    answered_s: float
    awaited_s: float


class _Centre(NamedTuple):
    """Time since the last answer (seconds), and overdue members."""

    silent_s: float
    overdue: int


class CentreWatch:
    """Tracks which data centres answer one VM.

    Parameters
    ----------
    own : str
        The VM's own data centre.

    Examples
    --------
    >>> watch = CentreWatch("a")
    >>> near = MemberHealth("a", 0.1, 0.0)
    >>> far = MemberHealth("b", 0.7, 0.5)
    >>> watch.update((near, far, far))
    >>> watch.lost_s("b"), watch.lost_s("a")
    (0.7, 0.0)
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._centre_by_name: dict[str, _Centre] = {}

    def update(self, members: tuple[MemberHealth, ...]) -> None:
        """Replace the health of all members."""
        members_by_centre: dict[str, list[MemberHealth]] = {}
        for member in members:
            members_by_centre.setdefault(member.data_centre, []).append(member)
        self._centre_by_name = {
            name: _Centre(
                min(member.answered_s for member in health),
                sum(member.awaited_s >= OVERDUE_AFTER_S for member in health),
            )
            for name, health in members_by_centre.items()
        }

    def is_suspect(self, centre: str) -> bool:
        """Return whether all members of a data centre should be probed."""
        state = self._centre_by_name.get(centre)
        if state is None or state.overdue == 0:
            return False
        return state.silent_s >= OVERDUE_AFTER_S

    def lost_s(self, centre: str) -> float:
        """Return for how long a data centre has been lost (seconds).

        Returns
        -------
        float
            Zero while a slow member or a pause of this VM may explain
            the silence.
        """
        state = self._centre_by_name.get(centre)
        if state is None or state.overdue < MIN_OVERDUE_MEMBERS:
            return 0.0
        others_answer = any(
            other.silent_s <= ALIVE_WITHIN_S
            for name, other in self._centre_by_name.items()
            if name != centre
        )
        return state.silent_s if others_answer else 0.0

    def cut_off_s(self) -> float:
        """Return for how long only the own data centre has answered.

        Returns
        -------
        float
            Seconds since another data centre last answered; zero without
            evidence that this VM is cut off.
        """
        others = [
            other
            for name, other in self._centre_by_name.items()
            if name != self._own
        ]
        own = self._centre_by_name.get(self._own)
        if not others or own is None or own.silent_s > ALIVE_WITHIN_S:
            return 0.0
        if sum(other.overdue for other in others) < MIN_OVERDUE_MEMBERS:
            return 0.0
        return min(other.silent_s for other in others)
