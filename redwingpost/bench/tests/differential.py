"""Runs statements on redwingpost and on the reference database.

Both must give the same answers, except that redwingpost may refuse a
request with a code that means "not run" (then it did not run) or
"unknown" (then the session's next read shows the rows with or without
its effect).
"""

from itertools import count

from pymysql import connect
from pymysql.err import MySQLError

from redwingpost.bench.reference import ReferenceDatabase, Reply
from redwingpost.core import CODES_BY_NUMBER, Outcome
from redwingpost.proxy.tests.small_site import GROUP, SmallSite

_numbers = count(1)


async def fail_over(site: SmallSite) -> None:
    """Stop the primary, promote the most advanced replica, restart it.

    The test does what agents would do, by the members' control calls.
    """
    members = list(site.group.members_by_name.values())
    (old,) = [member for member in members if member.term_state.is_primary]
    others = [member for member in members if member is not old]
    await old.die()
    term = max(member.term_state.promise.term for member in members) + 1
    for member in others:
        member.claim(term, "test")
    new = max(others, key=lambda member: len(member.replica.log))
    for member in others:
        if member is not new:
            member.follow(term, new.name, "", 0)
    await new.promote(term, "test")
    await old.restart()
    old.follow(term, new.name, "", 0)


class Session:
    """One caller that switches between the proxies with its token.

    A named session sends its name in the marks of every statement, so
    that without a token its reads go to the primary. An unnamed session
    is identified by its connection.
    """

    def __init__(
        self, site: SmallSite, database: ReferenceDatabase, named: bool
    ) -> None:
        self.name = f"s{next(_numbers)}"
        self.named = named
        self.sent = 0
        self.refused: list[int] = []
        self._site = site
        self._database = database
        self._proxy = 0
        self._token = ""
        self._connections = [self._connect(n) for n in range(2)]
        self._rows_before_transaction: list[tuple] | None = None
        self._rows_if_not_run: list[tuple] | None = None
        self._last_keyed = ("", "")

    def _connect(self, proxy: int):
        return connect(
            host=self._site.proxies[proxy].settings.vm.ip,
            port=self._site.port(proxy),
            database=GROUP,
            autocommit=True,
            **self._site.login(),
        )

    def close(self) -> None:
        for connection in self._connections:
            connection.close()

    @property
    def in_transaction(self) -> bool:
        return self._rows_before_transaction is not None

    def switch_proxy(self) -> None:
        """Continue through the other proxy, with the token."""
        if self.in_transaction:
            return
        reply = self._send("SELECT @@redwing_token")
        self._token = reply.rows[0][0]
        self._proxy = 1 - self._proxy

    def _send(self, sql: str, *marks: str) -> Reply:
        if self.named:
            marks = (*marks, f"session={self.name}")
        if self._token:
            marks = (*marks, f"token={self._token}")
        comment = f"/* redwing: {', '.join(marks)} */ " if marks else ""
        self.sent += 1
        with self._connections[self._proxy].cursor() as cursor:
            try:
                affected = cursor.execute(comment + sql)
            except MySQLError as error:
                return Reply(error=error.args[0])
            return Reply(tuple(cursor.fetchall()), affected)

    def write(self, sql: str, key: str = "") -> None:
        """Run a write on both databases and compare the replies."""
        marks = (f"idempotency_key={key}",) if key else ()
        before = self._database.copy_rows(self.name)
        expected = self._database.write(self.name, sql, key)
        reply = self._send(sql, *marks)
        if reply == expected:
            return
        self._accept_refusal(reply, expected, before)

    def _accept_refusal(
        self, reply: Reply, expected: Reply, before: list
    ) -> None:
        """Adjust the reference to a refusal; fail on any other error."""
        code = CODES_BY_NUMBER.get(reply.error)
        if code is None:
            raise AssertionError(f"got {reply}, expected {expected}")
        self.refused.append(reply.error)
        if self.in_transaction:
            # Whatever the code, the transaction can't have committed.
            self.undo_transaction()
        elif code.outcome is Outcome.UNKNOWN:
            # The token may lack the position of this write.
            self._rows_if_not_run = before
            self._token = ""
        else:
            self._database.restore(self.name, before)

    def read(self) -> None:
        """Read the session's rows on both databases and compare."""
        reply = self._send(
            "SELECT line, text FROM lines "
            f"WHERE session = '{self.name}' ORDER BY line"
        )
        if reply.error:
            code = CODES_BY_NUMBER.get(reply.error)
            if code is None:
                raise AssertionError(f"a read failed with {reply.error}")
            self.refused.append(reply.error)
            if self.in_transaction:
                self.undo_transaction()
            return
        expected = self._database.read(self.name)
        if reply.rows != expected and self._rows_if_not_run is not None:
            # The write with the unknown outcome did not run.
            self._database.restore(self.name, self._rows_if_not_run)
            expected = self._database.read(self.name)
        self._rows_if_not_run = None
        if reply.rows != expected:
            raise AssertionError(
                f"{self.name} read {reply.rows}, expected {expected}"
            )

    def read_tolerant(self) -> None:
        """Read with a tolerated staleness and accept any past state."""
        if self.in_transaction or self._rows_if_not_run is not None:
            return
        reply = self._send(
            "SELECT line, text FROM lines "
            f"WHERE session = '{self.name}' ORDER BY line",
            "max_staleness_ms=60000",
        )
        states = self._database.states(self.name)
        if not reply.error and reply.rows not in states:
            raise AssertionError(f"{reply.rows} is no past state of the rows")

    def begin(self) -> None:
        """Begin a transaction on both databases."""
        if self.in_transaction or self._rows_if_not_run is not None:
            return
        reply = self._send("BEGIN")
        if not reply.error:
            self._rows_before_transaction = self._database.copy_rows(self.name)

    def commit(self) -> None:
        """Commit on both databases."""
        if not self.in_transaction:
            return
        before, self._rows_before_transaction = (
            self._rows_before_transaction,
            None,
        )
        reply = self._send("COMMIT")
        if reply.error:
            self._accept_refusal(reply, Reply(), before)

    def rollback(self) -> None:
        """Roll back on both databases."""
        if self.in_transaction:
            self._send("ROLLBACK")
            self.undo_transaction()

    def undo_transaction(self) -> None:
        """Undo the open transaction on the reference database."""
        self._database.restore(self.name, self._rows_before_transaction)
        self._rows_before_transaction = None
