"""A fleet that forwards statements to homes, and which VMs these are."""

from operator import attrgetter

from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.tests.line_site import NodeProcess
from redwingpost.routing.homes import (
    choose_ranked_homes,
    count_homes,
    order_homes,
    rank_for_homes,
)
from site_2 import DeployedSite

#: More than the largest fleet whose VMs are all homes.
NODES = 14

#: Tenants of a small deployment, connections and slots of its members.
TENANTS = 8
CONNECTIONS = 32
SLOTS = 5


def tenants() -> list[dict]:
    """Return the tenants of a configuration."""
    return [
        {
            "name": f"tenant-{number}",
            "apiKeys": [f"key-{number}", f"key-{number}b"],
            "ratePerS": 100,
            "burst": 100,
        }
        for number in range(TENANTS)
    ]


def choose_home_and_other(
    site: DeployedSite,
) -> tuple[NodeProcess, NodeProcess]:
    """Return the first home of tenant-1's statements, and a VM that is none.

    The project's own functions say which they are; what the members see
    shows that they are right.
    """
    addresses = [
        VmAddress(node.vm, node.ip, 1, "dc-a", 1.0) for node in site.nodes
    ]
    homes = choose_ranked_homes(
        iter(rank_for_homes("g1", addresses, attrgetter("capacity"))),
        {"dc-a"},
        count_homes(CONNECTIONS, SLOTS, TENANTS),
    )
    names = {home.vm for home in homes}
    first = order_homes("g1", "tenant-1", homes)[0].vm
    other = next(node for node in site.nodes if node.vm not in names)
    return site.find(first), other
