"""A signal that wakes all tasks that wait for a change."""

from asyncio import Future, get_running_loop, wait


class Signal:
    """Wakes all waiting tasks at each notification.

    Unlike an ``Event`` it has no state: a task waits for the next
    notification.
    """

    def __init__(self) -> None:
        self._waiters: set[Future] = set()

    def notify(self) -> None:
        """Wake every waiter; each checks its own condition."""
        waiters, self._waiters = self._waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the next notification; False after ``timeout_s``."""
        waiter = get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            # Not wait_for: up to Python 3.11 it swallows a cancellation
            # that arrives together with the result, and a cancelled task
            # would never end.
            done, _ = await wait((waiter,), timeout=timeout_s)
        finally:
            self._waiters.discard(waiter)
        return bool(done)
