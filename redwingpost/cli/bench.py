"""``redwing-bench``: experiments with load and faults on real programs."""

from asyncio import run as run_loop
from collections.abc import Callable
from json import loads
from pathlib import Path
from signal import SIGTERM, default_int_handler, signal
from sys import stderr, stdout
from time import monotonic
from typing import Annotated

from loguru import logger
from msgspec.json import encode, format as format_json
from rich.console import Console
from rich.table import Table
from typer import Argument, BadParameter, Exit, Option, Typer

import redwingpost.bench.scenarios  # noqa: F401
from redwingpost.bench.bench_lock import hold_bench_lock
from redwingpost.bench.compare import compare as compare_measures, render
from redwingpost.bench.history import to_record
from redwingpost.bench.plots import PLOTS, draw
from redwingpost.bench.report import write_report
from redwingpost.bench.runner import (
    POLICIES,
    Progress,
    RunSpec,
)
from redwingpost.bench.scenario import SCENARIOS
from redwingpost.bench.sites import SITES
from redwingpost.bench.sweep import (
    make_spread_table,
    plan,
    run_all,
    run_with_timeout,
)
from redwingpost.bench.tables import make_detail_table, make_side_by_side

app = Typer(
    add_completion=False,
    no_args_is_help=True,
    help="Experiments on the real programs: load, faults, and the answers "
    "that callers received.\n\n"
    "Example: redwing-bench run primary-loss --site yuelan --seed 3",
)
#: Columns of output that isn't a terminal, enough for wide tables.
_FILE_COLUMNS = 140

console = Console(width=None if stdout.isatty() else _FILE_COLUMNS)
progress = Console(stderr=True, soft_wrap=True)

#: Exit codes besides 0: the run failed; the run violated a promise.
EXIT_FAILED, EXIT_VIOLATED = 1, 3

#: Seconds of load for each site in the demo.
DEMO_LOAD_S = 4.0

Site = Annotated[str, Option(help="semilla-andina or yuelan")]
Policy = Annotated[str, Option(help="redwingpost or naive")]
Seed = Annotated[int, Option(help="Seed of the load and the faults")]
Json = Annotated[Path | None, Option("--json", help="Write the measures")]
Names = Annotated[str, Option(help="Comma-separated; empty for all")]


def _check_name(name: str, known: tuple[str, ...], what: str) -> None:
    if name not in known:
        allowed = ", ".join(known)
        raise BadParameter(f"unknown {what} {name!r}; known: {allowed}")


def _parse_names(names: str, known: tuple[str, ...], what: str) -> list[str]:
    chosen = [name for name in names.split(",") if name] or list(known)
    for name in chosen:
        _check_name(name, known, what)
    return chosen


def _make_progress_printer() -> Progress:
    started_at = monotonic()

    def print_progress(line: str) -> None:
        progress.print(f"[dim]{monotonic() - started_at:6.1f} s[/dim] {line}")

    return print_progress


@app.command("list")
def list_scenarios() -> None:
    """List scenarios and sites.

    Example: redwing-bench list
    """
    table = Table("scenario", "what happens", "load s")
    for name, scenario in SCENARIOS.items():
        table.add_row(name, scenario.summary, f"{scenario.load_s:.0f}")
    console.print(table)
    console.print(f"sites: {', '.join(SITES.names())}")
    console.print(f"policies: {', '.join(POLICIES)}")


@app.command()
def run(
    scenario: Annotated[str, Argument(help="See redwing-bench list")],
    site: Site = "semilla-andina",
    seed: Seed = 1,
    policy: Policy = "redwingpost",
    json: Json = None,
    history: Annotated[
        Path | None, Option(help="Write every attempt, a JSON line each")
    ] = None,
) -> None:
    """Run one scenario; exits 3 if a promise was violated.

    Example: redwing-bench run primary-loss --seed 7 --json out.json
    """
    _check_name(scenario, SCENARIOS.names(), "scenario")
    _check_name(site, SITES.names(), "site")
    _check_name(policy, POLICIES, "policy")
    order = RunSpec(scenario, site, seed, policy)
    print_progress = _make_progress_printer()
    try:
        with hold_bench_lock(print_progress):
            finished = run_loop(run_with_timeout(order, print_progress))
    except Exception as error:
        # Any failure is reported in one line; the child processes' logs
        # hold the details.
        progress.print(f"[red]the run failed:[/red] {error!r}")
        raise Exit(EXIT_FAILED) from error
    if json is not None:
        json.write_bytes(format_json(encode(finished.measures), indent=2))
    if history is not None:
        lines = (encode(to_record(a)) for a in finished.run.attempts)
        history.write_bytes(b"\n".join(lines) + b"\n")
    console.print(make_detail_table(finished.measures))
    print_progress(f"notes: {finished.notes}; logs in {finished.directory}")
    if finished.measures["violations"]:
        raise Exit(EXIT_VIOLATED)


@app.command()
def demo() -> None:
    """Start all programs, run both users' loads and print a table.

    Example: redwing-bench demo
    """
    print_progress = _make_progress_printer()
    SCENARIOS.get("steady").load_s = DEMO_LOAD_S
    orders = plan(["steady"], SITES.names(), [1], ["redwingpost"])
    result = run_all(orders, print_progress)
    title = "redwingpost, both users' mixes"
    console.print(make_side_by_side(result.runs, title))
    violated = any(run["violations"] for run in result.runs)
    if result.failures or violated:
        raise Exit(EXIT_FAILED)


@app.command()
def sweep(
    scenarios: Names = "",
    sites: Names = "",
    policies: Names = "redwingpost",
    seeds: Annotated[int, Option(help="How many seeds, from 1")] = 10,
    json: Json = None,
) -> None:
    """Run every seed, scenario and site in turn; print one table.

    Example: redwing-bench sweep --scenarios primary-loss --seeds 10
    """
    orders = plan(
        _parse_names(scenarios, SCENARIOS.names(), "scenario"),
        _parse_names(sites, SITES.names(), "site"),
        range(1, seeds + 1),
        _parse_names(policies, POLICIES, "policy"),
    )
    result = run_all(orders, _make_progress_printer())
    if json is not None:
        json.write_bytes(encode(result.runs))
    console.print(make_spread_table(result))
    for failure in result.failures:
        console.print(f"[red]did not finish:[/red] {failure}")
    if result.failures:
        raise Exit(EXIT_FAILED)
    if any(run["violations"] for run in result.runs):
        raise Exit(EXIT_VIOLATED)


@app.command()
def report(
    directory: Annotated[Path, Option(help="Folder for the pages")] = Path(
        "bench-report"
    ),
    scenarios: Names = "",
    sites: Names = "",
    policies: Names = "",
    seed: Seed = 1,
) -> None:
    """Run all scenarios for both sites and policies; write one page.

    Example: redwing-bench report --directory out
    """
    orders = plan(
        _parse_names(scenarios, SCENARIOS.names(), "scenario"),
        _parse_names(sites, SITES.names(), "site"),
        [seed],
        _parse_names(policies, POLICIES, "policy"),
    )
    result = run_all(orders, _make_progress_printer())
    pages = write_report(result.runs, result.failures, directory)
    (directory / "runs.json").write_bytes(encode(result.runs))
    console.print(f"wrote {pages.markdown} and {pages.html}")


@app.command()
def restore(
    seeds: Annotated[int, Option(help="Number of seeds to play")] = 1,
    first: Annotated[int, Option(help="The first seed")] = 1,
    jobs: Annotated[int, Option(help="Plays at a time")] = 3,
) -> None:
    """Play node processes around restores of the platform's store.

    Example: redwing-bench restore --seeds 50
    """
    # Imported here, as other commands do without the nodes' stand-ins.
    from redwingpost.bench.restore import RestorePlay

    _play(RestorePlay, range(first, first + seeds), jobs)


@app.command()
def takeovers(
    seeds: Annotated[int, Option(help="Number of seeds to play")] = 1,
    first: Annotated[int, Option(help="The first seed")] = 1,
    jobs: Annotated[int, Option(help="Plays at a time")] = 3,
    tree: Annotated[
        Path | None, Option(help="Checkout whose sources the nodes run")
    ] = None,
    directory: Annotated[
        Path, Option(help="Folder for logs and orders of violations")
    ] = Path("/tmp/redwing-takeovers"),
    answered_late: Annotated[
        float, Option(help="Share of late promotions answered at once")
    ] = 0.3,
) -> None:
    """Play node processes around takeovers, looking for lost commits.

    Example: redwing-bench takeovers --seeds 50
    """
    from redwingpost.bench.takeovers import TakeoverPlay

    def make(seed: int) -> TakeoverPlay:
        return TakeoverPlay(
            seed, tree, directory, answered_late_share=answered_late
        )

    _play(make, range(first, first + seeds), jobs)


def _play(make: Callable, seeds: range, jobs: int) -> None:
    """Play seeds, print each play, and exit 3 if one has violations."""
    from redwingpost.bench.plays import Play, play_seeds

    violated: list[int] = []

    def show(seed: int, play: Play) -> None:
        if play.violations:
            violated.append(seed)
        print(
            f"seed {seed}: {play.codes['']} served,"
            f" {play.codes.total() - play.codes['']} not;"
            f" {len(play.violations)} violations",
            flush=True,
        )
        if play.violations:
            print(f"  events: {', '.join(play.events)}")
        for violation in play.violations:
            print(f"  {violation}", flush=True)

    run_loop(play_seeds(make, seeds, jobs, show))
    print(f"{len(seeds)} plays, {len(violated)} with violations: {violated}")
    if violated:
        raise Exit(EXIT_VIOLATED)


@app.command()
def compare(
    before: Annotated[Path, Argument(help="JSON of a run", exists=True)],
    after: Annotated[Path, Argument(help="JSON of a run", exists=True)],
) -> None:
    """Show every measure of two runs side by side.

    Example: redwing-bench compare before.json after.json
    """
    runs = loads(before.read_text()), loads(after.read_text())
    print(render(compare_measures(*runs)))


@app.command()
def plot(
    files: Annotated[list[Path], Argument(help="JSON of runs or sweeps")],
    directory: Annotated[Path, Option(help="Folder for PNGs")] = Path("."),
) -> None:
    """Draw measures from the JSON of runs, sweeps or reports.

    Example: redwing-bench plot a.json b.json --directory plots
    """
    runs = []
    for file in files:
        content = loads(file.read_text())
        runs.extend(content if isinstance(content, list) else [content])
    directory.mkdir(parents=True, exist_ok=True)
    for entry in PLOTS:
        path = draw(entry, runs, directory)
        if path is not None:
            console.print(f"wrote {path}")


def main() -> None:
    """Run the command line; its log goes to standard error."""
    logger.remove()
    logger.add(stderr, level="WARNING")
    # SIGTERM would end the bench and leave its child processes running
    # without a parent. Handled as an interrupt, it ends them first.
    signal(SIGTERM, default_int_handler)
    app()


if __name__ == "__main__":
    main()
