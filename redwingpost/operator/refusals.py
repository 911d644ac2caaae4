"""Why callers were refused or served late, from the nodes' log lines.

Each VM writes a line for each refusal and each late answer, with what
decided it. Counted by cause and by span of time, the lines of all VMs show
which trouble cost callers most, and when to look closer.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

#: Seconds of one column of the table.
SPAN_S = 2.0

#: Kinds of lines that are about one request which fared badly.
_REFUSED = "statement-refused"
_LATE = "statement-late"
_OVER_RATE = "over-rate"
_NO_SESSION = "session-refused"


class Cause(NamedTuple):
    """Why a request fared badly: a result code, and what explains it."""

    code: str
    detail: str


class CauseLine(NamedTuple):
    """Requests of one cause; ``count_by_span`` by the span's begin (s)."""

    cause: Cause
    count: int
    count_by_span: dict[float, int]


def read_line(line: str) -> dict[str, Any] | None:
    """Return the fields of a log line; None for anything else.

    Whatever stands before the JSON object (a time, the VM's name) is left
    out.

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
        # Lines of other programs stand between those of the nodes.
        return None
    return fields if isinstance(fields, dict) else None


def find_cause(fields: dict[str, Any]) -> Cause | None:
    """Return why a request fared badly; None for lines of other kinds.

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
    if kind == _NO_SESSION:
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
        Lines of all nodes, in any order.
    span_s : float, optional
        Seconds of one span.
    """
    counts: Counter[tuple[Cause, float]] = Counter()
    for line in lines:
        fields = read_line(line)
        cause = find_cause(fields) if fields is not None else None
        if cause is None:
            continue
        # A node that had more to say than its budget says how much more.
        weight = 1 + int(fields.get("left_out", 0))
        begin = float(fields.get("at", 0.0)) // span_s * span_s
        counts[cause, begin] += weight
    causes = {cause for cause, _ in counts}
    found = [_line_of(cause, counts) for cause in causes]
    return tuple(sorted(found, key=lambda item: (-item.count, item.cause)))


def _line_of(cause: Cause, counts: Counter[tuple[Cause, float]]) -> CauseLine:
    count_by_span = {
        begin: count
        for (of_cause, begin), count in sorted(counts.items())
        if of_cause == cause
    }
    return CauseLine(cause, sum(count_by_span.values()), count_by_span)


def _explain_refusal(fields: dict[str, Any]) -> str:
    detail = str(fields.get("detail", ""))
    # A member's own refusal names the member: one cause, not one each.
    return "a member's word" if detail == fields.get("member") else detail


def _explain_rate(fields: dict[str, Any]) -> str:
    is_below = fields.get("demand_per_s", 0.0) <= fields.get("rate", 0.0)
    asked = "below the rate" if is_below else "above the rate"
    whole = fields.get("part", 1.0) >= 1.0
    return f"{asked}, {'whole fleet' if whole else 'part of the fleet'}"


def _explain_late(fields: dict[str, Any]) -> str:
    waited_s = fields.get("waited_s", 0.0)
    ran_s = fields.get("ran_s", 0.0)
    if int(fields.get("tries", 1)) > 1:
        return "more than one try"
    return "waited" if waited_s > ran_s else "ran long"
