"""Ask a replica whether the primary still leads; share the answer."""

from asyncio import Future, Task, create_task, get_running_loop, shield
from collections.abc import Awaitable, Callable


class SharedProof:
    """Runs one question at a time; whoever waits shares the next.

    An answer proves something only to those who waited before it was
    asked for, so who arrives while a question is under way gets the one
    after it.

    Parameters
    ----------
    ask : callable
        Asks once; returns whether the lead was proven.
    """

    def __init__(self, ask: Callable[[], Awaitable[bool]]) -> None:
        self._ask = ask
        self._next: Future | None = None
        self._asking: Task | None = None

    async def get(self) -> bool:
        """Say whether the primary led at some moment after this call."""
        if self._next is None or self._next.done():
            self._next = get_running_loop().create_future()
        waiting = self._next
        if self._asking is None or self._asking.done():
            self._asking = create_task(self._ask_for_waiting())
        return await shield(waiting)

    async def _ask_for_waiting(self) -> None:
        while self._next is not None and not self._next.done():
            waiting = self._next
            self._next = None
            is_proven = False
            try:
                is_proven = await self._ask()
            finally:
                if not waiting.done():
                    waiting.set_result(is_proven)
