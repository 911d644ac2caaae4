"""One connection's transaction on a member: open, locked, logged.

SQLite takes one writer at a time, so a transaction takes the member's
writer lock with its first write and keeps it to its end, as InnoDB keeps
row locks. A statement that fails is undone alone; the transaction stays
open.
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
        Whose store, lock and log it uses.
    """

    def __init__(self, member: Any) -> None:
        self.member = member
        self.store: Connection = member.store.connect()
        self.is_open = False
        self.is_doomed = False
        self.is_writing = False
        self.last_commit: Position = ZERO_POSITION
        self._reads = False
        self._lock: WriterLock | None = None
        self._statements: list[LoggedStatement] = []

    def begin(self) -> None:
        """Open a transaction; an open one is committed before."""
        self.is_open = True

    def read(self, sql: str, parameters: tuple) -> Cursor:
        """Run a read, inside the open transaction's snapshot if any."""
        self.check()
        if self.is_open and not self._reads and not self.is_writing:
            self.store.execute("BEGIN")
            self._reads = True
        return self.store.execute(sql, parameters)

    async def lock(self) -> None:
        """Become the writer; the snapshot of earlier reads is renewed.

        Raises
        ------
        MemberError
            1205 when the lock didn't come in time, 1290 when the member
            takes no writes (any more).
        """
        self.check()
        if self.is_writing:
            return
        lock = self.member.writer_lock
        if not await lock.acquire(self.member.lock_wait_s):
            raise lock_timeout()
        if not self.member.book.is_primary or self.is_doomed:
            lock.release()
            raise read_only()
        self._lock = lock
        self._end_reads()
        self.store.execute("BEGIN IMMEDIATE")
        self.is_writing = True
        self.member.writing = self

    def execute(self, sql: str, parameters: tuple) -> Cursor:
        """Run a write and note it for the log."""
        cursor = self.store.execute(sql, parameters)
        self._statements.append(LoggedStatement(sql, parameters))
        return cursor

    def commit(self) -> bool:
        """Commit; True if anything was written.

        The log takes the transaction in the same step of the loop, so
        no other transaction can come between.
        """
        self.check()
        self.is_open = False
        self._end_reads()
        if not self.is_writing:
            return False
        self.store.execute("COMMIT")
        statements = tuple(self._statements)
        self._release()
        if not statements:
            return False
        entry = LogEntry(self.member.book.primary_term, statements)
        self.last_commit = self.member.replica.commit(entry)
        for statement in statements:
            self.member.store.invalidate_on_definition(statement.sql)
        return True

    def rollback(self) -> None:
        """Undo the transaction; harmless where none is open."""
        self.is_open = False
        self.is_doomed = False
        self._end_reads()
        if self.is_writing:
            self.store.execute("ROLLBACK")
            self._release()

    def doom(self) -> None:
        """Undo it because the member was fenced; the caller learns it."""
        was_open = self.is_open
        self.rollback()
        self.is_doomed = was_open

    def check(self) -> None:
        """Raise 1290, once, for a transaction that the fence undid."""
        if self.is_doomed:
            self.is_doomed = False
            self.is_open = False
            raise read_only()

    def _end_reads(self) -> None:
        if self._reads:
            self.store.execute("COMMIT")
            self._reads = False

    def _release(self) -> None:
        self.is_writing = False
        self._statements = []
        self.member.writing = None
        self._lock.release()

    def renew(self) -> None:
        """Begin anew on a fresh store connection: no temporary tables."""
        self.rollback()
        self.store.close()
        self.store = self.member.store.connect()

    def close(self) -> None:
        """Undo what is open and let go of the store."""
        self.rollback()
        self.store.close()
