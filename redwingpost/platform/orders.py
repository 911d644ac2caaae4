"""HTTP client for the platform's promotion calls."""

from msgspec.json import encode

from redwingpost.adapters.http_client import HttpLost, HttpPool
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock

#: Seconds to wait for the platform's answer. It need not be longer: the
#: member's status shows whether the order took effect.
_TIMEOUT_S = 1.0


class HttpPromotionOrders:
    """Implements ``PromotionOrders``."""

    def __init__(self, ip: str, port: int, clock: Clock) -> None:
        self._client = HttpPool(ip, port, clock)

    async def promote(
        self, group: str, member: str, holder: str, fence: int
    ) -> bool:
        """Return whether the platform accepted the order."""
        headers = (
            ("Content-Type", "application/json"),
            ("X-Redwingpost-Duty-Holder", holder),
            ("X-Redwingpost-Fence-Token", str(fence)),
        )
        body = encode({"service": group, "id": member})
        try:
            answer = await self._client.request(
                "POST", "/promote", _TIMEOUT_S, body, headers
            )
        except HttpLost as lost:
            log_event(
                "promote-unanswered",
                group=group,
                member=member,
                fence=fence,
                detail=str(lost),
            )
            return False
        log_event(
            "promote-answered",
            group=group,
            member=member,
            fence=fence,
            status=answer.status,
        )
        return answer.status == 200
