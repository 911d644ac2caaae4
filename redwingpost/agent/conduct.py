"""Carry out one promotion: the election's commands over connections."""

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

#: Seconds for one claim and for one order to follow; the election's own
#: timers are shorter or end it.
CONTROL_TIMEOUT_S = 1.0

#: Seconds for a promotion; the election's timer gives up before it.
PROMOTE_TIMEOUT_S = 12.0


class Conductor:
    """Runs one election against real members.

    Parameters
    ----------
    group : str
        The database group.
    claimant : str
        A name that no other election ever uses.
    probes_by_member : mapping
        Control connections are taken from the probes.
    publish : callable
        Given the view of the new primary.
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
        """Run the election to its end."""
        election, commands = start(candidates, term)
        try:
            while True:
                for command in commands:
                    self._carry_out(command)
                ended = [
                    c for c in commands if isinstance(c, Announce | Abort)
                ]
                if ended:
                    await self._finish_follows(commands)
                    return ended[0]
                event = await self._events.get()
                election, commands = step(election, event)
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    def _carry_out(self, command: Command) -> None:
        if isinstance(command, SendClaim):
            self._spawn(self._claim(command))
        elif isinstance(command, SendPromote):
            self._spawn(self._promote(command))
        elif isinstance(command, StartTimer):
            self._spawn(self._wait(command))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = create_task(work)
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
        await probe.give_back(connection)
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
            logger.warning("promotion of {}: {}", command.member, lost)
            await self._events.put(PromoteAnswer(command.member, False))
            return
        await probe.give_back(connection)
        if answer.ok:
            self._publish(
                GroupView(
                    self._group, command.term, command.member, status.history
                )
            )
        await self._events.put(
            PromoteAnswer(command.member, answer.ok, answer.first)
        )

    async def _finish_follows(self, commands: tuple[Command, ...]) -> None:
        """Tell the others at once; the observers repeat what fails."""
        for command in commands:
            if isinstance(command, SendFollow):
                self._spawn(self._follow(command))
        # A member that is away must not hold the next promotion up.
        await sleep(0.05)

    async def _follow(self, command: SendFollow) -> None:
        primary = self._probes_by_member[command.primary].address
        await send_follow(
            self._probes_by_member[command.member], command.term, primary
        )


async def send_follow(probe: MemberProbe, term: int, primary: Any) -> bool:
    """Tell a member to follow; False where it didn't accept."""
    try:
        connection = await probe.take_connection()
        accepted = await connection.follow(term, primary, CONTROL_TIMEOUT_S)
    except (TargetError, TargetLost):
        return False
    await probe.give_back(connection)
    return accepted
