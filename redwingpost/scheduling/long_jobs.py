"""Keep long jobs to a part of a target's slots.

Load pattern: reports and yearly plans run for seconds among requests of
ten milliseconds. Five of them at once hold all five slots of a target,
and every short request behind them waits for seconds. Fair queues don't
help: the slots are taken before the short ones arrive.

Without it the p99 of short requests becomes the length of a long job.

Grounds: two of five slots for long jobs leave three for short ones,
which then run at 60% of the target's speed. All VMs together may run two
long jobs on a member: the first two home VMs of the group take one each,
the others forward long jobs to them. Counted per VM, six VMs with one
long job each would hold all five slots.

A job is long by its kind's mark in the configuration, or, for reads, by
what statements of the same shape took before. Writes aren't learned:
waiting for another's lock makes any of them long now and then.
"""

from collections import OrderedDict
from re import compile as re_compile

#: Home VMs that run a group's long jobs, one job per member each.
LONG_HOMES = 2

#: A shape is long if it holds a slot for this many seconds on average: a
#: hundred times a short statement, but no failover or lock wait.
LONG_S = 0.2

#: Times the member's usual time that a statement must take besides. At
#: twice the capacity every statement takes longer than ``LONG_S``, queued
#: inside the member; taken for long jobs, all orders of a group had to
#: pass through two slots, and 9% of them were answered.
LONG_FACTOR = 5.0

#: Weight of the newest time in a shape's average: after five long runs a
#: shape that was short counts as long, and the other way round.
_NEWEST = 0.3

#: Shapes remembered; a site has some dozens of statement texts. 2,000
#: cost about 400 KB and are kept by last use.
MAX_SHAPES = 2000

#: Literals in a statement's text: two texts that differ in nothing else
#: have one shape.
_LITERALS = re_compile(r"'(?:[^'\\]|\\.|'')*'|\b\d+(?:\.\d+)?\b|\s+")

#: Characters of a text that make its shape; enough for the tables named.
_SHAPE_CHARACTERS = 200


def shape_of(sql: str) -> str:
    """Return a statement's text without its literals.

    Examples
    --------
    >>> shape_of("SELECT  a FROM t WHERE id = 17 AND b = 'x'")
    'SELECT?a?FROM?t?WHERE?id?=???AND?b?=??'
    """
    return _LITERALS.sub("?", sql[:_SHAPE_CHARACTERS])


class JobLengths:
    """Learns how long statements of a shape hold a slot."""

    def __init__(self) -> None:
        self._seconds_by_shape: OrderedDict[str, float] = OrderedDict()

    def observe(self, shape: str, seconds: float, usual_s: float) -> None:
        """Note how long a statement held its slot.

        Parameters
        ----------
        shape : str
            The statement's shape.
        seconds, usual_s : float
            Its time, and the member's usual one just now.
        """
        if seconds < LONG_FACTOR * usual_s:
            seconds = min(seconds, usual_s, LONG_S / 2)
        known = self._seconds_by_shape.pop(shape, None)
        if known is not None:
            seconds = known + _NEWEST * (seconds - known)
        elif len(self._seconds_by_shape) >= MAX_SHAPES:
            self._seconds_by_shape.popitem(last=False)
        self._seconds_by_shape[shape] = seconds

    def is_long(self, shape: str) -> bool:
        """Say whether statements of this shape have been long."""
        return self._seconds_by_shape.get(shape, 0.0) >= LONG_S
