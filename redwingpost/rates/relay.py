"""Usage counters that a gatherer has received and has to forward.

Counters never decrease and carry the name of their VM, so they can be
forwarded repeatedly, over any path and in any order: the receiver keeps
the largest. Each heartbeat forwards the counters that changed since the
previous one, and a few of the others in rotation, which makes up for
lost datagrams.
"""

from itertools import islice

from redwingpost.rates.counters import Usage, VmUsage

#: Unchanged counters that each heartbeat repeats, in rotation.
REPEATED_PER_HEARTBEAT = 16


class _ChangedUsages:
    """The counters that changed since they were last taken."""

    def __init__(self) -> None:
        self._item_by_key: dict[tuple[str, str], VmUsage] = {}

    def add(self, item: VmUsage) -> None:
        """Add a counter; sum its new counts with those of an earlier one."""
        key = (item.vm, item.usage.organisation)
        earlier = self._item_by_key.get(key)
        if earlier is not None:
            usage = _sum_new_counts(earlier.usage, item.usage)
            item = item._replace(usage=usage)
        self._item_by_key[key] = item

    def take(self) -> tuple[VmUsage, ...]:
        """Return the counters and forget them."""
        items = tuple(self._item_by_key.values())
        self._item_by_key.clear()
        return items

    def forget(self, key: tuple[str, str]) -> None:
        """Drop a counter."""
        self._item_by_key.pop(key, None)


class UsageRelay:
    """Counters by VM and organisation; tracks which of them changed.

    All that changed is for the VMs that report here, those of the own cell
    are also for the gatherers of other cells.

    Examples
    --------
    >>> relay = UsageRelay()
    >>> relay.record("vm-1", 7, (Usage("a", 3),), is_own=True)
    >>> [item.usage.admitted for item in relay.take_changed()]
    [3]
    >>> list(relay.take_changed()), len(relay.take_changed_own())
    ([], 1)
    """

    def __init__(self) -> None:
        self._item_by_key: dict[tuple[str, str], VmUsage] = {}
        self._own_keys: dict[tuple[str, str], None] = {}
        self._boot_by_own_vm: dict[str, int] = {}
        self._changed = _ChangedUsages()
        self._changed_own = _ChangedUsages()
        self._next_repeated_index = 0

    def record(
        self, vm: str, boot: int, usages: tuple[Usage, ...], is_own: bool
    ) -> None:
        """Record changed counters of a VM; those of earlier starts go.

        Parameters
        ----------
        is_own : bool
            Whether the VM belongs to this gatherer's own cell. The other
            VMs are reported by their own gatherers.
        """
        if is_own and usages:
            if self._boot_by_own_vm.get(vm, boot) != boot:
                self.forget(vm)
            self._boot_by_own_vm[vm] = boot
        for usage in usages:
            key = (vm, usage.organisation)
            item = VmUsage(vm, boot, usage)
            self._item_by_key[key] = item
            self._changed.add(item)
            if is_own:
                self._own_keys[key] = None
                self._changed_own.add(item)

    def take_changed(self) -> tuple[VmUsage, ...]:
        """Return the counters that changed since the last call."""
        return self._changed.take()

    def take_changed_own(self) -> tuple[VmUsage, ...]:
        """Return those of the own cell that changed since the last call."""
        return self._changed_own.take()

    def next_repeated(self) -> tuple[VmUsage, ...]:
        """Return the next of the own cell's counters in rotation.

        A receiver that has all earlier reports learns nothing new.
        """
        if not self._own_keys:
            return ()
        start = self._next_repeated_index % len(self._own_keys)
        self._next_repeated_index = start + REPEATED_PER_HEARTBEAT
        keys = islice(self._own_keys, start, start + REPEATED_PER_HEARTBEAT)
        return tuple(
            _without_new_counts(self._item_by_key[key]) for key in keys
        )

    def forget(self, vm: str) -> None:
        """Drop the counters of a VM that left the fleet or started anew."""
        self._boot_by_own_vm.pop(vm, None)
        for key in [key for key in self._item_by_key if key[0] == vm]:
            del self._item_by_key[key]
            self._own_keys.pop(key, None)
            self._changed.forget(key)
            self._changed_own.forget(key)


def _sum_new_counts(before: Usage, usage: Usage) -> Usage:
    """Return counters with the new counts of two consecutive reports."""
    return usage._replace(
        newly_used=before.newly_used + usage.newly_used,
        newly_offered=before.newly_offered + usage.newly_offered,
    )


def _without_new_counts(item: VmUsage) -> VmUsage:
    usage = item.usage._replace(newly_used=0, newly_offered=0)
    return item._replace(usage=usage)
