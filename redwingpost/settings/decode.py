"""Decode a parsed TOML table into a NamedTuple, or report the fault."""

from difflib import get_close_matches
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

from expression import Error, Ok, Result

from redwingpost.core import Code, Refusal


class Table(NamedTuple):
    """A table to decode, with its file and name for messages."""

    file: str
    name: str
    values: dict[str, Any]


def make_refusal(file: str, key: str, problem: str) -> Refusal:
    """Return the refusal of one key of a settings file.

    Examples
    --------
    >>> make_refusal("vm.toml", "vm.ip", "allowed: an IP address").detail
    'vm.toml: vm.ip: allowed: an IP address'
    """
    return Refusal(Code.SETTINGS_INVALID, f"{file}: {key}: {problem}")


def suggest_name(name: str, known: tuple[str, ...]) -> str:
    """Return a hint with the closest known name, or with all names.

    Examples
    --------
    >>> suggest_name("data_center", ("name", "data_centre"))
    "did you mean 'data_centre'?"
    >>> suggest_name("x", ("name", "ip"))
    'known: ip, name'
    """
    close = get_close_matches(name, known, n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    return "known: " + ", ".join(sorted(known))


def decode_table(record: type, table: Table) -> Result[Any, Refusal]:
    """Decode a table into the NamedTuple class ``record``.

    Parameters
    ----------
    record : type
        A NamedTuple class; its annotations are the allowed types.
    table : Table
        The values, with their file and table name.

    Returns
    -------
    Result
        The record, or ``Code.SETTINGS_INVALID`` with the key at fault.

    Examples
    --------
    >>> class Port(NamedTuple):
    ...     port: int
    >>> decode_table(Port, Table("f.toml", "db", {"port": 3306})).ok
    Port(port=3306)
    >>> decode_table(Port, Table("f.toml", "db", {"prt": 1})).error.detail
    "f.toml: db.prt: unknown key; did you mean 'port'?"
    """
    hints = get_type_hints(record)
    fields = tuple(hints)
    decoded = {}
    for key, value in table.values.items():
        where = f"{table.name}.{key}"
        if key not in hints:
            hint = suggest_name(key, fields)
            return Error(
                make_refusal(table.file, where, f"unknown key; {hint}")
            )
        converted = _convert(hints[key], value)
        if converted is None:
            allowed = describe_type(hints[key])
            return Error(
                make_refusal(
                    table.file, where, f"allowed: {allowed}; got {value!r}"
                )
            )
        decoded[key] = converted
    for key in fields:
        if key not in decoded and key not in record._field_defaults:
            where = f"{table.name}.{key}"
            allowed = describe_type(hints[key])
            return Error(
                make_refusal(table.file, where, f"missing; allowed: {allowed}")
            )
    return Ok(record(**decoded))


def _convert(hint: Any, value: Any) -> Any:
    """Return ``value`` as the annotated type, or None for another type."""
    if get_origin(hint) is tuple:
        return _convert_list(get_args(hint)[0], value)
    if hint is float and type(value) is int:
        return float(value)
    return value if type(value) is hint else None


def _convert_list(hint: Any, value: Any) -> tuple | None:
    if not isinstance(value, list):
        return None
    items = tuple(_convert(hint, item) for item in value)
    return None if None in items else items


def describe_type(hint: Any) -> str:
    """Describe the TOML values that an annotation allows.

    Examples
    --------
    >>> describe_type(tuple[str, ...])
    'a list of strings'
    """
    if get_origin(hint) is tuple:
        noun = describe_type(get_args(hint)[0]).split(" ", 1)[1]
        return f"a list of {noun}s"
    descriptions = {
        str: "a string",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
    }
    return descriptions.get(hint, str(hint))
