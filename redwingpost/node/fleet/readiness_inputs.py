"""What this VM can do for callers, and whether others can do more."""

from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.heartbeat import Heartbeat
from redwingpost.membership.readiness import ReadinessInputs
from redwingpost.membership.vm_table import RECENT_HEARTBEAT_S, VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.request.admission import Admission

#: Milliseconds within which a primary answered another VM lately enough
#: to count as reached: longer than a question and its time limit take.
_REACHED_MS = 1500


class ReadinessView:
    """Describes the VM to the judgement of its readiness."""

    def __init__(
        self,
        admission: Admission,
        group_by_name: dict[str, GroupClient],
        vms: VmTable,
        centres: CentreWatch,
    ) -> None:
        self._admission = admission
        self._group_by_name = group_by_name
        self._vms = vms
        self._centres = centres

    def describe(self, is_stopping: bool, now: float) -> ReadinessInputs:
        """Return the inputs at ``now`` (seconds)."""
        groups = self._group_by_name.values()
        reached = sum(self._is_served(group, now) for group in groups)
        return ReadinessInputs(
            has_rules=self._admission.has_rules,
            is_stopping=is_stopping,
            groups=len(groups),
            reached=reached,
            hears_half=self._vms.hears_half(now),
            others_reach_more=most_reached(self._vms, now) > reached,
            cut_off_s=self._centres.cut_off_s(),
            hears_half_lately=self._vms.hears_half(now, RECENT_HEARTBEAT_S),
        )

    def _is_served(self, group: GroupClient, now: float) -> bool:
        """Say whether callers of a group are served over this VM.

        A home elsewhere does that, unless this VM is behind a cut.
        """
        if group.is_home(now):
            return group.is_useful()
        return self._vms.hears_half(now, RECENT_HEARTBEAT_S)


def most_reached(vms: VmTable, now: float) -> int:
    """Return the most primaries that another VM says it reaches."""
    told = [report.reached for report in vms.cells(now)]
    told.extend(
        reached_by(heartbeat) for heartbeat in vms.fresh_heartbeats(now)
    )
    return max(told, default=0)


def reached_by(heartbeat: Heartbeat) -> int:
    """Return how many primaries a VM reaches, as it says itself."""
    return sum(
        health.failing_ms < _REACHED_MS and health.stuck_ms < _REACHED_MS
        for health in heartbeat.health_by_primary.values()
    )
