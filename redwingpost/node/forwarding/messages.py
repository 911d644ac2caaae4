"""Messages between VMs about forwarded statements."""

from enum import Enum
from typing import NamedTuple

from redwingpost.configuration.routes import RouteRule
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Shape, Statement
from redwingpost.observability.trace import RunParts
from redwingpost.ports.database import MemberFailure


class Action(Enum):
    """What a home does with a statement.

    ``ALONE`` runs a statement outside a transaction; the others concern one
    transaction, which its first statement begins.
    """

    ALONE = "alone"
    RUN = "run"
    COMMIT = "commit"
    ROLL_BACK = "roll-back"


class Work(NamedTuple):
    """A statement for a home to run.

    ``number`` identifies a message on its connection, ``transaction`` a
    transaction of the sender (0 for none). ``shape`` is the prepared
    statement that the statement executes. ``begin`` is sent with the first
    statement of a transaction. ``written`` is the position of the session's
    last acknowledged commit, ``waited_s`` the time since the sender
    received the statement (seconds). ``withdrawn`` is the number of a read
    that the sender has given up: the home doesn't send it to a member any
    more. Such a message orders nothing else. ``channel`` is the number by
    which the sender can resume the connection, 0 if it can't. From
    ``expires_at`` of the home's clock on (seconds), the home sends the
    statement to no member any more; 0 if its sender set no limit. ``key`` is
    the caller's, which was the organisation's by the configuration of version
    ``rules_version``; 0 if the sender doesn't tell.
    """

    number: int
    action: Action
    transaction: int
    organisation: str
    route: RouteRule
    sync_replicas: int
    statement: Statement
    shape: Shape | None
    begin: Statement | None
    values_by_name: dict[str, str]
    written: Position
    waited_s: float
    withdrawn: int = 0
    channel: int = 0
    expires_at: float = 0.0
    key: str = ""
    rules_version: int = 0


class AskClock(NamedTuple):
    """Asks a home for a reading of its clock, which ``Busy`` brings."""


class Resume(NamedTuple):
    """Asks a home to go on with a silent connection's work on this one.

    A first message only asks whether the home is there: one that was frozen
    would take up a connection that has been given up meanwhile. The second
    one confirms; ``numbers`` are the messages that the sender waits for.
    """

    channel: int
    numbers: tuple[int, ...] = ()
    confirms: bool = False


class Resumed(NamedTuple):
    """Answer to ``Resume``.

    The home has received the messages up to ``last``, and has closed the
    silent connection, so that later ones never ran and won't. Those in
    ``numbers`` still run, or their outcomes follow.
    """

    is_known: bool
    last: int = 0
    numbers: tuple[int, ...] = ()


class Load(NamedTuple):
    """How long a new statement of a group would wait at a home (seconds).

    ``read_wait_s`` is for statements that a replica may run,
    ``primary_wait_s`` for those that need the primary; infinite if the home
    can't run such a statement.
    """

    group: str
    read_wait_s: float
    primary_wait_s: float

    def wait_s(self, needs_primary: bool) -> float:
        """Return the wait of statements of one of the two kinds."""
        return self.primary_wait_s if needs_primary else self.read_wait_s


class Busy(NamedTuple):
    """Sign of life of a home, with its number of running statements.

    ``loads`` are those of the groups of which it is a home. ``clock_s`` is
    the reading of its clock when it was sent (seconds).
    """

    statements: int
    loads: tuple[Load, ...] = ()
    clock_s: float = 0.0


class Done(NamedTuple):
    """Outcome of a statement.

    ``is_over`` tells whether its transaction has ended. ``load`` is that of
    the statement's group, if the home has one. ``clock_s`` is the reading of
    the home's clock when it was sent (seconds).
    """

    number: int
    result: Answer | MemberFailure | Refusal
    written: Position
    is_over: bool
    parts: RunParts
    load: Load | None = None
    clock_s: float = 0.0
