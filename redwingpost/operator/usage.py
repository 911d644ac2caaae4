"""Who overloads a shared group: offered, granted and refused, by whom.

The owner of a group sees its members full and every organisation blames
another. Each node counts what was offered to it and what admission
decided; the difference of two readings of all nodes is the answer.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from prometheus_client.parser import text_string_to_metric_families

#: Name of the counter on the nodes' metrics pages, and the outcome of an
#: operation that may run.
_METRIC = "redwing_operations_total"
_GRANTED = "granted"


class Series(NamedTuple):
    """What one count of a node is about."""

    organisation: str
    group: str
    outcome: str


class UsageLine(NamedTuple):
    """Operations of one organisation on one group over a span."""

    organisation: str
    group: str
    offered: int
    granted: int
    refused_by_reason: dict[str, int]


def read_counts(page: str) -> dict[Series, int]:
    """Return the counts of one node's metrics page.

    Raises
    ------
    ValueError
        Where the page isn't in the metrics' text format.

    Examples
    --------
    >>> labels = 'organisation="a",group="g",outcome="granted"'
    >>> read_counts(f"redwing_operations_total{{{labels}}} 3.0")
    {Series(organisation='a', group='g', outcome='granted'): 3}
    """
    return {
        Series(
            sample.labels["organisation"],
            sample.labels["group"],
            sample.labels["outcome"],
        ): int(sample.value)
        for family in text_string_to_metric_families(page)
        for sample in family.samples
        if sample.name == _METRIC
    }


def grown(
    before: Mapping[Series, int], after: Mapping[Series, int]
) -> Counter[Series]:
    """Return what one node counted between two readings.

    A node that started again counts from zero: what it has now came
    after the first reading.

    Examples
    --------
    >>> series = Series("a", "g", "granted")
    >>> grown({series: 5}, {series: 8})[series]
    3
    >>> grown({series: 5}, {series: 2})[series]
    2
    """
    has_restarted = any(
        after.get(series, 0) < count for series, count in before.items()
    )
    if has_restarted:
        return Counter(after)
    return Counter(
        {
            series: count - before.get(series, 0)
            for series, count in after.items()
        }
    )


def summarise(counts: Iterable[Counter[Series]]) -> tuple[UsageLine, ...]:
    """Return lines by group, the organisation that offered most first."""
    total: Counter[Series] = sum(counts, Counter())
    refused: dict[tuple[str, str], dict[str, int]] = {}
    granted: Counter[tuple[str, str]] = Counter()
    for series, count in total.items():
        key = (series.group, series.organisation)
        reasons = refused.setdefault(key, {})
        if series.outcome == _GRANTED:
            granted[key] += count
        else:
            reasons[series.outcome] = reasons.get(series.outcome, 0) + count
    lines = [
        UsageLine(
            organisation,
            group,
            granted[group, organisation] + sum(reasons.values()),
            granted[group, organisation],
            reasons,
        )
        for (group, organisation), reasons in refused.items()
    ]
    return tuple(sorted(lines, key=lambda line: (line.group, -line.offered)))
