"""Serve interactive transactions: pinned to one connection each."""

from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import (
    Code,
    MemberError,
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
from redwingpost.proxy.attempts import Committed, Failed, failed_by
from redwingpost.proxy.targets import Targets
from redwingpost.proxy.view_watch import ViewWatch
from redwingpost.proxy.writes import Writer, WriteAnswer
from redwingpost.retries.table import Action, Failure, RequestClass, next_step

#: Seconds that a ROLLBACK may take; then closing the connection does it.
ROLLBACK_TIMEOUT_S = 1.0

_LOST_WHY_BY_FAILURE = {
    Failure.NOT_SENT: "the connection to the target was lost",
    Failure.NO_ANSWER: "the target did not answer",
    Failure.DEADLINE: "the deadline passed",
    Failure.READ_ONLY: "the primary was replaced",
    Failure.SHUTTING_DOWN: "the target is shutting down",
    Failure.DROPPED: "a promotion dropped it",
}


_DEADLOCK = 1213


def is_over(error: Refusal | MemberError) -> bool:
    """Say whether a statement's error ended its transaction.

    A deadlock's victim was rolled back by the target: what came after it
    on the same connection would commit by itself.
    """
    return isinstance(error, Refusal) or error.number == _DEADLOCK


class Transaction(NamedTuple):
    """An open transaction: its group, term and own connection."""

    group: str
    term: int
    connection: TargetConnection


class Transactions:
    """Begins, carries and ends transactions.

    A transaction that loses its connection is rolled back by the target,
    and one whose caller has gone is rolled back here, so that its locks
    hold nobody up.

    Parameters
    ----------
    writer : Writer
        Confirms commits and opens transactions with its retries.
    pool, views, clock
        The proxy's parts.
    """

    def __init__(
        self,
        writer: Writer,
        pool: Targets,
        views: ViewWatch,
        clock: Clock,
    ) -> None:
        self._writer = writer
        self._pool = pool
        self._views = views
        self._clock = clock

    async def begin(
        self, request: Request, sql: str
    ) -> Result[Transaction, Refusal | MemberError]:
        """Open a transaction on the group's primary.

        Nothing has run yet, so a failure is retried like a write that
        wasn't sent.
        """
        opened = await self._writer.open(request, sql)
        if opened.is_error():
            return opened
        connection, term = opened.ok
        return Ok(Transaction(request.group, term, connection))

    async def execute(
        self, transaction: Transaction, request: Request, sql: str
    ) -> Result[StatementResult, Refusal | MemberError]:
        """Run a statement inside a transaction.

        A refusal means that the transaction is gone.
        """
        group, term, connection = transaction
        try:
            with self._views.guard(connection, group, term):
                result = await connection.execute(
                    sql, self._remaining(request)
                )
        except TargetError as error:
            return await self._failed(
                transaction, RequestClass.IN_TRANSACTION, failed_by(error)
            )
        except TargetLost:
            failed = Failed(self._failure(request, Failure.NO_ANSWER))
            return await self._failed(
                transaction, RequestClass.IN_TRANSACTION, failed
            )
        return Ok(result)

    async def commit(
        self, transaction: Transaction, request: Request
    ) -> Result[WriteAnswer, Refusal | MemberError]:
        """Commit; the transaction is gone whatever the answer."""
        outcome = await self._commit(transaction, request)
        if isinstance(outcome, Failed):
            return await self._failed(
                transaction, RequestClass.COMMIT, outcome
            )
        await self._pool.release(transaction.connection, clean=False)
        return await self._writer.acknowledge_commit(request, outcome)

    async def _commit(
        self, transaction: Transaction, request: Request
    ) -> Committed | Failed:
        group, term, connection = transaction
        with self._views.guard(connection, group, term):
            try:
                result = await connection.execute(
                    "COMMIT", self._remaining(request)
                )
            except TargetError as error:
                return failed_by(error)
            except TargetLost as lost:
                sent = Failure.NO_ANSWER if lost.sent else Failure.NOT_SENT
                return Failed(sent)
            try:
                return Committed(result, await connection.position())
            except (TargetError, TargetLost):
                return Failed(Failure.NOT_CONFIRMED)

    def _failure(self, request: Request, failure: Failure) -> Failure:
        late = self._remaining(request) <= 0
        return Failure.DEADLINE if late else failure

    async def _failed(
        self,
        transaction: Transaction,
        request_class: RequestClass,
        failed: Failed,
    ) -> Result[StatementResult, Refusal | MemberError]:
        step = next_step(request_class, failed.failure, can_retry=False)
        if step.action is Action.PASS_ERROR:
            if request_class is RequestClass.COMMIT or is_over(failed.error):
                await self._pool.drop(transaction.connection)
            return Error(failed.error)
        await self._pool.drop(transaction.connection)
        why = _LOST_WHY_BY_FAILURE.get(failed.failure, "")
        code = step.code or Code.TRANSACTION_ROLLED_BACK
        rolled_back = code is Code.TRANSACTION_ROLLED_BACK
        detail = f"rolled back: {why}" if rolled_back and why else ""
        return Error(Refusal(code, detail))

    async def rollback(self, transaction: Transaction) -> None:
        """Undo a transaction, at the latest by closing its connection."""
        try:
            await transaction.connection.execute(
                "ROLLBACK", ROLLBACK_TIMEOUT_S
            )
        except (TargetError, TargetLost):
            await self._pool.drop(transaction.connection)
            return
        await self._pool.release(transaction.connection, clean=False)

    def _remaining(self, request: Request) -> float:
        return max(0.0, request.deadline_at - self._clock.now())
