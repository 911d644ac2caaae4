"""What gatherers told lately, and how much of it still counts."""

from collections.abc import Iterator
from typing import NamedTuple

from redwingpost.membership.heartbeat import (
    CellReport,
    Digest,
    MergedHealth,
    set_number,
)

#: Sets of VMs that are kept of each cell: those told by several gatherers,
#: which may see a VM come and go at slightly different times.
KEPT_SETS = 16


class _Told(NamedTuple):
    digest: Digest
    told_at: float


class DigestTable:
    """The last digest of each gatherer; times are seconds.

    Examples
    --------
    >>> from redwingpost.rates.counters import NO_USAGES
    >>> report = CellReport("a/0", 100, frozenset({7}), 1, 3, "ip", 2)
    >>> digest = Digest(
    ...     "v", 1, False, (report,), {}, False, (), 5, {}, NO_USAGES
    ... )
    >>> table = DigestTable()
    >>> noted = table.note(digest, now=1.0)
    >>> [cell.cell for cell in table.cells(now=1.2, within_s=0.5)]
    ['a/0']
    >>> table.cells(now=1.5, within_s=0.5)
    ()
    """

    def __init__(self) -> None:
        self._told_by_vm: dict[str, _Told] = {}
        self._sets_by_cell: dict[str, dict[int, frozenset[int]]] = {}
        self._last_sets_by_teller: dict[str, dict[str, frozenset[int]]] = {}

    def note(self, digest: Digest, now: float) -> Digest:
        """Take in a digest; a brief one takes no health back.

        Returns
        -------
        Digest
            With the VMs of all cells filled in.
        """
        cells = tuple(
            self._fill_in(report, digest.vm) for report in digest.cells
        )
        digest = digest._replace(cells=cells)
        known = self._told_by_vm.get(digest.vm)
        if digest.is_brief and known is not None:
            health = known.digest.health_by_primary
            digest = digest._replace(health_by_primary=health)
        self._told_by_vm[digest.vm] = _Told(digest, now)
        return digest

    def _fill_in(self, report: CellReport, teller: str) -> CellReport:
        """Return a report with its VMs.

        Where the message that told them was lost, those that the same
        gatherer told last stand for them. Another gatherer's may lack
        most of the cell: some VMs may have turned to it only just now.
        """
        known = self._sets_by_cell.setdefault(report.cell, {})
        last_by_cell = self._last_sets_by_teller.setdefault(teller, {})
        vms = report.vms
        if vms is None:
            vms = known.get(report.vms_number)
        if vms is None:
            latest = next(reversed(known.values()), frozenset())
            return report._replace(vms=last_by_cell.get(report.cell, latest))
        # The set that was used last is the last to be dropped.
        known.pop(report.vms_number, None)
        known[report.vms_number] = vms
        if len(known) > KEPT_SETS:
            del known[next(iter(known))]
        last_by_cell[report.cell] = vms
        return report._replace(vms=vms)

    def clock_of(self, vm: str) -> tuple[int, float] | None:
        """Return a gatherer's clock and when it told it."""
        told = self._told_by_vm.get(vm)
        return None if told is None else (told.digest.clock_ms, told.told_at)

    def cells(self, now: float, within_s: float) -> tuple[CellReport, ...]:
        """Return one report on each cell that was heard of lately.

        Its age is that of now.

        What several gatherers of a cell heard is taken together: VMs that
        have just left one for another are known to one of them only.
        """
        found_by_cell: dict[str, list[CellReport]] = {}
        for told in self._told_by_vm.values():
            passed_ms = int((now - told.told_at) * 1000)
            for report in told.digest.cells:
                age_ms = report.age_ms + passed_ms
                if age_ms <= within_s * 1000.0:
                    aged = report._replace(age_ms=age_ms)
                    found_by_cell.setdefault(report.cell, []).append(aged)
        return tuple(_together(found) for found in found_by_cell.values())

    def healths(
        self, now: float, within_s: float, is_fleet: bool
    ) -> Iterator[tuple[float, dict[str, MergedHealth]]]:
        """Return reports on primaries whose VMs differ, with their ages.

        Parameters
        ----------
        is_fleet : bool
            From the youngest digest of the whole fleet; else one from each
            cell's own gatherers, which a gatherer merges with what its own
            VMs say.
        """
        young = [
            told
            for told in self._told_by_vm.values()
            if now - told.told_at <= within_s
            and told.digest.is_fleet == is_fleet
        ]
        young.sort(key=lambda told: told.told_at, reverse=True)
        seen: set[str] = set()
        for told in young:
            cells = {report.cell for report in told.digest.cells}
            if not cells & seen:
                seen |= cells
                yield now - told.told_at, told.digest.health_by_primary

    def forget(self, now: float, after_s: float) -> None:
        """Drop gatherers that have long told nothing."""
        for vm, told in tuple(self._told_by_vm.items()):
            if now - told.told_at > after_s:
                del self._told_by_vm[vm]
                self._last_sets_by_teller.pop(vm, None)


def _together(reports: list[CellReport]) -> CellReport:
    """Return what several gatherers of one cell heard, as one report."""
    youngest = min(reports, key=lambda report: report.age_ms)
    newest = max(reports, key=lambda report: report.config_version)
    merged = youngest._replace(
        config_version=newest.config_version,
        config_ip=newest.config_ip,
        reached=max(report.reached for report in reports),
    )
    if len({report.vms_number for report in reports}) == 1:
        return merged
    vms = frozenset().union(*(report.vms for report in reports))
    return merged._replace(vms=vms, vms_number=set_number(vms))
