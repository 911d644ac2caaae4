"""Several runs one after another, and their spread as one table."""

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

#: Seconds that a run may take in all.
RUN_LIMIT_S = 40.0


async def run_limited(order: RunSpec, say: Progress) -> RunResult:
    """Run one scenario within the time that a run may take."""
    async with timeout(RUN_LIMIT_S):
        return await run_scenario(order, say)


class SweepResult(NamedTuple):
    """Measures of the runs that ended, reasons of those that didn't."""

    runs: list[Measures]
    failures: list[str]


def plan(
    scenarios: Iterable[str],
    sites: Iterable[str],
    seeds: Iterable[int],
    policies: Iterable[str],
) -> Iterator[RunSpec]:
    """Return every combination, seeds innermost."""
    for scenario, site, policy, seed in product(
        scenarios, sites, policies, list(seeds)
    ):
        yield RunSpec(scenario, site, seed, policy)


def run_all(orders: Iterable[RunSpec], say: Progress) -> SweepResult:
    """Run orders one after another; a failed run doesn't end the sweep."""
    result = SweepResult([], [])
    for order in orders:
        name = " ".join(map(str, order))
        say(name)
        try:
            with hold_bench_lock(say):
                finished = run_loop(run_limited(order, lambda _: None))
        except Exception as error:
            # Whatever broke one run must not throw the others' results
            # away; the table lists it as a run that did not end.
            result.failures.append(f"{name}: {error!r}"[:500])
            say(f"{name}: did not end: {error!r}"[:500])
            continue
        result.runs.append(finished.measures)
        say(_outcome(finished.measures))
    return result


def _outcome(measures: Measures) -> str:
    return (
        f"  answered {measures['answered']}/{measures['requests']}, "
        f"gap {measures['failover_gap_s']}, worst "
        f"{measures['worst_organisation_ratio']}, wrongful "
        f"{measures['wrongful_refusals']}, replicas "
        f"{measures['replica_read_share']}, violations "
        f"{len(measures['violations'])}"
    )


def make_spread_table(result: SweepResult) -> Table:
    """Return one line per scenario, site and policy over all seeds."""
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
    """Return the cells of a line, from the seeds and ending with faults."""
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
