"""Serve interactive transactions: pinned to one connection each."""

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


class Committed(NamedTuple):
    """A commit's result and position."""

    result: StatementResult
    position: Position


class Transaction:
    """An open transaction: its group and its own connection."""

    def __init__(self, group: str, connection: TargetConnection) -> None:
        self.group = group
        self.connection = connection


class Transactions:
    """Begins, carries and ends transactions.

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

    async def begin(
        self, request: Request, sql: str
    ) -> Result[Transaction, Refusal | MemberError]:
        """Open a transaction on the group's primary."""
        primary = self._directory.primary(request.group)
        if primary is None:
            return Error(Refusal(Code.NO_PRIMARY, retry_after_ms=500))
        try:
            connection = await self._pool.acquire(primary)
            await connection.execute(sql, self._remaining(request))
        except TargetError as error:
            return Error(MemberError(error.number, error.message))
        except TargetLost:
            return Error(Refusal(Code.TARGET_LOST, retry_after_ms=500))
        return Ok(Transaction(request.group, connection))

    async def execute(
        self, transaction: Transaction, request: Request, sql: str
    ) -> Result[StatementResult, Refusal | MemberError]:
        """Run a statement inside a transaction.

        A refusal means that the transaction is gone.
        """
        try:
            return Ok(
                await transaction.connection.execute(
                    sql, self._remaining(request)
                )
            )
        except TargetError as error:
            return Error(MemberError(error.number, error.message))
        except TargetLost:
            await transaction.connection.close()
            return Error(Refusal(Code.TRANSACTION_ROLLED_BACK))

    async def commit(
        self, transaction: Transaction, request: Request
    ) -> Result[Committed, Refusal | MemberError]:
        """Commit; the transaction is gone whatever the answer."""
        connection = transaction.connection
        try:
            result = await connection.execute(
                "COMMIT", self._remaining(request)
            )
            position = await connection.position()
        except TargetError as error:
            await connection.close()
            return Error(MemberError(error.number, error.message))
        except TargetLost:
            await connection.close()
            return Error(Refusal(Code.COMMIT_UNKNOWN))
        await self._pool.release(connection, clean=False)
        confirmed = await self._confirmer.confirm(
            transaction.group, position, _CONFIRM_S
        )
        if not confirmed:
            return Error(Refusal(Code.NOT_CONFIRMED))
        return Ok(Committed(result, position))

    async def rollback(self, transaction: Transaction) -> None:
        """Undo a transaction, at the latest by closing its connection."""
        try:
            await transaction.connection.execute("ROLLBACK", 1.0)
        except (TargetError, TargetLost):
            await transaction.connection.close()
            return
        await self._pool.release(transaction.connection, clean=False)

    def _remaining(self, request: Request) -> float:
        return max(0.0, request.deadline_at - self._clock.now())
