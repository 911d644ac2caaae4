"""Bar charts of runs' measures, drawn by matplotlib."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from matplotlib import use as use_backend
from matplotlib.figure import Figure

from redwingpost.bench.measures import Measures

use_backend("Agg")


class Plot(NamedTuple):
    """A chart of one measure; ``value`` is None if a run lacks it."""

    name: str
    title: str
    value: Callable[[Measures], float | None]


PLOTS = (
    Plot(
        "replica-read-share",
        "share of reads served by replicas",
        lambda m: m["replica_read_share"],
    ),
    Plot(
        "failover-gap",
        "failover gap (s)",
        lambda m: m["failover_gap_s"],
    ),
    Plot(
        "worst-organisation",
        "served to the worst-served organisation",
        lambda m: m["worst_organisation_ratio"],
    ),
    Plot(
        "wrongful-refusals",
        "wrongful refusals (share of requests within the rate)",
        lambda m: m["wrongful_refusal_share"],
    ),
    Plot(
        "p99",
        "99th percentile of the answer time (ms)",
        lambda m: m["latency_ms"]["p99"],
    ),
)

#: Height per scenario and site, and minimum height, in inches.
_INCHES_PER_ROW, _MIN_INCHES = 0.45, 2.5


def draw(plot: Plot, runs: list[Measures], directory: Path) -> Path | None:
    """Draw the means of a measure as bars per scenario and site.

    Returns
    -------
    Path or None
        The PNG file; None if no run has the measure.
    """
    measured = [run for run in runs if plot.value(run) is not None]
    if not measured:
        return None
    rows = sorted({f"{r['scenario']} · {r['site']}" for r in measured})
    policies = sorted({r["policy"] for r in measured})
    height = max(_MIN_INCHES, _INCHES_PER_ROW * len(rows))
    figure = Figure(figsize=(9.0, height), layout="constrained")
    axes = figure.subplots()
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        means = [_mean(plot, measured, row, policy) for row in rows]
        offsets = [index + number * width for index in range(len(rows))]
        axes.barh(offsets, means, height=width, label=policy)
    middle = 0.4 - width / 2.0
    axes.set_yticks([index + middle for index in range(len(rows))], rows)
    axes.set_xlabel(plot.title)
    axes.legend()
    path = directory / f"{plot.name}.png"
    figure.savefig(path, dpi=110)
    return path


def _mean(plot: Plot, runs: list[Measures], row: str, policy: str) -> float:
    values = [
        plot.value(run)
        for run in runs
        if f"{run['scenario']} · {run['site']}" == row
        and run["policy"] == policy
    ]
    return sum(values) / len(values) if values else 0.0
