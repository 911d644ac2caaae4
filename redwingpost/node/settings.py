"""Settings of one VM: its name, its addresses and its time limits."""

from typing import NamedTuple


class Endpoint(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int


class NodeSettings(NamedTuple):
    """Settings of one VM; times are seconds.

    ``peer_ips`` are VMs that get heartbeats while the list of VMs can't
    be read from the store. ``drain_s`` is for how long a draining member
    may still be sent statements, ``evacuate_s`` the same for the members
    of a data centre from the order to evacuate it, ``grace_s`` how long
    the process may take to stop. ``capacity`` is what the VM can carry,
    in VMs of half a core and 10 Mbit/s.
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
    evacuate_s: float = 5.0
    capacity: float = 1.0
