"""Probe one member of a database group over control connections."""

from asyncio import Task, create_task
from typing import Any

from redwingpost.core import MemberAddress
from redwingpost.ports import (
    Clock,
    MemberStatus,
    TargetDialler,
    TargetError,
    TargetLost,
)
from redwingpost.promotion import (
    FRESH_CONNECTION_S,
    MemberObservation,
    SilenceMeter,
    leads,
)

#: Timeout of a probe (seconds). A member that takes longer counts as
#: silent by every rule of ``redwingpost.promotion.detection``.
PROBE_TIMEOUT_S = 1.0

#: Concurrent probes: the ordinary one, one on a new connection, and a
#: third while the first two wait for their timeouts.
_MAX_PROBES = 3


class MemberProbe:
    """Probes one member and keeps its last status.

    Parameters
    ----------
    address : MemberAddress
        The member's name and address.
    dialler : TargetDialler
        Opens control connections.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, address: MemberAddress, dialler: TargetDialler, clock: Clock
    ) -> None:
        self.address = address
        self.status: MemberStatus | None = None
        self._dialler = dialler
        self._clock = clock
        self._meter = SilenceMeter(clock.now())
        self._idle: Any = None
        self._started_at = float("-inf")
        self._tasks: set[Task] = set()

    def silent_s(self) -> float:
        """Return how long the member has not answered (seconds)."""
        return self._meter.silent_s(self._clock.now())

    def observation(self) -> MemberObservation:
        """Return the observation to report to other observers."""
        status = self.status
        if status is None:
            return MemberObservation(self.address.member, self.silent_s())
        return MemberObservation(
            self.address.member,
            self.silent_s(),
            status.promised_term,
            leads(status),
            status.age_ms / 1000 + self.silent_s(),
        )

    def tick(self) -> None:
        """Start a probe unless enough of them are running.

        While one hangs, another uses a new connection: the first may
        only be waiting for TCP's retransmission timer.
        """
        now = self._clock.now()
        self._meter.tick(now)
        waited = now - self._started_at >= FRESH_CONNECTION_S
        if not self._tasks or (waited and len(self._tasks) < _MAX_PROBES):
            self._started_at = now
            task = create_task(self._probe())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self) -> None:
        connection = None
        try:
            connection = await self.take_connection()
            self.status = await connection.status(PROBE_TIMEOUT_S)
        except (TargetError, TargetLost):
            if connection is not None:
                await connection.close()
            return
        self._meter.answered(self._clock.now())
        await self.return_connection(connection)

    async def take_connection(self) -> Any:
        """Return a control connection for the caller's exclusive use."""
        idle, self._idle = self._idle, None
        if idle is not None and idle.usable:
            return idle
        return await self._dialler.dial(self.address, PROBE_TIMEOUT_S)

    async def return_connection(self, connection: Any) -> None:
        """Keep the newest connection idle: it is least likely to be dead."""
        if self._idle is not None:
            await self._idle.close()
        self._idle = connection

    async def close(self) -> None:
        """Cancel the probes and close the idle connection."""
        for task in tuple(self._tasks):
            task.cancel()
        if self._idle is not None:
            await self._idle.close()
            self._idle = None
