"""What VMs tell each other about a forwarded statement."""

from enum import Enum
from typing import NamedTuple

from redwingpost.configuration.routes import RouteRule
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Shape, Statement
from redwingpost.observability.trace import RunParts
from redwingpost.ports.database import MemberFailure


class Action(Enum):
    """What a home is to do.

    ``ALONE`` runs a statement that stands alone; the others concern one
    transaction, which its first statement begins.
    """

    ALONE = "alone"
    RUN = "run"
    COMMIT = "commit"
    ROLL_BACK = "roll-back"


class Work(NamedTuple):
    """A statement for a home.

    ``number`` tells the messages of one connection apart, ``transaction``
    its transactions (0 for none). ``shape`` is what the statement's
    prepared name runs. ``begin`` comes with the first statement of a
    transaction. ``written`` is the session's last acknowledged commit,
    ``waited_s`` for how long the statement has been at the sender.
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


class Busy(NamedTuple):
    """A home lives, and so many statements are under way there."""

    statements: int


class Done(NamedTuple):
    """What became of a statement.

    ``is_over``: nothing of its transaction is left at a member.
    """

    number: int
    result: Answer | MemberFailure | Refusal
    written: Position
    is_over: bool
    parts: RunParts
