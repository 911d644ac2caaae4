"""Serve autocommit writes: on the primary, acknowledged when proven."""

from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import (
    Code,
    MemberError,
    Position,
    Refusal,
    Request,
)
from redwingpost.ports import (
    Clock,
    StatementResult,
    TargetConnection,
    TargetError,
    TargetLost,
)
from redwingpost.proxy.confirm import Confirmer
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.pools import ConnectionPool

#: Seconds to wait for a second member before the answer is "unknown".
_CONFIRM_S = 2.0


class WriteAnswer(NamedTuple):
    """A write's result and the position it was committed at."""

    result: StatementResult
    position: Position


class Writer:
    """Runs autocommit writes.

    Parameters
    ----------
    directory, pool, confirmer, clock
        The proxy's parts.
    """

    def __init__(
        self,
        directory: Directory,
        pool: ConnectionPool,
        confirmer: Confirmer,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._confirmer = confirmer
        self._clock = clock

    async def write(
        self, request: Request, sql: str
    ) -> Result[WriteAnswer, Refusal | MemberError]:
        """Run one autocommit write."""
        primary = self._directory.primary(request.group)
        if primary is None:
            return Error(Refusal(Code.NO_PRIMARY, retry_after_ms=500))
        try:
            connection = await self._pool.acquire(primary)
        except (TargetError, TargetLost):
            return Error(Refusal(Code.TARGET_LOST, retry_after_ms=500))
        remaining = request.deadline_at - self._clock.now()
        try:
            answer = await self._commit(connection, sql, remaining)
        except TargetError as error:
            await self._pool.release(connection, clean=False)
            return Error(MemberError(error.number, error.message))
        except TargetLost as lost:
            await connection.close()
            code = Code.OUTCOME_UNKNOWN if lost.sent else Code.TARGET_LOST
            return Error(Refusal(code))
        await self._pool.release(connection, clean=True)
        return await self._acknowledge(request, answer)

    async def _commit(
        self, connection: TargetConnection, sql: str, timeout: float
    ) -> WriteAnswer:
        result = await connection.execute(sql, timeout)
        return WriteAnswer(result, await connection.position())

    async def _acknowledge(
        self, request: Request, answer: WriteAnswer
    ) -> Result[WriteAnswer, Refusal]:
        confirmed = await self._confirmer.confirm(
            request.group, answer.position, _CONFIRM_S
        )
        if not confirmed:
            return Error(Refusal(Code.NOT_CONFIRMED))
        return Ok(answer)
