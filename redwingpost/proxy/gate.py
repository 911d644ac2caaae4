"""Admission of statements within the organisation's rate."""

from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import Refusal, Request
from redwingpost.proxy.lending import RateLimiter


class Permit(NamedTuple):
    """Permission to send one statement; ends when it is answered."""

    request: Request


class Gate:
    """Admits statements within the organisation's rate.

    Parameters
    ----------
    rate_limiter : RateLimiter
        The organisations' tokens at this VM.
    """

    def __init__(self, rate_limiter: RateLimiter) -> None:
        self._rate_limiter = rate_limiter

    async def enter(self, request: Request) -> Result[Permit, Refusal]:
        """Admit a statement, or return the refusal.

        Every statement takes one token whatever its cost, because rates
        are in statements. Costs count in the queues of the targets.
        """
        spent = await self._rate_limiter.spend(
            request.organisation, 1.0, request.deadline_at
        )
        if spent.is_error():
            return Error(spent.error)
        return Ok(Permit(request))

    def leave(self, permit: Permit) -> None:
        """End a permit: the statement was answered."""
