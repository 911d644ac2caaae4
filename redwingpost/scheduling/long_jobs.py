"""Limit long jobs to a part of a target's slots.

Load pattern: reports and yearly plans run for seconds among requests of
ten milliseconds. Five of them at once hold all five slots of a target,
and every short request behind them waits for seconds. Fair queueing
doesn't help: the slots are taken before the short requests arrive.

Without a limit the p99 of short requests rises to the duration of a long
job.

With two of five slots for long jobs three are left for short requests,
which then run at 60% of the target's speed. All VMs together may run two
long jobs on a member: the first two home VMs of the group run one each,
and the others forward long jobs to them. With a limit per VM, six VMs
with one long job each would hold all five slots.

A job is long if its kind is marked so in the configuration or, for reads,
if statements of the same shape took long before. Durations of writes
aren't learned: any write takes long now and then because it waits for a
lock.
"""

from collections import OrderedDict
from re import compile as re_compile

#: Home VMs that run a group's long jobs, one job per member each.
LONG_JOB_HOMES = 2

#: A shape is long if it holds a slot for this many seconds on average:
#: a hundred times as long as a short statement, but shorter than a failover
#: or a lock wait.
LONG_JOB_S = 0.2

#: A statement must also take this multiple of the member's average time.
#: At twice the capacity every statement takes longer than ``LONG_JOB_S``,
#: because it queues inside the member. Without this condition all orders of
#: a group would count as long jobs and share two slots; only 9% of them
#: would be answered.
LONG_JOB_FACTOR = 5.0

#: Weight of the newest time in a shape's moving average: after five long
#: runs a short shape counts as long, and vice versa.
_EWMA_WEIGHT = 0.3

#: Shapes remembered, least recently used ones dropped first. An application
#: has some dozens of statement texts; 2,000 shapes take about 400 KB.
MAX_SHAPES = 2000

#: Literals and whitespace in a statement's text: two texts that differ in
#: nothing else have the same shape.
_LITERALS = re_compile(r"'(?:[^'\\]|\\.|'')*'|\b\d+(?:\.\d+)?\b|\s+")

#: Leading characters of a text that form its shape; enough to include the
#: table names.
_SHAPE_CHARACTERS = 200


def shape_of(sql: str) -> str:
    """Return a statement's shape: its text without literals.

    Examples
    --------
    >>> shape_of("SELECT  a FROM t WHERE id = 17 AND b = 'x'")
    'SELECT?a?FROM?t?WHERE?id?=???AND?b?=??'
    """
    return _LITERALS.sub("?", sql[:_SHAPE_CHARACTERS])


class JobLengths:
    """Average time that statements of each shape hold a slot."""

    def __init__(self) -> None:
        self._seconds_by_shape: OrderedDict[str, float] = OrderedDict()

    def observe(self, shape: str, seconds: float, typical_s: float) -> None:
        """Record how long a statement held its slot.

        Parameters
        ----------
        shape : str
            The statement's shape.
        seconds : float
            The statement's time.
        typical_s : float
            The member's current average time.
        """
        if seconds < LONG_JOB_FACTOR * typical_s:
            seconds = min(seconds, typical_s, LONG_JOB_S / 2)
        average_s = self._seconds_by_shape.pop(shape, None)
        if average_s is not None:
            seconds = average_s + _EWMA_WEIGHT * (seconds - average_s)
        elif len(self._seconds_by_shape) >= MAX_SHAPES:
            self._seconds_by_shape.popitem(last=False)
        self._seconds_by_shape[shape] = seconds

    def is_long(self, shape: str) -> bool:
        """Return whether statements of this shape take long on average."""
        return self._seconds_by_shape.get(shape, 0.0) >= LONG_JOB_S
