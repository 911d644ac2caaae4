"""Translation of MySQL statements to SQLite's dialect.

A statement is scanned once and its literals become parameters, so that
statements which differ only in values share one *shape*, whose rewriting
is cached. Replication transfers statements, so expressions whose value
differs between members (``NOW()``, ``UUID()``, user variables) are
replaced by their values.
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
    """A statement ready to run: plan, parameters and SLEEP time."""

    plan: Plan
    parameters: tuple[Any, ...]
    sleep_s: float


class _ShapeBuilder:
    """Collects the pieces of a shape and its parameters.

    ``inline_all`` writes all literals into the shape, ``inline_numbers``
    only numbers.
    """

    def __init__(self) -> None:
        self.pieces: list[str] = []
        self.parameters: list[Any] = []
        self.sleep_s = 0.0
        self.inline_all = False
        self.inline_numbers = False

    def add_literal(self, value: Any, number: bool = False) -> None:
        """Add a literal, as a parameter unless it has to be inlined."""
        inline = self.inline_all or (number and self.inline_numbers)
        if inline and not (isinstance(value, str) and "\0" in value):
            self.pieces.append(str(value) if number else quote(value))
            return
        self.pieces.append("?")
        self.parameters.append(value)


def _call_end(tokens: list[Token], index: int) -> tuple[int, str]:
    """Return the index of a call's closing bracket and its argument text.

    If no call starts at ``index``, return ``index`` and an empty text.
    """
    start = index + 1
    while start < len(tokens) and tokens[start].kind == "space":
        start += 1
    if start >= len(tokens) or tokens[start].text != "(":
        return index, ""
    inside = []
    for end in range(start + 1, len(tokens)):
        if tokens[end].text == ")":
            return end, "".join(inside).strip()
        inside.append(tokens[end].text)
    return index, ""


def _write_word(
    tokens: list[Token],
    index: int,
    builder: _ShapeBuilder,
    values: SessionValues,
) -> int:
    """Write a word or a function's value; return the last index used."""
    text = tokens[index].text
    upper = text.upper()
    if upper == "FROM":
        builder.inline_all = False
    elif upper == "BY":
        builder.inline_numbers = True
    elif upper == "LIMIT":
        builder.inline_numbers = False
    elif upper == "SLEEP":
        end, inside = _call_end(tokens, index)
        if end > index:
            builder.sleep_s += _seconds(inside)
            builder.pieces.append("0")
            return end
    elif upper in VALUES_BY_FUNCTION:
        end, inside = _call_end(tokens, index)
        plain = not inside or inside.isdigit()
        if plain and (end > index or upper in WITHOUT_BRACKETS):
            digits = int(inside) if inside else 0
            value = VALUES_BY_FUNCTION[upper](values, min(digits, 6))
            builder.add_literal(value)
            return end
    builder.pieces.append(text)
    return index


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def translate(sql: str, values: SessionValues) -> Statement:
    """Translate a statement to SQLite's dialect.

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
    builder = _ShapeBuilder()
    builder.inline_all = first in READS or first in DEFINITIONS
    index = 0
    while index < len(tokens):
        index = _write_token(tokens, index, builder, values, first) + 1
    shape = "".join(builder.pieces).strip()
    return Statement(
        plan_shape(first, shape), tuple(builder.parameters), builder.sleep_s
    )


def _write_token(
    tokens: list[Token],
    index: int,
    builder: _ShapeBuilder,
    values: SessionValues,
    first: str,
) -> int:
    """Write one token; return the index of the last token used."""
    kind, text = tokens[index]
    if kind == "string":
        builder.add_literal(string_value(text))
    elif kind == "bytes":
        builder.add_literal(bytes_value(text))
    elif kind == "hex":
        builder.add_literal(hex_value(text))
    elif kind == "number":
        _write_number(tokens, index, builder)
    elif kind == "uservar":
        builder.add_literal(values.variables.get(text[1:].lower()))
        _name_variable(tokens, index, builder, first)
    elif kind == "sysvar":
        builder.add_literal(system_value(text, values))
        _name_variable(tokens, index, builder, first)
    elif kind == "word":
        if first in DEFINITIONS:
            builder.pieces.append(text)
        else:
            return _write_word(tokens, index, builder, values)
    elif kind != "introducer":
        builder.pieces.append(text)
    return index


def _write_number(
    tokens: list[Token], index: int, builder: _ShapeBuilder
) -> None:
    """Write a number without loss; join a sign to a long number.

    SQLite would negate a parameter as a float, so that the smallest
    BIGINT and a DECIMAL of twenty digits would be read back rounded.
    """
    value = number_value(tokens[index].text)
    if isinstance(value, str) and _has_sign(tokens, index):
        builder.pieces.pop()
        value = f"-{value}"
    if isinstance(value, str) and value.lstrip("-").isdigit():
        builder.pieces.append(value)
    else:
        builder.add_literal(value, number=True)


def _has_sign(tokens: list[Token], index: int) -> bool:
    if index < 1 or tokens[index - 1].text != "-":
        return False
    before = (t for t in reversed(tokens[: index - 1]) if t.kind != "space")
    return next(before, Token("space", "")).text in ("(", ",", "=", "<", ">")


def _name_variable(
    tokens: list[Token], index: int, builder: _ShapeBuilder, first: str
) -> None:
    """Name the column of a selected variable after it, as MySQL does."""
    rest = (t.text for t in tokens[index + 1 :] if t.kind != "space")
    if first == "SELECT" and next(rest, ",") == ",":
        builder.pieces.append(f" AS `{tokens[index].text}`")
