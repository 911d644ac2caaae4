"""The clock port; only adapters and services read real time."""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock."""

    def now(self) -> float:
        """Return the seconds since an arbitrary fixed time."""


class MonotonicClock:
    """Real time, including the time that the VM was suspended.

    ``CLOCK_MONOTONIC`` stops while a VM is suspended. A lease checked
    against it would seem valid after the VM resumes, although its grantor
    may have granted it to another holder. ``CLOCK_BOOTTIME`` continues.
    """

    def now(self) -> float:
        """Return the seconds since boot."""
        return clock_gettime(CLOCK_BOOTTIME)


class VirtualClock:
    """A clock that a test advances explicitly.

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
        """Return the start time plus the seconds advanced."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self._now += seconds
