"""The latest digests from gatherers, merged while they are fresh."""

from collections.abc import Iterator
from functools import lru_cache
from typing import NamedTuple

from redwingpost.membership.heartbeat import (
    CellReport,
    Digest,
    MergedHealth,
    vm_set_number,
)

#: Sets of VMs kept for each cell, at most. Its gatherers may see a VM join
#: or leave at slightly different times, so that their sets differ.
MAX_SETS_PER_CELL = 16

#: Merged sets that are kept: two or three for each cell of a large fleet.
_MERGED_SETS = 64


class _ReceivedDigest(NamedTuple):
    digest: Digest
    received_at: float


class _AgedReport(NamedTuple):
    """A report and its age now."""

    age_ms: int
    report: CellReport


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
        self._received_by_vm: dict[str, _ReceivedDigest] = {}
        self._sets_by_cell: dict[str, dict[int, frozenset[int]]] = {}
        self._last_sets_by_gatherer: dict[str, dict[str, frozenset[int]]] = {}

    def note(self, digest: Digest, now: float) -> Digest:
        """Store a digest; after a brief one the previous health stays.

        Returns
        -------
        Digest
            The digest with the VMs of all cells filled in.
        """
        cells = tuple(
            self._fill_in(report, digest.vm) for report in digest.cells
        )
        digest = digest._replace(cells=cells)
        previous = self._received_by_vm.get(digest.vm)
        if digest.is_brief and previous is not None:
            health = previous.digest.health_by_primary
            digest = digest._replace(health_by_primary=health)
        self._received_by_vm[digest.vm] = _ReceivedDigest(digest, now)
        return digest

    def _fill_in(self, report: CellReport, gatherer: str) -> CellReport:
        """Return a report with its set of VMs filled in.

        If the message with the set was lost, the last set of the same
        gatherer is used instead. Another gatherer's set may lack most of
        the cell, if VMs have only just begun to report to it.
        """
        sets_by_number = self._sets_by_cell.setdefault(report.cell, {})
        last_by_cell = self._last_sets_by_gatherer.setdefault(gatherer, {})
        vms = report.vms
        if vms is None:
            vms = sets_by_number.get(report.vms_number)
        if vms is None:
            latest = next(reversed(sets_by_number.values()), frozenset())
            return report._replace(vms=last_by_cell.get(report.cell, latest))
        # Put it last, so that the least recently used set is dropped first.
        sets_by_number.pop(report.vms_number, None)
        sets_by_number[report.vms_number] = vms
        if len(sets_by_number) > MAX_SETS_PER_CELL:
            del sets_by_number[next(iter(sets_by_number))]
        last_by_cell[report.cell] = vms
        return report._replace(vms=vms)

    def latest_clock(self, vm: str) -> tuple[int, float] | None:
        """Return a gatherer's clock (ms) and when it was received."""
        received = self._received_by_vm.get(vm)
        return (
            None
            if received is None
            else (received.digest.clock_ms, received.received_at)
        )

    def cells(self, now: float, within_s: float) -> tuple[CellReport, ...]:
        """Return one report on each cell with a fresh report.

        Ages are as of now. The reports of several gatherers of a cell are
        merged: a VM that has just changed its gatherer is in the set of
        one of them only.
        """
        aged_by_cell: dict[str, list[_AgedReport]] = {}
        for aged in self._aged_reports(now, within_s):
            aged_by_cell.setdefault(aged.report.cell, []).append(aged)
        return tuple(map(_merge_reports, aged_by_cell.values()))

    def reports(self, now: float, within_s: float) -> tuple[CellReport, ...]:
        """Return the fresh reports, one on each cell and set of VMs.

        Ages are as of now. For passing reports on: if two gatherers that
        hear each other passed on merged ones, each would give the age of
        the youngest report to VMs that only an older one names, and both
        would count them as alive for as long as they run.
        """
        youngest_by_set: dict[tuple[str, int], _AgedReport] = {}
        for aged in self._aged_reports(now, within_s):
            key = (aged.report.cell, aged.report.vms_number)
            known = youngest_by_set.get(key)
            if known is None or aged.age_ms < known.age_ms:
                youngest_by_set[key] = aged
        return tuple(
            aged.report._replace(age_ms=aged.age_ms)
            for aged in youngest_by_set.values()
        )

    def _aged_reports(
        self, now: float, within_s: float
    ) -> Iterator[_AgedReport]:
        for received in self._received_by_vm.values():
            passed_ms = int((now - received.received_at) * 1000)
            for report in received.digest.cells:
                age_ms = report.age_ms + passed_ms
                if age_ms <= within_s * 1000.0:
                    yield _AgedReport(age_ms, report)

    def health_reports(
        self, now: float, within_s: float, is_fleet: bool
    ) -> Iterator[tuple[float, dict[str, MergedHealth]]]:
        """Yield reports on primaries from disjoint sets of VMs.

        Each comes with its age in seconds.

        Parameters
        ----------
        is_fleet : bool
            True for the latest digest of the whole fleet; False for one
            digest from each cell's own gatherers, which a gatherer merges
            with the heartbeats of its own VMs.
        """
        fresh = [
            received
            for received in self._received_by_vm.values()
            if now - received.received_at <= within_s
            and received.digest.is_fleet == is_fleet
        ]
        fresh.sort(key=lambda received: received.received_at, reverse=True)
        seen: set[str] = set()
        for received in fresh:
            cells = {report.cell for report in received.digest.cells}
            if not cells & seen:
                seen |= cells
                yield (
                    now - received.received_at,
                    received.digest.health_by_primary,
                )

    def all_health(self) -> Iterator[dict[str, MergedHealth]]:
        """Yield the reports on primaries of all digests, however old."""
        for received in self._received_by_vm.values():
            yield received.digest.health_by_primary

    def forget(self, now: float, after_s: float) -> None:
        """Drop gatherers that sent nothing for ``after_s`` seconds."""
        for vm, received in tuple(self._received_by_vm.items()):
            if now - received.received_at > after_s:
                del self._received_by_vm[vm]
                self._last_sets_by_gatherer.pop(vm, None)


def _merge_reports(aged_reports: list[_AgedReport]) -> CellReport:
    """Merge the reports of several gatherers of one cell."""
    age_ms, youngest = min(aged_reports, key=lambda aged: aged.age_ms)
    if len(aged_reports) == 1:
        return youngest._replace(age_ms=age_ms)
    reports = [aged.report for aged in aged_reports]
    newest = max(reports, key=lambda report: report.config_version)
    merged = youngest._replace(
        age_ms=age_ms,
        config_version=newest.config_version,
        config_ip=newest.config_ip,
        reached=max(report.reached for report in reports),
    )
    if all(item.vms_number == youngest.vms_number for item in reports):
        return merged
    vms, number = _merge_sets(frozenset(report.vms for report in reports))
    return merged._replace(vms=vms, vms_number=number)


@lru_cache(maxsize=_MERGED_SETS)
def _merge_sets(
    sets: frozenset[frozenset[int]],
) -> tuple[frozenset[int], int]:
    """Return the union of sets of VMs, and its number.

    Reports are merged dozens of times a second, and the sets rarely change.
    """
    vms = frozenset().union(*sets)
    return vms, vm_set_number(vms)
