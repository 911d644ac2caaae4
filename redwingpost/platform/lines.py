"""Parser and renderer for the line protocol of callers and members.

Text is decoded as Latin-1, which maps every byte to one character and
back, so that opaque texts pass unchanged.
"""

from typing import NamedTuple

from redwingpost.core.codes import Code, Outcome
from redwingpost.core.foreign import parse_whole
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import (
    Answer,
    Shape,
    Statement,
    StatementKind,
)
from redwingpost.ports.database import (
    FailureKind,
    MemberFailure,
    Reply,
    StatusReport,
)
from redwingpost.statements.session import Phase
from redwingpost.statements.setup import Discard, SetupStep, SetValue

ENCODING = "latin-1"

#: Largest message in bytes, as the platform specifies it.
MAX_MESSAGE_BYTES = 1024 * 1024

#: Stands for an empty field, and for the request id of statements that the
#: proxy itself sends.
EMPTY_FIELD = "-"

_LINE_END = "\r\n"
_KIND_BY_KEYWORD = {
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "READ": StatementKind.READ,
    "WRITE": StatementKind.WRITE,
    "EXECUTE": StatementKind.EXECUTE,
    "SET": StatementKind.SET_VALUE,
    "PREPARE": StatementKind.PREPARE,
    "CLOSE": StatementKind.CLOSE,
}
_FAILURE_BY_KEYWORD = {
    "BUSY": FailureKind.FULL,
    "MAXCONN": FailureKind.TOO_MANY_CONNECTIONS,
    "WRONGNODE": FailureKind.WRONG_MEMBER,
    "LAGGING": FailureKind.BEHIND,
    "READONLY": FailureKind.NOT_PRIMARY,
    "NOSTMT": FailureKind.NOT_PREPARED,
    "EXECFAIL": FailureKind.FAILED,
    "TIMEOUT": FailureKind.TIMED_OUT,
    "MALFORMED": FailureKind.MALFORMED,
}
_STATE_BY_PHASE = {
    Phase.IDLE: "I",
    Phase.IN_TRANSACTION: "T",
    Phase.FAILED: "E",
}
_KEYWORD_BY_CODE = {
    Code.WRONG_KEY.name: "AUTHFAIL",
    Code.KEY_WITHDRAWN.name: "AUTHFAIL",
    Code.UNKNOWN_GROUP.name: "NODB",
    Code.TOO_LARGE.name: "TOOLARGE",
    Code.UNSUPPORTED.name: "MALFORMED",
    Code.NOT_FRESH.name: "LAGGING",
    Code.TIMED_OUT.name: "TIMEOUT",
}
_KEYWORD_BY_OUTCOME = {
    Outcome.NOT_RUN: "BUSY",
    Outcome.ROLLED_BACK: "ABORTED",
    Outcome.UNKNOWN: "INDOUBT",
    Outcome.NOT_APPLICABLE: "BUSY",
}


#: Keywords of errors that promise that nothing of the attempt is kept.
PROMISES = frozenset(
    ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN")
)


class Startup(NamedTuple):
    """A caller's request to open a session; ``key`` may be empty."""

    database: str
    key: str


class Terminate(NamedTuple):
    """A caller's request to end its session."""


class Malformed(NamedTuple):
    """A line that can't be parsed.

    ``request`` is its request id, or empty if it has none.
    """

    detail: str
    request: str = ""


CallerMessage = Startup | Statement | Terminate | Malformed


def to_wire(name: str) -> str:
    """Return the text by which a configured name is sent.

    Lines are read and written byte by byte (``ENCODING``), so that what
    callers send reaches members unchanged. Names in the configuration are
    characters, which are sent in UTF-8.

    Examples
    --------
    >>> to_wire("diocese"), to_wire("é")
    ('diocese', 'Ã©')
    """
    return name.encode().decode(ENCODING)


def from_wire(text: str) -> str:
    """Return the configured name for which a text was sent.

    Examples
    --------
    >>> from_wire(to_wire("教區")), from_wire("\xe9")
    ('教區', 'é')
    """
    try:
        return text.encode(ENCODING).decode()
    except UnicodeError:
        return text


def has_control_characters(line: str) -> bool:
    """Return whether a line holds a CR, LF or NUL.

    A member might take a bare LF or CR as the end of a line and run the
    rest as another statement. A NUL might truncate the line.
    """
    return any(character in line for character in "\r\n\0")


def parse_caller_line(line: str) -> CallerMessage:
    """Parse a caller's line, given without its line end.

    Examples
    --------
    >>> parse_caller_line("STARTUP shop u3f1")
    Startup(database='shop', key='u3f1')
    >>> parse_caller_line("QUERY 7 READ 1a4").kind.value
    'read'
    >>> parse_caller_line("QUERY 7 STATUS").detail
    'unknown statement'
    """
    if has_control_characters(line):
        return Malformed("control characters")
    keyword, _, rest = line.partition(" ")
    if keyword == "QUERY":
        request, _, text = rest.partition(" ")
        return _parse_statement(request, text)
    if keyword == "STARTUP":
        database, _, key = rest.partition(" ")
        return Startup(from_wire(database), from_wire(key))
    if line == "TERMINATE":
        return Terminate()
    return Malformed("unknown message")


def _parse_statement(request: str, text: str) -> Statement | Malformed:
    if request in ("", EMPTY_FIELD):
        return Malformed("no id")
    if text == "BEGIN":
        return Statement(request, StatementKind.BEGIN, text)
    if text == "BEGIN READ":
        return Statement(request, StatementKind.BEGIN_READ_ONLY, text)
    keyword, _, rest = text.partition(" ")
    kind = _KIND_BY_KEYWORD.get(keyword)
    if kind is None:
        return Malformed("unknown statement", request)
    if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        if rest:
            return Malformed("nothing may follow", request)
        return Statement(request, kind, text)
    if not rest:
        return Malformed("something must follow", request)
    return _parse_arguments(request, kind, text, rest)


def _parse_arguments(
    request: str, kind: StatementKind, text: str, rest: str
) -> Statement | Malformed:
    if kind in (StatementKind.READ, StatementKind.WRITE):
        return Statement(request, kind, text)
    name, _, argument = rest.partition(" ")
    if kind is not StatementKind.PREPARE:
        return Statement(request, kind, text, name, argument)
    mode, _, shape = argument.partition(" ")
    if mode not in ("READ", "WRITE") or not shape:
        return Malformed("READ or WRITE and a shape must follow", request)
    prepared = Shape(mode == "WRITE", shape)
    return Statement(request, kind, text, name, argument, prepared)


def render_answer(
    outcome: Answer | MemberFailure | Refusal,
    phase: Phase,
    position: Position | None,
) -> bytes:
    """Return the bytes of the answer to a caller's statement.

    Examples
    --------
    >>> render_answer(Answer(("x",), "p"), Phase.IDLE, Position(3, 9))
    b'DATAROW x\\r\\nCOMPLETE p\\r\\nREADY I 3.9\\r\\n'
    """
    if isinstance(outcome, Answer):
        lines = [f"DATAROW {row}" for row in outcome.rows]
        lines.append(f"COMPLETE {outcome.proof or EMPTY_FIELD}")
    else:
        lines = [render_error(outcome)]
    state = _STATE_BY_PHASE[phase]
    lines.append(f"READY {state} {format_position(position)}")
    return (_LINE_END.join(lines) + _LINE_END).encode(ENCODING, "replace")


def render_error(error: MemberFailure | Refusal) -> str:
    """Return the line of an error, without its line end.

    Examples
    --------
    >>> render_error(Refusal(Code.OVER_RATE, "", 120)).split()[:2]
    ['ERROR', 'BUSY']
    """
    if isinstance(error, MemberFailure):
        return f"ERROR {error.keyword} {error.detail or EMPTY_FIELD}"
    keyword = _KEYWORD_BY_CODE.get(error.code.name)
    if keyword is None:
        keyword = _KEYWORD_BY_OUTCOME[error.code.outcome]
    return f"ERROR {keyword} {error.code.number} {error.describe()}"


def format_position(position: Position | None) -> str:
    """Return a position in the members' notation, "-" for none."""
    return "-" if position is None else f"{position.term}.{position.index}"


def parse_position(text: str) -> Position | None:
    """Return a position; None for "-" and for invalid text.

    Examples
    --------
    >>> parse_position("3.1207")
    Position(term=3, index=1207)
    >>> parse_position("-") is None
    True
    """
    term, dot, index = text.partition(".")
    numbers = parse_whole(term), parse_whole(index)
    return Position(*numbers) if dot and None not in numbers else None


def statement_text(
    statement: Statement, after: Position | None, prepared_as: str
) -> str:
    """Return a statement's text for a member.

    It is the caller's text with two changes: a prepared statement has the
    name that it has on the connection, and the position that a read must
    wait for is put in front.
    """
    text = statement.text
    if prepared_as:
        # The rest is kept as it came: data may end in blanks.
        rest = text.removeprefix(f"EXECUTE {statement.name}")
        text = f"EXECUTE {prepared_as}{rest}"
    if after is not None:
        text = f"WAITLSN {format_position(after)} {text}"
    return text


def query_line(request: str, text: str) -> str:
    """Return the line, with its line end, of a request to a member."""
    return f"QUERY {request} {text}{_LINE_END}"


def step_text(step: SetupStep) -> str:
    """Return the text of a set-up step for a member.

    Examples
    --------
    >>> from redwingpost.statements.setup import Prepare
    >>> step_text(Prepare("p1", Shape(False, "q2c")))
    'PREPARE p1 READ q2c'
    >>> step_text(SetValue("tone", "low"))
    'SET tone low'
    """
    if isinstance(step, Discard):
        return "DISCARD"
    if isinstance(step, SetValue):
        return f"SET {step.name} {step.value}"
    mode = "WRITE" if step.shape.writes else "READ"
    return f"PREPARE {step.name} {mode} {step.shape.text}"


class ReplyParser:
    """Assembles a member's answer from its lines."""

    def __init__(self) -> None:
        self._rows: list[str] = []
        self._proof = ""
        self._failure: MemberFailure | None = None
        self._has_outcome = False

    def feed(self, line: str) -> Reply | None:
        """Add one line; return the answer once it is complete.

        Raises
        ------
        ValueError
            If the line isn't allowed at this point of an answer.
        """
        keyword, _, rest = line.partition(" ")
        if keyword == "READY" and self._has_outcome:
            state, _, position = rest.partition(" ")
            return Reply(
                tuple(self._rows),
                self._proof,
                self._failure,
                parse_position(position),
                state != "I",
            )
        if self._has_outcome:
            raise ValueError(f"unexpected {keyword!r}")
        if keyword == "DATAROW":
            self._rows.append(rest)
        elif keyword == "COMPLETE":
            self._proof = rest
            self._has_outcome = True
        elif keyword == "ERROR":
            self._failure = parse_failure(rest)
            self._has_outcome = True
        else:
            raise ValueError(f"unexpected {keyword!r}")
        return None


def parse_failure(rest: str) -> MemberFailure:
    """Parse the part of an error line that follows ``ERROR``.

    Examples
    --------
    >>> parse_failure("LAGGING 3.1").kind.value
    'behind'
    """
    keyword, _, detail = rest.partition(" ")
    kind = _FAILURE_BY_KEYWORD.get(keyword, FailureKind.OTHER)
    return MemberFailure(kind, keyword, detail)


def parse_status(row: str) -> StatusReport | None:
    """Parse the row of a member's status; None if it is invalid.

    Examples
    --------
    >>> parse_status("replica 3 3.1209 0 12 2 17").received
    Position(term=3, index=1209)
    """
    fields = row.split(" ")
    if len(fields) < 7:
        return None
    received = parse_position(fields[2])
    numbers = [parse_whole(item) for item in (fields[1], *fields[3:7])]
    if received is None or None in numbers:
        return None
    term, paused_for, lag_ms, busy, connections = numbers
    return StatusReport(
        fields[0] == "primary",
        term,
        received,
        paused_for,
        lag_ms,
        busy,
        connections,
    )
