"""Plays of node processes around takeovers of groups.

Members crash, restart, replicate no more or are hidden from some nodes;
promotion orders take effect late, their answers get lost; the node that
conducts a takeover is killed, stopped or frozen in the middle of it. A play
looks for acknowledged commits that a promotion has lost.
"""

from asyncio import create_task, gather, sleep
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from shutil import copy
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from time import monotonic, time
from typing import Any

from redwingpost.bench.connections import ConnectionFinder
from redwingpost.bench.plays import PLAY_S, Events, Play
from redwingpost.core.registry import Registry
from redwingpost.node.tests.line_site import (
    NodeProcess,
    NodeSite,
    configuration,
)
from redwingpost.standin.lines.group import LineMember
from redwingpost.standin.lines.replication import Promotion, ReplicatedGroup
from redwingpost.standin.lines.unreliable import (
    ANSWERED_LATE_SHARE,
    TimedOrder,
    UnreliableServer,
    UnreliableSite,
)

#: Seconds between steps of replication.
_REPLICATION_S = 0.025

#: Seconds without a step of replication after which the stand-ins have hung.
_HANG_S = 0.5

#: Seconds in which an order has ended.
_MAX_ORDER_S = 6.0

#: Seconds between an order's end and its promotion, and those before an
#: order in which a restart is shown.
_SAME_S = 0.1
_BEFORE_ORDER_S = 1.0

#: Seconds for which an event waits for an order or a PAUSE.
ARMED_S = 6.0

#: Number of a node's last lines that a violation of RECOVER shows.
_LAST_LINES = 6

#: What may happen in a play, by name.
EVENTS: Events = Registry("event of a play of takeovers")


class TakeoverPlay(Play):
    """One play; ``violations`` are found by ``judge``.

    Parameters
    ----------
    seed : int
        Chooses events and their times.
    tree : Path or None
        Checkout whose sources the nodes run; by default this one.
    directory : Path
        Where logs, events and orders of a play with violations are kept.
    play_s : float
        Seconds in which events begin.
    answered_late_share : float
        Share of late promotions whose order was answered at once.
    """

    def __init__(
        self,
        seed: int,
        tree: Path | None,
        directory: Path,
        play_s: float = PLAY_S,
        answered_late_share: float = ANSWERED_LATE_SHARE,
    ) -> None:
        standins = UnreliableSite(Random(f"platform {seed}"), self._find_vm)
        standins.answered_late_share = answered_late_share
        site = NodeSite(standins, ("g1", "g2"), tree)
        site.configuration = _configuration()
        super().__init__(seed, site, EVENTS, ("own", "own", "own-2"))
        self.history: list[tuple[float, str]] = []
        self.hung_s = 0.0
        self._finder = ConnectionFinder(self._vms_by_process)
        self.told_at: dict[str, float] = {}
        self._directory = directory
        self.play_s = play_s
        self.event_interval_s = (0.2, 1.6)
        self._tree = tree
        self._ending: set[str] = set()
        self._silences: Counter[str] = Counter()
        self._cuts: Counter[str] = Counter()
        self._restarts: list[tuple[float, str]] = []
        self._role_by_member: dict[str, bool] = {}

    # Platform ----------------------------------------------------------

    def background(self) -> tuple[Coroutine, ...]:
        """Return what runs beside the callers until the end."""
        for group in self.groups:
            group.on_promotion.append(self._note_promotion)
        self.site.standins.on_order.append(self._note_order)
        return (self._replicate(), *super().background())

    async def _replicate(self) -> None:
        """Let members replicate; record where the stand-ins hung."""
        while True:
            began_at = monotonic()
            self._replicate_once()
            await sleep(_REPLICATION_S)
            hung_s = monotonic() - began_at
            if hung_s > _HANG_S:
                self.hung_s += hung_s
                self.note(f"the stand-ins hung for {hung_s:.2f} s")

    def _replicate_once(self) -> None:
        for group in self.groups:
            group.replicate()
            for name, member in group.member_by_name.items():
                self._report_role(name, member)

    def _report_role(self, name: str, member: LineMember) -> None:
        """Write a member's entry at once if its role has changed."""
        if self._role_by_member.get(name, member.is_primary) != (
            member.is_primary
        ):
            if member.is_unresponsive:
                return
            self.report(name)
        self._role_by_member[name] = member.is_primary

    def server(self, member: str) -> UnreliableServer:
        """Return a member's server."""
        return self.site.standins.server_by_member[member]

    async def _find_vm(self, port: int) -> str:
        """Return the VM whose node has a connection from a local port."""
        process = await self._finder.find(port)
        return self._vms_by_process().get(process, "")

    def _vms_by_process(self) -> dict[int, str]:
        return {
            node.process.pid: node.vm
            for node in self.site.nodes
            if node.process.returncode is None
        }

    # History -----------------------------------------------------------

    def note_event(self, text: str) -> None:
        """Record an event with its time."""
        self.events.append(text)
        self.history.append((time(), text))

    def note(self, text: str) -> None:
        """Record a detail with its time."""
        self.history.append((time(), text))

    def note_acknowledged(self, value: str) -> None:
        """Record that a caller was told that its write is kept."""
        super().note_acknowledged(value)
        self.told_at[value] = time()

    def _note_order(self, order: TimedOrder) -> None:
        self.note(
            f"order: {order.holder} fence {order.fence} promotes"
            f" {order.member}"
        )

    def _note_promotion(self, promotion: Promotion) -> None:
        self.note(
            f"promotion: {promotion.member} leads term {promotion.term} from"
            f" {_text_of(promotion.head)}, lacks {len(promotion.missing)}"
        )
        for group in self.groups:
            if promotion.member in group.member_by_name:
                self._note_logs(group)

    def _note_logs(self, group: ReplicatedGroup) -> None:
        members = ", ".join(
            f"{name} {'primary' if m.is_primary else 'replica'} term {m.term}"
            f" {_text_of(m.head)} paused for {m.paused_for}"
            f"{' silent' if m.is_unresponsive else ''}"
            f"{' cut off' if m.is_cut_off else ''}"
            for name, m in group.member_by_name.items()
        )
        self.note(f"members: {members}")

    async def settle(self) -> None:
        """Wait until all must have recovered from the last fault."""
        until = time() + _MAX_ORDER_S
        while self.site.standins.has_orders_under_way and time() < until:
            await sleep(0.1)
        self.note("the last fault is over")
        await super().settle()

    # Judgement ---------------------------------------------------------

    async def _judge_recovery(self) -> None:
        await super()._judge_recovery()
        if any(text.startswith("RECOVER") for text in self.violations):
            for node in self.site.nodes:
                self.violations += [
                    f"  {node.vm}: {line}"
                    for line in node.log.read_text().splitlines()[
                        -_LAST_LINES:
                    ]
                ]

    def judge(self) -> None:
        """Compare the members' logs and orders with what callers know."""
        kept = self._kept_values()
        lost = self._acknowledged - set(kept)
        for group in self.groups:
            for promotion in group.promotions:
                self._judge_promotion(group, promotion, lost)
        for value in sorted(lost):
            self.violations.append(self._describe_lost(value))
        self.judge_effects(kept)
        self.judge_orders()
        self._judge_standins()
        if self.violations:
            if self.hung_s:
                self.violations.append(
                    f"the stand-ins hung for {self.hung_s:.2f} s in all"
                )
            self._keep()

    def _judge_promotion(
        self, group: ReplicatedGroup, promotion: Promotion, lost: set[str]
    ) -> None:
        """Compare a promoted member's log with what was acknowledged."""
        lines_by_rule: dict[str, list[str]] = {}
        for entry in promotion.missing:
            values = set(entry.writes.values())
            at, member = group.acknowledged_by[entry.position]
            told = [self.told_at[v] for v in values if v in self.told_at]
            told_at = f"{told[0]:.3f}" if told else "never"
            rule = "LOST" if told else "LOST-UNTOLD"
            if told and _is_outdated(group, entry.position.term, at):
                rule = "ONE"
            lines_by_rule.setdefault(rule, []).append(
                f"{_text_of(entry.position)} ({', '.join(sorted(values))}),"
                f" acknowledged by {member} at {at:.3f}, told at {told_at}"
            )
            lost -= values
        for rule, lines in lines_by_rule.items():
            more = f", and {len(lines) - 1} more" if lines[1:] else ""
            self.violations.append(
                f"{rule}: {lines[0]}{more}; {promotion.member} led term"
                f" {promotion.term} at {promotion.at:.3f}"
                f"{self._describe_before(group, promotion)}"
            )

    def _describe_before(
        self, group: ReplicatedGroup, promotion: Promotion
    ) -> str:
        """Describe orders and restarts that overlap a promotion's order."""
        orders = [
            order
            for order in self.site.standins.orders
            if order.group == group.name and order.ended_at
        ]
        own = min(
            (
                order
                for order in orders
                if order.member == promotion.member
                and abs(order.ended_at - promotion.at) < _SAME_S
            ),
            key=lambda order: order.arrived_at,
        )
        others = [
            f"ordered by {own.holder} {promotion.at - own.arrived_at:.2f} s"
            f" before, answered {own.answer or 'never'}"
        ]
        others += [
            f"{order.holder} ordered {order.member} at {order.arrived_at:.3f}"
            for order in orders
            if order.member != promotion.member
            and order.arrived_at < promotion.at
            and order.ended_at > own.arrived_at
        ]
        others += [
            f"{name} restarted at {at:.3f}"
            for at, name in self._restarts
            if own.arrived_at - _BEFORE_ORDER_S < at < promotion.at
            and name in group.member_by_name
        ]
        return "".join(f"; {text}" for text in others)

    def _describe_lost(self, value: str) -> str:
        """Describe a write that is gone, though no promotion lacked it."""
        told_at = f"told at {self.told_at[value]:.3f}"
        for group in self.groups:
            for entry in group.acknowledged:
                if value in entry.writes.values():
                    at, member = group.acknowledged_by[entry.position]
                    return (
                        f"ONE: {_text_of(entry.position)} ({value}),"
                        f" acknowledged by {member} at {at:.3f} after"
                        f" another member led, {told_at}"
                    )
        return f"LOST: {value}, acknowledged by no member, {told_at}"

    def _judge_standins(self) -> None:
        """Check that members that are reached hold the primary's log."""
        for group in self.groups:
            log = group.last_primary.log
            for name, member in group.member_by_name.items():
                if member.log != log[: len(member.log)]:
                    self.violations.append(f"STAND-IN: {name} has gaps")

    def _keep(self) -> None:
        tree = self._tree.name if self._tree else "here"
        folder = self._directory / f"{tree}-seed-{self.seed}-{time():.0f}"
        folder.mkdir(parents=True, exist_ok=True)
        for path in self.site.folder.glob("node-*"):
            copy(path, folder)
        lines = [f"{at:.3f} {text}" for at, text in self.history]
        (folder / "events.txt").write_text("\n".join(lines) + "\n")
        orders = [_describe_order(item) for item in self.site.standins.orders]
        (folder / "orders.txt").write_text("\n".join(orders) + "\n")
        text = "\n".join(self.violations) + "\n"
        (folder / "violations.txt").write_text(text)
        self.violations.append(f"kept in {folder}")

    # Faults ------------------------------------------------------------

    def any_group(self) -> ReplicatedGroup:
        """Return one of the groups, the first more often."""
        return self.groups[self.random.random() < 0.3]

    def replica(self, group: ReplicatedGroup) -> LineMember:
        """Return one of a group's replicas."""
        return self.random.choice(
            [
                member
                for member in group.member_by_name.values()
                if member is not group.last_primary
            ]
        )

    def silence(self, member: LineMember) -> None:
        """Let a member answer nothing, until all its silences have ended."""
        self._silences[member.name] += 1
        member.is_unresponsive = True

    def end_silence(self, member: LineMember) -> None:
        """End one silence of a member."""
        self._silences[member.name] -= 1
        member.is_unresponsive = self._silences[member.name] > 0

    def start_cut(self, member: LineMember) -> None:
        """Let a member replicate no more, until all its cuts have ended."""
        self._cuts[member.name] += 1
        member.is_cut_off = True

    def end_cut(self, member: LineMember) -> None:
        """End one cut of a member."""
        self._cuts[member.name] -= 1
        member.is_cut_off = self._cuts[member.name] > 0

    async def crash(self, member: LineMember, seconds: float) -> None:
        """Let a member's process end; it starts again with its log.

        Its host is either gone with it or refuses connections.
        """
        if member.is_unresponsive:
            return
        name, server = member.name, self.server(member.name)
        is_refusing = self.random.random() < 0.5
        self.note(f"{name} crashes, {'refused' if is_refusing else 'dark'}")
        self.silence(member)
        if is_refusing:
            server.break_connections()
            await self.site.standins.end_process(name)
        removing = create_task(self._expire(member))
        await sleep(seconds)
        server.break_connections()
        await sleep(0.0)
        group = server.group
        group.restart(member)
        if is_refusing:
            await self.site.standins.start_process(name)
        self.end_silence(member)
        group.replicate()
        self._restarts.append((time(), name))
        self.note(f"{name} is back, primary: {member.is_primary}")
        removing.cancel()
        await sleep(self.random.uniform(0.005, 0.4))
        self.site.standins.restart_cold(name, 0.0)
        self.report(name)

    async def _expire(self, member: LineMember) -> None:
        """Remove the entry of a member that has stopped its reports."""
        await sleep(self.random.uniform(2.4, 3.6))
        if member.is_unresponsive:
            self.site.standins.remove_entry(member.name)

    async def hide(
        self, member: LineMember, nodes: list[NodeProcess], seconds: float
    ) -> None:
        """Cut the links between a member and some nodes."""
        hidden = {node.vm for node in nodes}
        self.note(f"{member.name} hidden from {', '.join(sorted(hidden))}")
        server = self.server(member.name)
        server.hidden_from |= hidden
        await sleep(seconds)
        server.hidden_from -= hidden
        self.note(f"{member.name} visible again")

    async def cut_off(self, member: LineMember, seconds: float) -> None:
        """Let a member replicate with no other for some time."""
        self.note(f"{member.name} cut off")
        self.start_cut(member)
        await sleep(seconds)
        self.end_cut(member)
        self.server(member.name).group.replicate()
        self.note(f"{member.name} replicates again")

    async def end_node(self, vm: str, how: str) -> None:
        """Kill, stop or freeze a node; start it again or replace it."""
        node = self.find_node(vm)
        if node is None or node.process.returncode is not None:
            return
        if vm in self._ending:
            return
        self.note(f"{vm}: {how}")
        self._ending.add(vm)
        try:
            await self._end_node(node, how)
        finally:
            self._ending.discard(vm)

    async def _end_node(self, node: NodeProcess, how: str) -> None:
        if how == "freeze":
            await self.freeze_node(node, self.random.uniform(1.0, 9.0))
            self.note(f"{node.vm} goes on")
            return
        # A process that has only started ends at a signal without more ado.
        is_stopped = how == "stop" and await node.is_ready()
        signal = SIGTERM if is_stopped else SIGKILL
        if self.random.random() < 0.3:
            await self.replace_node(node, signal)
            return
        await self.end_process(node, signal)
        await self.site.start_again(node)
        self.note(f"{node.vm} started again")

    async def freeze_until_order(self, seconds: float) -> None:
        """Freeze the next node that orders until another one orders."""
        standins = self.site.standins
        frozen: list[NodeProcess] = []
        until = time() + ARMED_S

        def notify(order: TimedOrder) -> None:
            nonlocal until
            if not frozen:
                node = self.find_node(order.holder)
                if node is not None and node.process.returncode is None:
                    self.note(f"{node.vm}: freeze until another node orders")
                    node.process.send_signal(SIGSTOP)
                    frozen.append(node)
                    until = time() + seconds
            elif order.holder != frozen[0].vm:
                until = time()

        standins.on_order.append(notify)
        while time() < until:
            await sleep(0.01)
        standins.on_order.remove(notify)
        if frozen and frozen[0].process.returncode is None:
            frozen[0].process.send_signal(SIGCONT)
            self.note(f"{frozen[0].vm} goes on")

    def find_node(self, vm: str) -> NodeProcess | None:
        """Return a VM's node, or None."""
        return next((n for n in self.site.nodes if n.vm == vm), None)

    async def end_at_order(self, how: str, delay_s: float) -> None:
        """End the node that sends the next order, right as it arrives."""
        standins = self.site.standins
        ending: list = []

        def notify(order: TimedOrder) -> None:
            standins.on_order.remove(notify)
            ending.append(
                create_task(self._end_later(order.holder, how, delay_s))
            )

        standins.on_order.append(notify)
        await self._await_armed(ending, standins.on_order, notify)

    async def end_at_pause(self, how: str, delay_s: float) -> None:
        """End the node whose PAUSE arrives next at a member."""
        servers = tuple(self.site.standins.server_by_member.values())
        ending: list = []

        def notify(vm: str) -> None:
            if ending:
                return
            ending.append(create_task(self._end_later(vm, how, delay_s)))

        for server in servers:
            server.on_pause.append(notify)
        await sleep(ARMED_S)
        for server in servers:
            server.on_pause.remove(notify)
        await gather(*ending)

    async def _await_armed(self, ending: list, hooks: list, hook: Any) -> None:
        await sleep(ARMED_S)
        if hook in hooks:
            hooks.remove(hook)
        await gather(*ending)

    async def _end_later(self, vm: str, how: str, delay_s: float) -> None:
        await sleep(delay_s)
        await self.end_node(vm, how)


def _is_outdated(group: ReplicatedGroup, term: int, at: float) -> bool:
    """Return whether a newer term had a primary at a Unix time."""
    return any(
        promotion.term > term and promotion.at < at
        for promotion in group.promotions
    )


def _configuration() -> dict[str, Any]:
    """Return a configuration with a second group's database."""
    value = configuration(1)
    second = dict(next(r for r in value["routes"] if r["host"] == "own"))
    second.update(name="r-own-2", host="own-2", service="g2")
    value["routes"].append(second)
    value["services"].append({**value["services"][0], "name": "g2"})
    return value


def _text_of(position: Any) -> str:
    return f"{position.term}.{position.index}"


def _describe_order(order: TimedOrder) -> str:
    effect = f"{order.ended_at:.3f}" if order.ended_at else "-"
    return (
        f"{order.arrived_at:.3f} {order.holder} fence {order.fence}"
        f" promotes {order.member}: {order.outcome} at {effect};"
        f" answer {order.answer or '-'}"
    )
