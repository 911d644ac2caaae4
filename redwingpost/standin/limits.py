"""A member's concurrency limits: statement slots and the writer lock."""

from asyncio import (
    CancelledError,
    Future,
    get_running_loop,
    timeout as time_limit,
)
from collections import deque


class FifoLimiter:
    """A semaphore whose waiters are served in order of arrival.

    Parameters
    ----------
    size : int
        How many tasks may hold it at a time.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.held = 0
        self._waiters: deque[Future] = deque()

    @property
    def waiting(self) -> int:
        """Number of waiting tasks."""
        return len(self._waiters)

    async def acquire(self) -> None:
        """Acquire a unit, after all tasks that waited before."""
        if self.held < self.size and not self._waiters:
            self.held += 1
            return
        waiter = get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except CancelledError:
            # A waiter that is cancelled after it was served holds a unit
            # that no task would release, and the member would have one
            # slot less from then on. It goes to the next waiter.
            if waiter.done() and not waiter.cancelled():
                self.release()
            elif waiter in self._waiters:
                self._waiters.remove(waiter)
            raise

    def release(self) -> None:
        """Release a unit, to the next waiter if there is one."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.held -= 1


class WriterLock:
    """A lock that allows one writing transaction at a time."""

    def __init__(self) -> None:
        self._limiter = FifoLimiter(1)

    @property
    def waiting(self) -> int:
        """Number of sessions that wait for the lock."""
        return self._limiter.waiting

    async def acquire(self, timeout_s: float) -> bool:
        """Acquire the lock; return False after ``timeout_s``."""
        limiter = self._limiter
        if limiter.held == 0:
            await limiter.acquire()
            return True
        try:
            async with time_limit(timeout_s):
                await limiter.acquire()
        except TimeoutError:
            return False
        return True

    def release(self) -> None:
        """Release the lock, to the next waiting session if any."""
        self._limiter.release()
