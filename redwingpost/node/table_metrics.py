"""Metrics of this VM's copies of the store's tables."""

from collections.abc import Iterator

from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from redwingpost.node.fleet.watcher import TableWatcher

#: Name, explanation and attribute of ``TableWatcher`` of each gauge.
_GAUGES = (
    (
        "redwing_table_age_seconds",
        "Time since a table's copy was known to be current",
        "age_s",
    ),
    (
        "redwing_table_request_seconds",
        "Time that the pending request for a table has waited",
        "pending_s",
    ),
    (
        "redwing_table_version",
        "Version of the store in its last answer about a table",
        "number",
    ),
    (
        "redwing_table_era",
        "Era of the store in its last answer about a table",
        "era",
    ),
)


class TableCollector(Collector):
    """Collects how current the copies of the tables are."""

    def __init__(self, watchers: tuple[TableWatcher, ...]) -> None:
        self._watchers = watchers

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics."""
        for name, explanation, attribute in _GAUGES:
            family = GaugeMetricFamily(name, explanation, labels=("table",))
            for watcher in self._watchers:
                value = getattr(watcher, attribute)
                family.add_metric((watcher.table,), value)
            yield family
