"""Circuit breaker: stop using a slow or failing target, then ramp it up.

Load pattern: one replica of three answers ten times slower, or not at
all, while the others are healthy. Spread evenly, a third of all reads is
slow. Least-outstanding routing is worse still with a member that fails at
once: few statements are outstanding there, so it attracts more than its
share.

Without a breaker callers get the slow target's p99 for as long as it is
slow.

The breaker opens after ``FAILURE_THRESHOLD`` failures in a row, or when
the smoothed time is ``SLOW_FACTOR`` times that of the group's best member
over at least ``MIN_SAMPLES`` statements, or when one statement has been
running for longer than ``MIN_STALL_S`` and ``STALL_FACTOR`` times as long
as usual. At 100 reads a second on a member each of these takes well below
a second.

While the breaker is open one probe every ``PROBE_INTERVAL_S`` is sent;
each costs one slow read. After ``PROBES_TO_CLOSE`` fast probes in a row
the target's share of traffic grows over ``RAMP_S``: its caches are cold,
and all reads returning together would slow it again.
"""

from enum import Enum

#: Numbers, factors and times (``_S``: seconds) that the module's docstring
#: explains.
FAILURE_THRESHOLD = 3
MIN_SAMPLES = 5
SLOW_FACTOR = 3.0
STALL_FACTOR = 10.0
MIN_STALL_S = 0.3
PROBE_INTERVAL_S = 0.5
PROBES_TO_CLOSE = 3
RAMP_S = 5.0

#: Share of its usual load that a target gets when its ramp starts.
INITIAL_SHARE = 0.1

#: Weight of the newest sample in the moving average.
_EWMA_WEIGHT = 0.3


class State(Enum):
    """State of a breaker.

    ``CLOSED`` sends the usual load, ``OPEN`` sends probes only, and
    ``RAMPING`` sends a share of the usual load that grows.
    """

    CLOSED = "closed"
    OPEN = "open"
    RAMPING = "ramping"


class TargetBreaker:
    """Circuit breaker of one VM for one target.

    A ``latency_ratio`` is a statement's time divided by the average time
    of the group's best member for that kind of statement. Compared with
    the shortest time instead, the noise of a busy VM would open the
    breakers of all members at once, and all reads would go to the
    primary.

    Examples
    --------
    >>> breaker = TargetBreaker()
    >>> for _ in range(3):
    ...     breaker.record_failure(now=1.0)
    >>> breaker.share(1.0), breaker.take_probe(1.0), breaker.take_probe(1.6)
    (0.0, False, True)
    """

    def __init__(self) -> None:
        self.state = State.CLOSED
        self._consecutive_failures = 0
        self._latency_ratio = 1.0
        self._samples = 0
        self._probe_successes = 0
        self._changed_at = 0.0
        self._probed_at = 0.0

    @property
    def latency_ratio(self) -> float:
        """Smoothed time as a multiple of the best member's."""
        return self._latency_ratio

    def share(self, now: float) -> float:
        """Return the share of its usual load for the target, 0 to 1."""
        if self.state is State.CLOSED:
            return 1.0
        if self.state is State.OPEN:
            return 0.0
        progress = (now - self._changed_at) / RAMP_S
        if progress >= 1.0:
            self._set_state(State.CLOSED, now)
            return 1.0
        return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress

    def take_probe(self, now: float) -> bool:
        """Return whether a probe is due; if so, count it as sent."""
        if self.state is not State.OPEN:
            return False
        if now - self._probed_at < PROBE_INTERVAL_S:
            return False
        self._probed_at = now
        return True

    def record_success(self, now: float, latency_ratio: float) -> None:
        """Record an answered statement."""
        self._consecutive_failures = 0
        self._latency_ratio += _EWMA_WEIGHT * (
            latency_ratio - self._latency_ratio
        )
        self._samples += 1
        if self.state is State.OPEN:
            self._record_probe(now, latency_ratio)
        elif (
            self._samples >= MIN_SAMPLES and self._latency_ratio > SLOW_FACTOR
        ):
            self._open(now)

    def _record_probe(self, now: float, latency_ratio: float) -> None:
        self._probe_successes = (
            self._probe_successes + 1 if latency_ratio <= SLOW_FACTOR else 0
        )
        if self._probe_successes >= PROBES_TO_CLOSE:
            self._latency_ratio = 1.0
            self._samples = 0
            self._set_state(State.RAMPING, now)

    def record_failure(self, now: float) -> None:
        """Record a lost answer or a refused connection."""
        self._consecutive_failures += 1
        self._probe_successes = 0
        if (
            self._consecutive_failures >= FAILURE_THRESHOLD
            and self.state is not State.OPEN
        ):
            self._open(now)

    def check_stall(
        self, now: float, oldest_age_s: float, typical_s: float
    ) -> None:
        """Open the breaker if the oldest running statement has stalled.

        A target that hangs answers nothing, so response times can't show
        that it is slow; the age of its running statements can.

        Parameters
        ----------
        now : float
            Seconds.
        oldest_age_s : float
            For how long the oldest statement has been running.
        typical_s : float
            Average time of a statement at this target.
        """
        stalled = oldest_age_s > max(MIN_STALL_S, STALL_FACTOR * typical_s)
        if stalled and self.state is not State.OPEN:
            self._open(now)

    def _open(self, now: float) -> None:
        self._probe_successes = 0
        self._probed_at = now
        self._set_state(State.OPEN, now)

    def _set_state(self, state: State, now: float) -> None:
        self.state = state
        self._changed_at = now
