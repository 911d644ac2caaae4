"""The differences between two configurations, one line each.

The lines are written to the audit record and to the operator's terminal.
They contain hashes of keys, never keys.
"""

from json import dumps, loads
from typing import Any

#: Lines at most, so that the audit record fits into a table row. The bodies
#: of both versions hold the whole of a larger change.
MAX_LINES = 50


def canonical(body: Any) -> bytes:
    """Return the canonical JSON of a body: equal bodies, equal bytes.

    Examples
    --------
    >>> canonical({"b": 1, "a": [2]})
    b'{"a":[2],"b":1}'
    """
    return dumps(
        body, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    ).encode()


def describe_changes(old: bytes, new: bytes) -> tuple[str, ...]:
    """Return one line for each difference between two bodies.

    Parameters
    ----------
    old, new : bytes
        JSON bodies; empty bytes mean that there is no body yet.

    Examples
    --------
    >>> describe_changes(b'{"a": {"rate": 1}}', b'{"a": {"rate": 2}}')
    ('a.rate: 1 -> 2',)
    >>> describe_changes(b'{"g": ["x", "y"]}', b'{"g": ["y", "z"]}')
    ('g: + "z"', 'g: - "x"')
    """
    before = loads(old) if old else {}
    after = loads(new) if new else {}
    lines = _compare("", before, after)
    if len(lines) > MAX_LINES:
        hidden = len(lines) - MAX_LINES
        lines = lines[:MAX_LINES] + [f"and {hidden} more changes"]
    return tuple(lines)


def _compare(path: str, old: Any, new: Any) -> list[str]:
    if old == new:
        return []
    if isinstance(old, dict) and isinstance(new, dict):
        return _compare_tables(path, old, new)
    if isinstance(old, list) and isinstance(new, list):
        return _compare_lists(path, old, new)
    return [f"{path}: {_show(old)} -> {_show(new)}"]


def _compare_tables(path: str, old: dict, new: dict) -> list[str]:
    lines = []
    for key in sorted(old.keys() | new.keys()):
        where = f"{path}.{key}" if path else key
        if key not in old:
            lines.append(f"{where}: + {_show(new[key])}")
        elif key not in new:
            lines.append(f"{where}: - {_show(old[key])}")
        else:
            lines.extend(_compare(where, old[key], new[key]))
    return lines


def _compare_lists(path: str, old: list, new: list) -> list[str]:
    before = {_show(item) for item in old}
    after = {_show(item) for item in new}
    added = [f"{path}: + {item}" for item in sorted(after - before)]
    removed = [f"{path}: - {item}" for item in sorted(before - after)]
    return added + removed


def _show(value: Any) -> str:
    return canonical(value).decode()
