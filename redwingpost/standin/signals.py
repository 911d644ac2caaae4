"""A wake-up call for every waiter on the loop."""

from asyncio import Future, get_running_loop, wait


class Signal:
    """Wakes all that wait whenever something changed."""

    def __init__(self) -> None:
        self._waiters: set[Future] = set()

    def notify(self) -> None:
        """Wake every waiter; each looks for itself."""
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout: float | None = None) -> bool:
        """Wait for the next call; False when ``timeout`` s are over."""
        waiter = get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            # Not wait_for: up to Python 3.11 it swallows a cancellation
            # that comes together with the result, and a task that was
            # told to end would go on for ever.
            done, _ = await wait((waiter,), timeout=timeout)
        finally:
            self._waiters.discard(waiter)
        return bool(done)
