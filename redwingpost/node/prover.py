"""Shares the result of one query among all that wait for it."""

from asyncio import Future, Task, create_task, get_running_loop, shield
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from redwingpost.observability.journal import log_event

T = TypeVar("T")


class SharedQuery(Generic[T]):
    """Runs one query at a time; all waiting calls share the next one.

    A query's result holds only for calls made before it was sent, so a call
    that arrives during a query waits for the following one.

    Parameters
    ----------
    query : callable
        Runs one query; returns its result.
    failed : object
        The result if the query raises.
    """

    def __init__(self, query: Callable[[], Awaitable[T]], failed: T) -> None:
        self._query = query
        self._failed = failed
        self._next: Future | None = None
        self._query_task: Task | None = None

    async def get(self) -> T:
        """Return the result of a query that begins after this call."""
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
            result = self._failed
            try:
                result = await self._query()
            except Exception as error:
                # Those that wait for the next query must get it.
                log_event("query-failed", error=repr(error))
            finally:
                if not waiting.done():
                    waiting.set_result(result)
