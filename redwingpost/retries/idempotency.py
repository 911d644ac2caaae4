"""Records of idempotency keys: what they hold, and what a duplicate gets.

The record stands in the target, in the caller's own transaction, so that
it commits, replicates and fails over with the write itself. A key that
was kept anywhere else could survive a write that a promotion dropped, or
be lost with a write that stayed.

Load pattern: retries of callers and proxies, two copies of one request
at two proxies at once, a caller that reuses a key for another statement,
and years of keys that nobody asks for any more.
"""

from enum import Enum
from typing import NamedTuple

from xxhash import xxh3_128_hexdigest

from redwingpost.core import Code, Refusal

TABLE = "redwing_idempotency"

#: A caller that retries does so within its own deadline, or after a
#: night's outage; a day covers both.
RETENTION_S = 24 * 3600.0

#: A deletion takes a slot as a write does: small enough to last a few
#: milliseconds, so that it stalls nobody.
PURGE_BATCH = 200

#: One purge per so many keyed writes. 200 rows go for every 100 that
#: come, so the table shrinks to what the retention covers.
WRITES_PER_PURGE = 100

#: Longest key, in characters; it is part of the primary key.
MAX_KEY_CHARS = 128


class Record(NamedTuple):
    """A key's row. ``created`` is in seconds since the epoch."""

    organisation: str
    idempotency_key: str
    fingerprint: str
    affected_rows: int
    last_insert_id: int
    created: int


class Duplicate(Enum):
    """What a second sending of a key finds."""

    RECORDED = "recorded"
    REUSED = "reused for another statement"
    RUNNING = "the first is still running"


class DuplicateAnswer(NamedTuple):
    """What the second sender is told: a recorded result or a refusal."""

    duplicate: Duplicate
    record: Record | None
    refusal: Refusal | None


def fingerprint(sql: str) -> str:
    """Return 32 hexadecimal digits that stand for the statement.

    Parameters
    ----------
    sql : str
        The statement as the target gets it, marks stripped, values
        bound: the same order for two parishes differs.

    Examples
    --------
    >>> fingerprint("INSERT 1") == fingerprint(" INSERT 1\\n")
    True
    >>> fingerprint("INSERT 1") == fingerprint("INSERT 2")
    False
    """
    # Blanks inside are kept: they may belong to a string literal.
    return xxh3_128_hexdigest(sql.strip().encode())


def judge_duplicate(
    record: Record | None, statement_fingerprint: str
) -> DuplicateAnswer:
    """Say what a request gets whose key was found taken.

    Parameters
    ----------
    record : Record or None
        The committed record; None where the key is taken by a
        transaction that has not committed.
    statement_fingerprint : str
        Of the statement that came now.

    Examples
    --------
    >>> judge_duplicate(None, "ab").refusal.code.name
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

    Hexadecimal, so that no quoting rule of the target's SQL mode
    (``NO_BACKSLASH_ESCAPES``) can turn a key into SQL.

    Examples
    --------
    >>> quote("a'b")
    "X'612762'"
    """
    return f"X'{text.encode().hex()}'"


def create_table_sql() -> str:
    """Return the statement that creates the table where it is absent."""
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


def insert_sql(organisation: str, key: str, print_: str, created: int) -> str:
    """Return the statement that takes the key, before the caller's."""
    return (
        f"INSERT INTO {TABLE} (organisation, idempotency_key, "
        "fingerprint, affected_rows, last_insert_id, created) VALUES ("
        f"{quote(organisation)}, {quote(key)}, '{print_}', "
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

    The inner table is derived: MySQL takes no LIMIT in a subquery of
    IN, and none over the table that is being deleted from.
    """
    expired = now - int(retention_s)
    return (
        f"DELETE FROM {TABLE} WHERE (organisation, idempotency_key) IN "
        "(SELECT organisation, idempotency_key FROM ("
        f"SELECT organisation, idempotency_key FROM {TABLE} "
        f"WHERE created < {expired} LIMIT {PURGE_BATCH}) AS expired)"
    )


def decode_record(organisation: str, key: str, row: tuple) -> Record:
    """Return the record that a row of ``select_sql`` holds."""
    print_, affected_rows, last_insert_id, created = row
    if isinstance(print_, bytes):
        print_ = print_.decode()
    return Record(
        organisation,
        key,
        print_,
        int(affected_rows),
        int(last_insert_id),
        int(created),
    )


class PurgeCounter:
    """Says which keyed write is to be followed by a purge.

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
        """Count one keyed write and say whether a purge follows."""
        self._writes += 1
        return self._writes % self._every == 0
