"""The state of a group's primary as this VM and others observe it."""

from collections.abc import Callable

from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.heartbeat import MergedHealth
from redwingpost.membership.vm_table import RECENT_HEARTBEAT_S, VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient
from redwingpost.takeover.triggers import LeaderView, stuck_everywhere_s


class LeaderViews:
    """Builds the views on which the decision about a takeover is based.

    Parameters
    ----------
    vms : VmTable
        The VMs whose heartbeats arrive, and their reports.
    centres : CentreWatch
        Reachability of the data centres.
    is_registry_lost : callable
        Returns whether the registry is currently unreachable.
    """

    def __init__(
        self,
        vms: VmTable,
        centres: CentreWatch,
        is_registry_lost: Callable[[], bool],
    ) -> None:
        self._vms = vms
        self._centres = centres
        self._is_registry_lost = is_registry_lost

    def may_need_takeover(self, group: GroupClient, now: float) -> bool:
        """Return whether a group's view has to be built.

        A cheap check: nearly always nothing is wrong, and building all
        views would be most of the work of a VM without callers.
        """
        if group.is_primary_suspect() or self._vms.is_any_write_stuck(now):
            return True
        if group.is_primary_evacuated:
            return True
        client = group.member_by_name.get(group.evidence.leader or "")
        return self._centre_lost_s(client) > 0.0

    def describe(self, group: GroupClient, now: float) -> LeaderView:
        """Return the view of a group's primary at ``now`` (seconds)."""
        leader = group.evidence.leader
        client = group.member_by_name.get(leader or "")
        reports = self._vms.health_of(leader or "", now)
        latest = self._vms.health_of(leader or "", now, RECENT_HEARTBEAT_S)
        return LeaderView(
            leader=leader,
            is_listed=client is not None,
            is_draining=client is not None and client.entry.is_draining,
            silent_s=float("inf") if client is None else client.failing_s,
            others_silent_s=tuple(r.silent_ms / 1000.0 for r in reports),
            others_failing_s=_failing_by_vm_s(reports),
            hears_half=self._vms.hears_half(now),
            stalled_s=group.stalled_s,
            stuck_s=stuck_everywhere_s(
                group.writes.stuck_s(now),
                group.writes.since_acknowledged_s(now),
                reports,
            ),
            leaderless_s=_elapsed_s(group.leaderless_since, now),
            registry_has_no_primary=self._registry_has_no_primary(group),
            replicas_answering=_count_answering(group, leader),
            paused_s=_elapsed_s(group.paused_since, now),
            centre_lost_s=self._centre_lost_s(client),
            latest_silent_s=tuple(r.silent_ms / 1000.0 for r in latest),
            hears_half_lately=self._vms.hears_half(now, RECENT_HEARTBEAT_S),
            is_evacuated=group.is_primary_evacuated,
            replicas_elsewhere=group.count_replicas_elsewhere(),
        )

    def _centre_lost_s(self, client: MemberClient | None) -> float:
        if client is None:
            return 0.0
        return self._centres.lost_s(client.entry.data_centre)

    def _registry_has_no_primary(self, group: GroupClient) -> bool:
        """Return whether the registry answers and lists no primary."""
        if self._is_registry_lost():
            return False
        return not any(
            client.entry.claims_primary
            for client in group.member_by_name.values()
        )


def _failing_by_vm_s(reports: tuple[MergedHealth, ...]) -> tuple[float, ...]:
    """Return how long a primary has failed, for each VM that observes it."""
    failing_ms = [ms for report in reports for ms in report.failing_ms]
    observers = sum(report.observers for report in reports)
    healthy = observers - len(failing_ms)
    return (*(ms / 1000.0 for ms in failing_ms), *([0.0] * healthy))


def _count_answering(group: GroupClient, leader: str | None) -> int:
    """Return how many members other than the primary answer."""
    return sum(
        not client.is_failing
        for name, client in group.member_by_name.items()
        if name != leader
    )


def _elapsed_s(moment: float | None, now: float) -> float:
    return 0.0 if moment is None else now - moment
