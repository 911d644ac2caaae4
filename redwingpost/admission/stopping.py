"""Which statements a stopping VM still takes.

A VM that is stopped under load has callers with open transactions. If it
took their statements until it closes its connections, those that it has
passed on by then would be cut: the caller of a COMMIT would never learn
whether it was kept. So a statement is taken only if its whole time limit
ends before the connections are closed, or in the first half of the grace
period, which every open transaction is given. Later ones are refused at
once, before they are sent to a member, and the VM waits for those that it
has taken.
"""

from typing import NamedTuple

#: Part of the grace period in which statements are taken whatever their
#: time limit.
FULL_SERVICE_FRACTION = 0.5

#: Seconds of the grace period that are reserved for the exit itself.
STOP_MARGIN_S = 0.7


class StopPlan(NamedTuple):
    """A planned stop; times are seconds.

    ``grace_s`` is the time after ``began_at`` at which the process is
    killed.
    """

    began_at: float
    grace_s: float

    @property
    def closes_at(self) -> float:
        """Return when the remaining connections are closed."""
        return self.began_at + self.grace_s - STOP_MARGIN_S

    def takes(self, now: float, timeout_s: float) -> bool:
        """Return whether to take a statement.

        Parameters
        ----------
        now : float
            When it arrived (seconds).
        timeout_s : float
            Its time limit (seconds).

        Examples
        --------
        >>> plan = StopPlan(began_at=100.0, grace_s=6.0)
        >>> plan.takes(102.9, timeout_s=4.0)
        True
        >>> plan.takes(104.2, timeout_s=1.0), plan.takes(104.4, timeout_s=1.0)
        (True, False)
        """
        if now <= self.began_at + self.grace_s * FULL_SERVICE_FRACTION:
            return True
        return now + timeout_s <= self.closes_at


class StopGate:
    """Whether this VM is stopping, and what it takes until then.

    Examples
    --------
    >>> gate = StopGate()
    >>> gate.takes(500.0, timeout_s=1.0)
    True
    >>> gate.begin(StopPlan(began_at=100.0, grace_s=6.0))
    >>> gate.is_stopping, gate.takes(500.0, timeout_s=1.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._plan: StopPlan | None = None

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._plan is not None

    def begin(self, plan: StopPlan) -> None:
        """Begin a planned stop."""
        self._plan = plan

    def takes(self, now: float, timeout_s: float) -> bool:
        """Return whether to take a statement (``StopPlan.takes``)."""
        return self._plan is None or self._plan.takes(now, timeout_s)
