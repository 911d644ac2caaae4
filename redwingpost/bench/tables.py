"""Tables of measures, for the terminal and as Markdown."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rich.table import Table

from redwingpost.bench.measures import Measures


class Column(NamedTuple):
    """A heading and the function that formats a run's value."""

    heading: str
    show: Callable[[Measures], str]


def _number(value: float | None, digits: int) -> str:
    return "–" if value is None else f"{value:.{digits}f}"


def _field(name: str, digits: int) -> Callable[[Measures], str]:
    return lambda measures: _number(measures.get(name), digits)


def _latency(name: str) -> Callable[[Measures], str]:
    return lambda measures: _number(measures["latency_ms"][name], 1)


#: The users' four measures come first.
USER_COLUMNS = (
    Column("replica reads", _field("replica_read_share", 3)),
    Column("failover gap s", _field("failover_gap_s", 2)),
    Column("worst organisation", _field("worst_organisation_ratio", 3)),
    Column("wrongful refusals", _field("wrongful_refusals", 0)),
)

COLUMNS = (
    Column("scenario", lambda m: m["scenario"]),
    Column("site", lambda m: m["site"]),
    Column("policy", lambda m: m["policy"]),
    Column("seed", lambda m: str(m["seed"])),
    *USER_COLUMNS,
    Column("answered", lambda m: f"{m['answered']}/{m['requests']}"),
    Column("p50 ms", _latency("p50")),
    Column("p99 ms", _latency("p99")),
    Column("violations", lambda m: str(len(m["violations"]))),
)


def make_table(runs: Iterable[Measures], title: str) -> Table:
    """Return a table for the terminal with a row per run."""
    table = Table(title=title)
    for column in COLUMNS:
        table.add_column(column.heading)
    for run in runs:
        style = "red" if run["violations"] else None
        table.add_row(*(c.show(run) for c in COLUMNS), style=style)
    return table


def make_side_by_side(runs: list[Measures], title: str) -> Table:
    """Return a narrow table: a row per measure, a column per run."""
    table = Table(title=title)
    table.add_column("measure")
    for run in runs:
        table.add_column(run["site"], justify="right")
    for column in COLUMNS:
        if column.heading not in ("scenario", "site", "policy", "seed"):
            table.add_row(column.heading, *(column.show(r) for r in runs))
    return table


def make_detail_table(run: Measures) -> Table:
    """Return a table of all measures and violations of one run."""
    title = f"{run['scenario']} at {run['site']}, {run['policy']}"
    table = Table("measure", "value", title=title)
    for name, value in run.items():
        if name != "violations":
            table.add_row(name, _show(value))
    for violation in run["violations"][:20]:
        table.add_row(
            f"[red]{violation['promise']}[/red]", violation["detail"]
        )
    hidden = len(run["violations"]) - 20
    if hidden > 0:
        table.add_row("violations not shown", str(hidden))
    return table


def _show(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key}: {entry}" for key, entry in value.items())
    return "–" if value is None else str(value)


def to_markdown(runs: Iterable[Measures]) -> str:
    """Return the runs as a Markdown table.

    Examples
    --------
    >>> to_markdown([]).splitlines()[0][:20]
    '| scenario | site | '
    """
    headings = [column.heading for column in COLUMNS]
    lines = [_row(headings), _row(["---"] * len(headings))]
    lines.extend(_row([c.show(run) for c in COLUMNS]) for run in runs)
    return "\n".join(lines) + "\n"


def _row(cells: list[str]) -> str:
    return f"| {' | '.join(cells)} |"
