"""Admission at the proxy's door: the organisation's rate."""

from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import Code, Refusal, Request
from redwingpost.ports import Clock
from redwingpost.proxy.directory import Directory


class Permit(NamedTuple):
    """Leave to send one statement; given back when it is answered."""

    request: Request


class _Tokens:
    """One organisation's tokens at this VM."""

    def __init__(self, now: float, burst: float) -> None:
        self.at = now
        self.level = burst


class Gate:
    """Admits statements within the organisation's rate at this VM.

    Parameters
    ----------
    directory : Directory
        Rates by organisation.
    clock : Clock
        Source of time.
    share : float
        Part of each rate that this VM may grant, 0 to 1.
    """

    def __init__(
        self, directory: Directory, clock: Clock, share: float
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._share = share
        self._tokens_by_organisation: dict[str, _Tokens] = {}

    async def enter(self, request: Request) -> Result[Permit, Refusal]:
        """Admit a statement or say why not."""
        known = self._directory.configuration.organisations_by_name
        organisation = known[request.organisation]
        rate = organisation.rate * self._share
        burst = max(1.0, organisation.burst * self._share)
        now = self._clock.now()
        tokens = self._tokens_by_organisation.setdefault(
            request.organisation, _Tokens(now, burst)
        )
        earned = (now - tokens.at) * rate
        tokens.level = min(burst, tokens.level + earned)
        tokens.at = now
        if tokens.level < 1.0:
            wait_ms = int((1.0 - tokens.level) / rate * 1000) + 1
            return Error(Refusal(Code.OVER_RATE, retry_after_ms=wait_ms))
        tokens.level -= 1.0
        return Ok(Permit(request))

    def leave(self, permit: Permit) -> None:
        """Note that the statement was answered."""
