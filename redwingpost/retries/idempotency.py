"""Records of idempotency keys and the answers to duplicate requests.

A record is stored in the target, in the transaction of the caller's
write, so that it commits, replicates and fails over together with the
write. A record stored elsewhere could outlive a write that a promotion
dropped, or be lost although the write was kept.

Load pattern: retries by callers and proxies, two copies of one request
at two proxies at the same time, a caller that reuses a key for another
statement, and years of keys that are no longer used.
"""

from enum import Enum
from typing import NamedTuple

from xxhash import xxh3_128_hexdigest

from redwingpost.core import Code, Refusal

TABLE = "redwing_idempotency"

#: Seconds for which a record is kept. A caller retries within its deadline,
#: or after an outage of a night; one day covers both.
RETENTION_S = 24 * 3600.0

#: Expired records deleted by one statement. It occupies a slot like a write;
#: with this number it takes a few milliseconds, so that other statements
#: aren't delayed.
PURGE_BATCH = 200

#: Number of keyed writes between two purges. For every 100 new rows up to
#: 200 are deleted, so the table shrinks to what the retention covers.
WRITES_PER_PURGE = 100

#: Maximum length of a key, in characters; it is part of the primary key.
MAX_KEY_CHARS = 128


class Record(NamedTuple):
    """Stored record of a key; ``created`` is in seconds since the epoch."""

    organisation: str
    idempotency_key: str
    fingerprint: str
    affected_rows: int
    last_insert_id: int
    created: int


class Duplicate(Enum):
    """State of a key that a duplicate request finds."""

    RECORDED = "recorded"
    REUSED = "reused for another statement"
    RUNNING = "the first is still running"


class DuplicateAnswer(NamedTuple):
    """Answer to a duplicate request: a recorded result or a refusal."""

    duplicate: Duplicate
    record: Record | None
    refusal: Refusal | None


def fingerprint(sql: str) -> str:
    """Return a hash of the statement as 32 hexadecimal digits.

    Parameters
    ----------
    sql : str
        The statement as sent to the target, without marks and with
        bound values: with other values it is another statement.

    Examples
    --------
    >>> fingerprint("INSERT 1") == fingerprint(" INSERT 1\\n")
    True
    >>> fingerprint("INSERT 1") == fingerprint("INSERT 2")
    False
    """
    # Inner whitespace is kept: it may belong to a string literal.
    return xxh3_128_hexdigest(sql.strip().encode())


def resolve_duplicate(
    record: Record | None, statement_fingerprint: str
) -> DuplicateAnswer:
    """Return the answer to a request whose key already exists.

    Parameters
    ----------
    record : Record or None
        The committed record; None if the transaction that inserted the
        key has not committed.
    statement_fingerprint : str
        Fingerprint of the current statement.

    Examples
    --------
    >>> resolve_duplicate(None, "ab").refusal.code.name
    'still-running'
    """
    if record is None:
        refusal = Refusal(Code.STILL_RUNNING)
        return DuplicateAnswer(Duplicate.RUNNING, None, refusal)
    if record.fingerprint != statement_fingerprint:
        refusal = Refusal(Code.KEY_REUSED)
        return DuplicateAnswer(Duplicate.REUSED, None, refusal)
    return DuplicateAnswer(Duplicate.RECORDED, record, None)


def quote(text: str) -> str:
    """Return ``text`` as an SQL string literal.

    The literal is hexadecimal, so that the quoting rules of the target's
    SQL mode (``NO_BACKSLASH_ESCAPES``) can't turn a key into SQL.

    Examples
    --------
    >>> quote("a'b")
    "X'612762'"
    """
    return f"X'{text.encode().hex()}'"


def create_table_sql() -> str:
    """Return the statement that creates the table if it doesn't exist."""
    return (
        f"CREATE TABLE IF NOT EXISTS {TABLE} ("
        "organisation VARBINARY(128) NOT NULL, "
        f"idempotency_key VARBINARY({4 * MAX_KEY_CHARS}) NOT NULL, "
        "fingerprint CHAR(32) NOT NULL, "
        "affected_rows BIGINT NOT NULL, "
        "last_insert_id BIGINT NOT NULL, "
        "created BIGINT NOT NULL, "
        "PRIMARY KEY (organisation, idempotency_key))"
    )


def insert_sql(
    organisation: str, key: str, statement_fingerprint: str, created: int
) -> str:
    """Return the statement that inserts the key, before the caller's."""
    return (
        f"INSERT INTO {TABLE} (organisation, idempotency_key, "
        "fingerprint, affected_rows, last_insert_id, created) VALUES ("
        f"{quote(organisation)}, {quote(key)}, '{statement_fingerprint}', "
        f"0, 0, {created})"
    )


def update_sql(
    organisation: str, key: str, affected_rows: int, last_insert_id: int
) -> str:
    """Return the statement that records the result, after the caller's."""
    return (
        f"UPDATE {TABLE} SET affected_rows = {affected_rows}, "
        f"last_insert_id = {last_insert_id} WHERE "
        f"organisation = {quote(organisation)} "
        f"AND idempotency_key = {quote(key)}"
    )


def select_sql(organisation: str, key: str) -> str:
    """Return the statement that reads the record."""
    return (
        "SELECT fingerprint, affected_rows, last_insert_id, created "
        f"FROM {TABLE} WHERE organisation = {quote(organisation)} "
        f"AND idempotency_key = {quote(key)}"
    )


def purge_sql(now: int, retention_s: float = RETENTION_S) -> str:
    """Return the statement that deletes a batch of expired records.

    The inner query is a derived table: MySQL supports neither LIMIT in a
    subquery of IN nor a subquery on the table that rows are deleted from.
    """
    expired = now - int(retention_s)
    return (
        f"DELETE FROM {TABLE} WHERE (organisation, idempotency_key) IN "
        "(SELECT organisation, idempotency_key FROM ("
        f"SELECT organisation, idempotency_key FROM {TABLE} "
        f"WHERE created < {expired} LIMIT {PURGE_BATCH}) AS expired)"
    )


def decode_record(organisation: str, key: str, row: tuple) -> Record:
    """Return the record in a result row of ``select_sql``."""
    statement_fingerprint, affected_rows, last_insert_id, created = row
    if isinstance(statement_fingerprint, bytes):
        statement_fingerprint = statement_fingerprint.decode()
    return Record(
        organisation,
        key,
        statement_fingerprint,
        int(affected_rows),
        int(last_insert_id),
        int(created),
    )


class PurgeCounter:
    """Counts keyed writes to schedule purges.

    Examples
    --------
    >>> counter = PurgeCounter(every=2)
    >>> counter.due(), counter.due(), counter.due()
    (False, True, False)
    """

    def __init__(self, every: int = WRITES_PER_PURGE) -> None:
        self._every = every
        self._writes = 0

    def due(self) -> bool:
        """Count a keyed write and return whether a purge is due."""
        self._writes += 1
        return self._writes % self._every == 0
