"""Charge late usage to the refill that was withheld for its VMs.

Load pattern: a network partition splits the VMs for some seconds while
organisations send what they usually send. Each VM refills only the part
of a rate that belongs to the VMs it hears and withholds the rest, which
the others spend. When the partition heals, their counters arrive with
the usage of all those seconds. If it were charged to the bucket, for
which the refill had been withheld, organisations below their rates would
be refused for seconds: 0.3 to 0.5 of their operations were served, with
debts of five times the rate.

``WithheldRefill`` keeps what was withheld from one organisation, and
``CounterGaps`` the counters that may lack usage because their VM was not
heard. Usage is paid from what was withheld only if

- its counter wasn't received since its VM was last counted as heard,
- its VM had reported it before (``Usage.newly_used`` doesn't include it):
  what a VM admits once it is heard again isn't late, and
- it was withheld since that VM was last heard: otherwise what an idle
  partition left over would pay for the first second of the next one, in
  which each side still uses the whole rate.

Each token that is withheld pays for one operation at most, so that this
VM's refill and the late usage that it doesn't charge add up to no more
than the rate.
"""

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from math import exp

from redwingpost.membership.vm_table import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    REMOVE_AFTER_S,
)

#: Seconds of refill that are kept at most. A VM that isn't heard for
#: longer leaves the list, and nothing is withheld for it any more.
KEPT_S = REMOVE_AFTER_S

#: Seconds of withheld refill that are kept as one amount: usage of a VM
#: may be paid from what was withheld this much before it was last heard.
AMOUNT_S = HEARTBEAT_INTERVAL_S

#: Seconds without any call after which this VM was suspended: it is
#: called with each heartbeat and each step of a tenth of a second.
SUSPENDED_AFTER_S = HEARTBEAT_TIMEOUT_S

#: Seconds after a suspension for which reports still come from the
#: socket's buffer. They hold usage of the time of the suspension, each
#: report that of a quarter of a second.
BUFFERED_S = HEARTBEAT_INTERVAL_S

#: Seconds after which every VM that is heard again has reported what it
#: used: three heartbeats, by way of two gatherers.
SETTLED_S = 1.0


class WithheldRefill:
    """Tokens withheld from one organisation, by when.

    Examples
    --------
    >>> withheld = WithheldRefill()
    >>> withheld.add(4.0, limit=100.0, now=1.0)
    >>> withheld.add(2.0, limit=100.0, now=2.0)
    >>> withheld.pay(3.0, since=2.0), withheld.pay(3.0, since=1.0)
    (2.0, 3.0)
    >>> withheld.amount
    1.0
    """

    def __init__(self) -> None:
        self.amount = 0.0
        self._amounts: deque[list[float]] = deque()

    def add(self, amount: float, limit: float, now: float) -> None:
        """Add what is withheld now; keep the newest ``limit`` tokens."""
        if amount > 0.0:
            self._add(amount, now)
        while self.amount > limit:
            self._take(self._amounts[0], self.amount - limit)

    def _add(self, amount: float, now: float) -> None:
        self.amount += amount
        if self._amounts and now - self._amounts[-1][0] < AMOUNT_S:
            self._amounts[-1][1] += amount
        else:
            self._amounts.append([now, amount])

    def pay(self, used: float, since: float) -> float:
        """Return how much of ``used`` is paid by what was withheld.

        Parameters
        ----------
        used : float
            Late usage (operations).
        since : float
            When the VM of that usage was last heard (seconds).
        """
        unpaid = used
        for entry in tuple(self._amounts):
            if unpaid <= 0.0:
                break
            if entry[0] + AMOUNT_S > since:
                unpaid -= self._take(entry, unpaid)
        return used - max(0.0, unpaid)

    def _take(self, entry: list[float], wanted: float) -> float:
        """Take from one amount; remove it once it is used up."""
        taken = min(entry[1], wanted)
        entry[1] -= taken
        self.amount -= taken
        if entry[1] <= 0.0:
            self._amounts.remove(entry)
        if not self._amounts:
            self.amount = 0.0
        return taken

    def clear(self) -> None:
        """Drop everything: no late usage can come any more."""
        self.amount = 0.0
        self._amounts.clear()


class CounterGaps:
    """Since when counters lack the usage of VMs that weren't heard.

    Examples
    --------
    >>> gaps = CounterGaps(now=0.0)
    >>> gaps.note_unheard(("b",), {"b": ("org",)}, now=1.0)
    >>> gaps.since("b", "org"), gaps.since("c", "org")
    (0.0, None)
    >>> gaps.note_unheard((), {}, now=2.0)
    >>> gaps.close("b", "org", now=2.1)
    >>> gaps.since("b", "org"), gaps.is_any_open
    (None, False)
    """

    def __init__(self, now: float) -> None:
        self.unheard: frozenset[str] = frozenset()
        self._noted_at = now
        self._unheard_at = now
        self._since_by_organisation_by_vm: dict[str, dict[str, float]] = {}

    def heard_all_s(self, now: float) -> float:
        """Return for how long every VM has been heard (seconds)."""
        return now - self._unheard_at

    @property
    def is_any_open(self) -> bool:
        """Whether late usage may still come."""
        return bool(self.unheard or self._since_by_organisation_by_vm)

    def note_unheard(
        self,
        unheard: Collection[str],
        organisations_by_vm: Mapping[str, Iterable[str]],
        now: float,
    ) -> None:
        """Note which VMs aren't heard now.

        Parameters
        ----------
        unheard : collection of str
            The VMs that aren't counted as heard.
        organisations_by_vm : mapping
            The organisations of which each VM's counters are kept.
        now : float
            Seconds.
        """
        if unheard:
            self._unheard_at = now
            for vm in unheard:
                if vm not in self.unheard:
                    self._open(vm, organisations_by_vm.get(vm, ()))
        elif self.heard_all_s(now) > KEPT_S:
            self._since_by_organisation_by_vm.clear()
        self.unheard = frozenset(unheard)
        self._noted_at = now

    def _open(self, vm: str, organisations: Iterable[str]) -> None:
        """Open gaps from when a VM was last heard, unless still open."""
        gaps = self._since_by_organisation_by_vm
        for organisation in organisations:
            gaps.setdefault(vm, {}).setdefault(organisation, self._noted_at)

    def organisations(self) -> frozenset[str]:
        """Return the organisations of which late usage may still come."""
        return frozenset().union(*self._since_by_organisation_by_vm.values())

    def since(self, vm: str, organisation: str) -> float | None:
        """Return since when a counter lacks usage, None if it doesn't."""
        return self._since_by_organisation_by_vm.get(vm, {}).get(organisation)

    def since_of_vm(self, vm: str) -> float | None:
        """Return since when any counter of a VM lacks usage."""
        since_by_organisation = self._since_by_organisation_by_vm.get(vm, {})
        return min(since_by_organisation.values(), default=None)

    def close(self, vm: str, organisation: str, now: float) -> None:
        """Note that a counter arrived; of an unheard VM it lacks more."""
        since_by_organisation = self._since_by_organisation_by_vm.get(vm)
        if since_by_organisation is None:
            return
        if vm in self.unheard:
            since_by_organisation[organisation] = now
            return
        since_by_organisation.pop(organisation, None)
        if not since_by_organisation:
            del self._since_by_organisation_by_vm[vm]

    def forget(self, vm: str) -> None:
        """Drop the gaps of a VM that left the fleet or restarted."""
        self._since_by_organisation_by_vm.pop(vm, None)


def spread_demand(offered: float, gap_s: float, average_s: float) -> float:
    """Return what is left of operations that came evenly in a gap.

    Counted as if they came now, the operations of a partition make an
    organisation below its rate appear to be far over it.

    Parameters
    ----------
    offered : float
        Operations in the gap.
    gap_s : float
        Length of the gap (seconds).
    average_s : float
        Time constant of the average (seconds).

    Examples
    --------
    >>> spread_demand(30.0, 0.0, 3.0)
    30.0
    >>> round(spread_demand(300.0, 30.0, 3.0), 1)
    30.0
    """
    if gap_s <= 0.0:
        return offered
    return offered * average_s / gap_s * (1.0 - exp(-gap_s / average_s))
