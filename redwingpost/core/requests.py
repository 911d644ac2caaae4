"""Requests of callers, in the form that the decision modules use."""

from typing import NamedTuple

from redwingpost.core.codes import ResultCode
from redwingpost.core.positions import Position
from redwingpost.core.statements import StatementKind

#: Name of a request kind (``order``, ``catalogue``, ``long-job``);
#: the configuration gives each its weight and its cost.
RequestKind = str


class Marks(NamedTuple):
    """Marks of a request, from query attributes or the leading comment.

    ``max_staleness_ms`` and ``deadline_ms`` are milliseconds, relative
    to the arrival of the request; zero means unset.
    """

    kind: RequestKind = ""
    idempotency_key: str = ""
    max_staleness_ms: int = 0
    session: str = ""
    token: str = ""
    non_idempotent: bool = False
    deadline_ms: int = 0


class Request(NamedTuple):
    """One statement with all data that decisions depend on.

    Times are seconds on the clock of the process that handles it.
    ``after`` is the position that a read must reach. None means that
    nothing is known about the session, so the read must go to the
    primary. ``key_hash`` is that of the caller's key; empty for requests of
    the proxy's own.
    """

    request: int
    organisation: str
    group: str
    session: str
    statement_class: StatementKind
    marks: Marks
    arrived_at: float
    deadline_at: float
    after: Position | None
    cost: float
    in_transaction: bool
    key_hash: str = ""


class MemberError(NamedTuple):
    """A MySQL error of a member, passed to the caller unchanged."""

    number: int
    message: str


class Refusal(NamedTuple):
    """Reason why a request was not served; the error value of a Result.

    ``retry_after_ms`` is zero if a later retry doesn't help.
    """

    code: ResultCode
    detail: str = ""
    retry_after_ms: int = 0

    def describe(self) -> str:
        """Return the message that the caller's driver shows."""
        parts = [f"{self.code.name}: {self.detail or self.code.meaning}"]
        parts.append(f"outcome={self.code.outcome.value}")
        if self.retry_after_ms:
            parts.append(f"retry_after_ms={self.retry_after_ms}")
        return "; ".join(parts)
