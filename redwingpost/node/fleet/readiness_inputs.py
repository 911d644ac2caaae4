"""Inputs of readiness: the groups that this VM and other VMs can serve."""

from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.heartbeat import Heartbeat
from redwingpost.membership.readiness import ReadinessInputs
from redwingpost.membership.vm_table import RECENT_HEARTBEAT_S, VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.group_activity import GroupActivity
from redwingpost.node.request.admission import Admission

#: Milliseconds for which a primary may fail or leave a write unanswered at
#: another VM and still count as reached there: longer than a request with
#: its timeout.
_REACHED_MS = 1500


class ReadinessView:
    """Collects the inputs that decide whether this VM is ready."""

    def __init__(
        self,
        admission: Admission,
        group_by_name: dict[str, GroupClient],
        activity: GroupActivity,
        vms: VmTable,
        centres: CentreWatch,
    ) -> None:
        self._admission = admission
        self._group_by_name = group_by_name
        self._activity = activity
        self._vms = vms
        self._centres = centres
        self._reached_counts = ReachedCounts(vms)

    def describe(self, is_stopping: bool, now: float) -> ReadinessInputs:
        """Return the inputs at ``now`` (seconds)."""
        groups = len(self._group_by_name)
        reached = self._count_served(groups, now)
        return ReadinessInputs(
            has_rules=self._admission.has_rules,
            is_stopping=is_stopping,
            groups=groups,
            reached=reached,
            hears_half=self._vms.hears_half(now),
            others_reach_more=self._reached_counts.most(now) > reached,
            cut_off_s=self._centres.cut_off_s(),
            hears_half_lately=self._vms.hears_half(now, RECENT_HEARTBEAT_S),
        )

    def _count_served(self, groups: int, now: float) -> int:
        """Return of how many groups callers can be served by this VM.

        If a group's home is another VM, that VM serves them, unless this
        VM is cut off from the others.
        """
        own = [
            group for group in self._activity.active(now) if group.is_home(now)
        ]
        served = sum(group.can_use_primary() for group in own)
        if self._vms.hears_half(now, RECENT_HEARTBEAT_S):
            served += groups - len(own)
        return served


class ReachedCounts:
    """How many primaries the other VMs reach.

    A gatherer receives the health of primaries from each VM twice a second
    and needs the counts ten times a second: each is counted once.
    """

    def __init__(self, vms: VmTable) -> None:
        self._vms = vms
        self._count_by_vm: dict[str, tuple[dict, int]] = {}

    def most(self, now: float) -> int:
        """Return the highest number that another VM reaches."""
        counts = [report.reached for report in self._vms.cells(now)]
        counts.extend(map(self._count, self._vms.fresh_heartbeats(now)))
        return max(counts, default=0)

    def _count(self, heartbeat: Heartbeat) -> int:
        health = heartbeat.health_by_primary
        counted = self._count_by_vm.get(heartbeat.vm)
        if counted is None or counted[0] is not health:
            counted = (health, count_reached(heartbeat))
            self._count_by_vm[heartbeat.vm] = counted
        return counted[1]


def count_reached(heartbeat: Heartbeat) -> int:
    """Return the number of primaries that a VM reports as reached."""
    return sum(
        health.failing_ms < _REACHED_MS and health.stuck_ms < _REACHED_MS
        for health in heartbeat.health_by_primary.values()
    )
