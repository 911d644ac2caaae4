"""Run interactive transactions, each pinned to one connection."""

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
from redwingpost.proxy.attempts import Committed, Failed, failed_from_error
from redwingpost.proxy.targets import TargetPool
from redwingpost.proxy.view_watch import ViewWatch
from redwingpost.proxy.writes import Writer, WriteAnswer
from redwingpost.retries.table import Action, Failure, RequestClass, next_step

#: Timeout of a ROLLBACK (seconds); after it the connection is closed,
#: which rolls back as well.
ROLLBACK_TIMEOUT_S = 1.0

_ROLLBACK_REASON_BY_FAILURE = {
    Failure.NOT_SENT: "the connection to the target was lost",
    Failure.NO_ANSWER: "the target did not answer",
    Failure.DEADLINE: "the deadline passed",
    Failure.READ_ONLY: "the primary was replaced",
    Failure.SHUTTING_DOWN: "the target is shutting down",
    Failure.DROPPED: "a promotion dropped it",
}


_DEADLOCK = 1213


def ends_transaction(error: Refusal | MemberError) -> bool:
    """Return whether a statement's error ended its transaction.

    The target rolls back a deadlock's victim. Later statements on the
    same connection would run outside the transaction and commit at once.
    """
    return isinstance(error, Refusal) or error.number == _DEADLOCK


class Transaction(NamedTuple):
    """An open transaction: its group, term and pinned connection."""

    group: str
    term: int
    connection: TargetConnection


class Transactions:
    """Begins, runs and ends transactions.

    The target rolls back a transaction whose connection is lost. A
    transaction whose caller has disconnected is rolled back here, so that
    its locks block no other callers.

    Parameters
    ----------
    writer : Writer
        Opens transactions, with retries, and confirms commits.
    pool, views, clock
        Shared components of the proxy.
    """

    def __init__(
        self,
        writer: Writer,
        pool: TargetPool,
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

        Nothing has run yet, so failures are retried as for a write that
        wasn't sent.
        """
        opened = await self._writer.open_transaction(request, sql)
        if opened.is_error():
            return opened
        connection, term = opened.ok
        return Ok(Transaction(request.group, term, connection))

    async def execute(
        self, transaction: Transaction, request: Request, sql: str
    ) -> Result[StatementResult, Refusal | MemberError]:
        """Run a statement inside a transaction.

        A refusal means that the transaction has ended.
        """
        group, term, connection = transaction
        try:
            with self._views.guard(connection, group, term):
                result = await connection.execute(
                    sql, self._remaining(request)
                )
        except TargetError as error:
            return await self._handle_failure(
                transaction,
                RequestClass.IN_TRANSACTION,
                failed_from_error(error),
            )
        except TargetLost:
            failed = Failed(self._loss_failure(request, Failure.NO_ANSWER))
            return await self._handle_failure(
                transaction, RequestClass.IN_TRANSACTION, failed
            )
        return Ok(result)

    async def commit(
        self, transaction: Transaction, request: Request
    ) -> Result[WriteAnswer, Refusal | MemberError]:
        """Commit; the transaction has ended whatever the answer."""
        outcome = await self._commit(transaction, request)
        if isinstance(outcome, Failed):
            return await self._handle_failure(
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
                return failed_from_error(error)
            except TargetLost as lost:
                failure = Failure.NO_ANSWER if lost.sent else Failure.NOT_SENT
                return Failed(failure)
            try:
                return Committed(result, await connection.position())
            except (TargetError, TargetLost):
                return Failed(Failure.NOT_CONFIRMED)

    def _loss_failure(self, request: Request, failure: Failure) -> Failure:
        deadline_passed = self._remaining(request) <= 0
        return Failure.DEADLINE if deadline_passed else failure

    async def _handle_failure(
        self,
        transaction: Transaction,
        request_class: RequestClass,
        failed: Failed,
    ) -> Result[StatementResult, Refusal | MemberError]:
        step = next_step(request_class, failed.failure, can_retry=False)
        if step.action is Action.PASS_ERROR:
            if request_class is RequestClass.COMMIT or ends_transaction(
                failed.error
            ):
                await self._pool.drop(transaction.connection)
            return Error(failed.error)
        await self._pool.drop(transaction.connection)
        reason = _ROLLBACK_REASON_BY_FAILURE.get(failed.failure, "")
        code = step.code or Code.TRANSACTION_ROLLED_BACK
        rolled_back = code is Code.TRANSACTION_ROLLED_BACK
        detail = f"rolled back: {reason}" if rolled_back and reason else ""
        return Error(Refusal(code, detail))

    async def rollback(self, transaction: Transaction) -> None:
        """Roll back; close the connection if the ROLLBACK fails."""
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
