"""Compares the measures of two runs, before and after a change."""

from typing import Any, NamedTuple


class Difference(NamedTuple):
    """One measure before and after; ``change`` is for numbers."""

    name: str
    before: Any
    after: Any
    change: float | None


def flatten(measures: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    """Return nested measures under dotted names, lists as lengths.

    Examples
    --------
    >>> flatten({"latency_ms": {"p50": 1.0}, "violations": [1, 2]})
    {'latency_ms.p50': 1.0, 'violations': 2}
    """
    flat: dict[str, Any] = {}
    for name, value in measures.items():
        if isinstance(value, dict):
            flat.update(flatten(value, f"{prefix}{name}."))
        elif isinstance(value, list):
            flat[prefix + name] = len(value)
        else:
            flat[prefix + name] = value
    return flat


def compare(before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    """Compare every measure that either run has.

    Examples
    --------
    >>> compare({"p": 2.0}, {"p": 3.0})
    [Difference(name='p', before=2.0, after=3.0, change=1.0)]
    """
    first, second = flatten(before), flatten(after)
    names = list(first) + [name for name in second if name not in first]
    return [
        Difference(
            name,
            first.get(name),
            second.get(name),
            _change(first.get(name), second.get(name)),
        )
        for name in names
    ]


def _change(before: Any, after: Any) -> float | None:
    if not isinstance(before, (int, float)):
        return None
    if not isinstance(after, (int, float)):
        return None
    return round(after - before, 4)


def render(differences: list[Difference]) -> str:
    """Return the differences as plain text in columns."""
    lines = [f"{'measure':34} {'before':>14} {'after':>14} {'change':>10}"]
    for difference in differences:
        change = "" if difference.change is None else f"{difference.change:+}"
        lines.append(
            f"{difference.name:34} {_text(difference.before):>14} "
            f"{_text(difference.after):>14} {change:>10}"
        )
    return "\n".join(lines)


def _text(value: Any) -> str:
    return "–" if value is None else str(value)
