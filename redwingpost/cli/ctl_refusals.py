"""``redwingctl refusals``: why callers were refused or served late."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

from rich.table import Table
from typer import Argument, Context, Exit, Option, echo

from redwingpost.cli.ctl_common import EXIT_REFUSED, show_result
from redwingpost.operator.refusals import SPAN_S, CauseLine, count_causes


def refusals(
    context: Context,
    log: Annotated[list[Path], Argument(help="Log files of nodes.")],
    span: Annotated[float, Option(help="Length of a span (s).")] = SPAN_S,
) -> None:
    """Count refusals and late answers by cause and by span of time.

    Example: redwingctl refusals all.log --span 2
    """
    try:
        lines = count_causes(_read_lines(log), span)
    except OSError as error:
        echo(f"can't read a log: {error}", err=True)
        raise Exit(EXIT_REFUSED) from error
    shown = {"span": span, "causes": [_as_fields(line) for line in lines]}
    show_result(context.obj, shown, _make_table(lines))


def _read_lines(paths: list[Path]) -> Iterator[str]:
    for path in paths:
        with path.open(errors="replace") as lines:
            yield from lines


def _as_fields(line: CauseLine) -> dict:
    return {
        **line.cause._asdict(),
        "count": line.count,
        "count_by_span": line.count_by_span,
    }


def _make_table(lines: tuple[CauseLine, ...]) -> Table:
    table = Table("code", "why", "requests", "worst span", "from")
    for line in lines:
        begin, highest = max(line.count_by_span.items(), key=_by_count)
        table.add_row(
            line.cause.code,
            line.cause.detail,
            str(line.count),
            str(highest),
            f"{begin:.1f}",
        )
    return table


def _by_count(item: tuple[float, int]) -> int:
    return item[1]
