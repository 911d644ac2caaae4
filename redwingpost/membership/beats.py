"""Heartbeats between agents, and the member records made from them."""

from enum import Enum
from typing import NamedTuple


class BeatSource(Enum):
    """How a heartbeat reached this VM."""

    #: Sent by the VM that it describes.
    DIRECT = "direct"
    #: Passed on by another VM that had received it.
    RELAYED = "passed on"
    #: Made from an entry of the platform's list: no heartbeat arrived yet.
    LISTED = "listed"


class Beat(NamedTuple):
    """One heartbeat; the higher (incarnation, sequence) wins.

    ``gone`` is the only field that other VMs set: the relay of the VM's
    data centre receives no heartbeats from it any more. A heartbeat of
    the VM with a higher sequence overrides it. ``relay`` says whether the
    VM acts as the relay of its data centre. ``config_version`` is the
    version that the agent holds, ``proxy_version`` the one in force at
    the VM's proxy.
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
        """Sort key: the later of two heartbeats of a VM has the higher.

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
    def propagated_fields(self) -> tuple:
        """Fields whose changes are sent to the whole fleet.

        The sequence and the configuration version are left out: at 1,000
        VMs and 2,900 changes of configuration a day they would fill the
        links between data centres (``docs/CAPACITY.md``).
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
    """This VM's record of a VM; times are seconds on its own clock.

    ``last_seen_at`` is when the VM was last known to be alive, ``revision``
    the table's revision when its propagated fields last changed.
    ``listed`` says whether the platform's list holds the VM.
    """

    beat: Beat
    last_seen_at: float
    revision: int
    listed: bool

    def silent_s(self, now: float) -> float:
        """Return the time since the VM was last known to be alive."""
        return now - self.last_seen_at
