"""Admission at the proxy's door: the organisation's rate."""

from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import Refusal, Request
from redwingpost.proxy.lending import RateDesk


class Permit(NamedTuple):
    """Leave to send one statement; given back when it is answered."""

    request: Request


class Gate:
    """Admits statements within the organisation's rate.

    Parameters
    ----------
    desk : RateDesk
        The organisations' tokens at this VM.
    """

    def __init__(self, desk: RateDesk) -> None:
        self._desk = desk

    async def enter(self, request: Request) -> Result[Permit, Refusal]:
        """Admit a statement or say why not.

        Every statement takes one token, whatever its cost: rates are
        granted in statements. Costs weigh in the queues of the targets.
        """
        spent = await self._desk.spend(
            request.organisation, 1.0, request.deadline_at
        )
        if spent.is_error():
            return Error(spent.error)
        return Ok(Permit(request))

    def leave(self, permit: Permit) -> None:
        """Note that the statement was answered."""
