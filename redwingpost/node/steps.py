"""Run a step again and again, whatever one of them runs into."""

from collections.abc import Awaitable, Callable
from traceback import format_exception_only, format_tb

from mode import Service

from redwingpost.observability.journal import log_event

#: Lines of a traceback that go into the log.
_TRACE_LINES = 4


async def repeat(
    service: Service, step: Callable[[], Awaitable[None]], pause_s: float
) -> None:
    """Run ``step`` every ``pause_s`` seconds until the service stops.

    A step that raises would end its service for good: the node would go
    on with the configuration, or the members, that it had then, and
    nothing would show it but old answers. It is logged and the next step
    runs.
    """
    while not service.should_stop:
        try:
            await step()
        except Exception as error:
            log_event(
                "step-failed",
                service=type(service).__name__,
                error="".join(format_exception_only(error)).strip(),
                trace=format_tb(error.__traceback__)[-_TRACE_LINES:],
            )
        await service.sleep(pause_s)
