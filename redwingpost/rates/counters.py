"""Counters of operations that VMs report, singly or as a table."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple


class Usage(NamedTuple):
    """Operations of one organisation at a VM since its start.

    ``returned`` counts the admitted operations that reached no member.
    ``tokens`` is the VM's estimate of the organisation's whole bucket;
    None if the VM has just started. ``newly_used`` and ``newly_offered``
    count the operations since the VM's previous report: a receiver that
    sees the counters for the first time charges only these.
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
        """Return the counters, which never decrease."""
        return self.admitted, self.offered, self.returned

    @property
    def used(self) -> int:
        """Return the operations that count against the rate."""
        return self.admitted - self.returned


class VmUsage(NamedTuple):
    """One organisation's counters at one VM, since the start ``boot``."""

    vm: str
    boot: int
    usage: Usage


class UsageTable(NamedTuple):
    """Counters of many VMs that hold each name only once.

    A row holds the index of the VM, the index of the organisation and
    the fields of ``Usage`` after ``organisation``.
    """

    vms: tuple[tuple[str, int], ...]
    organisations: tuple[str, ...]
    rows: tuple[tuple, ...]

    @classmethod
    def from_usages(cls, usages: Iterable[VmUsage]) -> "UsageTable":
        """Build a table from counters.

        Examples
        --------
        >>> item = VmUsage("vm-1", 7, Usage("a", 3, 4))
        >>> list(UsageTable.from_usages([item]).iter_usages()) == [item]
        True
        """
        index_by_vm: dict[tuple[str, int], int] = {}
        index_by_organisation: dict[str, int] = {}
        rows = []
        for vm, boot, usage in usages:
            vm_index = index_by_vm.setdefault((vm, boot), len(index_by_vm))
            organisation_index = index_by_organisation.setdefault(
                usage.organisation, len(index_by_organisation)
            )
            rows.append((vm_index, organisation_index, *usage[1:]))
        return cls(
            tuple(index_by_vm), tuple(index_by_organisation), tuple(rows)
        )

    def iter_usages(self) -> Iterator[VmUsage]:
        """Iterate over the counters in the table."""
        for vm, boot, usages in self.iter_by_vm():
            for usage in usages:
                yield VmUsage(vm, boot, usage)

    def iter_by_vm(self) -> Iterator[tuple[str, int, list[Usage]]]:
        """Iterate over the counters of each VM, with its name and start."""
        usages_by_index: dict[int, list[Usage]] = {}
        for vm_index, organisation_index, *counts in self.rows:
            usage = Usage(self.organisations[organisation_index], *counts)
            usages_by_index.setdefault(vm_index, []).append(usage)
        for vm_index, usages in usages_by_index.items():
            yield (*self.vms[vm_index], usages)


NO_USAGES = UsageTable((), (), ())
