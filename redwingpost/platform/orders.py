"""HTTP client for the platform's promotion calls."""

from collections.abc import Callable
from http import HTTPStatus

from msgspec.json import encode

from redwingpost.adapters.http_client import HttpLost, HttpPool
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import OrderOutcome

#: Seconds to wait for the platform's answer. It need not be longer: the
#: member's status shows whether the order took effect.
_TIMEOUT_S = 1.0


#: Answers that don't say whether the order was taken.
_MAY_ACT_LATER = (
    HTTPStatus.INTERNAL_SERVER_ERROR,
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.GATEWAY_TIMEOUT,
)


class HttpPromotionOrders:
    """Implements ``PromotionOrders``."""

    def __init__(self, ip: str, port: int, clock: Clock) -> None:
        self._client = HttpPool(ip, port, clock)

    async def promote(
        self,
        group: str,
        member: str,
        holder: str,
        fence: int,
        may_send: Callable[[], bool],
    ) -> OrderOutcome:
        """Send an order, if ``may_send`` still allows it once connected."""
        headers = (
            ("Content-Type", "application/json"),
            ("X-Redwingpost-Duty-Holder", holder),
            ("X-Redwingpost-Fence-Token", str(fence)),
        )
        body = encode({"service": group, "id": member})
        try:
            answer = await self._client.request(
                "POST", "/promote", _TIMEOUT_S, body, headers, may_send
            )
        except HttpLost as lost:
            log_event(
                "promote-unanswered",
                group=group,
                member=member,
                fence=fence,
                detail=str(lost),
                sent=lost.sent,
            )
            return (
                OrderOutcome.UNANSWERED if lost.sent else OrderOutcome.REFUSED
            )
        log_event(
            "promote-answered",
            group=group,
            member=member,
            fence=fence,
            status=answer.status,
        )
        if answer.status == HTTPStatus.OK:
            return OrderOutcome.ACCEPTED
        if answer.status in _MAY_ACT_LATER:
            return OrderOutcome.UNANSWERED
        return OrderOutcome.REFUSED
