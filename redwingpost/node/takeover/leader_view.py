"""What this VM and those in hearing see of a group's primary."""

from collections.abc import Callable

from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.heartbeat import MergedHealth
from redwingpost.membership.vm_table import RECENT_HEARTBEAT_S, VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient
from redwingpost.takeover.triggers import LeaderView, stuck_everywhere_s


class LeaderViews:
    """Describes primaries to the judgement of whether one must go.

    Parameters
    ----------
    vms : VmTable
        Who is heard, and what they say.
    centres : CentreWatch
        Which data centres answer.
    is_registry_lost : callable
        Says whether the registry doesn't answer just now.
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

    def may_be_wrong(self, group: GroupClient, now: float) -> bool:
        """Say whether a group is worth a closer look.

        Nearly always nothing is wrong, and a view of it would be the most
        that a VM without callers does.
        """
        if group.is_primary_suspect() or self._vms.is_any_write_stuck(now):
            return True
        client = group.member_by_name.get(group.evidence.leader or "")
        return self._centre_lost_s(client) > 0.0

    def describe(self, group: GroupClient, now: float) -> LeaderView:
        """Return what is seen of a group's primary at ``now`` (seconds)."""
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
            others_failing_s=_failing_s(reports),
            hears_half=self._vms.hears_half(now),
            stalled_s=group.stalled_s,
            stuck_s=stuck_everywhere_s(
                group.writes.stuck_s(now),
                group.writes.since_acknowledged_s(now),
                reports,
            ),
            leaderless_s=_since(group.leaderless_since, now),
            registry_has_no_primary=self._is_off_list(group),
            replicas_answering=_answering(group, leader),
            paused_s=_since(group.paused_since, now),
            centre_lost_s=self._centre_lost_s(client),
            latest_silent_s=tuple(r.silent_ms / 1000.0 for r in latest),
            hears_half_lately=self._vms.hears_half(now, RECENT_HEARTBEAT_S),
        )

    def _centre_lost_s(self, client: MemberClient | None) -> float:
        if client is None:
            return 0.0
        return self._centres.lost_s(client.entry.data_centre)

    def _is_off_list(self, group: GroupClient) -> bool:
        """Say whether the registry answers and lists no primary."""
        if self._is_registry_lost():
            return False
        return not any(
            client.entry.claims_primary
            for client in group.member_by_name.values()
        )


def _failing_s(reports: tuple[MergedHealth, ...]) -> tuple[float, ...]:
    """Return for how long a primary fails, for each VM that tells of it."""
    failing_ms = [ms for report in reports for ms in report.failing_ms]
    observers = sum(report.observers for report in reports)
    fine = observers - len(failing_ms)
    return (*(ms / 1000.0 for ms in failing_ms), *([0.0] * fine))


def _answering(group: GroupClient, leader: str | None) -> int:
    """Return how many members but the primary have answered last."""
    return sum(
        not client.is_failing
        for name, client in group.member_by_name.items()
        if name != leader
    )


def _since(moment: float | None, now: float) -> float:
    return 0.0 if moment is None else now - moment
