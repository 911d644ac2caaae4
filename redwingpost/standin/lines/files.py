"""What the platform and its operator give to nodes: files and rows."""

from typing import Any, NamedTuple


class NodePlace(NamedTuple):
    """A node's name, addresses (``ip:port``), inner ports and size."""

    vm: str
    data_centre: str
    ip: str
    callers: str
    ready: str
    inner_ports: tuple[int, int]
    store: str
    orders: str
    cores: float
    link_mbps: float


def node_settings(place: NodePlace) -> dict[str, Any]:
    """Return the contents of a node's settings file."""
    return {
        "node": place.vm,
        "zone": place.data_centre,
        "ip": place.ip,
        "listen": {"front": place.callers, "ready": place.ready},
        "innerPorts": list(place.inner_ports),
        "seeds": [],
        "bounds": {"drainMs": 7000, "graceS": 6},
        "limits": {
            "cpuShare": place.cores,
            "cores": 1,
            "linkMbps": place.link_mbps,
        },
        "platform": {"address": place.store},
        "cloudApi": {"address": place.orders},
    }


def configuration_of(
    groups: tuple[str, ...], organisations: int
) -> dict[str, Any]:
    """Return a configuration with a database of each group's name.

    The organisations are ``t0``, ``t1`` and so on, their keys ``key-0``,
    ``key-1`` and so on.
    """
    return {
        "configVersion": 1,
        "routes": [
            {
                "name": f"r-{group}",
                "host": group,
                "routeType": "primary",
                "timeoutMs": 1000,
                "targetLatencyMs": 400,
                "priority": 1,
                "service": group,
            }
            for group in groups
        ],
        "services": [
            {"name": group, "maxConns": 32, "syncReplicas": 1}
            for group in groups
        ],
        "tenants": [
            {
                "name": f"t{number}",
                "apiKeys": [f"key-{number}"],
                "ratePerS": 500,
                "burst": 500,
            }
            for number in range(organisations)
        ],
    }
