"""Operations offered, granted and refused per organisation and group.

They show which organisation overloads a shared group. Each VM counts the
operations offered to it by admission outcome; the increase between two
readings of all VMs is the usage in that span.
"""

from collections import Counter
from collections.abc import Hashable, Iterable, Mapping
from typing import NamedTuple, TypeVar

from prometheus_client.parser import text_string_to_metric_families

#: Name of the counter on the VMs' metrics pages, and its outcome label for
#: an admitted operation.
_METRIC = "redwing_operations_total"
_GRANTED = "granted"

_Key = TypeVar("_Key", bound=Hashable)


class Series(NamedTuple):
    """The labels of one counter of a VM."""

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
    """Return the counts of one VM's metrics page.

    Raises
    ------
    ValueError
        If the page isn't in the Prometheus text format.

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


def count_increase(
    before: Mapping[_Key, int], after: Mapping[_Key, int]
) -> Counter[_Key]:
    """Return the increase of one VM's counters between two readings.

    The counters of a restarted process start from zero: all of its counts
    are from after the first reading.

    Examples
    --------
    >>> series = Series("a", "g", "granted")
    >>> count_increase({series: 5}, {series: 8})[series]
    3
    >>> count_increase({series: 5}, {series: 2})[series]
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
    """Return lines sorted by group, then by operations offered."""
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
