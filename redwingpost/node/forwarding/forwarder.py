"""Forwarding of a caller's statements to the homes of their group.

Failures at a home are reported as exactly as failures at a member. A
statement that a home never received, or refused without running it, is sent
to the next home, within the retry budget. A read whose home doesn't answer
is sent to another one; it may run twice, which has no effect. A write whose
home doesn't answer has an unknown outcome. A transaction ends with the
connection to its home: without COMMIT it is rolled back. A statement that
all homes report not to run in time is refused; if no home can be reached, it
runs on this VM.
"""

from asyncio import Future, wait
from collections.abc import AsyncIterator, Callable
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
from redwingpost.node.forwarding.local_loads import LocalLoads
from redwingpost.node.forwarding.messages import Action, Done, Work
from redwingpost.node.forwarding.placer import (
    HomePlacer,
    StatementPlace,
    requires_primary,
)
from redwingpost.node.request.attempt import Caller
from redwingpost.node.request.reads import Result
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.retries.budget import RetryBudget

#: Homes to try for one statement before it runs on this VM.
MAX_HOMES = 3

#: Seconds for which a home may send no message at all while a read waits
#: there, before another home is tried: far above a member's usual response
#: time.
READ_SILENCE_S = 0.5

#: Seconds without a message after which a connection is closed as broken.
#: With a shorter time all statements at an overloaded home would be lost.
CHANNEL_SILENCE_S = 2.0

#: Seconds to wait beyond a statement's own timeout for the home's answer.
ANSWER_MARGIN_S = 0.3

#: Codes with which a home refuses any new statement.
_REFUSED_BY_HOME = frozenset({Code.DRAINING.name, Code.STARTING.name})

#: Codes after which another home may succeed.
_RETRYABLE_ELSEWHERE = _REFUSED_BY_HOME | {
    Code.NO_PRIMARY.name,
    Code.TARGET_LOST.name,
}


class ForwardedStatement(NamedTuple):
    """A statement with its caller and the rules for running it."""

    statement: Statement
    caller: Caller
    route: RouteRule
    sync_replicas: int
    arrived_at: float

    @property
    def deadline(self) -> float:
        """When the route's timeout ends (seconds).

        From then on no home sends the statement to a member.
        """
        return self.arrived_at + self.route.timeout_s


class Forwarder:
    """Sends statements to homes; shared by all sessions of a node."""

    def __init__(
        self,
        homes: HomeView,
        channels: Channels,
        clock: Clock,
        local_loads: LocalLoads,
        note_placement: Callable[
            [str, str], None
        ] = lambda group, choice: None,
    ) -> None:
        self._homes = homes
        self._channels = channels
        self._clock = clock
        self._placer = HomePlacer(
            homes, channels.reports, local_loads, clock, note_placement
        )
        self._budget = RetryBudget()
        self._transactions = count(1)

    def has_home_elsewhere(self, route: RouteRule, organisation: str) -> bool:
        """Return whether another VM may run a statement as home."""
        now = self._clock.now()
        subject = route.group, organisation, now, route.regions
        if not self._homes.places_by_load(route.group):
            return bool(self._homes.homes_to_try(*subject))
        ranked = self._homes.ranked_homes(*subject)
        return any(address.vm != self._homes.vm for address in ranked)

    def next_transaction(self) -> int:
        """Return a new transaction number, unique on this VM."""
        return next(self._transactions)

    async def run_alone(self, task: ForwardedStatement) -> Result | None:
        """Run a statement outside a transaction at a home.

        Returns
        -------
        Result or None
            None if this VM is to run it: as home, or as no home can be
            reached.
        """
        self._budget.earn()
        is_write = bool(task.caller.state.writes(task.statement))
        placed = self._place(task, None)
        last_refusal = placed.refusal
        async for home, channel in self._channels_for(task, placed):
            if channel is None:
                return None
            work = self._work(channel, Action.ALONE, task)
            try:
                if is_write:
                    done = await channel.request(work, self._timeout_s(task))
                else:
                    done = await self._request_read(
                        channel, work, task, placed
                    )
            except HomeLost as lost:
                self._note_lost(home, channel, task, lost)
                if not lost.sent:
                    continue
                task.caller.state.trace.note_sent()
                task.caller.state.note_in_doubt(task.deadline, is_write)
                if is_write:
                    return Refusal(Code.OUTCOME_UNKNOWN, lost.detail)
                continue
            self.note_outcome(task, home, done)
            if not may_retry_elsewhere(done):
                return done.result
            last_refusal = self._note_refused(home, task, placed, done)
        is_late = task.deadline <= self._clock.now()
        if last_refusal is not None or not is_late:
            return last_refusal
        if task.caller.state.trace.may_have_run:
            return Refusal(Code.TIMED_OUT, "no home answered")
        return Refusal(Code.TARGET_LOST, "no home was reached in time", 100)

    async def open_transaction(
        self,
        task: ForwardedStatement,
        begin: Statement,
        action: Action,
        number: int,
    ) -> tuple[HomeChannel, Done] | Refusal | None:
        """Begin a transaction with its first statement at a home.

        Returns
        -------
        tuple, Refusal or None
            The home's connection and the statement's outcome; the refusal
            of a statement that no home can run; None if this VM is to run
            it: as home, or as no home can be reached.

        Raises
        ------
        HomeLost
            If a home may have received the statement and didn't answer.
        """
        self._budget.earn()
        placed = self._place(task, begin)
        if placed.refusal is not None:
            return placed.refusal
        last: tuple[HomeChannel, Done] | None = None
        async for home, channel in self._channels_for(task, placed):
            if channel is None:
                return None
            work = self._work(channel, action, task, number, begin)
            try:
                done = await channel.request(work, self._timeout_s(task))
            except HomeLost as lost:
                self._note_lost(home, channel, task, lost)
                if lost.sent:
                    self.roll_back(channel, task, number)
                    raise
                continue
            except BaseException:
                self.roll_back(channel, task, number)
                raise
            self.note_outcome(task, home, done)
            if not may_retry_elsewhere(done) or not done.is_over:
                return channel, done
            if self._note_refused(home, task, placed, done) is not None:
                last = channel, done
        return last

    async def continue_transaction(
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
            If the home didn't answer.
        """
        work = self._work(channel, action, task, number)
        done = await channel.request(work, self._timeout_s(task))
        self.note_outcome(task, None, done)
        return done

    def roll_back(
        self, channel: HomeChannel, task: ForwardedStatement, number: int
    ) -> None:
        """Order a home to roll a transaction back, without waiting."""
        work = self._work(channel, Action.ROLL_BACK, task, number)
        try:
            channel.send_without_reply(work)
        except HomeLost:
            # The home rolls it back when the connection ends.
            return

    def note_outcome(
        self, task: ForwardedStatement, home: VmAddress | None, done: Done
    ) -> None:
        """Record a home's trace and commit position for the session."""
        vm = "" if home is None else home.vm
        state = task.caller.state
        state.trace.note_remote_run(vm, done.parts)
        state.note_commit(task.route.group, done.written)

    def _note_refused(
        self,
        home: VmAddress,
        task: ForwardedStatement,
        placed: StatementPlace,
        done: Done,
    ) -> Refusal | None:
        """Return a home's refusal, or None if it concerns that home alone."""
        now = self._clock.now()
        if done.result.code.name == Code.NO_PRIMARY.name:
            self._channels.reports.note_unable(
                home.vm, task.route.group, placed.needs_primary, now
            )
        if done.result.code.name not in _REFUSED_BY_HOME:
            return done.result
        self._homes.mark_suspect(home.vm, now)
        return None

    def _place(
        self, task: ForwardedStatement, begin: Statement | None
    ) -> StatementPlace:
        is_write = bool(task.caller.state.writes(task.statement))
        return self._placer.place(
            task.route,
            task.caller.organisation,
            requires_primary(task.route, is_write, begin),
            task.deadline - self._clock.now(),
        )

    async def _channels_for(
        self, task: ForwardedStatement, placed: StatementPlace
    ) -> AsyncIterator[tuple[VmAddress, HomeChannel | None]]:
        """Yield connections to the homes to try, the best first.

        The connection is None for this VM. Each home after the first takes
        a token of the retry budget.
        """
        for position, home in enumerate(placed.homes[:MAX_HOMES]):
            if position > 0 and self._clock.now() >= task.deadline:
                return
            if position > 0 and placed.is_by_load:
                group = task.route.group
                if not self._placer.can_run(home, group, placed.needs_primary):
                    continue
                if not self._budget.spend():
                    return
            if home.vm == self._homes.vm:
                yield home, None
                return
            try:
                channel = await self._channels.get(home)
            except HomeLost:
                self._note_unreachable(home)
                continue
            yield home, channel

    def _note_unreachable(self, home: VmAddress) -> None:
        now = self._clock.now()
        self._homes.mark_suspect(home.vm, now)
        self._channels.reports.note_unreachable(home.vm, now)

    async def _request_read(
        self,
        channel: HomeChannel,
        work: Work,
        task: ForwardedStatement,
        placed: StatementPlace,
    ) -> Done:
        """Request a read; fail early if the home sends no message at all."""
        until = self._clock.now() + self._timeout_s(task)
        future = channel.send(work)
        try:
            return await self._await_read(channel, future, until, placed)
        except BaseException:
            self._withdraw(channel, work)
            raise
        finally:
            channel.discard(work)

    def _withdraw(self, channel: HomeChannel, read: Work) -> None:
        """Order a home not to send a read to a member any more.

        The caller may have other session values when the home resumes.
        """
        order = read._replace(
            number=channel.next_number(),
            action=Action.ROLL_BACK,
            transaction=0,
            withdrawn=read.number,
        )
        try:
            channel.send_without_reply(order)
        except HomeLost:
            # The home cancels the read when the connection ends.
            return

    async def _await_read(
        self,
        channel: HomeChannel,
        future: Future,
        until: float,
        placed: StatementPlace,
    ) -> Done:
        while True:
            waiting_since = self._clock.now()
            remaining_s = until - waiting_since
            if remaining_s <= 0.0:
                raise HomeLost("no answer in time", sent=True)
            await wait({future}, timeout=min(READ_SILENCE_S, remaining_s))
            if future.done():
                return future.result()
            # An overloaded home also sends nothing. Without the retry
            # budget each of its reads would be sent several times.
            if channel.last_received_at < waiting_since and self._may_retry(
                placed
            ):
                raise HomeLost("silent", sent=True)

    def _may_retry(self, placed: StatementPlace) -> bool:
        """Return whether the retry budget allows another home.

        Where statements are placed by load, that home takes the token.
        """
        if placed.is_by_load:
            return self._budget.tokens >= 1.0
        return self._budget.spend()

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
        self._homes.mark_suspect(home.vm, now)
        if now - channel.last_received_at >= CHANNEL_SILENCE_S:
            channel.close()
        if not channel.is_open:
            self._note_unreachable(home)

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
            state.written_in(task.route.group),
            self._clock.now() - task.arrived_at,
            expires_at=channel.to_home_clock(task.deadline),
            key=task.caller.key,
            rules_version=task.caller.version,
        )

    def _timeout_s(self, task: ForwardedStatement) -> float:
        return max(0.0, task.deadline - self._clock.now()) + ANSWER_MARGIN_S


def may_retry_elsewhere(done: Done) -> bool:
    """Return whether another home may succeed and nothing has run."""
    result = done.result
    if not isinstance(result, Refusal) or done.parts.may_have_run:
        return False
    if result.code.outcome is not Outcome.NOT_RUN:
        return False
    return result.code.name in _RETRYABLE_ELSEWHERE
