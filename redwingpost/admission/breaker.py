"""Leave a slow or failing target, probe it gently, return gradually.

Load pattern: one replica of three answers ten times slower, or not at
all, while the others are well. Spread evenly, a third of all reads is
slow; with least-outstanding routing a failing member, which answers at
once, even draws more than its share.

Without it callers see the slow target's p99 for as long as it is slow.

Grounds: ``FAILURES`` in a row, or a smoothed time ``SLOW_FACTOR`` times
the best member's over ``SAMPLES`` statements, or one statement that has
been out ``STALL_FACTOR`` times as long as usual and longer than
``STALL_S``, open the breaker: at 100 reads a second on a member that is
well below a second. A probe every ``PROBE_INTERVAL_S`` costs one slow
read each; ``PROBES`` good ones in a row close it, and the target's share
then grows over ``RAMP_S``, since its caches are cold and a herd of
returning reads would slow it at once again.
"""

from enum import Enum

FAILURES = 3
SAMPLES = 5
SLOW_FACTOR = 3.0
STALL_FACTOR = 10.0
STALL_S = 0.3
PROBE_INTERVAL_S = 0.5
PROBES = 3
RAMP_S = 5.0

#: Share of its usual load with which a target starts again.
FIRST_SHARE = 0.1

#: Weight of the newest time in the average.
_NEWEST = 0.3


class State(Enum):
    """How far a target is trusted."""

    CLOSED = "closed"
    OPEN = "open"
    RAMPING = "ramping"


class TargetBreaker:
    """One target's breaker at one VM.

    Times given as ``ratio`` are a statement's time by what the group's
    best member takes on average for its kind. Measured by the shortest
    time instead, a busy VM's own noise opens the breakers of all members
    at once, and every read falls on the primary.

    Examples
    --------
    >>> breaker = TargetBreaker()
    >>> for _ in range(3):
    ...     breaker.fail(now=1.0)
    >>> breaker.share(1.0), breaker.take_probe(1.0), breaker.take_probe(1.6)
    (0.0, False, True)
    """

    def __init__(self) -> None:
        self.state = State.CLOSED
        self._failures = 0
        self._ratio = 1.0
        self._samples = 0
        self._good_probes = 0
        self._changed_at = 0.0
        self._probed_at = 0.0

    @property
    def ratio(self) -> float:
        """The smoothed time, as a multiple of the group's best."""
        return self._ratio

    def share(self, now: float) -> float:
        """Return the part of its usual load the target gets, 0 to 1."""
        if self.state is State.CLOSED:
            return 1.0
        if self.state is State.OPEN:
            return 0.0
        passed = (now - self._changed_at) / RAMP_S
        if passed >= 1.0:
            self._set(State.CLOSED, now)
            return 1.0
        return FIRST_SHARE + (1.0 - FIRST_SHARE) * passed

    def take_probe(self, now: float) -> bool:
        """Say whether one statement may try the target just now."""
        if self.state is not State.OPEN:
            return False
        if now - self._probed_at < PROBE_INTERVAL_S:
            return False
        self._probed_at = now
        return True

    def succeed(self, now: float, ratio: float) -> None:
        """Take in an answer."""
        self._failures = 0
        self._ratio += _NEWEST * (ratio - self._ratio)
        self._samples += 1
        if self.state is State.OPEN:
            self._judge_probe(now, ratio)
        elif self._samples >= SAMPLES and self._ratio > SLOW_FACTOR:
            self._open(now)

    def _judge_probe(self, now: float, ratio: float) -> None:
        self._good_probes = (
            self._good_probes + 1 if ratio <= SLOW_FACTOR else 0
        )
        if self._good_probes >= PROBES:
            self._ratio = 1.0
            self._samples = 0
            self._set(State.RAMPING, now)

    def fail(self, now: float) -> None:
        """Take in a lost answer or a refused connection."""
        self._failures += 1
        self._good_probes = 0
        if self._failures >= FAILURES and self.state is not State.OPEN:
            self._open(now)

    def watch(self, now: float, oldest_s: float, usual_s: float) -> None:
        """Look at the statement that has been out longest.

        A target that hangs answers nothing, so no answer can show that
        it is slow; the age of what is out can.
        """
        stalled = oldest_s > max(STALL_S, STALL_FACTOR * usual_s)
        if stalled and self.state is not State.OPEN:
            self._open(now)

    def _open(self, now: float) -> None:
        self._good_probes = 0
        self._probed_at = now
        self._set(State.OPEN, now)

    def _set(self, state: State, now: float) -> None:
        self.state = state
        self._changed_at = now
