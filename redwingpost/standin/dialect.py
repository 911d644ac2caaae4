"""From a MySQL statement to what SQLite runs.

A statement is scanned once: its literals become parameters, so that
statements which differ only in values share one *shape*, whose rewriting
is cached. What isn't the same on every member (``NOW()``, ``UUID()``,
user variables) is replaced by its value, because replication ships
statements.
"""

from typing import Any, NamedTuple

from redwingpost.standin.literals import (
    Token,
    bytes_value,
    hex_value,
    number_value,
    quote,
    scan,
    string_value,
)
from redwingpost.standin.plans import (
    DEFINITIONS,
    READS,
    Plan,
    plan_shape,
)
from redwingpost.standin.statement_values import (
    VALUES_BY_FUNCTION,
    WITHOUT_BRACKETS,
    SessionValues,
    system_value,
)


class Statement(NamedTuple):
    """A statement ready to run: its plan, parameters, stated sleep (s)."""

    plan: Plan
    parameters: tuple[Any, ...]
    sleep: float


class _Writer:
    """Collects a shape and its parameters."""

    def __init__(self) -> None:
        self.pieces: list[str] = []
        self.parameters: list[Any] = []
        self.sleep = 0.0
        self.inline = False
        self.keep_numbers = False

    def value(self, value: Any, number: bool = False) -> None:
        """Add a literal, as a parameter where the place allows it."""
        inline = self.inline or (number and self.keep_numbers)
        if inline and not (isinstance(value, str) and "\0" in value):
            self.pieces.append(str(value) if number else quote(value))
            return
        self.pieces.append("?")
        self.parameters.append(value)


def _call_end(tokens: list[Token], place: int) -> tuple[int, str]:
    """Return the place after a call's brackets and the text in them."""
    start = place + 1
    while start < len(tokens) and tokens[start].kind == "space":
        start += 1
    if start >= len(tokens) or tokens[start].text != "(":
        return place, ""
    inside = []
    for end in range(start + 1, len(tokens)):
        if tokens[end].text == ")":
            return end, "".join(inside).strip()
        inside.append(tokens[end].text)
    return place, ""


def _word(
    tokens: list[Token], place: int, writer: _Writer, values: SessionValues
) -> int:
    """Write a word or the value of a function; return its last place."""
    text = tokens[place].text
    upper = text.upper()
    if upper == "FROM":
        writer.inline = False
    elif upper == "BY":
        writer.keep_numbers = True
    elif upper == "LIMIT":
        writer.keep_numbers = False
    elif upper == "SLEEP":
        end, inside = _call_end(tokens, place)
        if end > place:
            writer.sleep += _seconds(inside)
            writer.pieces.append("0")
            return end
    elif upper in VALUES_BY_FUNCTION:
        end, inside = _call_end(tokens, place)
        plain = not inside or inside.isdigit()
        if plain and (end > place or upper in WITHOUT_BRACKETS):
            digits = int(inside) if inside else 0
            found = VALUES_BY_FUNCTION[upper](values, min(digits, 6))
            writer.value(found)
            return end
    writer.pieces.append(text)
    return place


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def translate(sql: str, values: SessionValues) -> Statement:
    """Return a statement in SQLite's dialect.

    Examples
    --------
    >>> from datetime import datetime
    >>> values = SessionValues(datetime(2026, 1, 2, 3, 4, 5))
    >>> found = translate("INSERT INTO t VALUES (1, 'a\\\\'b', NOW())", values)
    >>> found.plan.statements
    ('INSERT INTO t VALUES (?, ?, ?)',)
    >>> found.parameters
    (1, "a'b", '2026-01-02 03:04:05')
    """
    tokens = scan(sql.strip().rstrip(";").rstrip())
    first = next((t.text.upper() for t in tokens if t.kind == "word"), "")
    writer = _Writer()
    writer.inline = first in READS or first in DEFINITIONS
    place = 0
    while place < len(tokens):
        place = _token(tokens, place, writer, values, first) + 1
    shape = "".join(writer.pieces).strip()
    return Statement(
        plan_shape(first, shape), tuple(writer.parameters), writer.sleep
    )


def _token(
    tokens: list[Token],
    place: int,
    writer: _Writer,
    values: SessionValues,
    first: str,
) -> int:
    """Write one token; return the place of the last one used."""
    kind, text = tokens[place]
    if kind == "string":
        writer.value(string_value(text))
    elif kind == "bytes":
        writer.value(bytes_value(text))
    elif kind == "hex":
        writer.value(hex_value(text))
    elif kind == "number":
        _number(tokens, place, writer)
    elif kind == "uservar":
        writer.value(values.variables.get(text[1:].lower()))
        _name_variable(tokens, place, writer, first)
    elif kind == "sysvar":
        writer.value(system_value(text, values))
        _name_variable(tokens, place, writer, first)
    elif kind == "word":
        if first in DEFINITIONS:
            writer.pieces.append(text)
        else:
            return _word(tokens, place, writer, values)
    elif kind != "introducer":
        writer.pieces.append(text)
    return place


def _number(tokens: list[Token], place: int, writer: _Writer) -> None:
    """Write a number whole; a sign before a long one belongs to it.

    Minus a parameter would be computed as a float: the smallest BIGINT
    and a DECIMAL of twenty digits would come back rounded.
    """
    value = number_value(tokens[place].text)
    if isinstance(value, str) and _has_sign(tokens, place):
        writer.pieces.pop()
        value = f"-{value}"
    if isinstance(value, str) and value.lstrip("-").isdigit():
        writer.pieces.append(value)
    else:
        writer.value(value, number=True)


def _has_sign(tokens: list[Token], place: int) -> bool:
    if place < 1 or tokens[place - 1].text != "-":
        return False
    before = (t for t in reversed(tokens[: place - 1]) if t.kind != "space")
    return next(before, Token("space", "")).text in ("(", ",", "=", "<", ">")


def _name_variable(
    tokens: list[Token], place: int, writer: _Writer, first: str
) -> None:
    """Name a selected variable's column after it, as MySQL does."""
    rest = (t.text for t in tokens[place + 1 :] if t.kind != "space")
    if first == "SELECT" and next(rest, ",") == ",":
        writer.pieces.append(f" AS `{tokens[place].text}`")
