"""The reference model for differential tests: a single database.

One SQLite database in one thread, without replicas or failures: callers
of redwingpost have to receive the same answers. Each session uses only
rows of its own, so that sessions are independent and a transaction
needs no isolation: its statements run at once and are undone at a
rollback by restoring the session's rows.
"""

from sqlite3 import IntegrityError, connect
from typing import Any, NamedTuple

#: MySQL's error number for a duplicate key.
DUPLICATE_KEY_ERROR = 1062

SCHEMA = (
    "CREATE TABLE lines (session VARCHAR(32) NOT NULL, line INT NOT NULL, "
    "text VARCHAR(64) NOT NULL, PRIMARY KEY (session, line))"
)


class Reply(NamedTuple):
    """A statement's rows, affected rows and error number (0: none)."""

    rows: tuple[tuple[Any, ...], ...] = ()
    affected: int = 0
    error: int = 0


class ReferenceDatabase:
    """Runs statements at once and keeps every state of the rows.

    Examples
    --------
    >>> database = ReferenceDatabase()
    >>> database.write("s", "INSERT INTO lines VALUES ('s', 1, 'a')")
    Reply(rows=(), affected=1, error=0)
    >>> database.read("s")
    ((1, 'a'),)
    """

    def __init__(self) -> None:
        self._database = connect(":memory:", isolation_level=None)
        self._database.execute(SCHEMA)
        self._replies_by_key: dict[tuple[str, str], Reply] = {}
        self._states_by_session: dict[str, list[tuple]] = {}

    def write(self, session: str, sql: str, key: str = "") -> Reply:
        """Run a write; a repeated idempotency key gets the first reply."""
        name = (session, key)
        if key and name in self._replies_by_key:
            return self._replies_by_key[name]
        try:
            reply = Reply(affected=self._database.execute(sql).rowcount)
        except IntegrityError:
            # A failed statement stores nothing, not even its idempotency
            # record, so that the same key may be sent again.
            return Reply(error=DUPLICATE_KEY_ERROR)
        if key:
            self._replies_by_key[name] = reply
        self._record_state(session)
        return reply

    def read(self, session: str) -> tuple[tuple[Any, ...], ...]:
        """Return a session's rows in order."""
        cursor = self._database.execute(
            "SELECT line, text FROM lines WHERE session = ? ORDER BY line",
            (session,),
        )
        return tuple(cursor.fetchall())

    def states(self, session: str) -> list[tuple]:
        """Return all states of a session's rows so far."""
        return self._states_by_session.get(session, [()])

    def _record_state(self, session: str) -> None:
        states = self._states_by_session.setdefault(session, [()])
        states.append(self.read(session))

    def copy_rows(self, session: str) -> list[tuple]:
        """Return a copy of a session's rows for :meth:`restore`."""
        return list(self.read(session))

    def restore(self, session: str, rows: list[tuple]) -> None:
        """Replace a session's rows by an earlier copy."""
        self._database.execute(
            "DELETE FROM lines WHERE session = ?", (session,)
        )
        self._database.executemany(
            "INSERT INTO lines VALUES (?, ?, ?)",
            [(session, *row) for row in rows],
        )
        self._record_state(session)
