"""What a node must know of its place, its platform and its bounds."""

from typing import NamedTuple


class Endpoint(NamedTuple):
    """An IP number and a port."""

    ip: str
    port: int


class NodeSettings(NamedTuple):
    """One node's settings; times are seconds.

    ``peer_ips`` are VMs to ask while the store can't be read.
    ``drain_s`` is how long a member that leaves may still get work,
    ``grace_s`` how long a stopping node may take.
    """

    vm: str
    data_centre: str
    ip: str
    callers: Endpoint
    readiness: Endpoint
    heartbeat_port: int
    metrics_port: int
    store: Endpoint
    orders: Endpoint
    peer_ips: tuple[str, ...] = ()
    drain_s: float = 7.0
    grace_s: float = 6.0
