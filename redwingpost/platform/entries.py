"""Decoders for the operator's and the members' rows.

Other writers use the same tables, so fields may be missing or have
another type. Such a row raises an error by itself; the others stay valid.
"""

from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

from redwingpost.configuration.routes import (
    Consistency,
    GroupRule,
    OrganisationRule,
    RouteRule,
    ServiceRules,
)
from redwingpost.core.foreign import (
    MAX_WHOLE,
    is_number,
    is_whole,
    is_word,
    parse_address,
)
from redwingpost.observability.journal import log_event
from redwingpost.observability.unreadable import note_unreadable
from redwingpost.ports.database import MemberEntry
from redwingpost.ports.platform import Row
from redwingpost.ports.registry import EntryError, RegistryFormat

_CONSISTENCY_BY_ROUTE_TYPE = {
    "primary": Consistency.PRIMARY,
    "bounded_staleness": Consistency.STATED_AGE,
    "read_your_writes": Consistency.READ_YOUR_WRITES,
}
_DEFAULT_TX_IDLE_MS = 3000

#: Field of a member's row that changes while nothing else does.
_LIFE_COUNTER = "seq"

#: Largest values of fields that are sent to other VMs.
_MAX_PRIORITY = 2**31 - 1
_MAX_REPLICAS = 2**16 - 1

RuleT = TypeVar("RuleT")


class _UnusableEntry(EntryError):
    """An entry of a configuration can't be used; it alone is left out."""


def decode_member(row: Row, has_places: bool = False) -> MemberEntry:
    """Return a member's entry.

    The entry's ``configVersion`` is ignored: it is the version of the
    member's own software.

    Parameters
    ----------
    row : Row
        The member's row.
    has_places : bool, optional
        Whether to read the fields of the contract ``places``.

    Raises
    ------
    EntryError
        If a required field is missing or has another type.
    """
    value = _require_object(row)
    state = _require_field(value, "state", str)
    role = _require_field(value, "dbRole", str)
    if state not in ("ready", "draining"):
        raise EntryError(f"state: {state!r}")
    if role not in ("primary", "replica"):
        raise EntryError(f"dbRole: {role!r}")
    address = parse_address(_require_field(value, "address", str))
    if address is None:
        raise EntryError(f"address: {value['address']!r}")
    if not is_word(row.key):
        raise EntryError(f"id: {row.key!r}; allowed: no blanks, controls")
    return MemberEntry(
        row.key,
        _require_word(value, "service"),
        *address,
        _require_field(value, "zone", str),
        state == "draining",
        role == "primary",
        _require_field(value, "born", int) if "born" in value else 0,
        _require_field(value, "slots", int) if "slots" in value else 0,
        _seconds_left(value) if has_places else None,
    )


def member_essence(row: Row) -> Any:
    """Return a member's row without its counter of life.

    A member increases the counter every 1.2 s and changes nothing else.

    Examples
    --------
    >>> member_essence(Row("servers", "m1", 4, {"state": "ready", "seq": 9}))
    {'state': 'ready'}
    """
    value = row.value
    if not isinstance(value, dict):
        return value
    return {name: value[name] for name in value if name != _LIFE_COUNTER}


def decode_configuration(row: Row, has_places: bool = False) -> ServiceRules:
    """Return the operator's configuration.

    Parameters
    ----------
    row : Row
        The configuration's row.
    has_places : bool, optional
        Whether to read the fields of the contract ``places``. A route,
        group or organisation in which one of them has another type is left
        out, with a log line.

    Raises
    ------
    EntryError
        If a required field is missing or has another type.
    """
    value = _require_object(row)
    routes = _with_places(
        _require_field(value, "routes", list),
        _decode_route,
        _restrict if has_places else None,
    )
    groups = _with_places(
        _require_field(value, "services", list),
        _decode_group,
        _limit_cold if has_places else None,
    )
    organisations = _with_places(
        value.get("tenants", []),
        _decode_organisation,
        _restrict if has_places else None,
    )
    limits = value.get("limits", {})
    idle_ms = _number(limits, "txIdleMs", _DEFAULT_TX_IDLE_MS)
    return ServiceRules(
        version=_require_field(value, "configVersion", int),
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
    route_type = _require_field(value, "routeType", str)
    if route_type not in _CONSISTENCY_BY_ROUTE_TYPE:
        raise EntryError(f"routeType: {route_type!r}")
    return RouteRule(
        database=_require_field(value, "host", str),
        group=_require_field(value, "service", str),
        consistency=_CONSISTENCY_BY_ROUTE_TYPE[route_type],
        timeout_s=_number(value, "timeoutMs", 1000) / 1000.0,
        target_latency_s=_number(value, "targetLatencyMs", 1000) / 1000.0,
        priority=_whole(value, "priority", 1, _MAX_PRIORITY),
        max_staleness_s=_number(value, "maxStalenessMs", 0) / 1000.0,
        is_public=bool(value.get("public", False)),
    )


def _decode_group(value: dict[str, Any]) -> GroupRule:
    name = _require_word(value, "name")
    try:
        replicas = _whole(value, "syncReplicas", 0, _MAX_REPLICAS)
    except _UnusableEntry as error:
        # Without its rule the group would count as one whose commits are
        # acknowledged before a replica has them.
        raise EntryError(str(error)) from error
    connections = _require_field(value, "maxConns", int)
    return GroupRule(name, connections, replicas)


def _decode_organisation(value: dict[str, Any]) -> OrganisationRule:
    return OrganisationRule(
        _require_word(value, "name"),
        frozenset(_texts(value, "apiKeys")),
        _number(value, "ratePerS", float("inf")),
        _number(value, "burst", float("inf")),
        _whole(value, "priority", 1, _MAX_PRIORITY),
    )


def _with_places(
    items: list[Any],
    decode: Callable[[dict[str, Any]], RuleT],
    add_places: Callable[[RuleT, dict[str, Any]], RuleT] | None,
) -> list[RuleT]:
    """Return the rules of entries, without those that are refused."""
    rules = []
    for item in items:
        try:
            rule = decode(item)
        except _UnusableEntry as error:
            name = str(item.get("name", ""))
            note_unreadable("entry-unreadable", name, error)
            continue
        if add_places is not None:
            try:
                rule = add_places(rule, item)
            except EntryError as error:
                log_event("entry-unreadable", entry=rule[0], detail=str(error))
                continue
        rules.append(rule)
    return rules


def _restrict(rule: RuleT, value: dict[str, Any]) -> RuleT:
    """Add the regions of a route or an organisation.

    An empty list restricts nothing, as a missing one.
    """
    regions = value.get("allowedRegions")
    if regions is None:
        return rule
    if not isinstance(regions, list) or not all(
        isinstance(item, str) for item in regions
    ):
        raise EntryError(f"allowedRegions: {regions!r}; allowed: list of str")
    return rule._replace(regions=frozenset(regions) or None)


def _limit_cold(rule: GroupRule, value: dict[str, Any]) -> GroupRule:
    """Add a group's limit for cold members.

    Where it can't be read its cold members get no statements. Without its
    rule the group would have no limit at all, and count as one whose commits
    are acknowledged before a replica has them.
    """
    try:
        rate = _optional_number(value, "coldPerS")
        cold_s = _optional_number(value, "coldS")
    except _UnusableEntry as error:
        log_event("entry-unreadable", entry=rule.group, detail=str(error))
        return rule._replace(cold_rate=0.0)
    return rule._replace(cold_rate=rate, cold_s=cold_s or 0.0)


def _seconds_left(value: dict[str, Any]) -> float | None:
    left_ms = _optional_number(value, "coldLeftMs")
    return None if left_ms is None else left_ms / 1000.0


def _optional_number(value: dict[str, Any], name: str) -> float | None:
    """Return a field that may be absent, as a number of at least 0."""
    field = value.get(name)
    if field is None:
        return None
    if not is_number(field):
        allowed = f"a number from 0 to {MAX_WHOLE}"
        raise _UnusableEntry(f"{name}: {field!r}; allowed: {allowed}")
    return float(field)


def _number(value: dict[str, Any], name: str, default: float) -> float:
    field = _optional_number(value, name)
    return default if field is None else field


def _whole(
    value: dict[str, Any], name: str, default: int, largest: int
) -> int:
    field = value.get(name)
    if field is None:
        return default
    if not is_whole(field, largest):
        raise _UnusableEntry(f"{name}: {field!r}; allowed: 0 to {largest}")
    return field


def _texts(value: dict[str, Any], name: str) -> list[str]:
    field = value.get(name) or []
    if not isinstance(field, list) or not all(
        isinstance(item, str) for item in field
    ):
        raise _UnusableEntry(f"{name}: allowed: list of str")
    return field


def _require_word(value: dict[str, Any], name: str) -> str:
    """Return a text that is sent to members as one field of a line."""
    field = _require_field(value, name, str)
    if not is_word(field):
        raise _UnusableEntry(
            f"{name}: {field!r}; allowed: no blanks, controls"
        )
    return field


def _require_object(row: Row) -> dict[str, Any]:
    if not isinstance(row.value, dict):
        raise EntryError(f"{row.key}: not a table")
    return row.value


def _require_field(value: dict[str, Any], name: str, field_type: type) -> Any:
    field = value.get(name)
    if not isinstance(field, field_type) or isinstance(field, bool):
        raise EntryError(f"{name}: {field!r}; allowed: {field_type.__name__}")
    if field_type is int and not is_whole(field):
        raise EntryError(f"{name}: {field}; allowed: 0 to {MAX_WHOLE}")
    return field


FORMAT = RegistryFormat(
    configuration_table="op",
    configuration_key="config",
    member_table="servers",
    decode_configuration=decode_configuration,
    decode_member=decode_member,
    evacuation_prefix="evacuate/",
    member_essence=member_essence,
)

#: The same tables, with the fields of the contract ``places``.
PLACES_FORMAT = FORMAT._replace(
    decode_configuration=partial(decode_configuration, has_places=True),
    decode_member=partial(decode_member, has_places=True),
)
