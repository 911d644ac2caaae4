"""Bytes of control traffic, from the kernel's counters.

Linux counts the acknowledged and the received bytes of each TCP
connection (``TCP_INFO``), so the RPC library's connections need no
wrapper. Each scrape costs two system calls per open connection.

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
#: it follows 8 bytes of small fields, 24 words and two rates.
_BYTES_OFFSET = 120
_INFO_BYTES = 136

LINKS = ("peer", "store", "local")


class ByteCounts(NamedTuple):
    """Bytes transferred by a connection since it was opened."""

    sent: int
    received: int


class ControlTraffic(Collector):
    """Counts the bytes of a process's control connections.

    Bytes that a connection transfers between the last scrape and its end
    are not counted.

    Parameters
    ----------
    own_ip : str
        This process's address; connections to it count as ``local``,
        since they use no network.
    listen_port : callable
        Returns the port at which peers are served.
    dialled : callable
        Returns the addresses of the peers that are called.
    store : PeerAddress or None
        The platform's address, for the link ``store``.
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
        self._counts_by_connection: dict[tuple, ByteCounts] = {}
        self._totals = {
            (link, way): 0 for link in LINKS for way in ("sent", "received")
        }

    def register(self, registry: CollectorRegistry) -> None:
        """Register the counters."""
        registry.register(self)

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counters after reading them from the kernel."""
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
        """Return the counters' names without reading from the kernel."""
        yield CounterMetricFamily("redwing_control_bytes", "")

    def _sample(self) -> None:
        counts_by_connection = {}
        for connection, seen in read_connections():
            link = self._link(*connection)
            if link is None:
                continue
            counts_by_connection[connection] = seen
            before = self._counts_by_connection.get(
                connection, ByteCounts(0, 0)
            )
            self._totals[link, "sent"] += max(0, seen.sent - before.sent)
            received = max(0, seen.received - before.received)
            self._totals[link, "received"] += received
        self._counts_by_connection = counts_by_connection

    def _link(self, own: PeerAddress, other: PeerAddress) -> str | None:
        """Return a connection's link; None if it isn't control traffic."""
        if other == self._store:
            return "store"
        accepted = own.port == self._listen_port()
        if not accepted and other not in self._dialled():
            return None
        return "local" if other.ip == self._own_ip else "peer"


def read_connections() -> (
    Iterator[tuple[tuple[PeerAddress, PeerAddress], ByteCounts]]
):
    """Yield the ends (own, other) and byte counts of TCP connections."""
    for name in listdir("/proc/self/fd"):
        found = _read_socket(int(name))
        if found is not None:
            yield found


def _read_socket(
    descriptor: int,
) -> tuple[tuple[PeerAddress, PeerAddress], ByteCounts] | None:
    """Return a TCP connection's ends and bytes; None for anything else."""
    try:
        tcp_socket = socket(fileno=descriptor)
    except OSError:
        return None
    try:
        if tcp_socket.family != AF_INET:
            return None
        if tcp_socket.getsockopt(SOL_SOCKET, SO_TYPE) != SOCK_STREAM:
            return None
        ends = (
            PeerAddress(*tcp_socket.getsockname()),
            PeerAddress(*tcp_socket.getpeername()),
        )
        info = tcp_socket.getsockopt(IPPROTO_TCP, TCP_INFO, _INFO_BYTES)
        sent, received = unpack_from("=QQ", info, _BYTES_OFFSET)
        return ends, ByteCounts(sent, received)
    except OSError:
        return None
    finally:
        tcp_socket.detach()
