"""Heartbeats: what a VM says of itself, and what others make of it."""

from enum import Enum
from typing import NamedTuple


class Evidence(Enum):
    """How a heartbeat came to this VM."""

    #: From the VM itself.
    DIRECT = "direct"
    #: From another VM that had heard it.
    PASSED_ON = "passed on"
    #: From the platform's list: the VM has not been heard at all.
    LISTED = "listed"


class Beat(NamedTuple):
    """One heartbeat; the higher (incarnation, sequence) wins.

    ``gone`` is the one field that others set: the relay of the VM's data
    centre no longer hears it. A later sequence of the VM refutes it.
    ``config_version`` is what the agent holds, ``proxy_version`` what is
    in force at the VM's proxy.
    """

    vm: str
    data_centre: str
    ip: str
    agent_port: int
    proxy_port: int
    incarnation: int
    sequence: int
    config_version: int = 0
    config_hash: str = ""
    withdrawals: int = 0
    draining: bool = False
    proxy_version: int = 0
    proxy_attached: bool = False
    gone: bool = False
    relay: bool = False

    @property
    def order(self) -> tuple[int, int, bool]:
        """What decides which of two heartbeats of a VM is later.

        Examples
        --------
        >>> first = Beat("a", "d", "127.1.1.1", 1, 2, 7, 1)
        >>> first.order < first._replace(gone=True).order
        True
        >>> first._replace(gone=True).order < first._replace(sequence=2).order
        True
        """
        return (self.incarnation, self.sequence, self.gone)

    @property
    def substance(self) -> tuple:
        """What the rest of the fleet must hear of when it changes.

        The sequence isn't among it, nor the version: at 1,000 VMs and
        2,900 changes of configuration a day they would fill the links
        between data centres (``docs/CAPACITY.md``).
        """
        return (
            self.incarnation,
            self.ip,
            self.agent_port,
            self.proxy_port,
            self.draining,
            self.gone,
            self.relay,
        )


class Member(NamedTuple):
    """A VM as this one knows it; times are seconds on its own clock.

    ``heard_at`` is when the VM was last known to be alive,
    ``revision`` the table's count when its substance last changed.
    """

    beat: Beat
    heard_at: float
    revision: int
    listed: bool

    def silent_s(self, now: float) -> float:
        """Return for how long the VM has not been known to be alive."""
        return now - self.heard_at
