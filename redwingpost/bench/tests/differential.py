"""Drives redwingpost and the perfect database side by side.

A caller's answers must be the perfect database's, except that a request
may be refused with a code that says "not run" (then it did not run) or
"unknown" (then its session's next read shows one of both states).
"""

from itertools import count

from pymysql import connect
from pymysql.err import MySQLError

from redwingpost.bench.perfect import PerfectDatabase, Reply
from redwingpost.core import CODES_BY_NUMBER, Outcome
from redwingpost.proxy.tests.small_site import GROUP, SmallSite

_numbers = count(1)


async def fail_over(site: SmallSite) -> None:
    """Let the primary die, promote the most advanced other, bring it back.

    The test plays the agents' part with the members' own control calls.
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
    """One caller that roams between the proxies with its token.

    A named session carries its name in every mark, so that without a
    token its reads go to the primary; an unnamed one is its connection.
    """

    def __init__(
        self, site: SmallSite, database: PerfectDatabase, named: bool
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
        self._before: list[tuple] | None = None
        self._maybe: list[tuple] | None = None
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
        return self._before is not None

    def move(self) -> None:
        """Go on through the other proxy, with the token."""
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
        """Run a write on both sides and compare the replies."""
        marks = (f"idempotency_key={key}",) if key else ()
        before = self._database.fork(self.name)
        expected = self._database.write(self.name, sql, key)
        reply = self._send(sql, *marks)
        if reply == expected:
            return
        self._settle(reply, expected, before)

    def _settle(self, reply: Reply, expected: Reply, before: list) -> None:
        """Accept a refusal and note what it says; fail on all else."""
        code = CODES_BY_NUMBER.get(reply.error)
        if code is None:
            raise AssertionError(f"got {reply}, the perfect {expected}")
        self.refused.append(reply.error)
        if self.in_transaction:
            # Whatever the code, the transaction can't have committed.
            self.rolled_back()
        elif code.outcome is Outcome.UNKNOWN:
            # The token does not hold what may have been written.
            self._maybe = before
            self._token = ""
        else:
            self._database.restore(self.name, before)

    def read(self) -> None:
        """Read the session's rows on both sides and compare."""
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
                self.rolled_back()
            return
        expected = self._database.read(self.name)
        if reply.rows != expected and self._maybe is not None:
            # The unknown write did not happen after all.
            self._database.restore(self.name, self._maybe)
            expected = self._database.read(self.name)
        self._maybe = None
        if reply.rows != expected:
            raise AssertionError(
                f"{self.name} read {reply.rows}, the perfect {expected}"
            )

    def read_tolerant(self) -> None:
        """Read with a stated age: any state the rows were ever in."""
        if self.in_transaction or self._maybe is not None:
            return
        reply = self._send(
            "SELECT line, text FROM lines "
            f"WHERE session = '{self.name}' ORDER BY line",
            "max_staleness_ms=60000",
        )
        states = self._database.states(self.name)
        if not reply.error and reply.rows not in states:
            raise AssertionError(f"{reply.rows} was never the state")

    def begin(self) -> None:
        """Open a transaction on both sides."""
        if self.in_transaction or self._maybe is not None:
            return
        reply = self._send("BEGIN")
        if not reply.error:
            self._before = self._database.fork(self.name)

    def commit(self) -> None:
        """Commit on both sides."""
        if not self.in_transaction:
            return
        before, self._before = self._before, None
        reply = self._send("COMMIT")
        if reply.error:
            self._settle(reply, Reply(), before)

    def rollback(self) -> None:
        """Roll back on both sides."""
        if self.in_transaction:
            self._send("ROLLBACK")
            self.rolled_back()

    def rolled_back(self) -> None:
        """Undo the perfect side of the open transaction."""
        self._database.restore(self.name, self._before)
        self._before = None
