"""An event loop with a virtual clock, for tests of timeouts."""

from asyncio import SelectorEventLoop
from collections.abc import Coroutine
from selectors import SelectSelector
from typing import Any


class _SkippingSelector(SelectSelector):
    """Advances the loop's clock instead of waiting."""

    skipped_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return ready files; without any, skip the time until a timer."""
        ready = super().select(0.0)
        if not ready and timeout:
            self.skipped_s += timeout
        return ready


class VirtualLoop(SelectorEventLoop):
    """Runs timers in their order without waiting for them."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the skipped time in seconds."""
        return self._skipping.skipped_s


def run_in_virtual_time(coroutine: Coroutine) -> Any:
    """Run a coroutine that uses only timers and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
