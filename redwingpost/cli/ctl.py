"""``redwingctl``: commands for operators."""

from collections.abc import Callable
from getpass import getuser
from pathlib import Path
from runpy import run_path
from typing import Annotated, Any

from expression import Error, Ok, Result
from rich.table import Table
from typer import Argument, Context, Exit, Option, Typer, echo

from redwingpost.adapters.peer import PeerAddress
from redwingpost.cli.ctl_load import load
from redwingpost.cli.ctl_refusals import refusals
from redwingpost.cli.ctl_spread import spread
from redwingpost.cli.ctl_usage import usage
from redwingpost.cli.ctl_common import (
    EXIT_REFUSED,
    Options,
    fail,
    make_change,
    read_address,
    run_operation,
    show_result,
)
from redwingpost.configuration.diff import describe_changes
from redwingpost.configuration.model import Withdrawal
from redwingpost.configuration.parse import parse_configuration
from redwingpost.core import Code, Refusal
from redwingpost.operator import OperatorActions, make_key
from redwingpost.settings import load_settings

app = Typer(
    add_completion=False,
    no_args_is_help=True,
    help=(
        "Operate a fleet.\n\n"
        "Example: redwingctl --settings vm-1.toml status"
    ),
)


@app.callback()
def options(
    context: Context,
    settings: Annotated[
        Path | None, Option(help="A VM's settings file: platform, TLS.")
    ] = None,
    platform: Annotated[str, Option(help="The platform's URL.")] = "",
    agent: Annotated[
        list[str] | None,
        Option(help="IP:PORT of an agent; needed if the platform is down."),
    ] = None,
    who: Annotated[str, Option(help="Your name in the audit trail.")] = "",
    json: Annotated[bool, Option(help="Print JSON.")] = False,
) -> None:
    """Read the options that apply to every command."""
    loaded = None
    if settings is not None:
        result = load_settings(settings)
        if result.is_error():
            fail(result.error, json)
        loaded = result.ok
    context.obj = Options(
        settings=loaded,
        platform=platform or (loaded.platform.url if loaded else ""),
        agents=tuple(read_address(text) for text in agent or ()),
        who=who or getuser(),
        as_json=json,
    )


@app.command("print")
def print_site(
    program: Annotated[Path, Argument(help="Python; sets ``site``.")],
) -> None:
    """Run an operator's Python program and print its site.

    Example: redwingctl print site.py > site.json
    """
    found = run_path(str(program)).get("site")
    if found is None:
        echo(f"{program}: sets no variable 'site'", err=True)
        raise Exit(2)
    echo(str(found))


@app.command()
def validate(context: Context, file: Path) -> None:
    """Check a configuration without submitting it."""
    result = parse_configuration(file.read_bytes())
    if result.is_error():
        fail(result.error, context.obj.as_json)
    show_result(context.obj, {"valid": True}, f"{file}: valid")


@app.command()
def submit(
    context: Context,
    file: Path,
    base: Annotated[str, Option(help="Version it is based on, or latest.")],
    submission: Annotated[
        str, Option(help="Id of an earlier attempt whose answer was lost.")
    ] = "",
) -> None:
    """Submit a configuration that is based on version BASE.

    Example: redwingctl submit site.json --base 7
    """
    change = make_change(context.obj, file.read_bytes(), submission)

    async def operation(actions: OperatorActions) -> Result:
        if base != "latest":
            return await actions.submit(change._replace(base=int(base)))
        head = await actions.log.head_row()
        if head.is_error():
            return head
        latest = int(head.ok.value["version"]) if head.ok else 0
        return await actions.submit(change._replace(base=latest))

    _show_accepted(context, run_operation(context.obj, operation))


@app.command()
def show(
    context: Context,
    version: Annotated[int, Argument(help="0 for the newest.")] = 0,
) -> None:
    """Print a version's body."""
    found = run_operation(
        context.obj, lambda actions: _read_version(actions, version)
    )
    echo(found.body.decode())


@app.command()
def diff(context: Context, old: int, new: int) -> None:
    """Show what changed from version OLD to version NEW."""

    async def operation(actions: OperatorActions) -> Result:
        before = await _read_version(actions, old)
        if before.is_error():
            return before
        after = await _read_version(actions, new)
        return after.map(lambda v: describe_changes(before.ok.body, v.body))

    lines = run_operation(context.obj, operation)
    show_result(context.obj, list(lines), "\n".join(lines) or "no change")


@app.command()
def log(
    context: Context,
    after: Annotated[int, Option(help="Only versions above this.")] = 0,
) -> None:
    """Show the audit trail: who changed what, when, from which version."""
    rows = run_operation(context.obj, lambda actions: actions.log.audit(after))
    entries = [{"version": int(row.key), **row.value} for row in rows]
    table = Table("version", "from", "when", "who", "what")
    for entry in entries:
        table.add_row(
            str(entry["version"]),
            str(entry["from_version"]),
            entry["when"],
            entry["who"],
            "\n".join(entry["what"]),
        )
    show_result(context.obj, entries, table)


@app.command()
def grant(context: Context, organisation: str, name: str) -> None:
    """Make a key for an organisation and show it once.

    Only the key's hash is stored.

    Example: redwingctl grant diocese-puno 2030-b
    """
    new = make_key()

    def edit(body: dict[str, Any]) -> Refusal | None:
        found = body["organisations"].get(organisation)
        if found is None:
            return Refusal(Code.NOT_FOUND, f"no {organisation!r}")
        if any(key["name"] == name for key in found["keys"]):
            return Refusal(Code.CONFIG_INVALID, f"{name!r} exists")
        found["keys"].append({"name": name, "hash": new.key_hash})
        return None

    change = make_change(context.obj)
    accepted = run_operation(
        context.obj, lambda actions: actions.amend(edit, change)
    )
    shown = {
        "version": accepted.version,
        "key": new.key,
        "hash": new.key_hash,
    }
    text = f"version {accepted.version}; the key, shown this once: {new.key}"
    show_result(context.obj, shown, text)


@app.command()
def withdraw(
    context: Context,
    organisation: str,
    key: Annotated[str, Argument(help="The key's name or its hash.")],
) -> None:
    """Withdraw a key; takes effect at the first agent that receives it.

    If the platform is down, pass the key's hash and ``--agent``.
    """
    change = make_change(context.obj)

    async def operation(actions: OperatorActions) -> Any:
        key_hash = await _find_hash(actions, organisation, key)
        if key_hash.is_error():
            return key_hash
        withdrawal = Withdrawal(organisation, key_hash.ok)
        return await actions.withdraw([withdrawal], change)

    notified, recorded = run_operation(context.obj, operation)
    shown = {
        "told": notified.vms_by_data_centre,
        "missed_data_centres": list(notified.missed),
        "recorded_version": recorded.ok.version if recorded.is_ok() else None,
    }
    lines = [f"told: {notified.vms_by_data_centre or 'nobody'}"]
    if notified.missed:
        lines.append(f"not reached: {', '.join(notified.missed)}")
    if recorded.is_ok():
        lines.append(f"recorded in version {recorded.ok.version}")
    else:
        lines.append(f"not recorded yet: {recorded.error.describe()}")
    show_result(context.obj, shown, "\n".join(lines))
    if recorded.is_error() and not notified.vms_by_data_centre:
        raise Exit(EXIT_REFUSED)


@app.command()
def drain(
    context: Context,
    name: Annotated[str, Argument(help="A member, or a VM with --vm.")],
    vm: Annotated[bool, Option(help="NAME is a VM.")] = False,
    undo: Annotated[bool, Option(help="End the drain of a member.")] = False,
) -> None:
    """Drain a member of a database group, or a VM.

    Example: redwingctl drain catalogue-1-b
    """
    if vm:
        run_operation(context.obj, lambda actions: _drain_vm(actions, name))
        show_result(context.obj, {"draining": name}, f"{name} drains")
        return

    def edit(body: dict[str, Any]) -> Refusal | None:
        _mark_draining(body, frozenset({name}), undo)
        return None

    _amend(context, edit)


@app.command()
def evacuate(
    context: Context,
    data_centre: Annotated[str, Argument(help="Its members are drained.")],
    undo: Annotated[bool, Option(help="End the evacuation.")] = False,
) -> None:
    """Drain all members of database groups in a data centre.

    Example: redwingctl evacuate lima-1
    """

    def edit(body: dict[str, Any]) -> Refusal | None:
        members = frozenset(
            name
            for group in body.get("groups", {}).values()
            for name, member in group["members"].items()
            if member["data_centre"] == data_centre
        )
        if not members:
            return Refusal(Code.NOT_FOUND, data_centre)
        _mark_draining(body, members, undo)
        return None

    _amend(context, edit)


def _mark_draining(
    body: dict[str, Any], members: frozenset[str], undo: bool
) -> None:
    """Put members on a configuration's list of draining ones, or off it."""
    draining = frozenset(body.get("draining_members", []))
    draining = draining - members if undo else draining | members
    body["draining_members"] = sorted(draining)


def _amend(
    context: Context, edit: Callable[[dict[str, Any]], Refusal | None]
) -> None:
    """Submit the newest configuration with a change."""
    change = make_change(context.obj)
    _show_accepted(
        context,
        run_operation(
            context.obj, lambda actions: actions.amend(edit, change)
        ),
    )


@app.command()
def status(context: Context) -> None:
    """Show every VM, and why the newest version isn't in force there."""

    async def operation(actions: OperatorActions) -> Any:
        return await actions.status()

    version, lines = run_operation(context.obj, operation)
    table = Table(
        "VM", "data centre", "agent", "proxy", "heard", "not in force"
    )
    for line in lines:
        name = line.vm + (" (relay)" if line.relay else "")
        name += " (draining)" if line.draining else ""
        table.add_row(
            name,
            line.data_centre,
            str(line.agent_version),
            str(line.proxy_version),
            f"{line.silent_s:.1f} s",
            line.reason,
        )
    shown = {
        "version": version,
        "in_force_everywhere": not any(line.reason for line in lines),
        "vms": [
            {
                **line._asdict(),
                "silent_s": min(line.silent_s, 1e9),
            }
            for line in lines
        ],
    }
    table.title = f"version {version}"
    show_result(context.obj, shown, table)


async def _read_version(actions: OperatorActions, number: int) -> Result:
    if number:
        return await actions.log.version(number)
    head = await actions.log.head()
    return head.map(lambda found: found.version)


async def _find_hash(
    actions: OperatorActions, organisation: str, key: str
) -> Result:
    """Return the hash of a key; ``key`` is its name or the hash itself."""
    withdrawal = Withdrawal(organisation, key)
    if len(key) == 40 and all(c in "0123456789abcdef" for c in key):
        return Ok(withdrawal.key_hash)
    head = await actions.log.head()
    if head.is_error():
        return head
    parsed = parse_configuration(head.ok.version.body)
    rules = parsed.ok.organisations_by_name.get(organisation)
    if rules is None or key not in rules.keys_by_name:
        detail = f"{organisation!r} has no key named {key!r}"
        return Error(Refusal(Code.NOT_FOUND, detail))
    return Ok(rules.keys_by_name[key].key_hash)


async def _drain_vm(actions: OperatorActions, vm: str) -> Result:
    sightings = await actions.agents.sightings()
    if vm not in sightings:
        return Error(Refusal(Code.NOT_FOUND, f"no VM {vm!r}"))
    beat = sightings[vm].beat
    return await actions.agents.call(
        PeerAddress(beat.ip, beat.agent_port),
        lambda node: node.fleet().fleet.drain(vm=vm),
    )


def _show_accepted(context: Context, accepted: Any) -> None:
    shown = {**accepted._asdict(), "changes": list(accepted.changes)}
    lines = [f"version {accepted.version} is accepted"]
    lines.extend(accepted.changes)
    show_result(context.obj, shown, "\n".join(lines))


app.command()(usage)
app.command()(load)
app.command()(refusals)
app.command()(spread)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
