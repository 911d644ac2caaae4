"""Conduct takeovers: watch every group, replace what must be replaced."""

from asyncio import Task, create_task, gather, sleep
from typing import Any

from mode import Service

from redwingpost.groups.directory import Directory
from redwingpost.leases.duty import HeldDuty
from redwingpost.membership.hearing import VmTable
from redwingpost.node.duty import DutyKeeper
from redwingpost.node.group import GroupClient
from redwingpost.node.leader_view import LeaderViews
from redwingpost.node.member import MemberClient
from redwingpost.node.metrics import NodeMetrics
from redwingpost.node.steps import repeat
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import LinkFactory, PromotionOrders
from redwingpost.takeover.plan import (
    Choice,
    Standing,
    choose,
    is_complete,
    pause_term,
)
from redwingpost.takeover.triggers import (
    TURN_S,
    Reason,
    reason_to_act,
)

#: Seconds between looks at the groups.
LOOK_S = 0.1

#: Seconds between questions while a change is under way.
POLL_S = 0.03

#: Seconds for the chosen replica to receive what a paused one had, and
#: for a promotion to show at the member after the order.
CATCH_UP_S = 1.0
EFFECT_S = 3.0

#: Seconds before a takeover that failed is tried again.
AGAIN_S = 0.7


class TakeoverKeeper(Service):
    """Watches groups and conducts their takeovers."""

    def __init__(
        self,
        group_by_name: dict[str, GroupClient],
        directory: Directory,
        links: LinkFactory,
        orders: PromotionOrders,
        duty: DutyKeeper,
        vms: VmTable,
        views: LeaderViews,
        vm: str,
        metrics: NodeMetrics,
        clock: Clock,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._group_by_name = group_by_name
        self._directory = directory
        self._links = links
        self._orders = orders
        self._duty = duty
        self._vms = vms
        self._views = views
        self._vm = vm
        self._metrics = metrics
        self._clock = clock
        self._due_by_group: dict[str, tuple[Reason, float]] = {}
        self._task_by_group: dict[str, Task] = {}

    @Service.task
    async def _watch(self) -> None:
        await repeat(self, self._look_at_all, LOOK_S)

    async def _look_at_all(self) -> None:
        for group in tuple(self._group_by_name.values()):
            self._look(group)

    def _look(self, group: GroupClient) -> None:
        running = self._task_by_group.get(group.name)
        if running is not None and not running.done():
            return
        now = self._clock.now()
        reason = reason_to_act(self._views.describe(group, now))
        known = self._due_by_group.get(group.name)
        if reason is None:
            self._due_by_group.pop(group.name, None)
            return
        if known is None or known[0] is not reason:
            delay = self._vms.place(group.name, now) * TURN_S
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
        clients = self._clients(group)
        try:
            outcome = await self._conduct(group, reason, clients)
        except Exception as error:
            outcome = f"failed: {type(error).__name__} {error}"
        finally:
            for name, client in clients.items():
                if client is not group.member_by_name.get(name):
                    client.close()
        self._metrics.takeovers.labels(reason.value, outcome[:20]).inc()
        log_event(
            "takeover",
            group=group.name,
            reason=reason.value,
            outcome=outcome,
            leader=group.evidence.leader,
            term=group.evidence.term,
        )

    async def _conduct(
        self,
        group: GroupClient,
        reason: Reason,
        clients: dict[str, MemberClient],
    ) -> str:
        duty = await self._duty.take()
        if duty is None:
            return "not the holder"
        if self._is_settled(group):
            return "not needed any more"
        standings = await self._ask_all(clients, "status")
        leader = _leading(standings, group.evidence.term)
        if await self._depose_stale(clients, standings, leader):
            standings = await self._ask_all(clients, "status")
        if reason is Reason.LEFT_PAUSED and leader is not None:
            await self._resume(clients, standings)
            return "resumed"
        old = leader or group.evidence.leader
        choice = choose(standings, old)
        if choice is None:
            return "no replica answers"
        term = pause_term(standings)
        if reason is Reason.LEAVING and leader is not None:
            ready = await self._pause_others(group, clients, choice, term)
        else:
            ready = await self._pause_all(group, clients, choice, term)
        if ready is None:
            await self._resume(clients, standings)
            return "not safe yet"
        done = await self._promote(group, clients, ready, duty, term, old)
        if not done:
            await self._resume(clients, standings)
            return "not promoted"
        await self._finish(group, clients, ready, old)
        return "done"

    async def _depose_stale(
        self,
        clients: dict[str, MemberClient],
        standings: tuple[Standing, ...],
        leader: str | None,
    ) -> bool:
        """Make primaries of earlier terms replicas; True if any was."""
        newest = max(
            (item.report.term for item in standings if item.report),
            default=0,
        )
        stale = {
            item.entry.member: clients[item.entry.member]
            for item in standings
            if item.report is not None
            and item.report.is_primary
            and item.entry.member != leader
            and item.report.term < newest
        }
        await self._ask_all(stale, "step_down", newest)
        return bool(stale)

    def _is_settled(self, group: GroupClient) -> bool:
        """Say whether another VM has seen to it meanwhile."""
        view = self._views.describe(group, self._clock.now())
        return reason_to_act(view) is None

    def _clients(self, group: GroupClient) -> dict[str, MemberClient]:
        """Return listed members, and gone ones that may still answer."""
        clients = dict(group.member_by_name)
        for entry in self._directory.lately_gone(group.name):
            if entry.member not in clients:
                clients[entry.member] = MemberClient(
                    entry, self._links, self._clock
                )
        return clients

    async def _ask_all(
        self, clients: dict[str, MemberClient], command: str, *arguments: int
    ) -> tuple[Standing, ...]:
        """Ask members; those that are gone count only if they answer."""

        async def ask(client: MemberClient) -> Standing:
            report = await client.ask(command, *arguments)
            return Standing(client.entry, report)

        standings = await gather(*(ask(item) for item in clients.values()))
        return tuple(
            item
            for item in standings
            if item.report is not None
            or self._directory.get(item.entry.member) is not None
        )

    async def _pause_others(
        self,
        group: GroupClient,
        clients: dict[str, MemberClient],
        choice: Choice,
        term: int,
    ) -> Standing | None:
        """Pause all but the chosen one; it goes on receiving."""
        targets = {
            item.entry.member: clients[item.entry.member]
            for item in choice.others
        }
        paused = await self._ask_all(targets, "pause", term)
        until = self._clock.now() + CATCH_UP_S
        chosen = clients[choice.chosen.entry.member]
        while self._clock.now() < until:
            report = await chosen.ask("status")
            floor = group.evidence.floor
            if report is not None and is_complete(
                report.received, paused, floor
            ):
                return Standing(chosen.entry, report)
            await sleep(POLL_S)
        return None

    async def _pause_all(
        self,
        group: GroupClient,
        clients: dict[str, MemberClient],
        choice: Choice,
        term: int,
    ) -> Standing | None:
        """Pause all replicas, then choose by what they hold."""
        names = {item.entry.member for item in choice.others}
        names.add(choice.chosen.entry.member)
        targets = {name: clients[name] for name in names}
        paused = await self._ask_all(targets, "pause", term)
        again = choose(paused, None)
        if again is None:
            return None
        floor = group.evidence.floor
        if not is_complete(again.chosen.received, again.others, floor):
            return None
        return again.chosen

    async def _promote(
        self,
        group: GroupClient,
        clients: dict[str, MemberClient],
        chosen: Standing,
        duty: HeldDuty,
        term: int,
        old: str | None,
    ) -> bool:
        """Order the promotion and wait until it shows."""
        paused = {
            name: other
            for name, other in clients.items()
            if name not in (chosen.entry.member, old)
        }
        client = clients[chosen.entry.member]
        until = self._clock.now() + EFFECT_S
        is_ordered = False
        while self._clock.now() < until:
            # Looked at right before the order: this VM may have been
            # suspended since it took the duty.
            if not is_ordered:
                if not duty.allows_order(self._clock.now()):
                    return False
                is_ordered = await self._orders.promote(
                    group.name, chosen.entry.member, self._vm, duty.fence
                )
            asked_at = self._clock.now()
            # A replica that starts again forgets its pause and would
            # confirm commits to the old primary until the new one leads.
            await self._ask_all(paused, "pause", term)
            report = await client.ask("status")
            if report is not None and report.is_primary:
                member = chosen.entry.member
                group.evidence.note_report(member, report, asked_at)
                return True
            await sleep(POLL_S)
        return False

    async def _finish(
        self,
        group: GroupClient,
        clients: dict[str, MemberClient],
        chosen: Standing,
        leader: str | None,
    ) -> None:
        """Depose the old primary, let replicas receive again."""
        term = group.evidence.term
        others = {
            name: client
            for name, client in clients.items()
            if name != chosen.entry.member
        }
        old = {name: others[name] for name in others if name == leader}
        await self._ask_all(old, "step_down", term)
        standings = await self._ask_all(others, "status")
        await self._resume(
            others,
            tuple(
                item
                for item in standings
                if item.report is not None and item.report.paused_for > term
            ),
        )
        await group.fresh_round()

    async def _resume(
        self,
        clients: dict[str, MemberClient],
        standings: tuple[Standing, ...],
    ) -> None:
        targets = {
            item.entry.member: clients[item.entry.member]
            for item in standings
            if item.report is None or not item.report.is_primary
        }
        await self._ask_all(targets, "resume")


def _leading(standings: tuple[Standing, ...], term: int) -> str | None:
    """Return the member that answers as primary of the newest term."""
    claims = [
        (item.report.term, item.entry.member)
        for item in standings
        if item.report is not None and item.report.is_primary
    ]
    if not claims or max(claims)[0] < term:
        return None
    return max(claims)[1]
