"""Read a settings file, validate it and resolve the files it names."""

from collections.abc import Callable
from ipaddress import ip_address
from pathlib import Path
from tomllib import TOMLDecodeError, loads
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import Refusal
from redwingpost.settings.decode import (
    Table,
    decode_table,
    make_refusal,
    suggest_name,
)
from redwingpost.settings.model import (
    AgentSettings,
    FaultSettings,
    FleetSettings,
    LogSettings,
    PlatformSettings,
    ProxySettings,
    Settings,
    TargetSettings,
    TlsSettings,
    VmSettings,
)

RECORDS_BY_TABLE: dict[str, type] = {
    "vm": VmSettings,
    "proxy": ProxySettings,
    "agent": AgentSettings,
    "platform": PlatformSettings,
    "targets": TargetSettings,
    "fleet": FleetSettings,
    "tls": TlsSettings,
    "log": LogSettings,
    "faults": FaultSettings,
}

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")

#: Shortest secret, in characters. A shorter HMAC-SHA256 secret could be
#: guessed offline from one token; 16 characters of a random secret hold at
#: least 64 bits.
MIN_SECRET_CHARS = 16


class Rule(NamedTuple):
    """A condition on a key's value, as a predicate and in words."""

    is_valid: Callable[[Any], bool]
    allowed: str


def _is_ip(value: str) -> bool:
    try:
        ip_address(value)
    except ValueError:
        return False
    return True


def _is_port(value: int) -> bool:
    return 0 <= value <= 65535


def _is_url(value: str) -> bool:
    return value == "" or value.startswith(("http://", "https://"))


def _are_secrets(value: tuple[str, ...]) -> bool:
    return all(len(secret) >= MIN_SECRET_CHARS for secret in value)


_PORT = Rule(_is_port, "a port from 0 to 65535")
_NAME = Rule(lambda value: value != "", "a name that isn't empty")
_SECONDS = Rule(lambda value: value > 0, "seconds above 0")

RULES_BY_KEY: dict[str, Rule] = {
    "vm.name": _NAME,
    "vm.data_centre": _NAME,
    "vm.ip": Rule(_is_ip, "an IP address such as 127.1.1.1"),
    "proxy.caller_port": _PORT,
    "proxy.peer_port": _PORT,
    "proxy.http_port": _PORT,
    "proxy.homes": Rule(lambda value: value > 0, "a number above 0"),
    "proxy.leave_s": Rule(lambda value: value >= 0, "seconds, 0 or more"),
    "agent.peer_port": _PORT,
    "agent.http_port": _PORT,
    "platform.url": Rule(_is_url, "a URL that starts with http(s)://"),
    "platform.timeout_s": _SECONDS,
    "fleet.token_secrets": Rule(
        _are_secrets, f"strings of {MIN_SECRET_CHARS} characters or more"
    ),
    "fleet.key_confirmation_s": _SECONDS,
    "log.level": Rule(
        lambda value: value in LOG_LEVELS, "one of " + ", ".join(LOG_LEVELS)
    ),
}


def load_settings(path: str | Path) -> Result[Settings, Refusal]:
    """Read and check a settings file.

    Parameters
    ----------
    path : str or Path
        The TOML file. Paths in it are relative to its directory.

    Returns
    -------
    Result
        The settings, or ``Code.SETTINGS_INVALID`` with the file, the
        key and the allowed values.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(
            make_refusal(str(path), "file", f"can't be read: {error}")
        )
    return parse_settings(text, Path(path))


def parse_settings(text: str, path: Path) -> Result[Settings, Refusal]:
    """Validate the text of the settings file at ``path``.

    Examples
    --------
    >>> text = '[vm]\\nname = "v"\\ndata_centre = "d"\\nip = "x"'
    >>> parse_settings(text, Path("vm.toml")).error.detail
    "vm.toml: vm.ip: allowed: an IP address such as 127.1.1.1; got 'x'"
    """
    try:
        raw = loads(text)
    except TOMLDecodeError as error:
        return Error(make_refusal(str(path), "file", f"not TOML: {error}"))
    tables: dict[str, Any] = {}
    for name, values in raw.items():
        decoded = _decode_named_table(str(path), name, values)
        if decoded.is_error():
            return decoded
        tables[name] = decoded.ok
    if "vm" not in tables:
        return Error(
            make_refusal(str(path), "vm", "the table [vm] is missing")
        )
    return _resolve_files(Settings(**tables), path)


def _decode_named_table(
    file: str, name: str, values: Any
) -> Result[Any, Refusal]:
    if name not in RECORDS_BY_TABLE:
        hint = suggest_name(name, tuple(RECORDS_BY_TABLE))
        return Error(make_refusal(file, name, f"unknown table; {hint}"))
    if not isinstance(values, dict):
        return Error(make_refusal(file, name, f"allowed: a table [{name}]"))
    decoded = decode_table(RECORDS_BY_TABLE[name], Table(file, name, values))
    if decoded.is_error():
        return decoded
    return _check_rules(file, name, decoded.ok)


def _check_rules(file: str, name: str, record: Any) -> Result[Any, Refusal]:
    for key, value in record._asdict().items():
        rule = RULES_BY_KEY.get(f"{name}.{key}")
        if rule is not None and not rule.is_valid(value):
            shown = "…" if "secret" in key else repr(value)
            problem = f"allowed: {rule.allowed}; got {shown}"
            return Error(make_refusal(file, f"{name}.{key}", problem))
    return Ok(record)


def _resolve_files(
    settings: Settings, path: Path
) -> Result[Settings, Refusal]:
    if settings.tls is not None:
        resolved = (
            str(path.parent / name) if name else "" for name in settings.tls
        )
        settings = settings._replace(tls=TlsSettings(*resolved))
    secrets_file = settings.fleet.token_secrets_file
    if not secrets_file:
        return Ok(settings)
    return _read_secrets(settings, path, path.parent / secrets_file)


def _read_secrets(
    settings: Settings, path: Path, secrets_path: Path
) -> Result[Settings, Refusal]:
    """Read the token secrets from their file, one per line."""
    key = "fleet.token_secrets_file"
    try:
        lines = secrets_path.read_text(encoding="utf-8").split()
    except OSError as error:
        return Error(make_refusal(str(path), key, f"can't be read: {error}"))
    if not lines or not _are_secrets(tuple(lines)):
        allowed = RULES_BY_KEY["fleet.token_secrets"].allowed
        return Error(
            make_refusal(str(path), key, f"allowed: lines, {allowed}")
        )
    fleet = settings.fleet._replace(token_secrets=tuple(lines))
    return Ok(settings._replace(fleet=fleet))
