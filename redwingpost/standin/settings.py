"""Settings of the stand-ins: TOML, checked, with the defaults' grounds."""

from difflib import get_close_matches
from pathlib import Path
from tomllib import TOMLDecodeError, loads
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import Code, Refusal


class Endpoint(NamedTuple):
    """An address to listen on; port 0 takes a free one."""

    ip: str
    port: int = 0
    data_centre: str = ""


class GroupSettings(NamedTuple):
    """Settings of one database group's members.

    The defaults are the sites' sizes of today: 5 slots, 32 connections,
    12 ms for a new connection. Times are milliseconds. ``write_ms`` is
    what a commit costs, ``step_ms`` what a write inside an open
    transaction costs.
    """

    group: str
    members: dict[str, Endpoint]
    primary: str = ""
    faults: Endpoint = Endpoint("127.0.0.1")
    connections: int = 32
    slots: int = 5
    connect_ms: float = 12.0
    read_ms: float = 4.0
    write_ms: float = 6.0
    step_ms: float = 0.5
    apply_lag_ms: float = 5.0
    lock_wait_ms: float = 5000.0
    pull_hold_ms: float = 25.0
    statements_kept: int = 20_000
    link_faults: bool = False

    @property
    def first_primary(self) -> str:
        """The member that leads term 1."""
        return self.primary or next(iter(self.members))


class VmSettings(NamedTuple):
    """One VM of the platform's list."""

    vm: str
    data_centre: str
    ip: str
    agent_port: int
    proxy_port: int
    state: str = "live"


class PlatformSettings(NamedTuple):
    """Settings of the platform: the store's limits, the list's lag.

    The limits are per second, as the platform gives them: several
    hundred writes and about two thousand reads.
    """

    listen: Endpoint = Endpoint("127.0.0.1")
    faults: Endpoint = Endpoint("127.0.0.1")
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0
    list_lag_s: float = 3.0
    vms: tuple[VmSettings, ...] = ()


_Fields = dict[str, Any]


class _Broken(Exception):
    """A rule that a settings file breaks."""


def _build(kind: type, given: Any, place: str) -> Any:
    """Return ``kind`` from a TOML table; names unknown keys."""
    if not isinstance(given, dict):
        raise _Broken(f"{place}: a table is wanted")
    known = kind._fields
    for key in given:
        if key not in known:
            near = get_close_matches(key, known, 1)
            hint = f"; did you mean {near[0]!r}?" if near else ""
            allowed = ", ".join(known)
            raise _Broken(
                f"{place}: unknown key {key!r}{hint} (allowed: {allowed})"
            )
    missing = [
        name
        for name in known
        if name not in given and name not in kind._field_defaults
    ]
    if missing:
        raise _Broken(f"{place}: {missing[0]!r} is missing")
    for name, value in given.items():
        _check(kind, name, value, place)
    return kind(**given)


def _check(kind: type, name: str, value: Any, place: str) -> None:
    wanted = kind.__annotations__[name]
    if wanted is float and isinstance(value, int):
        return
    if wanted in (str, int, float, bool) and type(value) is not wanted:
        raise _Broken(f"{place}: {name!r} must be of type {wanted.__name__}")
    if wanted in (int, float) and value < 0:
        raise _Broken(f"{place}: {name!r} must not be negative")


def _group(given: _Fields) -> GroupSettings:
    fields = dict(given)
    members = fields.get("members", {})
    if not isinstance(members, dict) or not members:
        raise _Broken("members: at least one member is wanted")
    fields["members"] = {
        name: _build(Endpoint, member, f"members.{name}")
        for name, member in members.items()
    }
    if "faults" in fields:
        fields["faults"] = _build(Endpoint, fields["faults"], "faults")
    settings = _build(GroupSettings, fields, "group settings")
    if settings.first_primary not in settings.members:
        raise _Broken(f"primary: no member {settings.primary!r}")
    return settings


def _platform(given: _Fields) -> PlatformSettings:
    fields = dict(given)
    for name in ("listen", "faults"):
        if name in fields:
            fields[name] = _build(Endpoint, fields[name], name)
    vms = fields.get("vms", [])
    if not isinstance(vms, list):
        raise _Broken("vms: an array of tables is wanted")
    fields["vms"] = tuple(
        _build(VmSettings, vm, f"vms[{place}]") for place, vm in enumerate(vms)
    )
    return _build(PlatformSettings, fields, "platform settings")


def _parse(text: str, source: str, build) -> Result[Any, Refusal]:
    try:
        return Ok(build(loads(text)))
    except (_Broken, TOMLDecodeError) as broken:
        return Error(Refusal(Code.SETTINGS_INVALID, f"{source}: {broken}"))


def parse_group(text: str, source: str = "") -> Result[GroupSettings, Refusal]:
    """Read a group's settings.

    Parameters
    ----------
    text : str
        TOML.
    source : str
        File name, for messages.

    Returns
    -------
    Result of GroupSettings, Refusal
        The refusal names the file, the key and what is allowed.

    Examples
    --------
    >>> parse_group('group = "g"\\n[members.a]\\nip = "127.1.1.1"').is_ok()
    True
    """
    return _parse(text, source, _group)


def parse_platform(
    text: str, source: str = ""
) -> Result[PlatformSettings, Refusal]:
    """Read the platform's settings; see `parse_group`."""
    return _parse(text, source, _platform)


def read_settings(path: Path, parse) -> Result[Any, Refusal]:
    """Read a settings file with one of the parsers above."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as broken:
        return Error(Refusal(Code.SETTINGS_INVALID, f"{path}: {broken}"))
    return parse(text, str(path))
