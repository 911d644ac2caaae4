"""Readiness: whether the load balancer may send callers to this VM.

Load pattern: a data centre is cut off while its callers still reach it.
A VM there can serve hardly any of them, but other VMs can; the balancer
sends callers elsewhere only if the VM reports that it isn't ready. A VM
must not report this when no other VM could do better: with all VMs out of
rotation callers are sent to any of them.
"""

from typing import NamedTuple

#: Seconds that a VM must have been worse off than others before it reports
#: that it isn't ready. Short, since a brief report costs nothing: the
#: balancer checks once a second and acts on two failed checks only.
WORSE_OFF_FOR_S = 0.2


#: Seconds for which only the own data centre has answered until this VM
#: counts as cut off; heartbeats of half of the VMs must be missing as
#: well. Failing primaries alone would show the same, but later, and until
#: then callers would be sent to a VM that is cut off.
CUT_OFF_S = 0.5


class ReadinessInputs(NamedTuple):
    """What a VM reaches, and whether other VMs reach more.

    ``reached`` of the primaries of ``groups`` database groups have
    answered recently. ``hears_half`` says whether heartbeats of at least
    half of the VMs are fresh, ``hears_half_lately`` the same with a
    shorter timeout. ``cut_off_s`` is for how long only members of the own
    data centre have answered.
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
    """Return whether this VM reaches nothing outside its data centre.

    Examples
    --------
    >>> fine = ReadinessInputs(True, False, 3, 3, True, False)
    >>> alone = fine._replace(cut_off_s=CUT_OFF_S, hears_half_lately=False)
    >>> is_cut_off(fine), is_cut_off(alone)
    (False, True)
    """
    return inputs.cut_off_s >= CUT_OFF_S and not inputs.hears_half_lately


def is_worse_off(inputs: ReadinessInputs) -> bool:
    """Return whether another VM would serve callers better.

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
    """Tracks readiness over time, so that a brief failure has no effect.

    Examples
    --------
    >>> readiness = Readiness()
    >>> fine = ReadinessInputs(True, False, 3, 3, True, False)
    >>> readiness.update(fine, now=0.0)
    True
    >>> cut_off = fine._replace(reached=0, hears_half=False)
    >>> readiness.update(cut_off, 1.0), readiness.update(cut_off, 2.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._worse_off_since: float | None = None

    def update(self, inputs: ReadinessInputs, now: float) -> bool:
        """Return whether to report ready at ``now`` (seconds)."""
        if not inputs.has_rules or inputs.is_stopping:
            return False
        if inputs.groups == 0:
            return False
        if is_cut_off(inputs):
            # ``cut_off_s`` is a delay already. If the VM is still worse off
            # when the cut-off ends, it stays not ready without a gap.
            self._worse_off_since = now - WORSE_OFF_FOR_S
            return False
        if not is_worse_off(inputs):
            self._worse_off_since = None
            return True
        if self._worse_off_since is None:
            self._worse_off_since = now
        return now - self._worse_off_since < WORSE_OFF_FOR_S
