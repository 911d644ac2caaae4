"""What ``redwing-node`` does once its modules are loaded."""

from asyncio import Event, get_running_loop, run
from os import environ
from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM
from sys import stderr

from redwingpost.cli.early_signals import EarlySignals
from redwingpost.node.service import Node, NodePorts
from redwingpost.observability.journal import configure_journal, log_event
from redwingpost.platform.caller_server import CallerServer
from redwingpost.platform.entries import FORMAT, PLACES_FORMAT
from redwingpost.platform.member_link import LineLinkFactory
from redwingpost.platform.orders import HttpPromotionOrders
from redwingpost.platform.settings import PATH_VARIABLE, load_node_settings
from redwingpost.platform.store import RowStore
from redwingpost.ports.clock import MonotonicClock
from redwingpost.node.settings import NodeSettings

USAGE = f"""Serve callers on one VM.

Usage: redwing-node [--check] [--help]

The settings file is named by {PATH_VARIABLE}.
  --check  read the settings, report errors in them, and exit
"""


def run_node(options: list[str], early: EarlySignals) -> int:
    """Run the node until SIGTERM; return the exit code."""
    if "--help" in options:
        print(USAGE)
        return 0
    path = Path(environ.get(PATH_VARIABLE, ""))
    early.note_reading()
    loaded = load_node_settings(path)
    if loaded.is_error():
        print(loaded.error.describe(), file=stderr)
        return 2
    if "--check" in options:
        print(f"{path}: settings of {loaded.ok.vm} are good")
        return 0
    configure_journal()
    run(_serve(loaded.ok, path, early))
    return 0


async def _serve(
    settings: NodeSettings, path: Path, early: EarlySignals
) -> None:
    clock = MonotonicClock()
    node_ports = NodePorts(
        RowStore(settings.store.ip, settings.store.port, clock),
        LineLinkFactory(),
        HttpPromotionOrders(settings.orders.ip, settings.orders.port, clock),
        PLACES_FORMAT if settings.has_places else FORMAT,
        clock,
    )
    node = Node(settings, node_ports)
    callers = CallerServer(settings.callers.ip, settings.callers.port, node)
    node.callers = callers
    stop = Event()
    loop = get_running_loop()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(SIGHUP, _reload, settings, path)
    if early.has_reload:
        _reload(settings, path)
    await callers.start()
    await node.start()
    for detail in settings.unreadable:
        log_event("setting-unreadable", detail=detail)
    log_event("started", vm=settings.vm, data_centre=settings.data_centre)
    await stop.wait()
    await node.drain()
    await callers.stop()
    await node.stop()


def _reload(settings: NodeSettings, path: Path) -> None:
    """Log which settings changed; a change takes effect on restart."""
    loaded = load_node_settings(path)
    if loaded.is_error():
        log_event("settings-refused", detail=loaded.error.detail)
        return
    before = settings._asdict()
    after = loaded.ok._asdict()
    changed = sorted(name for name in after if after[name] != before[name])
    log_event("settings-read", changed=changed)
