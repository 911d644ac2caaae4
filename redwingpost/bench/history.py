"""The history of a run: what callers sent and what they received.

Every statement carries its request's name and every answer repeats it,
so that the checks need only the history and the targets' final
contents. Times are seconds on the load generator's monotonic clock.
"""

from enum import Enum
from typing import Any, NamedTuple
from zlib import crc32

from redwingpost.core import CODES_BY_NUMBER, Outcome


class Operation(Enum):
    """What a request does; :mod:`.statements` has the SQL of each."""

    READ_OWN = "read-own"
    READ_SHARED = "read-shared"
    READ_TOLERANT = "read-tolerant"
    EDIT = "edit"
    EDIT_SHARED = "edit-shared"
    ORDER = "order"
    KEYED_ORDER = "keyed-order"
    PAIR = "pair"
    JOB = "job"

    @property
    def writes(self) -> bool:
        """Whether the request changes a target."""
        return self in _WRITING

    @property
    def reads(self) -> bool:
        """Whether the request reads a document."""
        return self in _READING

    @property
    def orders(self) -> bool:
        """Whether the request appends to ``orders``."""
        return self in _ORDERING


_READING = frozenset(
    {Operation.READ_OWN, Operation.READ_SHARED, Operation.READ_TOLERANT}
)
_ORDERING = frozenset({Operation.ORDER, Operation.KEYED_ORDER, Operation.PAIR})
_WRITING = _ORDERING | {Operation.EDIT, Operation.EDIT_SHARED}


class AttemptResult(Enum):
    """Whether a caller got an answer, a refusal or neither."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"


class ReadRow(NamedTuple):
    """The row that a read returned; ``answers`` names its request."""

    answers: str
    organisation: str
    revision: int
    body: str


class Attempt(NamedTuple):
    """One sending of a statement or transaction by a caller.

    All attempts of one request have the same ``request``. ``due_at`` is
    the time that the open-loop schedule gave the request, ``code`` the
    error number of a refusal, and ``credential`` the name of the key.
    """

    request: str
    number: int
    organisation: str
    credential: str
    session: str
    group: str
    proxy: str
    operation: Operation
    kind: str
    document: str
    revision: int
    max_staleness_ms: int
    due_at: float
    sent_at: float
    received_at: float
    verdict: AttemptResult
    code: int = 0
    seen: ReadRow | None = None
    detail: str = ""


class OrderRow(NamedTuple):
    """A row of ``orders`` in a target's final contents."""

    organisation: str
    request: str
    part: int


class EditRow(NamedTuple):
    """A row of ``edits`` in a target's final contents."""

    organisation: str
    document: str
    revision: int
    request: str


class Contents(NamedTuple):
    """The final contents of one database group."""

    orders: tuple[OrderRow, ...]
    edits: tuple[EditRow, ...]


class Grant(NamedTuple):
    """The rate, burst and groups of an organisation, fleet-wide."""

    rate: float
    burst: float
    groups: frozenset[str]


class Run(NamedTuple):
    """A finished run: the input of every check.

    ``withdrawn_at`` gives, by organisation and credential, when the
    withdrawal was accepted. A credential that was never granted has
    minus infinity.
    """

    attempts: tuple[Attempt, ...]
    contents_by_group: dict[str, Contents]
    grants_by_organisation: dict[str, Grant]
    withdrawn_at: dict[tuple[str, str], float]


#: MySQL errors of a member that mean that nothing was stored: too many
#: connections, access denied, shutting down, lock wait timeout,
#: deadlock, read-only.
_NOT_RUN_MYSQL_ERRORS = frozenset({1040, 1045, 1053, 1205, 1213, 1290})

_NOT_RUN_OUTCOMES = frozenset({Outcome.NOT_RUN, Outcome.ROLLED_BACK})


def reported_not_run(attempt: Attempt) -> bool:
    """Return whether the attempt's error means that nothing was stored."""
    if attempt.verdict is not AttemptResult.REFUSED:
        return False
    code = CODES_BY_NUMBER.get(attempt.code)
    if code is None:
        return attempt.code in _NOT_RUN_MYSQL_ERRORS
    return code.outcome in _NOT_RUN_OUTCOMES


#: Characters of padding in a body, to detect truncated answers.
_PADDING_CHARS = 64


def make_body(request: str, revision: int) -> str:
    """Return an edit's body, which readers can verify by itself.

    Examples
    --------
    >>> body = make_body("r1", 3)
    >>> body.startswith("00000003|r1|")
    True
    >>> is_whole(body), is_whole(body[:-1])
    (True, False)
    """
    header = f"{revision:08d}|{request}|"
    digest = f"{crc32(header.encode()):08x}"
    return header + digest * (_PADDING_CHARS // len(digest))


def is_whole(body: str) -> bool:
    """Return whether a body is a complete one of :func:`make_body`."""
    parts = body.split("|")
    if len(parts) != 3 or not parts[0].isdigit():
        return False
    return body == make_body(parts[1], int(parts[0]))


def to_record(attempt: Attempt) -> dict[str, Any]:
    """Return an attempt as plain JSON types, for a history file."""
    record = attempt._asdict()
    record["operation"] = attempt.operation.value
    record["verdict"] = attempt.verdict.value
    record["seen"] = list(attempt.seen) if attempt.seen else None
    return record


def from_record(record: dict[str, Any]) -> Attempt:
    """Return the attempt that :func:`to_record` wrote."""
    seen = ReadRow(*record["seen"]) if record["seen"] else None
    changes = {
        "operation": Operation(record["operation"]),
        "verdict": AttemptResult(record["verdict"]),
        "seen": seen,
    }
    return Attempt(**{**record, **changes})
