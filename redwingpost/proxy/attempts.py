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
    """The primary has committed the write, now or in an earlier attempt.

    ``position`` must be confirmed before the caller is answered. For a
    duplicate it is the end of the primary's log, which follows the
    idempotency record.
    """

    result: StatementResult
    position: Position


class Failed(NamedTuple):
    """The attempt failed; ``error`` is the member's own, if any.

    ``position`` is set if the write committed nevertheless.
    ``key_in_use`` is set if another copy of the write holds the key.
    """

    failure: Failure
    error: MemberError | None = None
    position: Position | None = None
    key_in_use: bool = False


Outcome = Committed | Failed | Refusal


class KeyedWrite(NamedTuple):
    """A write with its idempotency key; ``created`` in epoch seconds."""

    organisation: str
    idempotency_key: str
    sql: str
    created: int


def failed_from_error(error: TargetError) -> Failed:
    """Convert a member's error to a failed attempt."""
    member_error = MemberError(error.number, error.message)
    return Failed(failure_of_error(error.number), member_error)


async def run_unkeyed(connection: Any, sql: str, timeout: float) -> Outcome:
    """Run an autocommit statement once."""
    try:
        result = await connection.execute(sql, timeout)
    except TargetError as error:
        return failed_from_error(error)
    except TargetLost as lost:
        return Failed(Failure.NO_ANSWER if lost.sent else Failure.NOT_SENT)
    return await with_position(connection, result, timeout)


async def with_position(
    connection: Any, result: StatementResult, timeout: float
) -> Outcome:
    """Add the position of the commit that has just succeeded."""
    try:
        return Committed(result, await connection.position())
    except (TargetError, TargetLost):
        return Failed(Failure.NOT_CONFIRMED)


async def run_keyed(
    connection: Any, write: KeyedWrite, timeout: float
) -> Outcome:
    """Run a statement and record its key in the same transaction.

    Nothing is durable before COMMIT is sent, so a connection that is lost
    earlier has changed nothing.
    """
    sql_fingerprint = fingerprint(write.sql)
    record_key = (write.organisation, write.idempotency_key)
    insert = insert_sql(*record_key, sql_fingerprint, write.created)
    try:
        await connection.execute("BEGIN", timeout)
        key_error = await _insert_key(connection, insert, timeout)
        if key_error is not None:
            return await _handle_duplicate(
                connection, write, key_error, timeout
            )
        result = await connection.execute(write.sql, timeout)
        update = update_sql(
            *record_key, result.affected_rows, result.last_insert_id
        )
        await connection.execute(update, timeout)
    except TargetError as error:
        await _roll_back(connection)
        return failed_from_error(error)
    except TargetLost:
        return Failed(Failure.COMMIT_NOT_SENT)
    return await _commit(connection, result, timeout)


async def _insert_key(
    connection: Any, insert: str, timeout: float
) -> TargetError | None:
    """Insert the record; return the error if the key is in use."""
    try:
        await connection.execute(insert, timeout)
        return None
    except TargetError as error:
        if error.number == _NO_SUCH_TABLE:
            await connection.execute("ROLLBACK", timeout)
            await connection.execute(create_table_sql(), timeout)
            await connection.execute("BEGIN", timeout)
            return await _insert_key(connection, insert, timeout)
        if error.number == _DUPLICATE_ENTRY:
            return error
        if failure_of_error(error.number) is Failure.LOCK_WAIT:
            return error
        raise


async def _handle_duplicate(
    connection: Any, write: KeyedWrite, key_error: TargetError, timeout: float
) -> Outcome:
    """Answer a duplicate from the record of the original write.

    A connection that is lost here means an unknown outcome, because the
    original may have run.
    """
    try:
        return await _answer_from_record(connection, write, key_error, timeout)
    except TargetLost:
        return Failed(Failure.NO_ANSWER)


async def _answer_from_record(
    connection: Any, write: KeyedWrite, key_error: TargetError, timeout: float
) -> Outcome:
    await connection.execute("ROLLBACK", timeout)
    if key_error.number != _DUPLICATE_ENTRY:
        return failed_from_error(key_error)._replace(key_in_use=True)
    # The end of the log is read after the committed record, so that its
    # position covers the record.
    record_key = (write.organisation, write.idempotency_key)
    found = await connection.execute(select_sql(*record_key), timeout)
    record = decode_record(*record_key, found.rows[0]) if found.rows else None
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
        return failed_from_error(error)
    except TargetLost as lost:
        failure = Failure.NO_ANSWER if lost.sent else Failure.COMMIT_NOT_SENT
        return Failed(failure)
    return await with_position(connection, result, timeout)


async def _roll_back(connection: Any) -> None:
    try:
        await connection.execute("ROLLBACK", 1.0)
    except (TargetError, TargetLost):
        await connection.close()
