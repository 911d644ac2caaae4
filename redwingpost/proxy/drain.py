"""When a proxy that is asked to stop may do what.

Answers planned stops under load. A proxy that closes its port at once
turns away callers whom the balancer still sends; one that closes its
connections once nothing runs cuts a request that is just arriving. So it
first turns unready and goes on serving until the balancer has noticed,
then takes no new connections, then waits until nothing runs and has run
for a moment. Without the first step a rolling replacement of six VMs
refuses a few connections each time; without the last it cuts requests
of callers with open connections.
"""

from enum import Enum
from typing import NamedTuple

#: Seconds without a statement until idle connections may be closed: a
#: request that was sent before the balancer turned away is here by then.
QUIET_S = 0.25

#: Longest wait for open transactions and running statements (seconds),
#: from when no new connections are taken: longer than the default
#: deadline of a request, so that none is cut that anyone still awaits.
FINISH_LIMIT_S = 8.0


class DrainStep(Enum):
    """What a proxy that drains does now."""

    #: Unready, but serving all the same.
    SERVE = "serve"
    #: No new connections; what is open goes on.
    FINISH = "finish"
    #: Nothing runs any more.
    CLOSE = "close"
    #: The limit is reached with statements still running.
    CUT = "cut"


class Drain(NamedTuple):
    """A drain that began at ``began_at`` (seconds).

    ``leave_s`` is how long the balancer takes to notice.

    Examples
    --------
    >>> drain = Drain(began_at=100.0, leave_s=1.0)
    >>> drain.step(now=100.5, busy=0, last_busy_at=0.0)
    <DrainStep.SERVE: 'serve'>
    >>> drain.step(now=101.5, busy=1, last_busy_at=101.5)
    <DrainStep.FINISH: 'finish'>
    >>> drain.step(now=102.0, busy=0, last_busy_at=101.5)
    <DrainStep.CLOSE: 'close'>
    """

    began_at: float
    leave_s: float

    def step(self, now: float, busy: int, last_busy_at: float) -> DrainStep:
        """Return what to do at ``now``.

        Parameters
        ----------
        now : float
            Seconds on the process's clock.
        busy : int
            Connections with a statement running or a transaction open.
        last_busy_at : float
            When one was last seen busy.
        """
        leaving_until = self.began_at + self.leave_s
        if now < leaving_until:
            return DrainStep.SERVE
        if busy == 0 and now - last_busy_at >= QUIET_S:
            return DrainStep.CLOSE
        if now >= leaving_until + FINISH_LIMIT_S:
            return DrainStep.CUT
        return DrainStep.FINISH
