"""Run one service until a signal stops it."""

from asyncio import Event, get_running_loop, run
from collections.abc import Awaitable, Callable
from logging import CRITICAL, ERROR, getLogger
from signal import SIGINT, SIGTERM
from sys import stderr

from capnp import kj_loop
from loguru import logger
from mode import Service

from redwingpost.settings import LogSettings


def configure_logs(settings: LogSettings) -> None:
    """Log JSON lines to standard error.

    The protocol library logs statements and failed logins. A log must not
    contain what callers sent, so the library is silenced, and the
    adapters log numbers instead.
    """
    logger.remove()
    logger.add(stderr, level=settings.level, serialize=True, diagnose=False)
    getLogger("mysql_mimic").setLevel(CRITICAL)
    # asyncio warns at each TLS connection about how streams handle EOF.
    getLogger("asyncio").setLevel(ERROR)


def run_service(
    make: Callable[[], Service],
    drain: Callable[[Service], Awaitable[None]] | None = None,
) -> None:
    """Run a service until SIGTERM or SIGINT, then drain and stop it.

    Parameters
    ----------
    make : callable
        Creates the service, inside the running event loop.
    drain : callable, optional
        Drains the service; awaited before the service stops.
    """
    run(_run(make, drain))


async def _run(
    make: Callable[[], Service],
    drain: Callable[[Service], Awaitable[None]] | None,
) -> None:
    async with kj_loop():
        stop = Event()
        loop = get_running_loop()
        for number in (SIGTERM, SIGINT):
            loop.add_signal_handler(number, stop.set)
        service = make()
        await service.start()
        await stop.wait()
        if drain is not None:
            await drain(service)
        await service.stop()
