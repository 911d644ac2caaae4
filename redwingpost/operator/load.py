"""Load of a fleet's members: what runs, waits and was refused, and why.

A member's load is spread over the VMs that run statements there; none of
them knows the others' queues. The sums over all VMs show which member or
organisation a refusal is due to, and whether connections or slots are
short. Gauges are added as they were last read, counters as their increase
between two readings.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from prometheus_client.parser import text_string_to_metric_families

from redwingpost.operator.usage import count_increase

#: Counters of the VMs' metrics pages.
_MEMBER_REFUSED = "redwing_admission_refused_total"
_ORGANISATION_REFUSED = "redwing_admission_organisation_refused_total"
_PLACED = "redwing_placements_total"
_COLD_REFUSED = "redwing_cold_refused_total"

#: Gauges of the VMs' metrics pages.
_ORGANISATION_WAITING = "redwing_admission_organisation_waiting"
_WITHHELD = "redwing_rate_withheld"

#: Gauges by group and member, in the order of the fields of ``MemberUse``.
_MEMBER_GAUGES = (
    "redwing_admission_running",
    "redwing_admission_waiting",
    "redwing_admission_limit",
    "redwing_connections_open",
    "redwing_connections_allowed",
)

_LABELS_BY_COUNTER = {
    _MEMBER_REFUSED: ("group", "member", "reason"),
    _ORGANISATION_REFUSED: ("group", "organisation", "reason"),
    _PLACED: ("group", "choice"),
    _COLD_REFUSED: ("group", "member"),
}
_LABELS_BY_GAUGE = {
    **{metric: ("group", "member") for metric in _MEMBER_GAUGES},
    _ORGANISATION_WAITING: ("group", "organisation"),
    _WITHHELD: ("organisation",),
}


class LoadSeries(NamedTuple):
    """A metric and the values of its labels."""

    metric: str
    labels: tuple[str, ...]


class VmLoad(NamedTuple):
    """Gauges and counters of load of one VM."""

    gauges: Mapping[LoadSeries, float]
    counts: Mapping[LoadSeries, int]


class MemberUse(NamedTuple):
    """Statements and connections of VMs at a member.

    ``limit`` is how many statements may run at once.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 0
    connections_open: int = 0
    connections_allowed: int = 0


class MemberLine(NamedTuple):
    """Load of one member over the VMs that use it.

    ``vms`` is the number of VMs that have connections or statements there.
    The others are left out of ``use``: each VM states a limit for each
    member, but in a large fleet only a group's homes run statements there.
    """

    group: str
    member: str
    vms: int
    use: MemberUse
    refused_by_reason: dict[str, int]
    cold_refused: int


class OrganisationLine(NamedTuple):
    """Statements of one organisation that wait or were refused."""

    group: str
    organisation: str
    waiting: int
    refused_by_reason: dict[str, int]


class PlacementLine(NamedTuple):
    """Statements of one group by why they went to a home, or to none."""

    group: str
    statements_by_choice: dict[str, int]


class FleetLoad(NamedTuple):
    """Load over all VMs.

    ``withheld_by_organisation`` is in operations, the largest of any VM:
    VMs that hear each other withhold the same operations of a rate.
    """

    members: tuple[MemberLine, ...]
    organisations: tuple[OrganisationLine, ...]
    placements: tuple[PlacementLine, ...]
    withheld_by_organisation: dict[str, float]


def read_load(page: str) -> VmLoad:
    """Return the load on one VM's metrics page.

    Raises
    ------
    ValueError
        If the page isn't in the Prometheus text format, or a label is
        missing.

    Examples
    --------
    >>> read_load('redwing_rate_withheld{organisation="a"} 2.5').gauges
    {LoadSeries(metric='redwing_rate_withheld', labels=('a',)): 2.5}
    """
    gauges: dict[LoadSeries, float] = {}
    counts: dict[LoadSeries, int] = {}
    for family in text_string_to_metric_families(page):
        for sample in family.samples:
            name = sample.name
            if name in _LABELS_BY_GAUGE:
                series = _make_series(name, sample.labels, _LABELS_BY_GAUGE)
                gauges[series] = sample.value
            elif name in _LABELS_BY_COUNTER:
                series = _make_series(name, sample.labels, _LABELS_BY_COUNTER)
                counts[series] = int(sample.value)
    return VmLoad(gauges, counts)


def measure_load(before: VmLoad, after: VmLoad) -> VmLoad:
    """Return one VM's last gauges, and its counters' increase."""
    return VmLoad(after.gauges, count_increase(before.counts, after.counts))


def summarise_load(loads: Iterable[VmLoad]) -> FleetLoad:
    """Return the load over all VMs.

    Members and organisations are sorted by group, then by statements
    waiting, the most first.

    Parameters
    ----------
    loads : iterable of VmLoad
        One for each VM.
    """
    loads = tuple(loads)
    counts: Counter[LoadSeries] = Counter()
    for load in loads:
        counts.update(load.counts)
    return FleetLoad(
        _make_member_lines(loads, counts),
        _make_organisation_lines(loads, counts),
        _make_placement_lines(counts),
        _find_withheld(loads),
    )


def _make_series(
    metric: str,
    value_by_label: Mapping[str, str],
    labels_by_metric: Mapping[str, tuple[str, ...]],
) -> LoadSeries:
    try:
        values = tuple(
            value_by_label[label] for label in labels_by_metric[metric]
        )
    except KeyError as missing:
        raise ValueError(f"{metric} has no label {missing}") from missing
    return LoadSeries(metric, values)


def _make_member_lines(
    loads: tuple[VmLoad, ...], counts: Counter[LoadSeries]
) -> tuple[MemberLine, ...]:
    refused = _group_last_label(counts, _MEMBER_REFUSED)
    cold = _sum_by_labels(counts, _COLD_REFUSED)
    uses_by_member = _list_uses(loads)
    lines = []
    for key in uses_by_member.keys() | refused.keys() | cold.keys():
        uses = uses_by_member.get(key, [])
        group, member = key
        line = MemberLine(
            group,
            member,
            len(uses),
            MemberUse(*map(sum, zip(*uses, strict=True))),
            refused.get(key, {}),
            cold[key],
        )
        lines.append(line)
    return tuple(sorted(lines, key=_member_order))


def _member_order(line: MemberLine) -> tuple[str, int, str]:
    return line.group, -line.use.waiting, line.member


def _list_uses(
    loads: tuple[VmLoad, ...],
) -> dict[tuple[str, ...], list[MemberUse]]:
    """Return, by group and member, the use of each VM that has any."""
    uses_by_member: dict[tuple[str, ...], list[MemberUse]] = {}
    for load in loads:
        keys = {
            series.labels
            for series in load.gauges
            if series.metric in _MEMBER_GAUGES
        }
        for key in keys:
            uses = uses_by_member.setdefault(key, [])
            use = MemberUse(
                *(
                    int(load.gauges.get(LoadSeries(metric, key), 0))
                    for metric in _MEMBER_GAUGES
                )
            )
            if use.running or use.waiting or use.connections_open:
                uses.append(use)
    return uses_by_member


def _make_organisation_lines(
    loads: tuple[VmLoad, ...], counts: Counter[LoadSeries]
) -> tuple[OrganisationLine, ...]:
    refused = _group_last_label(counts, _ORGANISATION_REFUSED)
    waiting: Counter[tuple[str, ...]] = Counter()
    for load in loads:
        waiting.update(_sum_by_labels(load.gauges, _ORGANISATION_WAITING))
    lines = [
        OrganisationLine(*key, int(waiting[key]), refused.get(key, {}))
        for key in waiting.keys() | refused.keys()
        if waiting[key] or key in refused
    ]
    return tuple(sorted(lines, key=_organisation_order))


def _organisation_order(line: OrganisationLine) -> tuple[str, int, int, str]:
    refused = sum(line.refused_by_reason.values())
    return line.group, -line.waiting, -refused, line.organisation


def _make_placement_lines(
    counts: Counter[LoadSeries],
) -> tuple[PlacementLine, ...]:
    choices_by_group = _group_last_label(counts, _PLACED)
    return tuple(
        PlacementLine(*key, choices)
        for key, choices in sorted(choices_by_group.items())
    )


def _find_withheld(loads: tuple[VmLoad, ...]) -> dict[str, float]:
    withheld: dict[str, float] = {}
    for load in loads:
        amounts = _sum_by_labels(load.gauges, _WITHHELD)
        for (organisation,), amount in amounts.items():
            withheld[organisation] = max(
                amount, withheld.get(organisation, 0.0)
            )
    return dict(sorted(withheld.items()))


def _sum_by_labels(
    values: Mapping[LoadSeries, float], metric: str
) -> Counter[tuple[str, ...]]:
    return Counter(
        {
            series.labels: value
            for series, value in values.items()
            if series.metric == metric and value
        }
    )


def _group_last_label(
    counts: Counter[LoadSeries], metric: str
) -> dict[tuple[str, ...], dict[str, int]]:
    """Return counts by the last label, by all labels before it."""
    grouped: dict[tuple[str, ...], dict[str, int]] = {}
    for labels, count in sorted(_sum_by_labels(counts, metric).items()):
        grouped.setdefault(labels[:-1], {})[labels[-1]] = count
    return grouped
