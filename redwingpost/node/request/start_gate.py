"""Let callers of a VM that has just started wait for its rules."""

from asyncio import Event, wait_for


class StartGate:
    """Closed until the first configuration is in force."""

    def __init__(self) -> None:
        self._opened = Event()

    def open(self) -> None:
        """Let everybody through, now and from now on."""
        self._opened.set()

    async def wait(self, patience_s: float) -> None:
        """Return once the gate is open, or after ``patience_s`` seconds."""
        if self._opened.is_set():
            return
        try:
            await wait_for(self._opened.wait(), patience_s)
        except TimeoutError:
            # The session's own check refuses, with the reason.
            return
