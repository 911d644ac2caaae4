"""The history of a run: what callers sent and what they received.

Every statement carries the request's name, and every answer repeats it,
so that the checks need nothing but this record and the targets' final
contents. Times are seconds on the load generator's monotonic clock.
"""

from enum import Enum
from typing import Any, NamedTuple
from zlib import crc32

from redwingpost.core import CODES_BY_NUMBER, Outcome


class Operation(Enum):
    """What a request does; the load generator has one form for each."""

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


class Verdict(Enum):
    """How an attempt ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"


class Seen(NamedTuple):
    """What an answer's row held."""

    answers: str
    organisation: str
    revision: int
    body: str


class Attempt(NamedTuple):
    """One statement (or transaction) that a caller sent once.

    ``request`` stays the same over the attempts of one request;
    ``due_at`` is when the open-loop schedule wanted it, ``code`` the
    error number of a refusal. ``credential`` names the key used.
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
    verdict: Verdict
    code: int = 0
    seen: Seen | None = None
    detail: str = ""


class OrderRow(NamedTuple):
    """A row of ``orders`` as a target holds it at the end."""

    organisation: str
    request: str
    part: int


class EditRow(NamedTuple):
    """A row of ``edits`` as a target holds it at the end."""

    organisation: str
    document: str
    revision: int
    request: str


class Contents(NamedTuple):
    """One group's final contents."""

    orders: tuple[OrderRow, ...]
    edits: tuple[EditRow, ...]


class Grant(NamedTuple):
    """What an organisation was granted over the whole fleet."""

    rate: float
    burst: float
    groups: frozenset[str]


class Run(NamedTuple):
    """A finished run, whole: the input of every check.

    ``withdrawn_at`` gives, by organisation and credential, when the
    withdrawal was accepted; a credential that was never granted stands
    there with minus infinity.
    """

    attempts: tuple[Attempt, ...]
    contents_by_group: dict[str, Contents]
    grants_by_organisation: dict[str, Grant]
    withdrawn_at: dict[tuple[str, str], float]


#: MySQL errors by which a member says that nothing was stored: too many
#: connections, access denied, shutting down, lock wait timeout,
#: deadlock, read-only.
_NOTHING_STORED = frozenset({1040, 1045, 1053, 1205, 1213, 1290})

_SAID_NOT_RUN = frozenset({Outcome.NOT_RUN, Outcome.ROLLED_BACK})


def said_not_run(attempt: Attempt) -> bool:
    """Say whether the caller was told that nothing was stored."""
    if attempt.verdict is not Verdict.REFUSED:
        return False
    code = CODES_BY_NUMBER.get(attempt.code)
    if code is None:
        return attempt.code in _NOTHING_STORED
    return code.outcome in _SAID_NOT_RUN


#: Characters of padding in a body: long enough that a cut answer shows.
_PADDING = 64


def make_body(request: str, revision: int) -> str:
    """Return the body an edit stores; a reader can check it alone.

    Examples
    --------
    >>> body = make_body("r1", 3)
    >>> body.startswith("00000003|r1|")
    True
    >>> is_whole(body), is_whole(body[:-1])
    (True, False)
    """
    mark = f"{revision:08d}|{request}|"
    digest = f"{crc32(mark.encode()):08x}"
    return mark + digest * (_PADDING // len(digest))


def is_whole(body: str) -> bool:
    """Say whether a body is one that some edit stored, unharmed."""
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
    seen = Seen(*record["seen"]) if record["seen"] else None
    changes = {
        "operation": Operation(record["operation"]),
        "verdict": Verdict(record["verdict"]),
        "seen": seen,
    }
    return Attempt(**{**record, **changes})
