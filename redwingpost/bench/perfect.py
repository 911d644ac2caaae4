"""The naive version for differential tests: one perfect database.

One SQLite database, one thread, no replicas, no failures: what callers
would see of redwingpost if nothing ever went wrong. Sessions are
independent; a transaction is a list of statements that run at its
commit or never, which is all that sessions with rows of their own need.
"""

from sqlite3 import IntegrityError, connect
from typing import Any, NamedTuple

#: MySQL's number of a duplicate key error.
DUPLICATE = 1062

SCHEMA = (
    "CREATE TABLE lines (session VARCHAR(32) NOT NULL, line INT NOT NULL, "
    "text VARCHAR(64) NOT NULL, PRIMARY KEY (session, line))"
)


class Reply(NamedTuple):
    """What a caller sees of a statement: rows, count, error number."""

    rows: tuple[tuple[Any, ...], ...] = ()
    affected: int = 0
    error: int = 0


class PerfectDatabase:
    """Runs each session's statements at once and keeps what was seen.

    Examples
    --------
    >>> database = PerfectDatabase()
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
        """Run a write; a repeated idempotency key gets its first reply."""
        name = (session, key)
        if key and name in self._replies_by_key:
            return self._replies_by_key[name]
        try:
            reply = Reply(affected=self._database.execute(sql).rowcount)
        except IntegrityError:
            # A failed statement leaves nothing behind, its idempotency
            # record neither: the same key may be tried again.
            return Reply(error=DUPLICATE)
        if key:
            self._replies_by_key[name] = reply
        self._note(session)
        return reply

    def read(self, session: str) -> tuple[tuple[Any, ...], ...]:
        """Return a session's rows in order."""
        cursor = self._database.execute(
            "SELECT line, text FROM lines WHERE session = ? ORDER BY line",
            (session,),
        )
        return tuple(cursor.fetchall())

    def states(self, session: str) -> list[tuple]:
        """Return every state that a session's rows were ever in."""
        return self._states_by_session.get(session, [()])

    def _note(self, session: str) -> None:
        states = self._states_by_session.setdefault(session, [()])
        states.append(self.read(session))

    def fork(self, session: str) -> list[tuple]:
        """Return a copy of a session's rows, to undo a write."""
        return list(self.read(session))

    def restore(self, session: str, rows: list[tuple]) -> None:
        """Put a session's rows back to an earlier copy."""
        self._database.execute(
            "DELETE FROM lines WHERE session = ?", (session,)
        )
        self._database.executemany(
            "INSERT INTO lines VALUES (?, ?, ?)",
            [(session, *row) for row in rows],
        )
        self._note(session)
