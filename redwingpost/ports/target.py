"""The target port: one member of a database group.

The control statements, each with the MySQL facility that it represents,
are listed in ``docs/design/target-port.md``.
"""

from typing import Any, NamedTuple, Protocol

from redwingpost.core import History, MemberAddress, Position


class ColumnInfo(NamedTuple):
    """A result column: name, MySQL type number, character set, flags."""

    name: str
    type_code: int
    charset: int
    flags: int = 0


Columns = tuple[ColumnInfo, ...]


class StatementResult(NamedTuple):
    """A statement's complete result.

    ``columns`` is empty for a statement without a result set.
    """

    columns: Columns
    rows: tuple[tuple[Any, ...], ...]
    affected_rows: int
    last_insert_id: int
    in_transaction: bool = False
    warnings: int = 0


class MemberStatus(NamedTuple):
    """A member's answer to ``REDWING STATUS``.

    ``received`` counts transactions that are durable in the member's
    relay log, ``applied`` those that a read on it sees. ``follows`` is the
    primary that it replicates; ``age_ms`` is the age of the state that a
    read on it sees (milliseconds).
    """

    member: str
    role: str
    promised_term: int
    received: Position
    applied: Position
    follows: str
    history: History
    age_ms: int


class TargetError(Exception):
    """A member answered with a MySQL error, so the outcome is known.

    Parameters
    ----------
    number : int
        MySQL error number.
    message : str
        Error message of the member.
    """

    def __init__(self, number: int, message: str) -> None:
        super().__init__(f"{number}: {message}")
        self.number = number
        self.message = message


class TargetLost(Exception):
    """A member did not answer.

    Parameters
    ----------
    sent : bool
        False only if no byte of the statement left this process.
    """

    def __init__(self, sent: bool, reason: str = "") -> None:
        super().__init__(reason or "the member did not answer")
        self.sent = sent


class TargetConnection(Protocol):
    """One connection to one member; carries one transaction at a time."""

    member: str

    async def execute(
        self, sql: str, timeout: float | None = None
    ) -> StatementResult:
        """Run a statement.

        Raises
        ------
        TargetError
            If the member refused or failed it.
        TargetLost
            If no complete answer arrived.
        """

    async def position(self) -> Position:
        """Return the position of this connection's last commit."""

    async def reset(self) -> bool:
        """Clear the connection's state; False if that isn't certain."""

    async def close(self) -> None:
        """Close the connection without waiting for the member."""


class TargetDialler(Protocol):
    """Opens connections to members."""

    async def dial(
        self, address: MemberAddress, timeout: float
    ) -> TargetConnection:
        """Open a connection; raises TargetLost (not sent)."""
