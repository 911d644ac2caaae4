"""Have homes run a caller's statements; run them here where none can.

What goes wrong at a home is told as truly as at a member. A statement that
a home never got, or refused without a run, goes to the next one. A read
whose home falls silent is asked elsewhere; it may run twice, which nobody
notices. A write whose home falls silent may have run, and nobody knows. A
transaction ends with the connection to its home: without COMMIT nothing of
it is kept.
"""

from asyncio import Future, wait
from collections.abc import AsyncIterator
from itertools import count
from typing import NamedTuple

from redwingpost.configuration.routes import RouteRule
from redwingpost.core.codes import Code, Outcome
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Statement, StatementKind
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.forwarding.channel import (
    Channels,
    HomeChannel,
    HomeLost,
)
from redwingpost.node.forwarding.homes import HomeView
from redwingpost.node.forwarding.messages import Action, Done, Work
from redwingpost.node.request.attempt import Caller
from redwingpost.node.request.reads import Result
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.retries.budget import RetryBudget

#: Homes that are asked for one statement before it is run here.
MAX_HOMES = 3

#: Seconds for which a home may send nothing at all while a read waits there
#: before another is asked: far above a member's usual time.
SILENT_S = 0.5

#: Seconds of silence after which a connection is taken for broken. Sooner,
#: a busy home would lose all that is under way over it.
BROKEN_S = 2.0

#: Seconds beyond a statement's own time for its home to tell how it ended.
MARGIN_S = 0.3

#: Codes with which a home says that it takes nothing new.
_HOME_ALONE = frozenset({Code.DRAINING.name, Code.STARTING.name})

#: Codes with which a home says that another one may do better.
_ELSEWHERE = _HOME_ALONE | {Code.NO_PRIMARY.name, Code.TARGET_LOST.name}


class ForwardedStatement(NamedTuple):
    """A statement, whose it is, and the rules by which it may run."""

    statement: Statement
    caller: Caller
    route: RouteRule
    sync_replicas: int
    arrived_at: float


class Forwarder:
    """Asks homes; shared by all sessions of a node."""

    def __init__(
        self, homes: HomeView, channels: Channels, clock: Clock
    ) -> None:
        self._homes = homes
        self._channels = channels
        self._clock = clock
        self._budget = RetryBudget()
        self._transactions = count(1)

    def has_home_elsewhere(self, group: str, organisation: str) -> bool:
        """Say whether a home other than this VM should run a statement."""
        now = self._clock.now()
        return bool(self._homes.order(group, organisation, now))

    def next_transaction(self) -> int:
        """Return a number that no other transaction of this VM has."""
        return next(self._transactions)

    async def run_alone(self, task: ForwardedStatement) -> Result | None:
        """Have a statement that stands alone run; None where no home can."""
        self._budget.earn()
        is_write = bool(task.caller.state.writes(task.statement))
        refused: Refusal | None = None
        async for home, channel in self._channels_for(task):
            work = self._work(channel, Action.ALONE, task)
            try:
                if is_write:
                    done = await channel.ask(work, self._patience_s(task))
                else:
                    done = await self._ask_to_read(channel, work, task)
            except HomeLost as lost:
                self._note_lost(home, channel, task, lost)
                if not lost.sent:
                    continue
                task.caller.state.trace.note_sent()
                if is_write:
                    return Refusal(Code.OUTCOME_UNKNOWN, lost.detail)
                continue
            self.take(task.caller, home, done)
            if not may_go_elsewhere(done):
                return done.result
            refused = self._note_refused(home, done)
        if task.arrived_at + task.route.timeout_s <= self._clock.now():
            return refused or Refusal(Code.TIMED_OUT, "no home answered")
        return refused

    async def open(
        self,
        task: ForwardedStatement,
        begin: Statement,
        action: Action,
        number: int,
    ) -> tuple[HomeChannel, Done] | None:
        """Begin a transaction with its first statement at a home.

        Returns
        -------
        tuple or None
            The home's connection and what became of the statement; None
            where no home can take it.

        Raises
        ------
        HomeLost
            Where a home got the statement and didn't answer.
        """
        async for home, channel in self._channels_for(task):
            work = self._work(channel, action, task, number, begin)
            try:
                done = await channel.ask(work, self._patience_s(task))
            except HomeLost as lost:
                self._note_lost(home, channel, task, lost)
                if lost.sent:
                    self.roll_back(channel, task, number)
                    raise
                continue
            except BaseException:
                self.roll_back(channel, task, number)
                raise
            self.take(task.caller, home, done)
            if not may_go_elsewhere(done):
                return channel, done
            if self._note_refused(home, done) is not None:
                return channel, done
        return None

    async def go_on(
        self,
        channel: HomeChannel,
        task: ForwardedStatement,
        action: Action,
        number: int,
    ) -> Done:
        """Run another statement of a transaction at its home.

        Raises
        ------
        HomeLost
            Where it didn't answer.
        """
        work = self._work(channel, action, task, number)
        done = await channel.ask(work, self._patience_s(task))
        self.take(task.caller, None, done)
        return done

    def roll_back(
        self, channel: HomeChannel, task: ForwardedStatement, number: int
    ) -> None:
        """Let a home undo a transaction; don't wait for it."""
        work = self._work(channel, Action.ROLL_BACK, task, number)
        try:
            channel.tell(work)
        except HomeLost:
            # Its home undoes it when the connection ends.
            return

    def take(self, caller: Caller, home: VmAddress | None, done: Done) -> None:
        """Take in what a home tells besides the answer."""
        vm = "" if home is None else home.vm
        caller.state.trace.note_remote_run(vm, done.parts)
        caller.state.note_commit(done.written)

    def _note_refused(self, home: VmAddress, done: Done) -> Refusal | None:
        """Return a home's refusal unless it concerns that home alone."""
        if done.result.code.name not in _HOME_ALONE:
            return done.result
        self._homes.doubt(home.vm, self._clock.now())
        return None

    async def _channels_for(
        self, task: ForwardedStatement
    ) -> AsyncIterator[tuple[VmAddress, HomeChannel]]:
        """Yield connections to homes, the first choice first."""
        now = self._clock.now()
        homes = self._homes.order(
            task.route.group, task.caller.organisation, now
        )
        for home in homes[:MAX_HOMES]:
            try:
                channel = await self._channels.get(home)
            except HomeLost:
                self._homes.doubt(home.vm, self._clock.now())
                continue
            yield home, channel

    async def _ask_to_read(
        self, channel: HomeChannel, work: Work, task: ForwardedStatement
    ) -> Done:
        """Ask for a read; give up at a home that sends nothing at all."""
        until = self._clock.now() + self._patience_s(task)
        future = channel.send(work)
        try:
            return await self._await_read(channel, future, until)
        finally:
            channel.forget(work)

    async def _await_read(
        self, channel: HomeChannel, future: Future, until: float
    ) -> Done:
        while True:
            asked_at = self._clock.now()
            left_s = until - asked_at
            if left_s <= 0.0:
                raise HomeLost("no answer in time", sent=True)
            await wait({future}, timeout=min(SILENT_S, left_s))
            if future.done():
                return future.result()
            # Homes that are overloaded are silent as well: without a bound
            # each of their reads would be asked for several times.
            if channel.heard_at < asked_at and self._budget.spend():
                raise HomeLost("silent", sent=True)

    def _note_lost(
        self,
        home: VmAddress,
        channel: HomeChannel,
        task: ForwardedStatement,
        lost: HomeLost,
    ) -> None:
        log_event(
            "home-lost",
            home=home.vm,
            request=task.statement.request,
            sent=lost.sent,
            detail=lost.detail,
        )
        now = self._clock.now()
        self._homes.doubt(home.vm, now)
        if now - channel.heard_at >= BROKEN_S:
            channel.close()

    def _work(
        self,
        channel: HomeChannel,
        action: Action,
        task: ForwardedStatement,
        transaction: int = 0,
        begin: Statement | None = None,
    ) -> Work:
        state = task.caller.state
        shape = None
        if task.statement.kind is StatementKind.EXECUTE:
            shape = state.shape_of(task.statement.name)
        return Work(
            channel.next_number(),
            action,
            transaction,
            task.caller.organisation,
            task.route,
            task.sync_replicas,
            task.statement,
            shape,
            begin,
            state.values_by_name,
            state.written,
            self._clock.now() - task.arrived_at,
        )

    def _patience_s(self, task: ForwardedStatement) -> float:
        until = task.arrived_at + task.route.timeout_s
        return max(0.0, until - self._clock.now()) + MARGIN_S


def may_go_elsewhere(done: Done) -> bool:
    """Say whether another home may do better, and nothing has run."""
    result = done.result
    if not isinstance(result, Refusal) or done.parts.may_have_run:
        return False
    if result.code.outcome is not Outcome.NOT_RUN:
        return False
    return result.code.name in _ELSEWHERE
