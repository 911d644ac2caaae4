"""Metrics of admission and connections, read when the page is asked for."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from redwingpost.node.group import GroupClient
from redwingpost.ports.clock import Clock

#: Name, explanation and field of ``MemberLoad`` of the gauges by member.
_MEMBER_GAUGES = (
    (
        "redwing_admission_running",
        "Statements that run at a member",
        "running",
    ),
    (
        "redwing_admission_waiting",
        "Statements that wait for a member",
        "waiting",
    ),
    (
        "redwing_admission_limit",
        "Statements that may run at a member at once",
        "limit",
    ),
    (
        "redwing_connections_open",
        "Connections for statements to a member",
        "connections_open",
    ),
    (
        "redwing_connections_allowed",
        "Connections for statements that this VM may hold to a member",
        "connections_allowed",
    ),
)


class LoadCollector(Collector):
    """Collects the load of the members of all groups."""

    def __init__(
        self, group_by_name: dict[str, GroupClient], clock: Clock
    ) -> None:
        self._group_by_name = group_by_name
        self._clock = clock

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics."""
        yield from self._by_member()
        yield self._waiting_by_organisation()
        yield self._refused("member", "Statements refused by admission")
        yield self._refused(
            "organisation", "Statements of an organisation refused"
        )

    def _by_member(self) -> Iterator[Metric]:
        now = self._clock.now()
        loads = [
            (name, member, client.load(now))
            for name, group in self._group_by_name.items()
            for member, client in group.member_by_name.items()
        ]
        for metric, explanation, field in _MEMBER_GAUGES:
            family = GaugeMetricFamily(
                metric, explanation, labels=("group", "member")
            )
            for group, member, load in loads:
                family.add_metric((group, member), getattr(load, field))
            yield family

    def _waiting_by_organisation(self) -> Metric:
        family = GaugeMetricFamily(
            "redwing_admission_organisation_waiting",
            "Statements of an organisation that wait for any member",
            labels=("group", "organisation"),
        )
        for name, group in self._group_by_name.items():
            waiting: Counter[str] = Counter()
            for client in group.member_by_name.values():
                waiting += client.admission.waiting_by_organisation()
            for organisation, statements in waiting.items():
                family.add_metric((name, organisation), statements)
        return family

    def _refused(self, label: str, explanation: str) -> Metric:
        part = "" if label == "member" else f"{label}_"
        family = CounterMetricFamily(
            f"redwing_admission_{part}refused",
            explanation,
            labels=("group", label, "reason"),
        )
        for name, group in self._group_by_name.items():
            refused: Counter[tuple[str, str]] = Counter()
            for key, statements in group.refusals.items():
                refused[getattr(key, label), key.reason] += statements
            for labels, statements in refused.items():
                family.add_metric((name, *labels), statements)
        return family
