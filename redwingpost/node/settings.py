"""Settings of one VM: its name, its addresses and its time limits."""

from typing import NamedTuple

from redwingpost.groups.cold_members import ColdBounds
from redwingpost.groups.regions import ALL_REGIONS, RegionMap


class Endpoint(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int


class NodeSettings(NamedTuple):
    """Settings of one VM; times are seconds.

    ``peer_ips`` are VMs that get heartbeats while the list of VMs can't
    be read from the store. ``configuration_s`` is the time within which an
    accepted configuration must be in force. ``drain_s`` is for how long a
    draining member may still be sent statements, ``evacuate_s`` the same for
    the members
    of a data centre from the order to evacuate it, ``grace_s`` how long
    the process may take to stop. ``capacity`` is what the VM can carry,
    in VMs of half a core and 10 Mbit/s. ``has_places`` tells whether
    the configuration's rules on cold members and regions apply;
    ``cold_bounds`` and ``regions`` are their inputs. ``unreadable`` has one
    text for each optional value of the file that was refused.
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
    configuration_s: float = 3.0
    drain_s: float = 7.0
    grace_s: float = 6.0
    evacuate_s: float = 5.0
    capacity: float = 1.0
    has_places: bool = False
    cold_bounds: ColdBounds = ColdBounds()
    regions: RegionMap = ALL_REGIONS
    unreadable: tuple[str, ...] = ()
