"""Detection of groups that need another primary, and their takeovers."""

from asyncio import Task, create_task
from typing import Any

from mode import Service

from redwingpost.membership.vm_table import VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.group_activity import GroupActivity
from redwingpost.node.metrics import NodeMetrics
from redwingpost.node.request.admission import Admission
from redwingpost.node.takeover.coordinator import (
    Coordinator,
    TakeoverDependencies,
)
from redwingpost.node.takeover.duty import DutyKeeper
from redwingpost.node.takeover.leader_view import LeaderViews
from redwingpost.node.takeover.orders import OrderDependencies, TakeoverOrders
from redwingpost.node.takeover.rosters import decode_rosters, is_confirmed
from redwingpost.observability.journal import log_event
from redwingpost.takeover.roster import Roster
from redwingpost.takeover.triggers import (
    TAKEOVER_STAGGER_S,
    Reason,
    reason_to_act,
)

#: Seconds before a takeover that failed is tried again.
RETRY_DELAY_S = 0.7


class TakeoverKeeper(Service):
    """Checks the active groups and starts takeovers where needed.

    ``dependencies`` is passed on to each takeover.
    """

    def __init__(
        self,
        activity: GroupActivity,
        duty: DutyKeeper,
        admission: Admission,
        vms: VmTable,
        views: LeaderViews,
        metrics: NodeMetrics,
        dependencies: TakeoverDependencies,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._activity = activity
        self._duty = duty
        self._admission = admission
        self._vms = vms
        self._views = views
        self._metrics = metrics
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._due_by_group: dict[str, tuple[Reason, float]] = {}
        self._task_by_group: dict[str, Task] = {}

    def check_all(self) -> None:
        """Check the active groups' primaries; start what is due."""
        groups = self._activity.active(self._clock.now())
        if self._due_by_group:
            active = {group.name for group in groups}
            for name in self._due_by_group.keys() - active:
                if not self._is_running(name):
                    del self._due_by_group[name]
        for group in groups:
            self._check(group)

    def _is_running(self, group: str) -> bool:
        running = self._task_by_group.get(group)
        return running is not None and not running.done()

    def _check(self, group: GroupClient) -> None:
        if self._is_running(group.name):
            return
        now = self._clock.now()
        reason = None
        if group.is_active(now) and self._views.may_need_takeover(group, now):
            reason = reason_to_act(self._views.describe(group, now))
        due = self._due_by_group.get(group.name)
        if reason is None:
            self._due_by_group.pop(group.name, None)
            return
        if due is None or due[0] is not reason:
            delay = group.rank(now) * TAKEOVER_STAGGER_S
            self._due_by_group[group.name] = (reason, now + delay)
            log_event("takeover-due", group=group.name, reason=reason.value)
        elif now >= due[1]:
            self._due_by_group[group.name] = (reason, now + RETRY_DELAY_S)
            task = create_task(self._take_over_logged(group, reason))
            self._task_by_group[group.name] = task

    def retry_now(self) -> None:
        """Make waiting takeovers due now.

        Called when the store has just become reachable again. Without the
        store no VM can claim the duty, and a group without a primary would
        wait for the rest of ``RETRY_DELAY_S`` although the claim can
        succeed now.
        """
        now = self._clock.now()
        for name, (reason, due_at) in tuple(self._due_by_group.items()):
            self._due_by_group[name] = (reason, min(due_at, now))

    async def _take_over_logged(
        self, group: GroupClient, reason: Reason
    ) -> None:
        try:
            outcome = await self._take_over(group, reason)
        except Exception as error:
            outcome = f"failed: {type(error).__name__} {error}"
        self._metrics.takeovers.labels(reason.value, outcome[:20]).inc()
        log_event(
            "takeover",
            group=group.name,
            reason=reason.value,
            outcome=outcome,
            leader=group.evidence.leader,
            term=group.evidence.term,
        )

    async def _take_over(self, group: GroupClient, reason: Reason) -> str:
        claimed = await self._duty.take()
        if claimed is None:
            return "not the holder"
        if self._is_resolved(group):
            return "not needed any more"
        stored = decode_rosters(claimed.rows).get(group.name)
        if not is_confirmed(stored, claimed.era):
            return "roster not confirmed"
        coordinator = Coordinator(
            group,
            stored.roster if stored else Roster({}),
            self._admission.sync_replicas(group.name),
            TakeoverOrders(
                group.name,
                claimed,
                OrderDependencies(
                    self._duty,
                    self._dependencies.orders,
                    self._clock,
                    self._dependencies.vm,
                ),
            ),
            self._dependencies,
        )
        try:
            return await coordinator.run(reason)
        finally:
            coordinator.close()

    def _is_resolved(self, group: GroupClient) -> bool:
        """Return whether no takeover is needed any more.

        Another VM may have replaced the primary meanwhile.
        """
        view = self._views.describe(group, self._clock.now())
        return reason_to_act(view) is None
