"""Causes of refused and late requests, counted from the VMs' log lines.

Each VM logs each refusal and each late answer with the inputs of the
decision. The lines of all VMs, counted by cause and by span of time, show
which cause affected callers most, and when.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

#: Span of one column of the table (seconds).
SPAN_S = 2.0

#: Kinds of log lines about one refused or late request.
_REFUSED = "statement-refused"
_LATE = "statement-late"
_OVER_RATE = "over-rate"
_SESSION_REFUSED = "session-refused"


class Cause(NamedTuple):
    """The cause of a refused or late request: a code and its detail."""

    code: str
    detail: str


class CauseLine(NamedTuple):
    """Requests of one cause; ``count_by_span`` by the span's start (s)."""

    cause: Cause
    count: int
    count_by_span: dict[float, int]


def read_line(line: str) -> dict[str, Any] | None:
    """Return the fields of a log line; None for anything else.

    Text before the JSON object (a time, the VM's name) is ignored.

    Examples
    --------
    >>> read_line('12.5 vm-1 {"kind":"started","at":3.0}')["kind"]
    'started'
    >>> read_line("no object") is None
    True
    """
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        fields = decode(line[begin:])
    except DecodeError:
        # The log may also contain lines of other programs.
        return None
    return fields if isinstance(fields, dict) else None


def find_cause(fields: dict[str, Any]) -> Cause | None:
    """Return a line's cause; None for lines of other kinds.

    Examples
    --------
    >>> find_cause({"kind": "over-rate", "part": 0.5, "rate": 9.0,
    ...             "demand_per_s": 3.0})
    Cause(code='over-rate', detail='below the rate, part of the fleet')
    """
    kind = fields.get("kind")
    if kind == _OVER_RATE:
        return Cause("over-rate", _explain_rate(fields))
    if kind == _LATE:
        return Cause("late", _explain_late(fields))
    if kind == _SESSION_REFUSED:
        return Cause(str(fields.get("code")), "no session")
    if kind == _REFUSED:
        return Cause(str(fields.get("code")), _explain_refusal(fields))
    return None


def count_causes(
    lines: Iterable[str], span_s: float = SPAN_S
) -> tuple[CauseLine, ...]:
    """Return the causes of all lines, the most frequent first.

    Parameters
    ----------
    lines : iterable of str
        Log lines of all VMs, in any order.
    span_s : float, optional
        Seconds of one span.
    """
    counts: Counter[tuple[Cause, float]] = Counter()
    for line in lines:
        fields = read_line(line)
        cause = find_cause(fields) if fields is not None else None
        if cause is None:
            continue
        # ``left_out`` counts lines that the rate limit suppressed.
        weight = 1 + int(fields.get("left_out", 0))
        begin = float(fields.get("at", 0.0)) // span_s * span_s
        counts[cause, begin] += weight
    causes = {cause for cause, _ in counts}
    cause_lines = [_make_line(cause, counts) for cause in causes]
    return tuple(
        sorted(cause_lines, key=lambda item: (-item.count, item.cause))
    )


def _make_line(
    cause: Cause, counts: Counter[tuple[Cause, float]]
) -> CauseLine:
    count_by_span = {
        begin: count
        for (line_cause, begin), count in sorted(counts.items())
        if line_cause == cause
    }
    return CauseLine(cause, sum(count_by_span.values()), count_by_span)


def _explain_refusal(fields: dict[str, Any]) -> str:
    detail = str(fields.get("detail", ""))
    # The detail of a member's own refusal is the member's name. A common
    # text counts the refusals of all members as one cause.
    return "a member's word" if detail == fields.get("member") else detail


def _explain_rate(fields: dict[str, Any]) -> str:
    is_below = fields.get("demand_per_s", 0.0) <= fields.get("rate", 0.0)
    demand = "below the rate" if is_below else "above the rate"
    whole = fields.get("part", 1.0) >= 1.0
    return f"{demand}, {'whole fleet' if whole else 'part of the fleet'}"


def _explain_late(fields: dict[str, Any]) -> str:
    waited_s = fields.get("waited_s", 0.0)
    ran_s = fields.get("ran_s", 0.0)
    if int(fields.get("tries", 1)) > 1:
        return "more than one try"
    return "waited" if waited_s > ran_s else "ran long"
