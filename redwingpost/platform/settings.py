"""Decoder for the platform's settings file."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from msgspec import DecodeError
from msgspec.json import decode

from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.node.settings import Endpoint, NodeSettings

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = "REDWINGPOST_NODE_FILE"

_DEFAULT_DRAIN_MS = 7000
_DEFAULT_GRACE_S = 6.0
_DEFAULT_EVACUATE_MS = 5000

#: Cores and link (Mbit/s) of a VM whose capacity counts as 1.
_UNIT_CORES = 0.5
_UNIT_LINK_MBPS = 10.0


class _SettingsError(Exception):
    """A field has no valid value; the message names the field."""


def load_node_settings(path: Path) -> Result[NodeSettings, Refusal]:
    """Return the settings, or ``Code.SETTINGS_INVALID`` with the field.

    Unknown fields are ignored, since the platform may add some.
    """
    try:
        return Ok(decode_node_settings(decode(path.read_bytes())))
    except (OSError, DecodeError, _SettingsError) as error:
        return Error(Refusal(Code.SETTINGS_INVALID, f"{path}: {error}"))


def decode_node_settings(value: dict[str, Any]) -> NodeSettings:
    """Return the settings of a decoded file."""
    if not isinstance(value, dict):
        raise _SettingsError("allowed: a JSON object")
    bounds = _require_field(value, "bounds", dict)
    ports = _require_field(value, "innerPorts", list)
    if len(ports) != 2 or ports[1] - ports[0] < 1:
        raise _SettingsError(f"innerPorts: {ports!r}; allowed: two or more")
    seeds = value.get("seeds") or []
    return NodeSettings(
        vm=_require_field(value, "node", str),
        data_centre=_require_field(value, "zone", str),
        ip=_require_field(value, "ip", str),
        callers=_endpoint(value, "listen", "front"),
        readiness=_endpoint(value, "listen", "ready"),
        heartbeat_port=ports[0],
        metrics_port=ports[1],
        store=_endpoint(value, "platform", "address"),
        orders=_endpoint(value, "cloudApi", "address"),
        peer_ips=tuple(seed.rpartition(":")[0] for seed in seeds),
        drain_s=bounds.get("drainMs", _DEFAULT_DRAIN_MS) / 1000.0,
        grace_s=float(bounds.get("graceS", _DEFAULT_GRACE_S)),
        evacuate_s=bounds.get("evacuateMs", _DEFAULT_EVACUATE_MS) / 1000.0,
        capacity=_capacity(value.get("limits") or {}),
    )


def _capacity(limits: dict[str, Any]) -> float:
    """Return what a VM can carry; its scarcer resource decides.

    Examples
    --------
    >>> _capacity({"cpuShare": 0.72, "cores": 3, "linkMbps": 100})
    4.32
    >>> _capacity({"cpuShare": 0.5, "cores": 1, "linkMbps": 5})
    0.5
    """
    cores = limits.get("cpuShare", _UNIT_CORES) * limits.get("cores", 1)
    link_mbps = limits.get("linkMbps", _UNIT_LINK_MBPS)
    units = min(cores / _UNIT_CORES, link_mbps / _UNIT_LINK_MBPS)
    return round(units, 2)


def _endpoint(value: dict[str, Any], section: str, name: str) -> Endpoint:
    text = _require_field(_require_field(value, section, dict), name, str)
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit():
        raise _SettingsError(f"{section}.{name}: {text!r}; allowed: IP:PORT")
    return Endpoint(ip, int(port))


def _require_field(value: dict[str, Any], name: str, field_type: type) -> Any:
    field = value.get(name)
    if not isinstance(field, field_type):
        raise _SettingsError(
            f"{name}: {field!r}; allowed: {field_type.__name__}"
        )
    return field
