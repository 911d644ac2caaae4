"""Bytes of control traffic, as the kernel counted them.

Linux counts for each TCP connection what was acknowledged and what was
received (``TCP_INFO``), so nothing needs to be put under the RPC
library's connections. Reading costs two system calls for each open
connection, at each scrape.

References
----------
tcp(7); ``struct tcp_info`` of ``<linux/tcp.h>``.
"""

from collections.abc import Callable, Iterator
from os import listdir
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_TYPE,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_INFO,
    socket,
)
from struct import unpack_from
from typing import NamedTuple

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from redwingpost.adapters.peer import PeerAddress

#: Offset of ``tcpi_bytes_acked``, followed by ``tcpi_bytes_received``:
#: 8 bytes of small fields, 24 words and two rates stand before it.
_BYTES_OFFSET = 120
_INFO_BYTES = 136

LINKS = ("peer", "store", "local")


class Carried(NamedTuple):
    """Bytes that a connection carried since it was opened."""

    sent: int
    received: int


class ControlTraffic(Collector):
    """Counts the bytes of a process's control connections.

    A connection's last bytes before its end are missed: those since the
    scrape before.

    Parameters
    ----------
    own_ip : str
        Connections to oneself are ``local``: they cross no network.
    listen_port : callable
        Where peers are served.
    dialled : callable
        Addresses of peers that are called.
    store : PeerAddress or None
        The platform, for the link ``store``.
    """

    def __init__(
        self,
        own_ip: str,
        listen_port: Callable[[], int],
        dialled: Callable[[], frozenset[PeerAddress]],
        store: PeerAddress | None = None,
    ) -> None:
        self._own_ip = own_ip
        self._listen_port = listen_port
        self._dialled = dialled
        self._store = store
        self._seen_by_connection: dict[tuple, Carried] = {}
        self._totals = {
            (link, way): 0 for link in LINKS for way in ("sent", "received")
        }

    def register(self, registry: CollectorRegistry) -> None:
        """Show the counters in a registry."""
        registry.register(self)

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counters; asks the kernel now."""
        self._sample()
        family = CounterMetricFamily(
            "redwing_control_bytes",
            "Bytes between this process and peers, store and own VM.",
            labels=["link", "way"],
        )
        for labels, total in self._totals.items():
            family.add_metric(labels, total)
        yield family

    def describe(self) -> Iterator[CounterMetricFamily]:
        """Name the counters without asking the kernel."""
        yield CounterMetricFamily("redwing_control_bytes", "")

    def _sample(self) -> None:
        alive = {}
        for connection, seen in read_connections():
            link = self._link(*connection)
            if link is None:
                continue
            alive[connection] = seen
            before = self._seen_by_connection.get(connection, Carried(0, 0))
            self._totals[link, "sent"] += max(0, seen.sent - before.sent)
            grown = max(0, seen.received - before.received)
            self._totals[link, "received"] += grown
        self._seen_by_connection = alive

    def _link(self, own: PeerAddress, other: PeerAddress) -> str | None:
        """Say what a connection is for; None if it isn't control."""
        if other == self._store:
            return "store"
        accepted = own.port == self._listen_port()
        if not accepted and other not in self._dialled():
            return None
        return "local" if other.ip == self._own_ip else "peer"


def read_connections() -> (
    Iterator[tuple[tuple[PeerAddress, PeerAddress], Carried]]
):
    """Iterate over this process's TCP connections: own end, other end."""
    for name in listdir("/proc/self/fd"):
        found = _read(int(name))
        if found is not None:
            yield found


def _read(
    descriptor: int,
) -> tuple[tuple[PeerAddress, PeerAddress], Carried] | None:
    """Return a TCP connection's ends and bytes; None for anything else."""
    try:
        opened = socket(fileno=descriptor)
    except OSError:
        return None
    try:
        if opened.family != AF_INET:
            return None
        if opened.getsockopt(SOL_SOCKET, SO_TYPE) != SOCK_STREAM:
            return None
        ends = (
            PeerAddress(*opened.getsockname()),
            PeerAddress(*opened.getpeername()),
        )
        info = opened.getsockopt(IPPROTO_TCP, TCP_INFO, _INFO_BYTES)
        sent, received = unpack_from("=QQ", info, _BYTES_OFFSET)
        return ends, Carried(sent, received)
    except OSError:
        return None
    finally:
        opened.detach()
