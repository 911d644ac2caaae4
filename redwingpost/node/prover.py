"""Shares one proof of the primary's lead among all that wait for it."""

from asyncio import Future, Task, create_task, get_running_loop, shield
from collections.abc import Awaitable, Callable


class SharedProof:
    """Runs one query at a time; all waiting calls share the next one.

    A query's result is a proof only for calls made before it was sent, so
    a call that arrives during a query waits for the following one.

    Parameters
    ----------
    query : callable
        Runs one query; returns whether the lead was proven.
    """

    def __init__(self, query: Callable[[], Awaitable[bool]]) -> None:
        self._query = query
        self._next: Future | None = None
        self._query_task: Task | None = None

    async def get(self) -> bool:
        """Return whether the primary led at some moment after this call."""
        if self._next is None or self._next.done():
            self._next = get_running_loop().create_future()
        waiting = self._next
        if self._query_task is None or self._query_task.done():
            self._query_task = create_task(self._run_queries())
        return await shield(waiting)

    async def _run_queries(self) -> None:
        while self._next is not None and not self._next.done():
            waiting = self._next
            self._next = None
            is_proven = False
            try:
                is_proven = await self._query()
            finally:
                if not waiting.done():
                    waiting.set_result(is_proven)
