"""What homes report of their loads, as known at this VM."""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from redwingpost.node.forwarding.messages import Load

#: Seconds for which a report counts. Homes report every 0.1 to 0.45 s; an
#: older one says nothing about a queue that empties in a second.
REPORT_VALID_S = 1.0


class _Received(NamedTuple):
    """A report, and until when it counts (seconds)."""

    load: Load
    until: float


class LoadReports:
    """The last report of each home and group, for ``REPORT_VALID_S``.

    Times are seconds on this VM's clock.

    Examples
    --------
    >>> reports = LoadReports()
    >>> reports.note("vm-1", (Load("g", 0.25, 0.5),), now=10.0)
    >>> reports.wait_s("vm-1", "g", True, now=10.9)
    0.5
    >>> reports.wait_s("vm-1", "g", True, now=11.0) is None
    True
    >>> reports.note_unable("vm-1", "g", True, now=11.0)
    >>> reports.wait_s("vm-1", "g", True, now=11.5)
    inf
    """

    def __init__(self) -> None:
        self._received_by_key: dict[tuple[str, str], _Received] = {}
        self._unable_until: dict[tuple[str, str, bool], float] = {}
        self._unreachable_until: dict[str, float] = {}

    def note(self, vm: str, loads: Iterable[Load], now: float) -> None:
        """Record the loads that a home reports."""
        self._unreachable_until.pop(vm, None)
        for load in loads:
            self._note_able(vm, load)
            received = _Received(load, now + REPORT_VALID_S)
            self._received_by_key[vm, load.group] = received

    def note_unable(
        self, vm: str, group: str, needs_primary: bool, now: float
    ) -> None:
        """Record that a home refused a statement of a kind, unrun.

        This counts more than its reports, which are estimates, until it
        reports that it became able: after a takeover, statements go there
        at once.
        """
        key = vm, group, needs_primary
        self._unable_until[key] = now + REPORT_VALID_S

    def note_unreachable(self, vm: str, now: float) -> None:
        """Record that a home can't be reached."""
        self._unreachable_until[vm] = now + REPORT_VALID_S

    def _note_able(self, vm: str, load: Load) -> None:
        last = self._received_by_key.get((vm, load.group))
        if last is None:
            return
        for needs_primary in (False, True):
            was_unable = last.load.wait_s(needs_primary) == inf
            if was_unable and load.wait_s(needs_primary) < inf:
                key = vm, load.group, needs_primary
                self._unable_until.pop(key, None)

    def wait_s(
        self, vm: str, group: str, needs_primary: bool, now: float
    ) -> float | None:
        """Return how long a new statement would wait at a home (seconds).

        Infinite if the home can't run it or can't be reached; None if
        nothing is known.
        """
        if self.is_unreachable(vm, now):
            return inf
        if self._unable_until.get((vm, group, needs_primary), now) > now:
            return inf
        received = self._received_by_key.get((vm, group))
        if received is None or received.until <= now:
            return None
        return received.load.wait_s(needs_primary)

    def is_unreachable(self, vm: str, now: float) -> bool:
        """Return whether a home couldn't be reached lately."""
        return self._unreachable_until.get(vm, now) > now

    def has_answered(self, vm: str, group: str, now: float) -> bool:
        """Return whether a home itself told of a group's load lately."""
        received = self._received_by_key.get((vm, group))
        return received is not None and received.until > now

    def forget_expired(self, now: float) -> None:
        """Remove what no longer counts, as of homes that are gone."""
        for key, received in tuple(self._received_by_key.items()):
            if received.until <= now:
                del self._received_by_key[key]
        for until_by_key in (self._unable_until, self._unreachable_until):
            for key, until in tuple(until_by_key.items()):
                if until <= now:
                    del until_by_key[key]
