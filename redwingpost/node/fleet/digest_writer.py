"""What this VM tells as a gatherer: of its own cell, and of the fleet."""

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
from redwingpost.node.fleet.readiness_inputs import reached_by
from redwingpost.rates.counters import NO_USAGES

#: Digests in a row that tell a new set of VMs: one of them will arrive.
TELL_TIMES = 3


class _TimesTold(NamedTuple):
    """How often the set of VMs with a number was told."""

    number: int
    times: int


class DigestWriter:
    """Merges what this VM has heard, for others.

    Parameters
    ----------
    vms : VmTable
        What was heard.
    """

    def __init__(self, vms: VmTable) -> None:
        self._vms = vms
        self._told_by_key: dict[tuple[bool, str], _TimesTold] = {}

    def of_cell(
        self,
        own: Heartbeat,
        cell: str,
        may_be_brief: bool,
        now: float,
    ) -> Digest:
        """Return what the VMs that report here say, for other gatherers.

        Parameters
        ----------
        own : Heartbeat
            This VM's own, with the health of primaries.
        cell : str
            This VM's cell.
        may_be_brief : bool
            Leave the health of primaries out if nothing is wrong.
        """
        report = self._report(own, cell, now)
        merged = _merge(self._heartbeats(own, now), ())
        return self._digest(own, (report,), merged, may_be_brief)

    def of_fleet(
        self,
        own: Heartbeat,
        cell: str,
        may_be_brief: bool,
        now: float,
    ) -> Digest:
        """Return what all VMs say, for those that report here."""
        far = tuple(
            report
            for report in self._vms.cells(now, HEARTBEAT_TIMEOUT_S)
            if report.cell != cell
        )
        told = [
            health
            for _, health in self._vms.health_of_other_cells(
                now, HEARTBEAT_TIMEOUT_S
            )
        ]
        merged = _merge(self._heartbeats(own, now), told)
        cells = _newest_only((self._report(own, cell, now), *far))
        digest = self._digest(own, cells, merged, may_be_brief)
        return digest._replace(is_fleet=True)

    def of_counters(self, own: Heartbeat) -> Digest:
        """Return a digest for counters alone, which others need soon."""
        digest = self._digest(own, (), {}, True)
        return digest._replace(is_urgent=True)

    def for_readers(
        self,
        digest: Digest,
        readers: tuple[VmAddress, ...],
        now: float,
    ) -> Digest:
        """Return a digest with the echoes of its readers."""
        echoes = self._echoes(readers, now) if digest.samples else {}
        return digest._replace(echo_by_number=echoes)

    def leave_out_known(self, digest: Digest, everything: bool) -> Digest:
        """Return a digest without the sets of VMs that were told before.

        Parameters
        ----------
        everything : bool
            Tell all of them: there is a new reader, or some datagrams may
            have been lost.
        """
        cells = tuple(
            (
                report
                if everything or self._is_news(digest.is_fleet, report)
                else report._replace(vms=None)
            )
            for report in digest.cells
        )
        return digest._replace(cells=cells)

    def _is_news(self, is_fleet: bool, report: CellReport) -> bool:
        key = (is_fleet, report.cell)
        told = self._told_by_key.get(key)
        if told is None or told.number != report.vms_number:
            told = _TimesTold(report.vms_number, 0)
        self._told_by_key[key] = told._replace(times=told.times + 1)
        return told.times < TELL_TIMES

    def _heartbeats(self, own: Heartbeat, now: float) -> list[Heartbeat]:
        return [own, *self._vms.fresh_heartbeats(now)]

    def _report(self, own: Heartbeat, cell: str, now: float) -> CellReport:
        heard = self._heartbeats(own, now)
        newest = max(heard, key=lambda item: item.config_version)
        vms = frozenset(vm_number(item.vm) for item in heard)
        return CellReport(
            cell,
            0,
            vms,
            vm_set_number(vms),
            newest.config_version,
            newest.ip,
            max(reached_by(item) for item in heard),
        )

    def _digest(
        self,
        own: Heartbeat,
        cells: tuple[CellReport, ...],
        merged: dict[str, MergedHealth],
        may_be_brief: bool,
    ) -> Digest:
        is_brief = may_be_brief and _is_calm(merged)
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


def _newest_only(cells: tuple[CellReport, ...]) -> tuple[CellReport, ...]:
    """Leave out where older configurations than the newest are."""
    newest = max(report.config_version for report in cells)
    place = next(r.config_ip for r in cells if r.config_version == newest)
    return tuple(
        (
            report
            if report.config_ip == place
            else report._replace(config_version=0, config_ip="")
        )
        for report in cells
    )


def _is_calm(merged: dict[str, MergedHealth]) -> bool:
    return all(
        not health.failing_ms and not health.stuck_ms
        for health in merged.values()
    )


def _merge(
    heartbeats: Iterable[Heartbeat],
    told: Iterable[dict[str, MergedHealth]],
) -> dict[str, MergedHealth]:
    """Return the health of primaries by all reports; their VMs differ."""
    merged: dict[str, MergedHealth] = {}
    one_by_one = (
        (primary, MergedHealth.of_one(health))
        for heartbeat in heartbeats
        for primary, health in heartbeat.health_by_primary.items()
    )
    by_cell = (item for healths in told for item in healths.items())
    for primary, health in (*one_by_one, *by_cell):
        known = merged.get(primary)
        merged[primary] = health if known is None else known.merge(health)
    return merged
