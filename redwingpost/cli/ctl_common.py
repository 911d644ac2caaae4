"""Shared by the commands of ``redwingctl``: options, operations, output."""

from asyncio import run
from collections.abc import Awaitable, Callable
from datetime import datetime, timezone
from json import dumps
from typing import Any, NamedTuple
from uuid import uuid4

from capnp import kj_loop
from expression import Result
from rich.console import Console
from typer import Exit, echo

from redwingpost.adapters.peer import PeerAddress, PeerClients
from redwingpost.adapters.platform_http import HttpPlatform
from redwingpost.adapters.tls import TlsContexts
from redwingpost.configuration.acceptance import Change
from redwingpost.configuration.diff import canonical
from redwingpost.core import Refusal
from redwingpost.operator import Agents, OperatorActions
from redwingpost.settings import PlatformSettings, Settings

#: Exit status of a refused operation; 2 is that of a wrong command line.
EXIT_REFUSED = 1


class Options(NamedTuple):
    """Options that apply to every command."""

    settings: Settings | None
    platform: str
    agents: tuple[PeerAddress, ...]
    who: str
    as_json: bool


def make_change(
    options: Options, body: bytes = b"", submission: str = ""
) -> Change:
    """Return a change that records the operator and the time."""
    return Change(
        body=body,
        base=0,
        who=options.who,
        when=datetime.now(timezone.utc).isoformat(timespec="seconds"),
        submission=submission or uuid4().hex,
    )


def run_operation(
    options: Options, operation: Callable[[OperatorActions], Awaitable[Any]]
) -> Any:
    """Run an operation; a refusal ends the program with status 1."""
    result = run(_run_with_actions(options, operation))
    if not isinstance(result, Result):
        return result
    if result.is_error():
        fail(result.error, options.as_json)
    return result.ok


async def _run_with_actions(
    options: Options, operation: Callable[[OperatorActions], Awaitable[Any]]
) -> Any:
    settings = options.settings
    tls = TlsContexts(settings.tls if settings else None)
    timeout_s = settings.platform.timeout_s if settings else 2.0
    agents = options.agents
    if settings and settings.agent.peer_port:
        own_address = PeerAddress(settings.vm.ip, settings.agent.peer_port)
        agents = (*agents, own_address)
    async with kj_loop():
        platform = HttpPlatform(PlatformSettings(options.platform, timeout_s))
        clients = PeerClients("", tls)
        try:
            reachable = Agents(clients, platform, agents)
            return await operation(
                OperatorActions(platform, platform, reachable)
            )
        finally:
            clients.close()
            await platform.on_stop()


def read_address(text: str) -> PeerAddress:
    """Parse ``IP:PORT``; any other text ends the program with status 2."""
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit():
        echo(f"allowed: IP:PORT; got {text!r}", err=True)
        raise Exit(2)
    return PeerAddress(ip, int(port))


def show_result(options: Options, value: Any, readable: Any) -> None:
    """Print a result, as text or as JSON."""
    if options.as_json:
        echo(dumps(value, ensure_ascii=False))
    else:
        Console().print(readable, markup=False, highlight=False)


def fail(refusal: Refusal, as_json: bool) -> None:
    """Print a refusal with its number and end with status 1."""
    if as_json:
        shown = {
            "code": refusal.code.number,
            "name": refusal.code.name,
            "detail": refusal.detail,
        }
        echo(canonical(shown).decode())
    else:
        echo(f"{refusal.code.number} {refusal.describe()}", err=True)
    raise Exit(EXIT_REFUSED)
