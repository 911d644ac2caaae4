"""The database port: a member of a group, as the node speaks to it.

One link is one connection, opened for one organisation. It carries one
exchange at a time.
"""

from enum import Enum
from typing import NamedTuple, Protocol

from redwingpost.core.positions import Position
from redwingpost.core.statements import Statement
from redwingpost.statements.setup import Prepare, SetupStep


class FailureKind(Enum):
    """How a member refused or failed a statement."""

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


#: Failures with which the member says that the statement has not run.
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
    """A member's own refusal or error; ``word`` is its code as sent."""

    kind: FailureKind
    word: str
    detail: str = ""

    @classmethod
    def unknown_name(cls, name: str) -> "MemberFailure":
        """Return what a member says of a name that isn't prepared."""
        return cls(FailureKind.NOT_PREPARED, "NOSTMT", name)


class Reply(NamedTuple):
    """A member's whole answer.

    ``position`` is the head of the member's log as it answered; None
    where it named none.
    """

    rows: tuple[str, ...] = ()
    proof: str = ""
    failure: MemberFailure | None = None
    position: Position | None = None
    in_transaction: bool = False


class StatusReport(NamedTuple):
    """What a member says of itself.

    ``received`` is the last position in its log, ``paused_for`` the term
    below which it takes nothing from a primary (0 for none), ``busy``
    its occupied slots.
    """

    is_primary: bool
    term: int
    received: Position
    paused_for: int
    lag_ms: int
    busy: int
    connections: int


class LinkLost(Exception):
    """The connection ended or went silent.

    Parameters
    ----------
    sent : bool
        Whether the statement may have reached the member.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.detail = detail
        self.sent = sent


class DatabaseLink(Protocol):
    """One connection to one member; raises LinkLost when it breaks."""

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
        """Run a caller's statement once the member holds ``after``.

        ``first`` is prepared on the way. Where that fails its failure is
        the answer: the statement finds no such name and doesn't run.
        """

    async def set_up(self, steps: tuple[SetupStep, ...]) -> tuple[Reply, ...]:
        """Take all steps in one round trip; return their answers."""

    async def roll_back(self) -> Reply:
        """Roll the open transaction back."""

    async def status(self) -> StatusReport | None:
        """Ask for a report; None where the member refused."""

    async def pause(self, term: int) -> StatusReport | None:
        """Let the member take nothing from primaries below ``term``."""

    async def resume(self) -> StatusReport | None:
        """Undo a pause."""

    async def step_down(self, term: int) -> StatusReport | None:
        """Make a primary of a lower term a replica."""

    def close(self) -> None:
        """Close at once; an open transaction rolls back."""


class MemberEntry(NamedTuple):
    """A member as the registry lists it.

    ``started_ms`` tells one life of a member from the next under the
    same name; it is compared for equality only. ``slots`` are the
    statements that it runs at once; 0 where the registry doesn't say.
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


class LinkFactory(Protocol):
    """Opens connections to members."""

    async def open(
        self, entry: MemberEntry, organisation: str, timeout_s: float
    ) -> DatabaseLink | MemberFailure:
        """Open a link, or say with what the member refused it."""


class PromotionOrders(Protocol):
    """Orders the platform to make a member the primary of its group."""

    async def promote(
        self, group: str, member: str, holder: str, fence: int
    ) -> bool:
        """Return whether the platform took the order."""
