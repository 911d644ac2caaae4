"""Run a step again and again, whatever one of them runs into."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from traceback import format_exception_only, format_tb

from mode import Service

from redwingpost.observability.journal import log_event

#: Lines of a traceback that go into the log.
_TRACE_LINES = 4


#: Seconds up to which a pause isn't cut short by the service's stop: to
#: watch for it costs more than the steps of a VM that has nothing to do.
_SHORT_S = 0.5


async def repeat(
    service: Service,
    step: Callable[[], Awaitable[None]],
    pause_s: float | Callable[[], float],
) -> None:
    """Run ``step`` every ``pause_s`` seconds until the service stops.

    ``pause_s`` may be a function that says how long the next pause is.

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
        next_s = pause_s() if callable(pause_s) else pause_s
        if next_s <= _SHORT_S:
            await sleep(next_s)
        else:
            await service.sleep(next_s)
