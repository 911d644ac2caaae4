"""What the commands of ``redwingctl`` share: options, work, output."""

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

#: Exit status where something was refused, as distinct from 2, a wrong
#: command line.
REFUSED = 1


class Options(NamedTuple):
    """Options that hold for every command."""

    settings: Settings | None
    platform: str
    agents: tuple[PeerAddress, ...]
    who: str
    as_json: bool


def make_change(
    given: Options, body: bytes = b"", submission: str = ""
) -> Change:
    """Return a change that names the operator and the time."""
    return Change(
        body=body,
        base=0,
        who=given.who,
        when=datetime.now(timezone.utc).isoformat(timespec="seconds"),
        submission=submission or uuid4().hex,
    )


def run_work(
    given: Options, work: Callable[[OperatorActions], Awaitable[Any]]
) -> Any:
    """Do an operator's work; a refusal ends the program with status 1."""
    result = run(_with_actions(given, work))
    if not isinstance(result, Result):
        return result
    if result.is_error():
        fail(result.error, given.as_json)
    return result.ok


async def _with_actions(
    given: Options, work: Callable[[OperatorActions], Awaitable[Any]]
) -> Any:
    settings = given.settings
    tls = TlsContexts(settings.tls if settings else None)
    timeout_s = settings.platform.timeout_s if settings else 2.0
    agents = given.agents
    if settings and settings.agent.peer_port:
        own = PeerAddress(settings.vm.ip, settings.agent.peer_port)
        agents = (*agents, own)
    async with kj_loop():
        platform = HttpPlatform(PlatformSettings(given.platform, timeout_s))
        clients = PeerClients("", tls)
        try:
            reachable = Agents(clients, platform, agents)
            return await work(OperatorActions(platform, platform, reachable))
        finally:
            clients.close()
            await platform.on_stop()


def read_address(text: str) -> PeerAddress:
    """Read ``IP:PORT``; anything else ends the program with status 2."""
    ip, _, port = text.rpartition(":")
    if not ip or not port.isdigit():
        echo(f"allowed: IP:PORT; got {text!r}", err=True)
        raise Exit(2)
    return PeerAddress(ip, int(port))


def show_result(given: Options, value: Any, readable: Any) -> None:
    """Print a result, for people or as JSON."""
    if given.as_json:
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
    raise Exit(REFUSED)
