"""Divide a member's connections between the VMs that serve its group.

Load pattern: a member takes 32 or 50 connections, and a new one costs
about 12 ms. Six VMs that each open what they need at a peak are refused
by the member, and a refused control connection can't promote.

Without it the connections go to whoever asks first, and error 1040
reaches callers whose VM came later.

Grounds: per VM one connection is the agent's probe and
``CONTROL_LINES`` are the proxy's for status and confirmations. What is
left is divided equally, less ``RESERVE`` for VMs that are being replaced
while their connections still linger at the member, and for operators.
"""

#: Control connections of one VM to one member: the agent's probe and the
#: proxy's two lines, one for polls while a wait is out on the other.
CONTROL_LINES = 2
CONTROL_PER_VM = 1 + CONTROL_LINES

#: Connections that nobody plans on.
RESERVE = 2


def data_connections(
    limit: int, vms: int, control: int = CONTROL_PER_VM
) -> int:
    """Return the connections for statements that one VM may hold.

    Parameters
    ----------
    limit : int
        Connections that the member takes.
    vms : int
        VMs that serve the group.
    control : int, optional
        Control connections that each VM holds besides.

    Examples
    --------
    >>> data_connections(32, 6), data_connections(50, 6)
    (2, 5)
    >>> data_connections(10, 6)
    1
    """
    left = limit - RESERVE - control * vms
    return max(1, left // max(1, vms))
