"""A connection's transaction on a member: snapshot, lock and log.

SQLite allows one writer at a time, so a transaction acquires the member's
writer lock with its first write and holds it to its end, as InnoDB holds
row locks. A failed statement is undone alone; the transaction stays open.
"""

from sqlite3 import Connection, Cursor
from typing import Any

from redwingpost.core import ZERO_POSITION, Position
from redwingpost.standin.limits import WriterLock
from redwingpost.standin.mysql_errors import lock_timeout, read_only
from redwingpost.standin.replication_log import LogEntry, LoggedStatement


class Transaction:
    """The transaction state of one connection.

    Parameters
    ----------
    member : Member
        Member whose store, writer lock and log are used.
    """

    def __init__(self, member: Any) -> None:
        self.member = member
        self.store: Connection = member.store.connect()
        self.is_open = False
        self.is_fenced = False
        self.is_writing = False
        self.last_commit: Position = ZERO_POSITION
        self._is_reading = False
        self._lock: WriterLock | None = None
        self._statements: list[LoggedStatement] = []

    def begin(self) -> None:
        """Open a transaction; the caller commits an open one before."""
        self.is_open = True

    def read(self, sql: str, parameters: tuple) -> Cursor:
        """Run a read, in the open transaction's snapshot if there is one."""
        self.raise_if_fenced()
        if self.is_open and not self._is_reading and not self.is_writing:
            self.store.execute("BEGIN")
            self._is_reading = True
        return self.store.execute(sql, parameters)

    async def lock(self) -> None:
        """Acquire the writer lock; replace the snapshot of earlier reads.

        Raises
        ------
        MemberError
            1205 if the lock wasn't acquired in time, 1290 if the member
            is no longer the primary.
        """
        self.raise_if_fenced()
        if self.is_writing:
            return
        lock = self.member.writer_lock
        if not await lock.acquire(self.member.lock_wait_s):
            raise lock_timeout()
        if not self.member.term_state.is_primary or self.is_fenced:
            lock.release()
            raise read_only()
        self._lock = lock
        self._end_reads()
        self.store.execute("BEGIN IMMEDIATE")
        self.is_writing = True
        self.member.writing = self

    def execute(self, sql: str, parameters: tuple) -> Cursor:
        """Run a write and record it for the log."""
        cursor = self.store.execute(sql, parameters)
        self._statements.append(LoggedStatement(sql, parameters))
        return cursor

    def commit(self) -> bool:
        """Commit; return whether anything was written.

        The store's commit and the append to the log happen without an
        await between them, so that both have the same order of
        transactions.
        """
        self.raise_if_fenced()
        self.is_open = False
        self._end_reads()
        if not self.is_writing:
            return False
        self.store.execute("COMMIT")
        statements = tuple(self._statements)
        self._end_write()
        if not statements:
            return False
        entry = LogEntry(self.member.term_state.primary_term, statements)
        self.last_commit = self.member.replica.commit(entry)
        for statement in statements:
            self.member.store.invalidate_on_definition(statement.sql)
        return True

    def rollback(self) -> None:
        """Undo the transaction, if one is open."""
        self.is_open = False
        self.is_fenced = False
        self._end_reads()
        if self.is_writing:
            self.store.execute("ROLLBACK")
            self._end_write()

    def abort_fenced(self) -> None:
        """Undo the transaction because the member was fenced.

        If it was open, the caller's next statement raises 1290.
        """
        was_open = self.is_open
        self.rollback()
        self.is_fenced = was_open

    def raise_if_fenced(self) -> None:
        """Raise 1290, once, if the transaction was undone by a fence."""
        if self.is_fenced:
            self.is_fenced = False
            self.is_open = False
            raise read_only()

    def _end_reads(self) -> None:
        if self._is_reading:
            self.store.execute("COMMIT")
            self._is_reading = False

    def _end_write(self) -> None:
        self.is_writing = False
        self._statements = []
        self.member.writing = None
        self._lock.release()

    def renew(self) -> None:
        """Roll back and replace the store connection, as on a new session.

        This drops temporary tables.
        """
        self.rollback()
        self.store.close()
        self.store = self.member.store.connect()

    def close(self) -> None:
        """Roll back and close the store connection."""
        self.rollback()
        self.store.close()
