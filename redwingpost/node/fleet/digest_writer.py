"""Builds a gatherer's digests: of its own cell, and of the whole fleet."""

from collections.abc import Iterable
from typing import NamedTuple

from redwingpost.membership.heartbeat import (
    CellReport,
    Digest,
    Echo,
    Heartbeat,
    MergedHealth,
    VmAddress,
    vm_set_number,
    vm_number,
)
from redwingpost.membership.vm_table import HEARTBEAT_TIMEOUT_S, VmTable
from redwingpost.node.fleet.readiness_inputs import count_reached
from redwingpost.rates.counters import NO_USAGES

#: Successive digests that contain a new set of VMs in full, so that at
#: least one of them arrives.
SENDS_PER_SET = 3


class _SendCount(NamedTuple):
    """How many times the set of VMs with a number was sent."""

    number: int
    times: int


class DigestWriter:
    """Merges the heartbeats and digests that this VM has received.

    Parameters
    ----------
    vms : VmTable
        The received heartbeats and digests.
    """

    def __init__(self, vms: VmTable) -> None:
        self._vms = vms
        self._send_count_by_key: dict[tuple[bool, str], _SendCount] = {}

    def build_cell_digest(
        self,
        own: Heartbeat,
        cell: str,
        may_be_brief: bool,
        now: float,
    ) -> Digest:
        """Return a digest of this cell's VMs, for other cells' gatherers.

        Parameters
        ----------
        own : Heartbeat
            This VM's own heartbeat, with the health of primaries.
        cell : str
            This VM's cell.
        may_be_brief : bool
            Leave out the health of primaries if none of them fails.
        """
        report = self._build_cell_report(own, cell, now)
        merged = _merge(self._heartbeats(own, now), ())
        return self._build_digest(own, (report,), merged, may_be_brief)

    def build_fleet_digest(
        self,
        own: Heartbeat,
        cell: str,
        may_be_brief: bool,
        now: float,
    ) -> Digest:
        """Return a digest of the fleet, for the VMs that report here."""
        other_cells = tuple(
            report
            for report in self._vms.cell_reports(now, HEARTBEAT_TIMEOUT_S)
            if report.cell != cell
        )
        other_reports = [
            health
            for _, health in self._vms.health_of_other_cells(
                now, HEARTBEAT_TIMEOUT_S
            )
        ]
        merged = _merge(self._heartbeats(own, now), other_reports)
        cells = _omit_older_versions(
            (self._build_cell_report(own, cell, now), *other_cells)
        )
        digest = self._build_digest(own, cells, merged, may_be_brief)
        return digest._replace(is_fleet=True)

    def build_counters_digest(self, own: Heartbeat) -> Digest:
        """Return an urgent digest for counters alone."""
        digest = self._build_digest(own, (), {}, True)
        return digest._replace(is_urgent=True)

    def add_echoes(
        self,
        digest: Digest,
        readers: tuple[VmAddress, ...],
        now: float,
    ) -> Digest:
        """Return a digest with the echoes of its readers' clocks."""
        echoes = self._echoes(readers, now) if digest.samples else {}
        return digest._replace(echo_by_number=echoes)

    def omit_sent_sets(self, digest: Digest, include_all: bool) -> Digest:
        """Return a digest without the sets of VMs that were sent before.

        Parameters
        ----------
        include_all : bool
            Leave no set out: there is a new reader, or some datagrams may
            have been lost.
        """
        cells = tuple(
            (
                report
                if include_all or self._is_set_due(digest.is_fleet, report)
                else report._replace(vms=None)
            )
            for report in digest.cells
        )
        return digest._replace(cells=cells)

    def _is_set_due(self, is_fleet: bool, report: CellReport) -> bool:
        """Return whether to send a set of VMs in full, and count it."""
        key = (is_fleet, report.cell)
        count = self._send_count_by_key.get(key)
        if count is None or count.number != report.vms_number:
            count = _SendCount(report.vms_number, 0)
        self._send_count_by_key[key] = count._replace(times=count.times + 1)
        return count.times < SENDS_PER_SET

    def _heartbeats(self, own: Heartbeat, now: float) -> list[Heartbeat]:
        return [own, *self._vms.fresh_heartbeats(now)]

    def _build_cell_report(
        self, own: Heartbeat, cell: str, now: float
    ) -> CellReport:
        heartbeats = self._heartbeats(own, now)
        newest = max(heartbeats, key=lambda item: item.config_version)
        vms = frozenset(vm_number(item.vm) for item in heartbeats)
        return CellReport(
            cell,
            0,
            vms,
            vm_set_number(vms),
            newest.config_version,
            newest.ip,
            max(count_reached(item) for item in heartbeats),
        )

    def _build_digest(
        self,
        own: Heartbeat,
        cells: tuple[CellReport, ...],
        merged: dict[str, MergedHealth],
        may_be_brief: bool,
    ) -> Digest:
        is_brief = may_be_brief and _are_all_well(merged)
        return Digest(
            own.vm,
            own.boot,
            False,
            cells,
            {} if is_brief else merged,
            is_brief,
            () if is_brief else own.samples,
            own.clock_ms,
            {},
            NO_USAGES,
        )

    def _echoes(
        self, readers: tuple[VmAddress, ...], now: float
    ) -> dict[int, Echo]:
        echoes = {
            vm_number(reader.vm): self._vms.echo_for(reader.vm, now)
            for reader in readers
        }
        return {number: echo for number, echo in echoes.items() if echo}


def _omit_older_versions(
    cells: tuple[CellReport, ...],
) -> tuple[CellReport, ...]:
    """Clear the versions of all reports but those from the newest's VM."""
    newest = max(report.config_version for report in cells)
    newest_ip = next(r.config_ip for r in cells if r.config_version == newest)
    return tuple(
        (
            report
            if report.config_ip == newest_ip
            else report._replace(config_version=0, config_ip="")
        )
        for report in cells
    )


def _are_all_well(merged: dict[str, MergedHealth]) -> bool:
    return all(
        not health.failing_ms and not health.stuck_ms
        for health in merged.values()
    )


def _merge(
    heartbeats: Iterable[Heartbeat],
    other_reports: Iterable[dict[str, MergedHealth]],
) -> dict[str, MergedHealth]:
    """Merge reports on primaries; no VM may be in two of them."""
    merged: dict[str, MergedHealth] = {}
    one_by_one = (
        (primary, MergedHealth.of_one(health))
        for heartbeat in heartbeats
        for primary, health in heartbeat.health_by_primary.items()
    )
    by_cell = (item for healths in other_reports for item in healths.items())
    for primary, health in (*one_by_one, *by_cell):
        known = merged.get(primary)
        merged[primary] = health if known is None else known.merge(health)
    return merged
