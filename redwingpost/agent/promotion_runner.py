"""Carry out one promotion: send the election's commands to the members."""

from asyncio import Queue, Task, create_task, sleep
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from loguru import logger

from redwingpost.agent.probe import MemberProbe
from redwingpost.core import GroupView
from redwingpost.ports import TargetError, TargetLost
from redwingpost.promotion import (
    Abort,
    Announce,
    Candidate,
    ClaimAnswer,
    Command,
    Event,
    MemberFailed,
    PromoteAnswer,
    SendClaim,
    SendFollow,
    SendPromote,
    StartTimer,
    TimerFired,
    start,
    step,
)

#: Timeout (seconds) of one claim and of one order to follow. The
#: election's own timers are shorter or end the election.
CONTROL_TIMEOUT_S = 1.0

#: Timeout (seconds) of a promotion; the election's timer expires first.
PROMOTE_TIMEOUT_S = 12.0


class PromotionRunner:
    """Runs one election over control connections to the members.

    Parameters
    ----------
    group : str
        The database group.
    claimant : str
        Identifier of this election, never used by another one.
    probes_by_member : mapping
        Probes, whose control connections are used.
    publish : callable
        Called with the view that names the new primary.
    """

    def __init__(
        self,
        group: str,
        claimant: str,
        probes_by_member: Mapping[str, MemberProbe],
        publish: Callable[[GroupView], None],
    ) -> None:
        self._group = group
        self._claimant = claimant
        self._probes_by_member = dict(probes_by_member)
        self._publish = publish
        self._events: Queue[Event] = Queue()
        self._tasks: set[Task] = set()

    async def run(
        self, candidates: tuple[Candidate, ...], term: int
    ) -> Announce | Abort:
        """Run the election and return the command that ended it."""
        election, commands = start(candidates, term)
        try:
            while True:
                for command in commands:
                    self._execute(command)
                final = [
                    c for c in commands if isinstance(c, Announce | Abort)
                ]
                if final:
                    await self._send_follows(commands)
                    return final[0]
                event = await self._events.get()
                election, commands = step(election, event)
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    def _execute(self, command: Command) -> None:
        if isinstance(command, SendClaim):
            self._spawn(self._claim(command))
        elif isinstance(command, SendPromote):
            self._spawn(self._promote(command))
        elif isinstance(command, StartTimer):
            self._spawn(self._wait(command))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wait(self, command: StartTimer) -> None:
        await sleep(command.seconds)
        await self._events.put(TimerFired(command.timer))

    async def _claim(self, command: SendClaim) -> None:
        probe = self._probes_by_member[command.member]
        try:
            connection = await probe.take_connection()
            answer = await connection.claim(
                command.term, self._claimant, CONTROL_TIMEOUT_S
            )
        except (TargetError, TargetLost):
            await self._events.put(MemberFailed(command.member))
            return
        await probe.return_connection(connection)
        await self._events.put(
            ClaimAnswer(
                command.member,
                answer.ok,
                answer.promised_term,
                answer.received,
                answer.applied,
            )
        )

    async def _promote(self, command: SendPromote) -> None:
        probe = self._probes_by_member[command.member]
        try:
            connection = await probe.take_connection()
            answer = await connection.promote(
                command.term, self._claimant, PROMOTE_TIMEOUT_S
            )
            status = await connection.status(CONTROL_TIMEOUT_S)
        except (TargetError, TargetLost) as lost:
            logger.warning("promotion of {} failed: {}", command.member, lost)
            await self._events.put(PromoteAnswer(command.member, False))
            return
        await probe.return_connection(connection)
        if answer.ok:
            self._publish(
                GroupView(
                    self._group, command.term, command.member, status.history
                )
            )
        await self._events.put(
            PromoteAnswer(command.member, answer.ok, answer.first)
        )

    async def _send_follows(self, commands: tuple[Command, ...]) -> None:
        """Order the other members to follow; observers retry failures."""
        for command in commands:
            if isinstance(command, SendFollow):
                self._spawn(self._follow(command))
        # An unreachable member must not delay the next promotion.
        await sleep(0.05)

    async def _follow(self, command: SendFollow) -> None:
        primary = self._probes_by_member[command.primary].address
        await send_follow(
            self._probes_by_member[command.member], command.term, primary
        )


async def send_follow(probe: MemberProbe, term: int, primary: Any) -> bool:
    """Order a member to follow ``primary``; False if it did not accept."""
    try:
        connection = await probe.take_connection()
        accepted = await connection.follow(term, primary, CONTROL_TIMEOUT_S)
    except (TargetError, TargetLost):
        return False
    await probe.return_connection(connection)
    return accepted
