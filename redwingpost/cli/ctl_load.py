"""``redwingctl load``: how full the members of groups are, and for whom."""

from asyncio import gather, run, sleep
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

from rich.console import Group
from rich.table import Table
from typer import Context, Exit, Option, echo

from redwingpost.adapters.http_client import HttpLost
from redwingpost.adapters.peer import PeerAddress
from redwingpost.cli.ctl_common import EXIT_REFUSED, read_address, show_result
from redwingpost.cli.metrics_pages import read_metrics_page
from redwingpost.operator.load import (
    FleetLoad,
    MemberLine,
    OrganisationLine,
    PlacementLine,
    VmLoad,
    measure_load,
    read_load,
    summarise_load,
)

#: What is read of a node without an earlier reading.
_NOTHING = VmLoad({}, {})


class _Reading(NamedTuple):
    """Loads of the nodes that were read, and why others weren't."""

    load_by_node: dict[str, VmLoad]
    reason_by_node: dict[str, str]


def load(
    context: Context,
    node: Annotated[
        list[str], Option(help="IP:PORT of a node's metrics; once per VM.")
    ],
    seconds: Annotated[
        float, Option(help="Seconds to count; 0: since the nodes started.")
    ] = 10.0,
) -> None:
    """Show what runs, waits and was refused at each member, and for whom.

    A node that can't be read is named and left out of the sums.

    Example: redwingctl load --node 10.1.0.26:7575 --seconds 30
    """
    address_by_node = {name: read_address(name) for name in node}
    reading = run(_measure(address_by_node, seconds))
    if not reading.load_by_node:
        for name, reason in reading.reason_by_node.items():
            echo(f"can't read the metrics of {name}: {reason}", err=True)
        raise Exit(EXIT_REFUSED)
    fleet = summarise_load(reading.load_by_node.values())
    shown = {
        "seconds": seconds,
        "nodes": list(reading.load_by_node),
        "unread": reading.reason_by_node,
        **_as_fields(fleet),
    }
    show_result(context.obj, shown, _make_page(fleet, reading))


async def _measure(
    address_by_node: Mapping[str, PeerAddress], seconds: float
) -> _Reading:
    if seconds <= 0.0:
        return await _read_all(address_by_node)
    before = await _read_all(address_by_node)
    if not before.load_by_node:
        return before
    await sleep(seconds)
    # Without a first reading a node's counts can't be told from old ones.
    after = await _read_all(
        {name: address_by_node[name] for name in before.load_by_node}
    )
    load_by_node = {
        name: measure_load(before.load_by_node[name], last)
        for name, last in after.load_by_node.items()
    }
    reasons = {**before.reason_by_node, **after.reason_by_node}
    return _Reading(load_by_node, reasons)


async def _read_all(address_by_node: Mapping[str, PeerAddress]) -> _Reading:
    outcomes = await gather(*map(_read, address_by_node.values()))
    reading = _Reading({}, {})
    for name, outcome in zip(address_by_node, outcomes, strict=True):
        if isinstance(outcome, VmLoad):
            reading.load_by_node[name] = outcome
        else:
            reading.reason_by_node[name] = outcome
    return reading


async def _read(address: PeerAddress) -> VmLoad | str:
    """Return a node's load, or why it can't be read."""
    try:
        return read_load(await read_metrics_page(address))
    except (HttpLost, ValueError) as error:
        return str(error)


def _as_fields(fleet: FleetLoad) -> dict[str, Any]:
    return {
        "members": [
            {**line._asdict(), "use": line.use._asdict()}
            for line in fleet.members
        ],
        "organisations": [line._asdict() for line in fleet.organisations],
        "placements": [line._asdict() for line in fleet.placements],
        "withheld_by_organisation": fleet.withheld_by_organisation,
    }


def _make_page(fleet: FleetLoad, reading: _Reading) -> Group:
    refused = tuple(
        line
        for line in fleet.members
        if line.refused_by_reason or line.cold_refused
    )
    tables = (
        _make_use_table(fleet.members),
        _make_refused_table(refused),
        _make_organisation_table(fleet.organisations),
        _make_placement_table(fleet.placements),
        _make_withheld_table(fleet.withheld_by_organisation),
    )
    parts: list[Any] = [table for table in tables if table.row_count]
    parts.append(f"{len(reading.load_by_node)} VMs read")
    for name, reason in reading.reason_by_node.items():
        parts.append(f"not read, left out: {name}: {reason}")
    return Group(*parts)


def _make_use_table(lines: tuple[MemberLine, ...]) -> Table:
    table = Table(
        "group", "member", "VMs", "running", "waiting", "connections"
    )
    for line in lines:
        use = line.use
        table.add_row(
            line.group,
            line.member,
            str(line.vms),
            f"{use.running} of {use.limit}",
            str(use.waiting),
            f"{use.connections_open} of {use.connections_allowed}",
        )
    return table


def _make_refused_table(lines: tuple[MemberLine, ...]) -> Table:
    table = Table("group", "member", "refused", "cold")
    for line in lines:
        table.add_row(
            line.group,
            line.member,
            _describe_counts(line.refused_by_reason),
            str(line.cold_refused),
        )
    return table


def _make_organisation_table(lines: tuple[OrganisationLine, ...]) -> Table:
    table = Table("group", "organisation", "waiting", "refused")
    for line in lines:
        table.add_row(
            line.group,
            line.organisation,
            str(line.waiting),
            _describe_counts(line.refused_by_reason),
        )
    return table


def _make_placement_table(lines: tuple[PlacementLine, ...]) -> Table:
    table = Table("group", "placements")
    for line in lines:
        counts = _describe_counts(line.statements_by_choice)
        table.add_row(line.group, counts)
    return table


def _make_withheld_table(withheld_by_organisation: dict[str, float]) -> Table:
    table = Table("organisation", "rate withheld")
    for organisation, withheld in withheld_by_organisation.items():
        table.add_row(organisation, f"{withheld:.1f}")
    return table


def _describe_counts(count_by_name: Mapping[str, int]) -> str:
    return ", ".join(f"{name} {n}" for name, n in count_by_name.items())
