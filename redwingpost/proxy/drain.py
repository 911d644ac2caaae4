"""Steps of a planned stop of a proxy under load.

A proxy that closes its port at once refuses callers that the load balancer
still sends. One that closes its connections as soon as nothing runs aborts
a request that is just arriving. So it first reports that it is not ready
and keeps serving until the balancer has noticed, then accepts no new
connections, then waits until nothing has run for a short period. Without
the first step each rolling replacement of six VMs refuses a few
connections; without the last it aborts requests on open connections.
Statements that couldn't end before the last step's timeout are refused when
they arrive (``redwingpost.admission.stopping``), so that none is aborted.
"""

from enum import Enum
from typing import NamedTuple

from redwingpost.admission.stopping import StopPlan

#: Seconds without a statement until idle connections may be closed. A
#: request that was sent before the balancer switched has arrived by then.
QUIET_PERIOD_S = 0.25

#: Longest wait for open transactions and running statements (seconds),
#: from when no new connections are accepted. It is longer than the default
#: deadline of a request, so that none is aborted before its deadline.
FINISH_TIMEOUT_S = 8.0


class DrainStep(Enum):
    """Current step of a draining proxy."""

    #: Not ready, but still serving new connections.
    SERVE = "serve"
    #: No new connections; open ones are still served.
    FINISH = "finish"
    #: Nothing runs any more; connections may be closed.
    CLOSE = "close"
    #: The timeout has passed; running statements are aborted.
    CUT = "cut"


class Drain(NamedTuple):
    """A drain that began at ``began_at`` (seconds).

    ``leave_s`` is the time until the balancer has noticed (seconds).

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

    def takes(self, now: float, deadline_at: float) -> bool:
        """Return whether to take a statement that arrives at ``now``.

        Examples
        --------
        >>> drain = Drain(began_at=100.0, leave_s=1.0)
        >>> drain.takes(now=103.0, deadline_at=108.0)
        True
        >>> drain.takes(now=105.0, deadline_at=110.0)
        False
        """
        plan = StopPlan(self.began_at, self.leave_s + FINISH_TIMEOUT_S)
        return plan.takes(now, deadline_at - now)

    def step(self, now: float, busy: int, last_busy_at: float) -> DrainStep:
        """Return the step at ``now``.

        Parameters
        ----------
        now : float
            Seconds on the process's clock.
        busy : int
            Connections with a statement running or a transaction open.
        last_busy_at : float
            Time at which one was last found busy (seconds).
        """
        serve_until = self.began_at + self.leave_s
        if now < serve_until:
            return DrainStep.SERVE
        if busy == 0 and now - last_busy_at >= QUIET_PERIOD_S:
            return DrainStep.CLOSE
        if now >= serve_until + FINISH_TIMEOUT_S:
            return DrainStep.CUT
        return DrainStep.FINISH
