"""Conduct takeovers: watch every group, replace what must be replaced."""

from asyncio import Task, create_task
from typing import Any

from mode import Service

from redwingpost.membership.vm_table import VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.metrics import NodeMetrics
from redwingpost.node.request.admission import Admission
from redwingpost.node.takeover.conductor import Conductor, Outside
from redwingpost.node.takeover.duty import DutyKeeper
from redwingpost.node.takeover.leader_view import LeaderViews
from redwingpost.node.takeover.rosters import decode_rosters
from redwingpost.observability.journal import log_event
from redwingpost.takeover.roster import Roster
from redwingpost.takeover.triggers import (
    TAKEOVER_STAGGER_S,
    Reason,
    reason_to_act,
)

#: Seconds before a takeover that failed is tried again.
AGAIN_S = 0.7


class TakeoverKeeper(Service):
    """Watches groups and has their primaries replaced.

    ``outside`` is what a takeover needs of its own.
    """

    def __init__(
        self,
        group_by_name: dict[str, GroupClient],
        duty: DutyKeeper,
        admission: Admission,
        vms: VmTable,
        views: LeaderViews,
        metrics: NodeMetrics,
        outside: Outside,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._group_by_name = group_by_name
        self._duty = duty
        self._admission = admission
        self._vms = vms
        self._views = views
        self._metrics = metrics
        self._outside = outside
        self._clock = outside.clock
        self._due_by_group: dict[str, tuple[Reason, float]] = {}
        self._task_by_group: dict[str, Task] = {}

    def look_at_all(self) -> None:
        """Look whether a group's primary must be replaced."""
        for group in tuple(self._group_by_name.values()):
            self._look(group)

    def _look(self, group: GroupClient) -> None:
        running = self._task_by_group.get(group.name)
        if running is not None and not running.done():
            return
        now = self._clock.now()
        reason = None
        if group.is_active(now) and self._views.may_be_wrong(group, now):
            reason = reason_to_act(self._views.describe(group, now))
        known = self._due_by_group.get(group.name)
        if reason is None:
            self._due_by_group.pop(group.name, None)
            return
        if known is None or known[0] is not reason:
            delay = group.place(now) * TAKEOVER_STAGGER_S
            self._due_by_group[group.name] = (reason, now + delay)
            log_event("takeover-due", group=group.name, reason=reason.value)
        elif now >= known[1]:
            self._due_by_group[group.name] = (reason, now + AGAIN_S)
            task = create_task(self._conduct_logged(group, reason))
            self._task_by_group[group.name] = task

    def try_soon(self) -> None:
        """Let takeovers that wait for their next try begin now.

        The store has just answered again. Without it nobody could take
        the duty, and groups without a primary would wait for the next
        try, 0.7 s, for nothing.
        """
        now = self._clock.now()
        for name, (reason, due_at) in tuple(self._due_by_group.items()):
            self._due_by_group[name] = (reason, min(due_at, now))

    async def _conduct_logged(
        self, group: GroupClient, reason: Reason
    ) -> None:
        try:
            outcome = await self._conduct(group, reason)
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

    async def _conduct(self, group: GroupClient, reason: Reason) -> str:
        taken = await self._duty.take()
        if taken is None:
            return "not the holder"
        if self._is_settled(group):
            return "not needed any more"
        stored = decode_rosters(taken.rows).get(group.name)
        conductor = Conductor(
            group,
            stored.roster if stored else Roster({}),
            self._admission.sync_replicas(group.name),
            taken.duty,
            self._outside,
        )
        try:
            return await conductor.run(reason)
        finally:
            conductor.close()

    def _is_settled(self, group: GroupClient) -> bool:
        """Say whether another VM has seen to it meanwhile."""
        view = self._views.describe(group, self._clock.now())
        return reason_to_act(view) is None
