"""The platform's settings file as the product's node settings."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from msgspec import DecodeError
from msgspec.json import decode

from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.node.settings import Endpoint, NodeSettings

#: Variable that holds the path of the settings file.
PATH_VARIABLE = "REDWINGPOST_NODE_FILE"

_DEFAULT_DRAIN_MS = 7000
_DEFAULT_GRACE_S = 6.0


class _SettingsError(Exception):
    """A field that can't be used; the message names it."""


def load_node_settings(path: Path) -> Result[NodeSettings, Refusal]:
    """Return the settings, or ``Code.SETTINGS_INVALID`` with the field.

    Fields that aren't known are ignored: the platform may add some.
    """
    try:
        return Ok(decode_node_settings(decode(path.read_bytes())))
    except (OSError, DecodeError, _SettingsError) as error:
        return Error(Refusal(Code.SETTINGS_INVALID, f"{path}: {error}"))


def decode_node_settings(value: dict[str, Any]) -> NodeSettings:
    """Return the settings of a decoded file."""
    if not isinstance(value, dict):
        raise _SettingsError("allowed: a table")
    bounds = _need(value, "bounds", dict)
    ports = _need(value, "innerPorts", list)
    if len(ports) != 2 or ports[1] - ports[0] < 1:
        raise _SettingsError(f"innerPorts: {ports!r}; allowed: two or more")
    seeds = value.get("seeds") or []
    return NodeSettings(
        vm=_need(value, "node", str),
        data_centre=_need(value, "zone", str),
        ip=_need(value, "ip", str),
        callers=_endpoint(value, "listen", "front"),
        readiness=_endpoint(value, "listen", "ready"),
        heartbeat_port=ports[0],
        metrics_port=ports[1],
        store=_endpoint(value, "platform", "address"),
        orders=_endpoint(value, "cloudApi", "address"),
        peer_ips=tuple(seed.rpartition(":")[0] for seed in seeds),
        drain_s=bounds.get("drainMs", _DEFAULT_DRAIN_MS) / 1000.0,
        grace_s=float(bounds.get("graceS", _DEFAULT_GRACE_S)),
    )


def _endpoint(value: dict[str, Any], table: str, name: str) -> Endpoint:
    text = _need(_need(value, table, dict), name, str)
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit():
        raise _SettingsError(f"{table}.{name}: {text!r}; allowed: IP:PORT")
    return Endpoint(ip, int(port))


def _need(value: dict[str, Any], name: str, kind: type) -> Any:
    found = value.get(name)
    if not isinstance(found, kind):
        raise _SettingsError(f"{name}: {found!r}; allowed: {kind.__name__}")
    return found
