"""Divide a member's connections between the VMs that serve its group.

Load pattern: a member accepts 32 or 50 connections, and opening one takes
about 12 ms. If six VMs each open what they need at a peak, the member
refuses some of them, and a VM whose control connection was refused can't
order a promotion.

Without this division connections go to the VMs that open theirs first,
and callers of the other VMs get error 1040.

Each VM needs one connection for the agent's probe and
``PROXY_CONTROL_CONNECTIONS`` for the proxy's status polls and
confirmations. The remaining ones are divided equally, less
``RESERVED_CONNECTIONS`` for operators and for VMs that are being
replaced, whose connections the member still counts.
"""

#: Control connections of one VM to one member: one for the agent's probe
#: and two for the proxy, so that polls continue on one while the other
#: waits for a confirmation.
PROXY_CONTROL_CONNECTIONS = 2
CONTROL_CONNECTIONS_PER_VM = 1 + PROXY_CONTROL_CONNECTIONS

#: Connections that are assigned to no VM.
RESERVED_CONNECTIONS = 2


def data_connections(
    max_connections: int,
    vms: int,
    control_per_vm: int = CONTROL_CONNECTIONS_PER_VM,
) -> int:
    """Return how many connections for statements one VM may hold.

    Parameters
    ----------
    max_connections : int
        Connections that the member accepts.
    vms : int
        VMs that serve the group.
    control_per_vm : int, optional
        Control connections that each VM holds in addition.

    Examples
    --------
    >>> data_connections(32, 6), data_connections(50, 6)
    (2, 5)
    >>> data_connections(10, 6)
    1
    """
    available = max_connections - RESERVED_CONNECTIONS - control_per_vm * vms
    return max(1, available // max(1, vms))
