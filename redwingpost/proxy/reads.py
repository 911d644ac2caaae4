"""Serve reads: a replica proven fresh, else the primary, confirmed."""

from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import (
    Code,
    MemberAddress,
    MemberError,
    Position,
    Refusal,
    Request,
    ZERO_POSITION,
    lost_by,
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
from redwingpost.proxy.status_board import StatusBoard

#: Seconds to wait for a replica's proof that a primary still leads.
_CONFIRM_S = 1.0


class ReadAnswer(NamedTuple):
    """A read's result, who served it and until when (seconds).

    ``follows`` is a position the answer is known to include.
    """

    result: StatementResult
    member: str
    until: float
    follows: Position


class Reader:
    """Chooses a member for a read and runs it there.

    Parameters
    ----------
    directory, board, pool, confirmer, clock
        The proxy's parts.
    """

    def __init__(
        self,
        directory: Directory,
        board: StatusBoard,
        pool: ConnectionPool,
        confirmer: Confirmer,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._board = board
        self._pool = pool
        self._confirmer = confirmer
        self._clock = clock

    async def read(
        self, request: Request, sql: str
    ) -> Result[ReadAnswer, Refusal | MemberError]:
        """Run a read where its freshness is proven."""
        view = self._directory.view(request.group)
        if view is None:
            return Error(Refusal(Code.NO_PRIMARY, retry_after_ms=500))
        if request.after and lost_by(request.after, view.history):
            return Error(Refusal(Code.POSITION_LOST))
        for address in self._fresh_replicas(request):
            answer = await self._run(address, request, sql)
            if answer.is_ok() or isinstance(answer.error, MemberError):
                return answer
        return await self._read_primary(request, sql)

    def _fresh_replicas(self, request: Request) -> list[MemberAddress]:
        return [
            address
            for address in self._directory.replicas(request.group)
            if not self._directory.is_draining(address.member)
            and self._is_fresh(address, request)
        ]

    def _is_fresh(self, address: MemberAddress, request: Request) -> bool:
        observed = self._board.latest(address.member)
        if observed is None:
            return False
        if request.marks.max_staleness_ms:
            known_for = self._clock.now() - observed.asked_at
            age_ms = observed.status.age_ms + known_for * 1000
            return age_ms <= request.marks.max_staleness_ms
        if request.after is None:
            return False
        return observed.status.applied >= request.after

    async def _read_primary(
        self, request: Request, sql: str
    ) -> Result[ReadAnswer, Refusal | MemberError]:
        primary = self._directory.primary(request.group)
        if primary is None:
            return Error(Refusal(Code.NO_PRIMARY, retry_after_ms=500))
        answer = await self._run(primary, request, sql)
        if answer.is_error():
            return answer
        # A primary that was cut off and replaced still answers reads; a
        # session of unknown position would miss its newest writes there.
        # A replica of the same term proves that no other led meanwhile.
        view = self._directory.view(request.group)
        proof = Position(view.term, 0)
        if not await self._confirmer.confirm(request.group, proof, _CONFIRM_S):
            return Error(Refusal(Code.NOT_FRESH, retry_after_ms=200))
        return answer

    async def _run(
        self, address: MemberAddress, request: Request, sql: str
    ) -> Result[ReadAnswer, Refusal | MemberError]:
        known = self._board.applied(address.member)
        remaining = request.deadline_at - self._clock.now()
        try:
            connection = await self._pool.acquire(address)
            result = await self._execute(connection, sql, remaining)
        except TargetLost:
            return Error(Refusal(Code.TARGET_LOST, retry_after_ms=200))
        except TargetError as error:
            return Error(MemberError(error.number, error.message))
        follows = max(known, request.after or ZERO_POSITION)
        return Ok(
            ReadAnswer(result, address.member, self._clock.now(), follows)
        )

    async def _execute(
        self, connection: TargetConnection, sql: str, timeout: float
    ) -> StatementResult:
        clean = False
        try:
            result = await connection.execute(sql, timeout)
            clean = True
            return result
        finally:
            await self._pool.release(connection, clean)
