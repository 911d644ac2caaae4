"""The target port, implemented with asyncmy.

Values are passed on as the text that the member sent: no decoder is set,
so that a DECIMAL or a DATETIME keeps its bytes.

References
----------
docs/design/target-port.md lists the control statements used here.
"""

from asyncio import timeout as time_limit
from typing import Any, NamedTuple

from asyncmy import connect
from asyncmy.converters import conversions
from asyncmy.errors import Error as MySQLClientError

from redwingpost.core import MemberAddress, Position
from redwingpost.ports import (
    ColumnInfo,
    MemberStatus,
    StatementResult,
    TargetError,
    TargetLost,
)

#: MySQL's client-side error numbers, which mean a broken connection.
CLIENT_ERRORS = range(2000, 3000)

#: Character set numbers of binary columns and of all others.
BINARY_CHARSET = 63
UTF8MB4_CHARSET = 45

#: Seconds after the end of a control statement's wait until the member
#: counts as lost.
WAIT_GRACE_S = 1.0

_ENCODERS_ONLY = {
    key: value for key, value in conversions.items() if type(key) is not int
}


class WaitAnswer(NamedTuple):
    """A member's answer to ``REDWING WAIT``."""

    ok: bool
    promised_term: int
    position: Position


class ClaimAnswer(NamedTuple):
    """A member's answer to ``REDWING CLAIM``."""

    ok: bool
    promised_term: int
    claimant: str
    received: Position
    applied: Position


class PromoteAnswer(NamedTuple):
    """A member's answer to ``REDWING PROMOTE``."""

    ok: bool
    first: Position


class MySQLTargetConnection:
    """One connection to one member.

    Parameters
    ----------
    member : str
        The member's name in the configuration.
    connection : asyncmy connection
        Open and in autocommit mode.
    """

    def __init__(self, member: str, connection: Any) -> None:
        self.member = member
        self._connection = connection

    @property
    def usable(self) -> bool:
        """Whether the connection is open, as far as this end can tell."""
        # A member that failed while the connection was idle has closed
        # its end. A statement sent now can't run, but its outcome could
        # only be reported as unknown. The driver's own check shows it.
        broken = getattr(self._connection, "_stream_broken", False)
        return self._connection.connected and not broken

    async def execute(
        self, sql: str, timeout: float | None = None
    ) -> StatementResult:
        """Run one statement; see ``ports.TargetConnection``."""
        if not self.usable:
            raise TargetLost(sent=False, reason="connection was closed")
        if timeout is not None and timeout <= 0.0:
            # A time limit that has passed ends the call only after it has
            # sent the statement.
            await self.close()
            raise TargetLost(sent=False, reason="no time was left")
        try:
            async with time_limit(timeout):
                return await self._run(sql)
        except TimeoutError as timed_out:
            await self.close()
            raise TargetLost(
                sent=True, reason="no answer in time"
            ) from timed_out
        except MySQLClientError as error:
            raise self._translate_error(error) from error
        except (OSError, EOFError) as error:
            await self.close()
            raise TargetLost(sent=True, reason=str(error)) from error

    async def _run(self, sql: str) -> StatementResult:
        cursor = self._connection.cursor()
        await cursor.execute(sql)
        columns = ()
        rows = ()
        if cursor.description:
            rows = tuple(await cursor.fetchall())
            columns = _columns(cursor.description, rows)
        return StatementResult(
            columns=columns,
            rows=rows,
            affected_rows=0 if columns else max(cursor.rowcount, 0),
            last_insert_id=cursor.lastrowid or 0,
            in_transaction=bool(self._connection.get_transaction_status()),
        )

    def _translate_error(self, error: MySQLClientError) -> Exception:
        number = error.args[0] if error.args else 0
        message = str(error.args[1]) if len(error.args) > 1 else str(error)
        if not isinstance(number, int) or number in CLIENT_ERRORS:
            return TargetLost(sent=True, reason=message)
        return TargetError(number, message)

    async def position(self) -> Position:
        """Return the position of this connection's last commit."""
        answer = await self.execute("REDWING POSITION")
        term, index = answer.rows[0]
        return Position(int(term), int(index))

    async def reset(self) -> bool:
        """Clear the session's state; False if that isn't confirmed."""
        try:
            await self.execute("REDWING RESET", timeout=WAIT_GRACE_S)
        except (TargetError, TargetLost):
            return False
        return True

    async def close(self) -> None:
        """Close at once, so that a hanging member can't block the caller."""
        self._connection.close()

    def abort(self) -> None:
        """Close at once; a running statement ends as lost."""
        self._connection.close()

    async def status(self, timeout: float) -> MemberStatus:
        """Return the member's status."""
        answer = await self.execute("REDWING STATUS", timeout)
        names = (column.name for column in answer.columns)
        row = dict(zip(names, answer.rows[0]))
        return MemberStatus(
            member=row["member"],
            role=row["role"],
            promised_term=int(row["promised_term"]),
            received=_position(row, "received"),
            applied=_position(row, "applied"),
            follows=row["follows"] or "",
            history=parse_history(row["history"] or ""),
            age_ms=int(row["age_ms"]),
        )

    async def wait_received(
        self, position: Position, wait_s: float
    ) -> WaitAnswer:
        """Wait until the member's relay log holds ``position``."""
        return await self._wait("RECEIVED", position, wait_s)

    async def wait_applied(
        self, position: Position, wait_s: float
    ) -> WaitAnswer:
        """Wait until a read on the member sees ``position``."""
        return await self._wait("APPLIED", position, wait_s)

    async def _wait(
        self, what: str, position: Position, wait_s: float
    ) -> WaitAnswer:
        sql = (
            f"REDWING WAIT {what} {position.term} {position.index} "
            f"{int(wait_s * 1000)}"
        )
        answer = await self.execute(sql, wait_s + WAIT_GRACE_S)
        ok, promised, term, index = answer.rows[0]
        return WaitAnswer(
            ok=bool(int(ok)),
            promised_term=int(promised),
            position=Position(int(term), int(index)),
        )

    async def claim(
        self, term: int, claimant: str, timeout: float
    ) -> ClaimAnswer:
        """Request the member's promise of ``term`` to ``claimant``."""
        answer = await self.execute(
            f"REDWING CLAIM {term} {claimant}", timeout
        )
        names = (column.name for column in answer.columns)
        row = dict(zip(names, answer.rows[0]))
        return ClaimAnswer(
            ok=bool(int(row["ok"])),
            promised_term=int(row["promised_term"]),
            claimant=row["claimant"] or "",
            received=_position(row, "received"),
            applied=_position(row, "applied"),
        )

    async def promote(
        self, term: int, claimant: str, timeout: float
    ) -> PromoteAnswer:
        """Make the member the primary of ``term``."""
        sql = f"REDWING PROMOTE {term} {claimant}"
        answer = await self.execute(sql, timeout)
        ok, first_term, index = answer.rows[0]
        return PromoteAnswer(
            ok=bool(int(ok)), first=Position(int(first_term), int(index))
        )

    async def follow(
        self, term: int, primary: MemberAddress, timeout: float
    ) -> bool:
        """Make the member a replica of ``primary`` in ``term``."""
        sql = (
            f"REDWING FOLLOW {term} {primary.member} "
            f"{primary.ip} {primary.port}"
        )
        answer = await self.execute(sql, timeout)
        return bool(int(answer.rows[0][0]))

    async def diverged(
        self, timeout: float
    ) -> tuple[tuple[Position, str], ...]:
        """Return the diverged transactions that the member discarded."""
        answer = await self.execute("REDWING DIVERGED", timeout)
        return tuple(
            (Position(int(term), int(index)), statement)
            for term, index, statement in answer.rows
        )


class MySQLTargetDialler:
    """Opens connections to members.

    Parameters
    ----------
    user, password : str
        The system's own account at the targets; callers' keys are never
        sent there.
    """

    def __init__(self, user: str, password: str) -> None:
        self._user = user
        self._password = password

    async def dial(
        self, address: MemberAddress, timeout: float
    ) -> MySQLTargetConnection:
        """Open a connection within ``timeout`` seconds."""
        try:
            async with time_limit(timeout):
                connection = await connect(
                    host=address.ip,
                    port=address.port,
                    user=self._user,
                    password=self._password,
                    conv=_ENCODERS_ONLY,
                    charset="utf8mb4",
                    autocommit=None,
                    connect_timeout=max(1, int(timeout) + 1),
                )
        except MySQLClientError as error:
            raise _translate_dial_error(error) from error
        except (TimeoutError, OSError, EOFError) as error:
            raise TargetLost(sent=False, reason=str(error)) from error
        return MySQLTargetConnection(address.member, connection)


def _translate_dial_error(error: MySQLClientError) -> Exception:
    number = error.args[0] if error.args else 0
    if isinstance(number, int) and number not in CLIENT_ERRORS:
        return TargetError(number, str(error.args[-1]))
    return TargetLost(sent=False, reason=str(error))


def parse_history(text: str) -> tuple[Position, ...]:
    """Parse ``term:index,term:index``.

    Examples
    --------
    >>> parse_history("1:1,2:8")
    (Position(term=1, index=1), Position(term=2, index=8))
    >>> parse_history("")
    ()
    """
    pairs = (part.split(":") for part in text.split(",") if part)
    return tuple(Position(int(term), int(index)) for term, index in pairs)


def _position(row: dict[str, str], prefix: str) -> Position:
    return Position(int(row[f"{prefix}_term"]), int(row[f"{prefix}_index"]))


def _columns(description: tuple, rows: tuple) -> tuple[ColumnInfo, ...]:
    return tuple(
        ColumnInfo(entry[0], entry[1], _charset(rows, index))
        for index, entry in enumerate(description)
    )


def _charset(rows: tuple, index: int) -> int:
    # The driver's public description has no character set, but values of
    # binary columns are bytes and all others are str.
    for row in rows:
        if row[index] is not None:
            binary = isinstance(row[index], bytes)
            return BINARY_CHARSET if binary else UTF8MB4_CHARSET
    return UTF8MB4_CHARSET
