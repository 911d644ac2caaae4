"""Rows of the operator and of the members into the product's types.

Another writer may leave rows with fields missing or of another type.
Each is refused by itself; the others hold.
"""

from typing import Any

from redwingpost.configuration.routes import (
    Consistency,
    GroupRule,
    OrganisationRule,
    RouteRule,
    ServiceRules,
)
from redwingpost.ports.database import MemberEntry
from redwingpost.ports.platform import Row
from redwingpost.ports.registry import EntryError, RegistryFormat

_CONSISTENCY_BY_WORD = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.STATED_AGE,
    "read_your_writes": Consistency.READ_YOUR_WRITES,
}
_DEFAULT_TX_IDLE_MS = 3000


def decode_member(row: Row) -> MemberEntry:
    """Return a member's entry.

    ``configVersion`` of an entry is the version of the member's own
    software and of no use here.

    Raises
    ------
    EntryError
        Where a field that is needed is missing or of another type.
    """
    value = _need_table(row)
    state = _need(value, "state", str)
    role = _need(value, "dbRole", str)
    if state not in ("ready", "draining"):
        raise EntryError(f"state: {state!r}")
    if role not in ("primary", "replica"):
        raise EntryError(f"dbRole: {role!r}")
    ip, _, port = _need(value, "address", str).rpartition(":")
    if not ip or not port.isdigit():
        raise EntryError(f"address: {value['address']!r}")
    return MemberEntry(
        row.key,
        _need(value, "service", str),
        ip,
        int(port),
        _need(value, "zone", str),
        state == "draining",
        role == "primary",
        _need(value, "born", int) if "born" in value else 0,
        _need(value, "slots", int) if "slots" in value else 0,
    )


def decode_configuration(row: Row) -> ServiceRules:
    """Return the operator's configuration.

    Raises
    ------
    EntryError
        Where it can't be read.
    """
    value = _need_table(row)
    routes = [_decode_route(item) for item in _need(value, "routes", list)]
    groups = [_decode_group(item) for item in _need(value, "services", list)]
    organisations = [
        _decode_organisation(item) for item in value.get("tenants", [])
    ]
    limits = value.get("limits", {})
    idle_ms = limits.get("txIdleMs", _DEFAULT_TX_IDLE_MS)
    return ServiceRules(
        version=_need(value, "configVersion", int),
        routes_by_database={route.database: route for route in routes},
        groups_by_name={group.group: group for group in groups},
        organisations_by_name={item.name: item for item in organisations},
        organisations_by_key={
            key: item for item in organisations for key in item.keys
        },
        idle_transaction_s=idle_ms / 1000.0,
    )


def _decode_route(value: dict[str, Any]) -> RouteRule:
    """Return a route; ``host`` is the name of the database."""
    word = _need(value, "routeType", str)
    if word not in _CONSISTENCY_BY_WORD:
        raise EntryError(f"routeType: {word!r}")
    return RouteRule(
        database=_need(value, "host", str),
        group=_need(value, "service", str),
        consistency=_CONSISTENCY_BY_WORD[word],
        timeout_s=value.get("timeoutMs", 1000) / 1000.0,
        target_latency_s=value.get("targetLatencyMs", 1000) / 1000.0,
        priority=value.get("priority", 1),
        max_staleness_s=value.get("maxStalenessMs", 0) / 1000.0,
        is_public=bool(value.get("public", False)),
    )


def _decode_group(value: dict[str, Any]) -> GroupRule:
    return GroupRule(
        _need(value, "name", str),
        _need(value, "maxConns", int),
        value.get("syncReplicas", 0),
    )


def _decode_organisation(value: dict[str, Any]) -> OrganisationRule:
    return OrganisationRule(
        _need(value, "name", str),
        frozenset(value.get("apiKeys", ())),
        float(value.get("ratePerS", float("inf"))),
        float(value.get("burst", float("inf"))),
        value.get("priority", 1),
    )


def _need_table(row: Row) -> dict[str, Any]:
    if not isinstance(row.value, dict):
        raise EntryError(f"{row.key}: not a table")
    return row.value


def _need(value: dict[str, Any], name: str, kind: type) -> Any:
    found = value.get(name)
    if not isinstance(found, kind) or isinstance(found, bool):
        raise EntryError(f"{name}: {found!r}; allowed: {kind.__name__}")
    return found


FORMAT = RegistryFormat(
    configuration_table="op",
    configuration_key="config",
    member_table="servers",
    decode_configuration=decode_configuration,
    decode_member=decode_member,
)
