"""Decoder for the platform's settings file."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from redwingpost.core.codes import Code
from redwingpost.core.foreign import (
    MAX_WHOLE,
    UNREADABLE,
    decode_json,
    is_number,
    is_port,
    parse_address,
)
from redwingpost.core.requests import Refusal
from redwingpost.groups.cold_members import ColdBounds
from redwingpost.groups.regions import RegionMap
from redwingpost.node.settings import Endpoint, NodeSettings

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = "REDWINGPOST_NODE_FILE"

_DEFAULT_CONFIGURATION_MS = 3000
_DEFAULT_DRAIN_MS = 7000
_DEFAULT_GRACE_S = 6.0
_DEFAULT_EVACUATE_MS = 5000

#: Name of the contract under which cold members and regions are observed.
_PLACES = "places"

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
        return Ok(decode_node_settings(decode_json(path.read_bytes())))
    except (OSError, _SettingsError, *UNREADABLE) as error:
        return Error(Refusal(Code.SETTINGS_INVALID, f"{path}: {error}"))


def decode_node_settings(value: dict[str, Any]) -> NodeSettings:
    """Return the settings of a decoded file."""
    if not isinstance(value, dict):
        raise _SettingsError("allowed: a JSON object")
    bounds = _require_field(value, "bounds", dict)
    ports = _require_field(value, "innerPorts", list)
    if not all(map(is_port, ports)) or len(ports) != 2 or ports[0] >= ports[1]:
        raise _SettingsError(f"innerPorts: {ports!r}; allowed: two or more")
    seeds = value.get("seeds") or []
    data_centre = _require_field(value, "zone", str)
    places = _Places(value, bounds, data_centre)
    return NodeSettings(
        vm=_require_field(value, "node", str),
        data_centre=data_centre,
        ip=_require_field(value, "ip", str),
        callers=_endpoint(value, "listen", "front"),
        readiness=_endpoint(value, "listen", "ready"),
        heartbeat_port=ports[0],
        metrics_port=ports[1],
        store=_endpoint(value, "platform", "address"),
        orders=_endpoint(value, "cloudApi", "address"),
        peer_ips=tuple(seed.rpartition(":")[0] for seed in seeds),
        configuration_s=_number(
            bounds, "configApplyMs", _DEFAULT_CONFIGURATION_MS
        )
        / 1000.0,
        drain_s=_number(bounds, "drainMs", _DEFAULT_DRAIN_MS) / 1000.0,
        grace_s=_number(bounds, "graceS", _DEFAULT_GRACE_S),
        evacuate_s=_number(bounds, "evacuateMs", _DEFAULT_EVACUATE_MS)
        / 1000.0,
        capacity=_capacity(value.get("limits") or {}),
        has_places=places.is_listed,
        cold_bounds=places.cold_bounds,
        regions=places.regions,
        unreadable=tuple(places.unreadable),
    )


class _Places:
    """The settings of the contract ``places``; none of them is required.

    ``unreadable`` has one text for each value of a wrong type. Such a value
    is left out: a VM that doesn't start for it would serve nobody.
    """

    def __init__(
        self, value: dict[str, Any], bounds: dict[str, Any], data_centre: str
    ) -> None:
        self.unreadable: list[str] = []
        contracts = self._take(value, "contracts", list, [])
        self.is_listed = _PLACES in contracts
        if not self.is_listed:
            self.cold_bounds, self.regions = ColdBounds(), RegionMap({})
            return
        standard = ColdBounds()
        self.cold_bounds = ColdBounds(
            self._number(bounds, "coldOverage", standard.overage),
            self._number(bounds, "coldSlack", standard.slack),
        )
        zones = self._take(value, "zones", dict, {})
        region_by_data_centre = {}
        own = self._take(value, "region", str, "")
        if own:
            region_by_data_centre[data_centre] = own
        for zone in zones:
            region = self._take(zones, zone, str, "")
            if region:
                region_by_data_centre[zone] = region
        self.regions = RegionMap(region_by_data_centre)

    def _take(
        self, value: dict[str, Any], name: str, field_type: type, default: Any
    ) -> Any:
        field = value.get(name)
        if field is None:
            return default
        if isinstance(field, field_type) and not isinstance(field, bool):
            return field
        self.unreadable.append(f"{name}: {field!r}")
        return default

    def _number(
        self, value: dict[str, Any], name: str, default: float
    ) -> float:
        field = self._take(value, name, int | float, default)
        if 0 <= field <= MAX_WHOLE:
            return float(field)
        self.unreadable.append(f"{name}: {field!r}")
        return default


def _capacity(limits: dict[str, Any]) -> float:
    """Return what a VM can carry; its scarcer resource decides.

    Examples
    --------
    >>> _capacity({"cpuShare": 0.72, "cores": 3, "linkMbps": 100})
    4.32
    >>> _capacity({"cpuShare": 0.5, "cores": 1, "linkMbps": 5})
    0.5
    """
    cores = _number(limits, "cpuShare", _UNIT_CORES)
    cores *= _number(limits, "cores", 1)
    link_mbps = _number(limits, "linkMbps", _UNIT_LINK_MBPS)
    units = min(cores / _UNIT_CORES, link_mbps / _UNIT_LINK_MBPS)
    return round(units, 2)


def _number(value: dict[str, Any], name: str, default: float) -> float:
    field = value.get(name, default)
    if not is_number(field):
        allowed = f"a number from 0 to {MAX_WHOLE}"
        raise _SettingsError(f"{name}: {field!r}; allowed: {allowed}")
    return float(field)


def _endpoint(value: dict[str, Any], section: str, name: str) -> Endpoint:
    text = _require_field(_require_field(value, section, dict), name, str)
    address = parse_address(text, allows_any=section == "listen")
    if address is None:
        raise _SettingsError(f"{section}.{name}: {text!r}; allowed: IP:PORT")
    return Endpoint(*address)


def _require_field(value: dict[str, Any], name: str, field_type: type) -> Any:
    field = value.get(name)
    if not isinstance(field, field_type):
        raise _SettingsError(
            f"{name}: {field!r}; allowed: {field_type.__name__}"
        )
    return field
