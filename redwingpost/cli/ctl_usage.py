"""``redwingctl usage``: which organisations overload a shared group."""

from asyncio import gather, run, sleep
from typing import Annotated

from rich.table import Table
from typer import Context, Exit, Option, echo

from redwingpost.adapters.http_client import HttpLost
from redwingpost.cli.ctl_common import EXIT_REFUSED, read_address, show_result
from redwingpost.cli.metrics_pages import read_metrics_page
from redwingpost.operator.usage import (
    Series,
    UsageLine,
    count_increase,
    read_counts,
    summarise,
)


def usage(
    context: Context,
    node: Annotated[
        list[str], Option(help="IP:PORT of a node's metrics; once per VM.")
    ],
    seconds: Annotated[
        float, Option(help="Seconds to measure; 0: since the nodes started.")
    ] = 10.0,
) -> None:
    """Show what each organisation sent to each group, and what was granted.

    Example: redwingctl usage --node 10.1.0.26:7575 --seconds 30
    """
    try:
        lines = run(_measure(tuple(node), seconds))
    except (HttpLost, ValueError) as error:
        echo(f"can't read a node's metrics: {error}", err=True)
        raise Exit(EXIT_REFUSED) from error
    shown = {"seconds": seconds, "lines": [line._asdict() for line in lines]}
    show_result(context.obj, shown, _make_table(lines))


async def _measure(nodes: tuple[str, ...], seconds: float) -> tuple:
    before: list[dict[Series, int]] = [{} for _ in nodes]
    if seconds > 0.0:
        before = await _read_all(nodes)
        await sleep(seconds)
    after = await _read_all(nodes)
    return summarise(map(count_increase, before, after))


async def _read_all(nodes: tuple[str, ...]) -> list[dict[Series, int]]:
    return await gather(*(_read(node) for node in nodes))


async def _read(node: str) -> dict[Series, int]:
    return read_counts(await read_metrics_page(read_address(node)))


def _make_table(lines: tuple[UsageLine, ...]) -> Table:
    table = Table(
        "group", "organisation", "offered", "granted", "refused", "why"
    )
    for line in lines:
        reasons = line.refused_by_reason
        table.add_row(
            line.group,
            line.organisation,
            str(line.offered),
            str(line.granted),
            str(sum(reasons.values())),
            ", ".join(f"{why} {count}" for why, count in reasons.items()),
        )
    return table
