"""A wake-up call for every waiter on the loop."""

from asyncio import Future, get_running_loop, wait_for


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
            await wait_for(waiter, timeout)
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True
