"""One attempt of an autocommit write on one connection."""

from typing import Any, NamedTuple

from redwingpost.core import MemberError, Position, Refusal
from redwingpost.ports import StatementResult, TargetError, TargetLost
from redwingpost.retries.idempotency import (
    create_table_sql,
    decode_record,
    fingerprint,
    insert_sql,
    resolve_duplicate,
    select_sql,
    update_sql,
)
from redwingpost.retries.table import Failure, failure_of_error

_DUPLICATE_ENTRY = 1062
_NO_SUCH_TABLE = 1146


class Committed(NamedTuple):
    """The primary committed, or had committed, the write.

    ``position`` has to be confirmed before anybody is told; for a
    duplicate it is the primary's head, which the record precedes.
    """

    result: StatementResult
    position: Position


class Failed(NamedTuple):
    """The attempt failed; ``error`` is the member's own, if any.

    ``position`` is set where the write committed nevertheless.
    ``on_record`` tells that another copy holds the key.
    """

    failure: Failure
    error: MemberError | None = None
    position: Position | None = None
    on_record: bool = False


Outcome = Committed | Failed | Refusal


class KeyedWrite(NamedTuple):
    """A write with its idempotency key; ``created`` in epoch seconds."""

    organisation: str
    idempotency_key: str
    sql: str
    created: int


def failed_by(error: TargetError) -> Failed:
    """Return the failure that a member's error stands for."""
    member_error = MemberError(error.number, error.message)
    return Failed(failure_of_error(error.number), member_error)


async def run_unkeyed(connection: Any, sql: str, timeout: float) -> Outcome:
    """Run a statement that commits by itself, once."""
    try:
        result = await connection.execute(sql, timeout)
    except TargetError as error:
        return failed_by(error)
    except TargetLost as lost:
        return Failed(Failure.NO_ANSWER if lost.sent else Failure.NOT_SENT)
    return await with_position(connection, result, timeout)


async def with_position(
    connection: Any, result: StatementResult, timeout: float
) -> Outcome:
    """Add the position of the commit that just succeeded."""
    try:
        return Committed(result, await connection.position())
    except (TargetError, TargetLost):
        return Failed(Failure.NOT_CONFIRMED)


async def run_keyed(
    connection: Any, write: KeyedWrite, timeout: float
) -> Outcome:
    """Run a statement and record its key in the same transaction.

    Nothing of it can last before COMMIT is sent, so that a loss up to
    there is known to have changed nothing.
    """
    print_ = fingerprint(write.sql)
    name = (write.organisation, write.idempotency_key)
    insert = insert_sql(*name, print_, write.created)
    try:
        await connection.execute("BEGIN", timeout)
        taken = await _take_key(connection, insert, timeout)
        if taken is not None:
            return await _duplicate(connection, write, taken, timeout)
        result = await connection.execute(write.sql, timeout)
        update = update_sql(*name, result.affected_rows, result.last_insert_id)
        await connection.execute(update, timeout)
    except TargetError as error:
        await _roll_back(connection)
        return failed_by(error)
    except TargetLost:
        return Failed(Failure.COMMIT_NOT_SENT)
    return await _commit(connection, result, timeout)


async def _take_key(
    connection: Any, insert: str, timeout: float
) -> TargetError | None:
    """Insert the record; return the error that says the key is taken."""
    try:
        await connection.execute(insert, timeout)
        return None
    except TargetError as error:
        if error.number == _NO_SUCH_TABLE:
            await connection.execute("ROLLBACK", timeout)
            await connection.execute(create_table_sql(), timeout)
            await connection.execute("BEGIN", timeout)
            return await _take_key(connection, insert, timeout)
        if error.number == _DUPLICATE_ENTRY:
            return error
        if failure_of_error(error.number) is Failure.LOCK_WAIT:
            return error
        raise


async def _duplicate(
    connection: Any, write: KeyedWrite, taken: TargetError, timeout: float
) -> Outcome:
    """Answer a copy; one that fails has run all the same, elsewhere."""
    try:
        return await _answer_duplicate(connection, write, taken, timeout)
    except TargetLost:
        return Failed(Failure.NO_ANSWER)


async def _answer_duplicate(
    connection: Any, write: KeyedWrite, taken: TargetError, timeout: float
) -> Outcome:
    await connection.execute("ROLLBACK", timeout)
    if taken.number != _DUPLICATE_ENTRY:
        return failed_by(taken)._replace(on_record=True)
    # The head is read after the record was seen committed, so it covers
    # the record.
    name = (write.organisation, write.idempotency_key)
    found = await connection.execute(select_sql(*name), timeout)
    record = decode_record(*name, found.rows[0]) if found.rows else None
    answer = resolve_duplicate(record, fingerprint(write.sql))
    if answer.refusal is not None:
        return answer.refusal
    result = StatementResult(
        (), (), record.affected_rows, record.last_insert_id
    )
    status = await connection.status(timeout)
    return Committed(result, status.received)


async def _commit(
    connection: Any, result: StatementResult, timeout: float
) -> Outcome:
    try:
        await connection.execute("COMMIT", timeout)
    except TargetError as error:
        return failed_by(error)
    except TargetLost as lost:
        lost_at = Failure.NO_ANSWER if lost.sent else Failure.COMMIT_NOT_SENT
        return Failed(lost_at)
    return await with_position(connection, result, timeout)


async def _roll_back(connection: Any) -> None:
    try:
        await connection.execute("ROLLBACK", 1.0)
    except (TargetError, TargetLost):
        await connection.close()
