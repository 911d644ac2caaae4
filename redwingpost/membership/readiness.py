"""Whether the balancer may send callers to this VM.

Load pattern: a data centre is cut off while its callers still reach it.
A VM there can serve next to nothing, but others can; the balancer sends
callers elsewhere only if the VM says that it isn't ready. A VM must not
say so when nobody could do better: with all VMs out of rotation callers
are sent anywhere.
"""

from typing import NamedTuple

#: Seconds that a VM must have been worse off than others before it says
#: so. Short, since saying so for a moment costs nothing: the balancer asks
#: once a second and acts on two misses only.
WORSE_FOR_S = 0.2


#: Seconds for which only the own data centre may have answered before
#: this VM says that it is cut off; heartbeats of half of the VMs must be
#: missing as well. Failing primaries alone show the same later, and callers
#: stay behind the cut for as long.
CUT_OFF_S = 0.5


class ReadinessInputs(NamedTuple):
    """What a VM can do, and whether others can do more.

    ``reached`` of ``groups`` primaries have answered lately.
    ``cut_off_s`` is for how long only members of the own data centre
    have answered; ``hears_half_lately`` counts the last heartbeats only.
    """

    has_rules: bool
    is_stopping: bool
    groups: int
    reached: int
    hears_half: bool
    others_reach_more: bool
    cut_off_s: float = 0.0
    hears_half_lately: bool = True


def is_cut_off(inputs: ReadinessInputs) -> bool:
    """Say whether nothing outside of the own data centre is reached.

    Examples
    --------
    >>> fine = ReadinessInputs(True, False, 3, 3, True, False)
    >>> alone = fine._replace(cut_off_s=CUT_OFF_S, hears_half_lately=False)
    >>> is_cut_off(fine), is_cut_off(alone)
    (False, True)
    """
    return inputs.cut_off_s >= CUT_OFF_S and not inputs.hears_half_lately


def is_worse_off(inputs: ReadinessInputs) -> bool:
    """Say whether callers would fare better at another VM.

    Examples
    --------
    >>> fine = ReadinessInputs(True, False, 3, 3, True, False)
    >>> is_worse_off(fine), is_worse_off(fine._replace(reached=0))
    (False, False)
    >>> is_worse_off(fine._replace(reached=0, others_reach_more=True))
    True
    """
    if 2 * inputs.reached >= inputs.groups:
        return False
    return inputs.others_reach_more or not inputs.hears_half


class Readiness:
    """Readiness over time.

    Examples
    --------
    >>> readiness = Readiness()
    >>> fine = ReadinessInputs(True, False, 3, 3, True, False)
    >>> readiness.judge(fine, now=0.0)
    True
    >>> cut_off = fine._replace(reached=0, hears_half=False)
    >>> readiness.judge(cut_off, 1.0), readiness.judge(cut_off, 2.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._worse_since: float | None = None

    def judge(self, inputs: ReadinessInputs, now: float) -> bool:
        """Return whether to report ready at ``now`` (seconds)."""
        if not inputs.has_rules or inputs.is_stopping:
            return False
        if inputs.groups == 0:
            return False
        if is_cut_off(inputs):
            # The evidence has its own time. Once it ends, a VM that is
            # still worse off goes on saying so without a pause.
            self._worse_since = now - WORSE_FOR_S
            return False
        if not is_worse_off(inputs):
            self._worse_since = None
            return True
        if self._worse_since is None:
            self._worse_since = now
        return now - self._worse_since < WORSE_FOR_S
