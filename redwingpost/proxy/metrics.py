"""Prometheus metrics of a proxy; the number of labels is bounded."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
)

#: Seconds; from a read over an open connection in the same data centre
#: (below 1 ms) to a failover (3 s).
_LATENCY_BUCKETS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


class ProxyMetrics:
    """The proxy's metrics in a registry of their own.

    The library's global registry can't be used, because tests run several
    proxies in one process.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "redwing_proxy_requests_total",
            "Statements by class and by result code (0 is success).",
            ("statement_class", "code"),
            registry=self.registry,
        )
        self.duration = Histogram(
            "redwing_proxy_request_duration_seconds",
            "Time from a statement's arrival to its answer.",
            ("statement_class",),
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.reads = Counter(
            "redwing_proxy_reads_total",
            "Reads by the role of the member that served them.",
            ("role",),
            registry=self.registry,
        )
        self.connections = Gauge(
            "redwing_proxy_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "redwing_proxy_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
