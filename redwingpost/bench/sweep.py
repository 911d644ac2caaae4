"""Runs scenarios one after another and tabulates the worst seeds."""

from asyncio import run as run_loop, timeout
from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import product
from typing import NamedTuple

from rich.table import Table

from redwingpost.bench.bench_lock import hold_bench_lock
from redwingpost.bench.measures import Measures
from redwingpost.bench.runner import (
    Progress,
    RunResult,
    RunSpec,
    run_scenario,
)

#: Timeout of a whole run with start and stop, in seconds.
RUN_TIMEOUT_S = 40.0


async def run_with_timeout(
    spec: RunSpec, report_progress: Progress
) -> RunResult:
    """Run one scenario; cancel it after ``RUN_TIMEOUT_S``."""
    async with timeout(RUN_TIMEOUT_S):
        return await run_scenario(spec, report_progress)


class SweepResult(NamedTuple):
    """Measures of the finished runs, and errors of the failed ones."""

    runs: list[Measures]
    failures: list[str]


def plan(
    scenarios: Iterable[str],
    sites: Iterable[str],
    seeds: Iterable[int],
    policies: Iterable[str],
) -> Iterator[RunSpec]:
    """Yield a spec for each combination; the seeds vary fastest."""
    for scenario, site, policy, seed in product(
        scenarios, sites, policies, list(seeds)
    ):
        yield RunSpec(scenario, site, seed, policy)


def run_all(
    specs: Iterable[RunSpec], report_progress: Progress
) -> SweepResult:
    """Run all specs one after another; continue after failures."""
    result = SweepResult([], [])
    for spec in specs:
        name = " ".join(map(str, spec))
        report_progress(name)
        try:
            with hold_bench_lock(report_progress):
                finished = run_loop(run_with_timeout(spec, lambda _: None))
        except Exception as error:
            # One failed run must not discard the others' results. The
            # report lists it among the runs that did not end.
            result.failures.append(f"{name}: {error!r}"[:500])
            report_progress(f"{name}: did not end: {error!r}"[:500])
            continue
        result.runs.append(finished.measures)
        report_progress(_summary_line(finished.measures))
    return result


def _summary_line(measures: Measures) -> str:
    return (
        f"  answered {measures['answered']}/{measures['requests']}, "
        f"gap {measures['failover_gap_s']}, worst "
        f"{measures['worst_organisation_ratio']}, wrongful "
        f"{measures['wrongful_refusals']}, replicas "
        f"{measures['replica_read_share']}, violations "
        f"{len(measures['violations'])}"
    )


def make_spread_table(result: SweepResult) -> Table:
    """Return a row per scenario, site and policy, over all seeds."""
    table = Table(title=f"{len(result.runs)} runs, worst seed of each")
    for heading in _HEADINGS:
        table.add_column(heading)
    runs_by_name = defaultdict(list)
    for run in result.runs:
        name = (run["scenario"], run["site"], run["policy"])
        runs_by_name[name].append(run)
    for name, runs in runs_by_name.items():
        table.add_row(*name, *spread(runs))
    return table


_HEADINGS = (
    "scenario",
    "site",
    "policy",
    "seeds",
    "replica reads min",
    "gap p50/max s",
    "worst organisation min",
    "wrongful max",
    "over rate",
    "p99 ms max",
    "violations",
)


def spread(runs: list[Measures]) -> tuple[str, ...]:
    """Return a row's cells, from ``seeds`` to ``violations``."""
    gaps = sorted(
        run["failover_gap_s"]
        for run in runs
        if run["failover_gap_s"] is not None
    )
    shares = [
        run["replica_read_share"]
        for run in runs
        if run["replica_read_share"] is not None
    ]
    gap = f"{gaps[len(gaps) // 2]:.2f}/{gaps[-1]:.2f}" if gaps else "–"
    return (
        str(len(runs)),
        f"{min(shares):.3f}" if shares else "–",
        gap,
        f"{min(run['worst_organisation_ratio'] for run in runs):.3f}",
        str(max(run["wrongful_refusals"] for run in runs)),
        str(sum(run["over_rate_grants"] for run in runs)),
        f"{max(run['latency_ms']['p99'] for run in runs):.0f}",
        str(sum(len(run["violations"]) for run in runs)),
    )
