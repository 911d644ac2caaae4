"""The registry of checks, and what several of them need."""

from collections.abc import Callable, Iterable, Iterator

from redwingpost.bench.history import Attempt, Run, Verdict
from redwingpost.core import Registry

#: Seconds by which clocks of two VMs may drift over a run, plus the
#: coarseness of timers under load; proxies count rates on their own.
CLOCK_TOLERANCE_S = 0.020

#: Takes a finished run and yields one line per proven violation.
Check = Callable[[Run], Iterable[str]]

CHECKS: Registry[Check] = Registry("check")


def answered(run: Run) -> Iterator[Attempt]:
    """Iterate over the attempts that got an answer."""
    return (a for a in run.attempts if a.verdict is Verdict.ANSWERED)
