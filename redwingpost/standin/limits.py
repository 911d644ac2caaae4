"""A member's limits on the loop: statement slots and the writer lock."""

from asyncio import (
    CancelledError,
    Future,
    get_running_loop,
    timeout as time_limit,
)
from collections import deque


class FifoLimiter:
    """A counted resource whose waiters are served in order of arrival.

    Parameters
    ----------
    size : int
        How many may hold it at a time.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.held = 0
        self._waiters: deque[Future] = deque()

    @property
    def waiting(self) -> int:
        """How many wait."""
        return len(self._waiters)

    async def acquire(self) -> None:
        """Take one, after everyone who came before."""
        if self.held < self.size and not self._waiters:
            self.held += 1
            return
        turn = get_running_loop().create_future()
        self._waiters.append(turn)
        try:
            await turn
        except CancelledError:
            # A waiter that is cancelled after its turn came would keep
            # what it never used, and the member would lose a slot for
            # good: hand it on.
            if turn.done() and not turn.cancelled():
                self.release()
            elif turn in self._waiters:
                self._waiters.remove(turn)
            raise

    def release(self) -> None:
        """Give one back and wake the next waiter."""
        while self._waiters:
            turn = self._waiters.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.held -= 1


class WriterLock:
    """One writing transaction at a time, held by its session."""

    def __init__(self) -> None:
        self._limiter = FifoLimiter(1)

    @property
    def waiting(self) -> int:
        """How many sessions wait for it."""
        return self._limiter.waiting

    async def acquire(self, timeout: float) -> bool:
        """Take the lock; False if that took longer than ``timeout`` s."""
        limiter = self._limiter
        if limiter.held == 0:
            await limiter.acquire()
            return True
        try:
            async with time_limit(timeout):
                await limiter.acquire()
        except TimeoutError:
            return False
        return True

    def release(self) -> None:
        """Give the lock to the next session that waits."""
        self._limiter.release()
