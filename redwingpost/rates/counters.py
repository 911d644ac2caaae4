"""Counters of operations as VMs tell them: one at a time, or many."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple


class Usage(NamedTuple):
    """Operations of one organisation at a VM since its start.

    ``returned`` of the admitted ones reached no member. ``tokens`` is the
    whole bucket as the VM sees it; None where it has just started.
    ``newly_used`` and ``newly_offered`` say what came since the VM's
    report before: a reader that meets the counters for the first time
    knows by them where to count from.
    """

    organisation: str
    admitted: int
    offered: int = 0
    returned: int = 0
    tokens: float | None = None
    newly_used: int = 0
    newly_offered: int = 0

    @property
    def counts(self) -> tuple[int, int, int]:
        """Return the counters, which only grow."""
        return self.admitted, self.offered, self.returned

    @property
    def used(self) -> int:
        """Return the operations that count against the rate."""
        return self.admitted - self.returned


class VmUsage(NamedTuple):
    """One organisation's counters at one VM, in one of its lives."""

    vm: str
    boot: int
    usage: Usage


class UsageTable(NamedTuple):
    """Counters of many VMs, each name once.

    ``rows`` hold the places of the VM and of the organisation, then what
    ``Usage`` holds besides.
    """

    vms: tuple[tuple[str, int], ...]
    organisations: tuple[str, ...]
    rows: tuple[tuple, ...]

    @classmethod
    def of(cls, usages: Iterable[VmUsage]) -> "UsageTable":
        """Return a table of counters.

        Examples
        --------
        >>> item = VmUsage("vm-1", 7, Usage("a", 3, 4))
        >>> list(UsageTable.of([item]).every()) == [item]
        True
        """
        place_by_vm: dict[tuple[str, int], int] = {}
        place_by_organisation: dict[str, int] = {}
        rows = []
        for vm, boot, usage in usages:
            vm_place = place_by_vm.setdefault((vm, boot), len(place_by_vm))
            place = place_by_organisation.setdefault(
                usage.organisation, len(place_by_organisation)
            )
            rows.append((vm_place, place, *usage[1:]))
        return cls(
            tuple(place_by_vm), tuple(place_by_organisation), tuple(rows)
        )

    def every(self) -> Iterator[VmUsage]:
        """Iterate over all counters."""
        for vm_place, place, *counts in self.rows:
            usage = Usage(self.organisations[place], *counts)
            yield VmUsage(*self.vms[vm_place], usage)


NO_USAGES = UsageTable((), (), ())
