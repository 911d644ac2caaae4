"""The registry of checks, and helpers that several checks share."""

from collections.abc import Callable, Iterable, Iterator

from redwingpost.bench.history import Attempt, AttemptResult, Run
from redwingpost.core import Registry

#: Seconds by which the clocks of two VMs may drift apart during a run,
#: plus the inaccuracy of timers under load. Each proxy counts rates on
#: its own clock.
CLOCK_TOLERANCE_S = 0.020

#: Takes a finished run and yields a message for each proven violation.
Check = Callable[[Run], Iterable[str]]

CHECKS: Registry[Check] = Registry("check")


def answered_attempts(run: Run) -> Iterator[Attempt]:
    """Iterate over the attempts that were answered."""
    return (a for a in run.attempts if a.verdict is AttemptResult.ANSWERED)
