"""The database port: a node's connections to the members of a group.

A link is one connection, opened for one organisation. It carries one
exchange (a request and its answer) at a time.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

from redwingpost.core.positions import Position
from redwingpost.core.statements import Statement
from redwingpost.statements.setup import Prepare, SetupStep


class FailureKind(Enum):
    """Why a member refused a statement or failed to run it."""

    FULL = "full"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    WRONG_MEMBER = "wrong-member"
    BEHIND = "behind"
    NOT_PRIMARY = "not-primary"
    NOT_PREPARED = "not-prepared"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    MALFORMED = "malformed"
    OTHER = "other"


#: Failures that guarantee that the statement has not run.
DID_NOT_RUN = frozenset(
    {
        FailureKind.FULL,
        FailureKind.TOO_MANY_CONNECTIONS,
        FailureKind.WRONG_MEMBER,
        FailureKind.BEHIND,
        FailureKind.NOT_PRIMARY,
        FailureKind.NOT_PREPARED,
    }
)


class MemberFailure(NamedTuple):
    """A member's refusal or error; ``keyword`` is the error code it sent."""

    kind: FailureKind
    keyword: str
    detail: str = ""

    @classmethod
    def unknown_name(cls, name: str) -> "MemberFailure":
        """Return a member's failure for a name that isn't prepared."""
        return cls(FailureKind.NOT_PREPARED, "NOSTMT", name)


class Reply(NamedTuple):
    """A member's complete answer.

    ``position`` is the head of the member's log when it answered; None
    if the answer contained none.
    """

    rows: tuple[str, ...] = ()
    proof: str = ""
    failure: MemberFailure | None = None
    position: Position | None = None
    in_transaction: bool = False


class StatusReport(NamedTuple):
    """A member's status.

    ``received`` is the last position in its log, ``paused_for`` the term
    below which it doesn't replicate a primary (0 for none), ``busy`` the
    number of its occupied slots.
    """

    is_primary: bool
    term: int
    received: Position
    paused_for: int
    lag_ms: int
    busy: int
    connections: int


class LinkLost(Exception):
    """The connection was closed or timed out.

    Parameters
    ----------
    sent : bool
        Whether the statement may have reached the member.
    is_refused : bool, optional
        Whether nothing listens at the member's address.
    """

    def __init__(
        self, detail: str, sent: bool, is_refused: bool = False
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent
        self.is_refused = is_refused


class DatabaseLink(Protocol):
    """One connection to one member; raises LinkLost if it fails."""

    organisation: str

    @property
    def is_open(self) -> bool:
        """Whether another exchange can be tried."""

    async def run(
        self,
        statement: Statement,
        after: Position | None = None,
        prepared_as: str = "",
        first: Prepare | None = None,
    ) -> Reply:
        """Run a caller's statement once the member has reached ``after``.

        ``first`` is prepared in the same round trip. If that fails, its
        failure is returned; the statement finds no such prepared name and
        doesn't run.
        """

    async def set_up(self, steps: tuple[SetupStep, ...]) -> tuple[Reply, ...]:
        """Run all steps in one round trip; return their answers."""

    async def roll_back(self) -> Reply:
        """Roll the open transaction back."""

    async def status(self) -> StatusReport | None:
        """Request the member's status; None if it refused."""

    async def pause(self, term: int) -> StatusReport | None:
        """Stop the member from replicating primaries below ``term``."""

    async def resume(self) -> StatusReport | None:
        """Undo a pause."""

    async def step_down(self, term: int) -> StatusReport | None:
        """Demote a primary of a lower term to a replica."""

    def close(self) -> None:
        """Close immediately; the member rolls back an open transaction."""


class MemberEntry(NamedTuple):
    """A member's entry in the registry.

    ``started_ms`` distinguishes the incarnations of a member under one
    name; it is only compared for equality. ``slots`` is the number of
    statements that the member runs concurrently; 0 if the registry
    doesn't state it. ``cold_left_s`` is for how much longer the member
    remains slow after its start (seconds); None if it isn't stated.
    """

    member: str
    group: str
    ip: str
    port: int
    data_centre: str
    is_draining: bool
    claims_primary: bool
    started_ms: int = 0
    slots: int = 0
    cold_left_s: float | None = None


class LinkFactory(Protocol):
    """Opens connections to members."""

    async def open(
        self, entry: MemberEntry, organisation: str, timeout_s: float
    ) -> DatabaseLink | MemberFailure:
        """Open a link, or return the member's refusal."""


class OrderOutcome(Enum):
    """What is known of an order; an unanswered one may take effect later."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


class PromotionOrders(Protocol):
    """Orders the platform to make a member the primary of its group."""

    async def promote(
        self,
        group: str,
        member: str,
        holder: str,
        fence: int,
        may_send: Callable[[], bool],
    ) -> OrderOutcome:
        """Send an order, if ``may_send`` still allows it once connected."""
