"""Counters, gauges and histograms of a VM, for Prometheus."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.registry import Collector

#: Upper bounds of latency (seconds); the configured latency targets lie
#: between 0.2 and 0.8 s.
_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)


#: Outcome of an admitted operation; the others are names of result codes.
GRANTED = "granted"


class NodeMetrics:
    """The metrics of one VM."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._statements = Counter(
            "redwing_statements_total",
            "Statements answered, by kind and result code",
            ("kind", "code"),
            registry=self._registry,
        )
        self._seconds = Histogram(
            "redwing_statement_seconds",
            "Seconds from a statement to its answer, by kind",
            ("kind",),
            buckets=_BUCKETS,
            registry=self._registry,
        )
        self._operations = Counter(
            "redwing_operations_total",
            "Operations offered, by organisation, group and what admission"
            " decided",
            ("organisation", "group", "outcome"),
            registry=self._registry,
        )
        self._given_back = Counter(
            "redwing_operations_given_back_total",
            "Granted operations whose token was given back, as no member"
            " ran anything of them",
            ("organisation", "group"),
            registry=self._registry,
        )
        self._placements = Counter(
            "redwing_placements_total",
            "Statements placed at homes, by group and why there",
            ("group", "choice"),
            registry=self._registry,
        )
        self._silent_channels = Counter(
            "redwing_silent_channels_total",
            "Connections to homes that went silent, by what became of them",
            ("outcome",),
            registry=self._registry,
        )
        self.sessions = Gauge(
            "redwing_sessions", "Open sessions", registry=self._registry
        )
        self.version = Gauge(
            "redwing_configuration_version",
            "Version of the configuration in force",
            registry=self._registry,
        )
        self.part = Gauge(
            "redwing_fleet_part",
            "Part of the VMs that hear each other (0 to 1)",
            registry=self._registry,
        )
        self.gathers = Gauge(
            "redwing_gathers",
            "Whether this VM gathers heartbeats for others (0 or 1)",
            registry=self._registry,
        )
        self._rate_withheld = Gauge(
            "redwing_rate_withheld",
            "Operations withheld for VMs that weren't heard, by organisation",
            ("organisation",),
            registry=self._registry,
        )
        self.takeovers = Counter(
            "redwing_takeovers_total",
            "Takeovers conducted, by reason and outcome",
            ("reason", "outcome"),
            registry=self._registry,
        )
        self._cold_refused = Counter(
            "redwing_cold_refused_total",
            "Statements not sent to a member because it is cold",
            ("group", "member"),
            registry=self._registry,
        )

    def collect_from(self, collector: Collector) -> None:
        """Add metrics that are read when the page is asked for."""
        self._registry.register(collector)

    def note(self, kind: str, code: str, seconds: float) -> None:
        """Count one statement."""
        self._statements.labels(kind, code).inc()
        self._seconds.labels(kind).observe(seconds)

    def note_given_back(self, organisation: str, group: str) -> None:
        """Count a granted operation that no member ran."""
        self._given_back.labels(organisation, group).inc()

    def note_cold_refused(self, group: str, member: str) -> None:
        """Count a statement that a cold member may not get."""
        self._cold_refused.labels(group, member).inc()

    def note_operation(
        self, organisation: str, group: str, outcome: str
    ) -> None:
        """Count one operation that was offered."""
        self._operations.labels(organisation, group, outcome).inc()

    def note_silent_channel(self, outcome: str) -> None:
        """Count a connection to a home that went silent."""
        self._silent_channels.labels(outcome).inc()

    def note_placement(self, group: str, choice: str) -> None:
        """Count one statement that was placed at a home, or refused."""
        self._placements.labels(group, choice).inc()

    def note_withheld(
        self, withheld_by_organisation: dict[str, float]
    ) -> None:
        """Show what is withheld of each organisation's rate."""
        self._rate_withheld.clear()
        for organisation, withheld in withheld_by_organisation.items():
            if withheld > 0.0:
                self._rate_withheld.labels(organisation).set(withheld)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)
