"""The clock port: only adapters and services read real time."""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol


class Clock(Protocol):
    """A source of seconds that never runs backwards."""

    def now(self) -> float:
        """Return the seconds since some fixed moment."""


class MonotonicClock:
    """Real time, including the time that the machine was suspended.

    ``CLOCK_MONOTONIC`` stands still while a VM is suspended. A lease
    judged by it would look valid after a wake-up although its grantor
    has already given it away; ``CLOCK_BOOTTIME`` counts on.
    """

    def now(self) -> float:
        """Return the seconds since boot."""
        return clock_gettime(CLOCK_BOOTTIME)


class VirtualClock:
    """Time that a test moves by hand.

    Examples
    --------
    >>> clock = VirtualClock()
    >>> clock.advance(1.5)
    >>> clock.now()
    1.5
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the seconds that the test has let pass."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Let ``seconds`` pass."""
        self._now += seconds
