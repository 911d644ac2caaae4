"""Run a step periodically, even if one run of it raises."""

from asyncio import sleep
from collections.abc import Awaitable, Callable
from traceback import format_exception_only, format_tb

from mode import Service

from redwingpost.observability.journal import log_event

#: Entries of a traceback that are logged, the innermost ones.
_TRACE_LINES = 4


#: Pauses of up to this many seconds aren't interrupted when the service
#: stops: watching for the stop costs more than the steps of an idle VM.
_UNINTERRUPTED_PAUSE_S = 0.5


async def repeat(
    service: Service,
    step: Callable[[], Awaitable[None]],
    pause_s: float | Callable[[], float],
) -> None:
    """Run ``step`` every ``pause_s`` seconds until the service stops.

    ``pause_s`` may be a function that returns the length of the next pause.

    If a step raises, the exception is logged and the next step runs.
    Otherwise the task would end for good: the VM would go on with its
    last configuration or list of members, and only stale answers would
    show it.
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
        next_pause_s = pause_s() if callable(pause_s) else pause_s
        if next_pause_s <= _UNINTERRUPTED_PAUSE_S:
            await sleep(next_pause_s)
        else:
            await service.sleep(next_pause_s)
