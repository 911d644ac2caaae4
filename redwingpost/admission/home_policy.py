"""The admission policy of a home for one member.

Load pattern: several homes share a member that runs one statement in each
slot, queues some more and refuses the rest. Its service times vary by a
factor of several within one kind of statement.
"""

from collections.abc import Callable

from redwingpost.admission.controller import AdmissionPolicy
from redwingpost.admission.queue import MAX_WAIT_S, WaitLimits

#: Statements beyond the member's slots that may always run at once: one
#: keeps a slot busy while an answer is in transit.
IN_TRANSIT = 1


def home_policy(slots: int, draw: Callable[[], float]) -> AdmissionPolicy:
    """Return the policy of a home for a member.

    Parameters
    ----------
    slots : int
        Statements that the member runs at once. The limit is never below
        it, as this home may be the only one.
    draw : callable
        Returns numbers from 0 to 1 for the jitter of retry-after times.
    """
    # Routes state how long their statements may wait, so there is no
    # other bound on the wait.
    return AdmissionPolicy(
        min_limit=slots + IN_TRANSIT,
        wait_limits=WaitLimits(longest_s=float("inf"), full_s=MAX_WAIT_S),
        counts_ahead=True,
        draw=draw,
    )
