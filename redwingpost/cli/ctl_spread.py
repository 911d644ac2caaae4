"""``redwingctl spread``: which VMs put a configuration in force late."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

from rich.table import Table
from typer import Argument, Context, Exit, Option, echo

from redwingpost.cli.ctl_common import EXIT_REFUSED, show_result
from redwingpost.operator.spread import Lag, find_lags


def spread(
    context: Context,
    log: Annotated[list[Path], Argument(help="Log files of nodes.")],
    least: Annotated[float, Option(help="Least lag shown (s).")] = 1.0,
) -> None:
    """Show VMs that put a configuration in force later than the first VM.

    A line's VM is the word before its JSON object, or the file's name.

    Example: redwingctl spread vm-*.log --least 0.5
    """
    try:
        lags = find_lags(_read_lines(log), least)
    except OSError as error:
        echo(f"can't read a log: {error}", err=True)
        raise Exit(EXIT_REFUSED) from error
    shown = {"least": least, "lags": [lag._asdict() for lag in lags]}
    show_result(context.obj, shown, _make_table(lags))


def _read_lines(paths: list[Path]) -> Iterator[tuple[str, str]]:
    for path in paths:
        with path.open(errors="replace") as lines:
            for line in lines:
                words = line.partition("{")[0].split()
                yield (words[-1] if words else path.stem), line


def _make_table(lags: tuple[Lag, ...]) -> Table:
    table = Table("late (s)", "version", "VM", "first at", "last event")
    for lag in lags:
        seconds = f"{lag.seconds:.2f}"
        table.add_row(
            f"over {seconds}" if lag.is_missing else seconds,
            str(lag.version),
            lag.vm,
            f"{lag.first_at:.2f}",
            lag.state,
        )
    return table
