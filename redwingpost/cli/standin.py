"""``redwing-standin``: run a stand-in or list its faults."""

from asyncio import Event, get_running_loop, run as run_loop
from collections.abc import Callable
from logging import CRITICAL, getLogger
from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import stderr
from typing import Annotated, Any

from loguru import logger
from mode import Service
from typer import Exit, Option, Typer, echo

from redwingpost.standin import (
    GROUP_FAULTS,
    PLATFORM_FAULTS,
    GroupStandin,
    PlatformStandin,
    parse_group,
    parse_platform,
)
from redwingpost.standin.faults import describe_faults
from redwingpost.standin.settings import read_settings

app = Typer(
    help="Stand-ins for the platform and for database groups.",
    no_args_is_help=True,
    add_completion=False,
)

SettingsOption = Annotated[
    Path, Option("--settings", help="TOML file; see docs/design/standins.md.")
]


async def _serve(build: Callable[[], Service]) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    stop = Event()
    loop = get_running_loop()
    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, stop.set)
    standin = build()
    await standin.start()
    logger.info("stand-in started: {}", type(standin).__name__)
    await stop.wait()
    await standin.stop()
    logger.info("stand-in stopped")


def _run(path: Path, parse: Callable, kind: Callable[[Any], Service]) -> None:
    logger.remove()
    logger.add(stderr, serialize=True, level="INFO")
    # The library logs each refused statement as an error.
    getLogger("mysql_mimic").setLevel(CRITICAL)
    settings = read_settings(path, parse)
    if settings.is_error():
        echo(settings.error.describe(), err=True)
        raise Exit(2)
    run_loop(_serve(lambda: kind(settings.ok)))


@app.command()
def platform(settings: SettingsOption) -> None:
    """Run the platform: table service, objects, list of VMs.

    Example: redwing-standin platform --settings platform.toml
    """
    _run(settings, parse_platform, PlatformStandin)


@app.command()
def group(settings: SettingsOption) -> None:
    """Run the members of one database group.

    Example: redwing-standin group --settings catalogue-1.toml
    """
    _run(settings, parse_group, GroupStandin)


@app.command()
def faults() -> None:
    """List the faults that a stand-in's fault port accepts.

    Example: redwing-standin faults
    """
    for title, registry in (
        ("group", GROUP_FAULTS),
        ("platform", PLATFORM_FAULTS),
    ):
        echo(f"{title}:")
        for entry in describe_faults(registry):
            echo(f"  {entry['fault']} ({entry['arguments']})")
            echo(f"      {entry['does']}")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
