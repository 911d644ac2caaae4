"""Makes callers of a VM that has just started wait for its first rules."""

from asyncio import Event, wait_for


class StartGate:
    """Closed until the first configuration is in force."""

    def __init__(self) -> None:
        self._opened = Event()

    def open(self) -> None:
        """Release all waiting callers and let later ones pass at once."""
        self._opened.set()

    async def wait(self, timeout_s: float) -> None:
        """Return once the gate is open, or after ``timeout_s`` seconds."""
        if self._opened.is_set():
            return
        try:
            await wait_for(self._opened.wait(), timeout_s)
        except TimeoutError:
            # The session's own check refuses the caller with the reason.
            return
