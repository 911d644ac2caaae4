"""Settings of the stand-ins, read from TOML and checked."""

from difflib import get_close_matches
from pathlib import Path
from tomllib import TOMLDecodeError, loads
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import Code, Refusal


class Endpoint(NamedTuple):
    """An address to listen on; port 0 selects a free port."""

    ip: str
    port: int = 0
    data_centre: str = ""


class GroupSettings(NamedTuple):
    """Settings of one database group's members.

    The default limits are those of the users' databases: 5 slots, 32
    connections, 12 ms for a new connection. Times are milliseconds.
    ``write_ms`` is the duration of a commit, ``step_ms`` that of a write
    inside an open transaction. A primary without new entries delays the
    answer to a pull by up to ``pull_hold_ms``. A member keeps the last
    ``statements_kept`` statements for tests.
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
        """The member that is the primary of term 1."""
        return self.primary or next(iter(self.members))


class VmSettings(NamedTuple):
    """A VM in the platform's list."""

    vm: str
    data_centre: str
    ip: str
    agent_port: int
    proxy_port: int
    state: str = "live"


class PlatformSettings(NamedTuple):
    """Settings of the platform: rate limits and lag of the VM list.

    The default limits follow the real platform, which accepts several
    hundred writes and about two thousand reads per second.
    """

    listen: Endpoint = Endpoint("127.0.0.1")
    faults: Endpoint = Endpoint("127.0.0.1")
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0
    list_lag_s: float = 3.0
    vms: tuple[VmSettings, ...] = ()


_Fields = dict[str, Any]


class _InvalidSettings(Exception):
    """A settings file breaks a rule; the message says which."""


def _build(kind: type, given: Any, location: str) -> Any:
    """Return a settings tuple of type ``kind`` from a TOML table.

    Raises
    ------
    _InvalidSettings
        If a key is unknown or missing, or a value has the wrong type.
    """
    if not isinstance(given, dict):
        raise _InvalidSettings(f"{location}: must be a table")
    known = kind._fields
    for key in given:
        if key not in known:
            near = get_close_matches(key, known, 1)
            hint = f"; did you mean {near[0]!r}?" if near else ""
            allowed = ", ".join(known)
            raise _InvalidSettings(
                f"{location}: unknown key {key!r}{hint} (allowed: {allowed})"
            )
    missing = [
        name
        for name in known
        if name not in given and name not in kind._field_defaults
    ]
    if missing:
        raise _InvalidSettings(f"{location}: {missing[0]!r} is missing")
    for name, value in given.items():
        _check(kind, name, value, location)
    return kind(**given)


def _check(kind: type, name: str, value: Any, location: str) -> None:
    expected = kind.__annotations__[name]
    if expected is float and isinstance(value, int):
        return
    if expected in (str, int, float, bool) and type(value) is not expected:
        raise _InvalidSettings(
            f"{location}: {name!r} must be of type {expected.__name__}"
        )
    if expected in (int, float) and value < 0:
        raise _InvalidSettings(f"{location}: {name!r} must not be negative")


def _group(given: _Fields) -> GroupSettings:
    fields = dict(given)
    members = fields.get("members", {})
    if not isinstance(members, dict) or not members:
        raise _InvalidSettings(
            "members: must be a table with at least one member"
        )
    fields["members"] = {
        name: _build(Endpoint, member, f"members.{name}")
        for name, member in members.items()
    }
    if "faults" in fields:
        fields["faults"] = _build(Endpoint, fields["faults"], "faults")
    settings = _build(GroupSettings, fields, "group settings")
    if settings.first_primary not in settings.members:
        raise _InvalidSettings(f"primary: no member {settings.primary!r}")
    return settings


def _platform(given: _Fields) -> PlatformSettings:
    fields = dict(given)
    for name in ("listen", "faults"):
        if name in fields:
            fields[name] = _build(Endpoint, fields[name], name)
    vms = fields.get("vms", [])
    if not isinstance(vms, list):
        raise _InvalidSettings("vms: must be an array of tables")
    fields["vms"] = tuple(
        _build(VmSettings, vm, f"vms[{index}]") for index, vm in enumerate(vms)
    )
    return _build(PlatformSettings, fields, "platform settings")


def _parse(text: str, source: str, build) -> Result[Any, Refusal]:
    try:
        return Ok(build(loads(text)))
    except (_InvalidSettings, TOMLDecodeError) as error:
        return Error(Refusal(Code.SETTINGS_INVALID, f"{source}: {error}"))


def parse_group(text: str, source: str = "") -> Result[GroupSettings, Refusal]:
    """Read a group's settings.

    Parameters
    ----------
    text : str
        TOML.
    source : str
        File name for messages.

    Returns
    -------
    Result of GroupSettings, Refusal
        The refusal names the file, the key and the allowed values.

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
    """Read a settings file with `parse_group` or `parse_platform`."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(Refusal(Code.SETTINGS_INVALID, f"{path}: {error}"))
    return parse(text, str(path))
