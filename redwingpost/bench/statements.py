"""The SQL of each operation, and the parsing of its answer.

Every statement holds the request's name as a literal that the answer
repeats. A second execution of an order is detectable as a second row,
that of an edit changes nothing, as with both sites' own operations.
"""

from typing import Any, NamedTuple

from redwingpost.bench.history import Operation, ReadRow, make_body

#: Tables of the bench in MySQL's syntax, created on every group's
#: primary.
SCHEMA = (
    "CREATE TABLE IF NOT EXISTS orders ("
    "id BIGINT AUTO_INCREMENT PRIMARY KEY, "
    "organisation VARCHAR(64) NOT NULL, request VARCHAR(64) NOT NULL, "
    "part INT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS edits ("
    "organisation VARCHAR(64) NOT NULL, document VARCHAR(64) NOT NULL, "
    "revision INT NOT NULL, request VARCHAR(64) NOT NULL, "
    "body VARCHAR(255) NOT NULL, "
    "PRIMARY KEY (organisation, document, revision))",
)

#: Shared documents (notices, schedules) per organisation and group.
SHARED_DOCUMENTS = 3

#: Seconds that a long job holds a slot, twenty times as long as a read.
JOB_S = 0.8

#: Deadline of a request, in milliseconds.
DEADLINE_MS = 2000

#: Deadline of a long job, in milliseconds.
JOB_DEADLINE_MS = 6000


class StatementValues(NamedTuple):
    """The values that a request's statements contain."""

    request: str
    organisation: str
    document: str = ""
    revision: int = 0


def render_marks(
    kind: str,
    operation: Operation,
    request: str,
    max_staleness_ms: int = 0,
    token: str = "",
) -> str:
    """Return the leading SQL comment with a request's marks.

    Examples
    --------
    >>> render_marks("order", Operation.ORDER, "r1")
    '/* redwing: kind=order, deadline_ms=2000, non_idempotent */ '
    """
    job = operation is Operation.JOB
    marks = [
        f"kind={kind}",
        f"deadline_ms={JOB_DEADLINE_MS if job else DEADLINE_MS}",
    ]
    if operation is Operation.ORDER:
        marks.append("non_idempotent")
    if operation is Operation.KEYED_ORDER:
        marks.append(f"idempotency_key={request}")
    if max_staleness_ms:
        marks.append(f"max_staleness_ms={max_staleness_ms}")
    if token:
        marks.append(f"token={token}")
    return f"/* redwing: {', '.join(marks)} */ "


def render_read(values: StatementValues) -> str:
    """Return the query for a document's newest revision.

    The body begins with the revision, so that ``MAX(body)`` is the newest
    one.
    """
    return (
        f"SELECT '{values.request}' AS answers, @@hostname AS member, "
        "COALESCE(MAX(organisation), '') AS organisation, "
        "COALESCE(MAX(revision), 0) AS revision, "
        "COALESCE(MAX(body), '') AS body FROM edits "
        f"WHERE organisation = '{values.organisation}' "
        f"AND document = '{values.document}'"
    )


def render_edit(values: StatementValues) -> str:
    """Return the statement that stores one revision of a document."""
    body = make_body(values.request, values.revision)
    return (
        "REPLACE INTO edits (organisation, document, revision, request, "
        f"body) VALUES ('{values.organisation}', '{values.document}', "
        f"{values.revision}, '{values.request}', '{body}')"
    )


def render_order(values: StatementValues, part: int = 1) -> str:
    """Return the statement that appends one order."""
    return (
        "INSERT INTO orders (organisation, request, part) VALUES "
        f"('{values.organisation}', '{values.request}', {part})"
    )


def render_job(values: StatementValues) -> str:
    """Return a query that holds a slot for a long time."""
    return (
        f"SELECT '{values.request}' AS answers, @@hostname AS member, "
        f"'' AS organisation, 0 AS revision, '' AS body, "
        f"SLEEP({JOB_S}) AS slept"
    )


def render(operation: Operation, values: StatementValues) -> tuple[str, ...]:
    """Return the statements of an operation, in order.

    Examples
    --------
    >>> pair = render(Operation.PAIR, StatementValues("r1", "o"))
    >>> pair[0], len(pair)
    ('BEGIN', 4)
    """
    if operation.reads:
        return (render_read(values),)
    if operation is Operation.JOB:
        return (render_job(values),)
    if operation is Operation.PAIR:
        parts = (render_order(values, 1), render_order(values, 2))
        return ("BEGIN", *parts, "COMMIT")
    if operation.orders:
        return (render_order(values),)
    return (render_edit(values),)


class Answer(NamedTuple):
    """The row of a read, and the member that served it."""

    seen: ReadRow
    member: str


def parse_answer(row: tuple[Any, ...]) -> Answer:
    """Parse the row of a document query or a long job."""
    answers, member, organisation, revision, body = row[:5]
    seen = ReadRow(answers, organisation, int(revision), body)
    return Answer(seen, member)
