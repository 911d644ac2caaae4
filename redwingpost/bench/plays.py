"""Plays of node processes against the stand-ins, with faults.

Callers write and read on open sessions while events come in series and
overlap. A play is judged by what members hold and what callers were told.
"""

from asyncio import (
    IncompleteReadError,
    Semaphore,
    Task,
    create_task,
    gather,
    sleep,
)
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from itertools import count
from random import Random
from signal import SIGCONT, SIGSTOP, SIGTERM
from typing import Any

from redwingpost.core.registry import Registry
from redwingpost.node.tests.line_caller import LineCaller, Told
from redwingpost.node.tests.line_site import NodeProcess, NodeSite
from redwingpost.platform.lines import PROMISES
from redwingpost.standin.lines.group import LineGroup

#: Seconds of load and faults of one play, and the time after the last fault
#: in which all of it must be over.
PLAY_S = 16.0
SETTLE_S = 8.0

#: Seconds of load by which it is judged whether a group serves again.
RECOVERY_WINDOW_S = 2.0

#: Seconds between the members' reports of themselves.
_REPORT_INTERVAL_S = 0.6

#: What may happen in a play, by name; the only argument is the play.
Events = Registry[Callable[[Any], Awaitable[None]]]


class Play:
    """One play; ``violations`` are found by ``judge``.

    Events begin within ``play_s`` seconds, ``event_interval_s`` seconds
    (smallest, largest) apart.

    Parameters
    ----------
    seed : int
        Chooses events and their times.
    site : NodeSite
        The nodes and stand-ins, not started yet.
    events : Events
        What may happen.
    databases : tuple of str
        Databases that callers use in turn.
    """

    play_s = PLAY_S
    event_interval_s = (0.3, 2.2)

    def __init__(
        self,
        seed: int,
        site: NodeSite,
        events: Events,
        databases: tuple[str, ...] = ("own",),
    ) -> None:
        self.seed = seed
        self.random = Random(seed)
        self.call_random = Random(f"callers {seed}")
        self.site = site
        self.violations: list[str] = []
        self.codes: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.events: list[str] = []
        self._registry = events
        self._databases = databases
        self._acknowledged: set[str] = set()
        self._refused: set[str] = set()
        self._numbers = count(1)
        self._draining: set[str] = set()

    @property
    def groups(self) -> tuple[LineGroup, ...]:
        """The groups' stand-ins."""
        return tuple(self.site.standins.group_by_name.values())

    async def run(self) -> None:
        """Play, and judge."""
        tasks: list[Task] = []
        try:
            await self.site.start(nodes=3)
            tasks = [create_task(self._call(n)) for n in range(9)]
            tasks += [create_task(item) for item in self.background()]
            await self._play_events()
            await self.settle()
            await self._judge_recovery()
            self.judge()
        finally:
            for task in tasks:
                task.cancel()
            await gather(*tasks, return_exceptions=True)
            await self.site.stop()

    def background(self) -> tuple[Coroutine, ...]:
        """Return what runs beside the callers until the end."""
        return (self._report_members(),)

    async def settle(self) -> None:
        """Wait until all must have recovered from the last fault."""
        await sleep(SETTLE_S)

    def judge(self) -> None:
        """Compare the members' logs and orders with what callers know."""
        for group in self.groups:
            for entry in group.lost:
                self.violations.append(f"LOST: {entry}")
        kept = self._kept_values()
        for value in sorted(self._acknowledged - set(kept)):
            self.violations.append(f"LOST: {value} was acknowledged")
        self.judge_effects(kept)
        self.judge_orders()

    def judge_effects(self, kept: Counter[str]) -> None:
        """Look for writes that were kept after a refusal, or twice."""
        for value in sorted(self._refused & set(kept)):
            self.violations.append(f"REFUSED: {value} is kept")
        for value, times in kept.items():
            if times > 1:
                self.violations.append(f"TWICE: {value}")

    def judge_orders(self) -> None:
        """Look for fences that two holders used or that went back."""
        newest, holder_by_fence = 0, {}
        for order in self.site.standins.orders:
            holder = holder_by_fence.setdefault(order.fence, order.holder)
            if holder != order.holder or order.fence < newest:
                self.violations.append(f"ONE: {vars(order)}")
            newest = max(newest, order.fence)

    def _kept_values(self) -> Counter[str]:
        return Counter(
            value
            for group in self.groups
            for entry in group.last_primary.log
            for value in entry.writes.values()
        )

    async def _judge_recovery(self) -> None:
        before = self.served.copy()
        await sleep(RECOVERY_WINDOW_S)
        for database in sorted(set(self._databases)):
            if self.served[database] == before[database]:
                self.violations.append(f"RECOVER: {database} is not served")

    # Callers -----------------------------------------------------------

    async def _call(self, number: int) -> None:
        """Run statements on sessions that stay open as long as they can."""
        database = self._databases[number % len(self._databases)]
        node_number = number // len(self._databases)
        while True:
            node = self.site.nodes[node_number % len(self.site.nodes)]
            try:
                caller = await node.caller(database, "key-3")
                while True:
                    await self._operate(caller, database)
                    await sleep(0.02)
            except (AssertionError, IncompleteReadError, OSError):
                node_number += 1
                await sleep(0.1)

    async def _operate(self, caller: LineCaller, database: str) -> None:
        value = f"v{next(self._numbers)}"
        texts = [f"WRITE {value} {value}"]
        if self.call_random.random() < 0.5:
            texts = ["BEGIN", *texts, "READ a", "COMMIT"]
        else:
            texts.append("READ a")
        told = Told((), "", "I")
        for text in texts:
            told = await caller.run(text)
            self.codes[told.code] += 1
            self.served[database] += not told.code
            if text in ("COMMIT", f"WRITE {value} {value}") and not told.code:
                if told.state == "I":
                    self.note_acknowledged(value)
            if told.code:
                break
            await sleep(self.call_random.random() * 0.1)
        if told.code in PROMISES and value not in self._acknowledged:
            self._refused.add(value)
        if told.state != "I":
            await caller.run("ROLLBACK")

    def note_acknowledged(self, value: str) -> None:
        """Record that a caller was told that its write is kept."""
        self._acknowledged.add(value)

    # Members -----------------------------------------------------------

    async def _report_members(self) -> None:
        """Let members report themselves, as they do every 1.2 s."""
        while True:
            if not self.site.standins.store.faults.is_down:
                self.report_all()
            await sleep(_REPORT_INTERVAL_S)

    def report_all(self) -> None:
        """Write the entries of all members that run."""
        for group in self.groups:
            for name, member in group.member_by_name.items():
                if not member.is_unresponsive:
                    self.report(name)

    def report(self, name: str) -> None:
        """Write a member's entry."""
        self.site.standins.report(name, name in self._draining)

    async def drain_primary(self, group: LineGroup) -> None:
        """Let the primary announce its end; it stays as a replica."""
        name = group.last_primary.name
        self._draining.add(name)
        self.report(name)
        await sleep(4.0)
        self._draining.discard(name)

    # Events ------------------------------------------------------------

    async def _play_events(self) -> None:
        running = []
        until = self.play_s
        while until > 0.0:
            pause_s = self.random.uniform(*self.event_interval_s)
            await sleep(pause_s)
            until -= pause_s
            name = self.random.choice(sorted(self._registry.names()))
            self.note_event(name)
            running.append(create_task(self._registry.get(name)(self)))
        await gather(*running)

    def note_event(self, text: str) -> None:
        """Record an event."""
        self.events.append(text)

    def node(self) -> NodeProcess:
        """Return one of the nodes."""
        return self.random.choice(self.site.nodes)

    async def replace_node(self, node: NodeProcess, signal: int) -> None:
        """End a node; start another one after a short while."""
        if node.process.returncode is not None or len(self.site.nodes) < 3:
            return
        self.site.nodes.remove(node)
        # Callers keep their connections until the process is gone.
        await self.end_process(node, signal)
        await sleep(self.random.uniform(0.3, 1.5))
        await self.site.add_node()

    async def end_process(self, node: NodeProcess, signal: int) -> None:
        """End a node's process; one that is stopped must exit with 0."""
        # A process that hasn't started yet is ended by the signal itself.
        expected = 0 if node.has_started() else -SIGTERM
        code = await node.end(signal)
        if signal == SIGTERM and code not in (0, expected):
            self.violations.append(f"exit code {code} after SIGTERM")

    async def freeze_node(self, node: NodeProcess, seconds: float) -> None:
        """Stop a node's process for some time."""
        if node.process.returncode is not None:
            return
        node.process.send_signal(SIGSTOP)
        await sleep(seconds)
        if node.process.returncode is None:
            node.process.send_signal(SIGCONT)


async def play_seeds(
    make: Callable[[int], Play],
    seeds: range,
    jobs: int,
    on_played: Callable[[int, Play], None],
) -> None:
    """Play seeds, some at a time; ``on_played`` gets each when it is over."""
    free = Semaphore(jobs)

    async def play_one(seed: int) -> None:
        async with free:
            play = make(seed)
            await play.run()
            on_played(seed, play)

    await gather(*(play_one(seed) for seed in seeds))
