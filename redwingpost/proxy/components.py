"""The components of a proxy that its sessions share."""

from collections.abc import Callable
from typing import Any, NamedTuple

from redwingpost.configuration.keys import KeyRing
from redwingpost.ports import Clock
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.forwarder import Forwarder, Homes
from redwingpost.proxy.gate import Gate
from redwingpost.proxy.metrics import ProxyMetrics
from redwingpost.proxy.reads import Reader
from redwingpost.proxy.status_poller import StatusPoller
from redwingpost.proxy.targets import TargetPool
from redwingpost.proxy.transactions import Transactions
from redwingpost.proxy.writes import Writer
from redwingpost.sessions import TokenMinter


class Components(NamedTuple):
    """Shared components of a proxy; ``sessions`` are the open ones.

    ``takes`` returns whether a statement with a deadline (seconds) is taken
    while the proxy stops.
    """

    clock: Clock
    keys: KeyRing
    tokens: TokenMinter
    directory: Directory
    status_poller: StatusPoller
    gate: Gate
    pool: TargetPool
    reader: Reader
    writer: Writer
    transactions: Transactions
    metrics: ProxyMetrics
    sessions: set[Any]
    homes: Homes
    make_forwarder: Callable[[], Forwarder]
    takes: Callable[[float], bool]
