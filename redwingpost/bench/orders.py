"""How the bench speaks to stand-ins and programs: orders over HTTP."""

from typing import Any, NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout

#: Seconds for an order on the local machine; a stand-in is never slow.
ORDER_LIMIT_S = 3.0


class HttpPort(NamedTuple):
    """An IP and port that answer HTTP."""

    ip: str
    port: int

    def url(self, path: str) -> str:
        """Return the URL of a path.

        Examples
        --------
        >>> HttpPort("127.1.1.1", 80).url("/readyz")
        'http://127.1.1.1:80/readyz'
        """
        return f"http://{self.ip}:{self.port}{path}"


class LinkRule(NamedTuple):
    """One entry of ``POST /faults/links``: networks, kind, milliseconds.

    ``kind`` is ``cut`` or ``delay``.
    """

    source: str
    target: str
    kind: str
    ms: float = 0.0

    def to_json(self) -> dict[str, Any]:
        """Return the rule as the HTTP body wants it."""
        rule = {"from": self.source, "to": self.target, "kind": self.kind}
        return {**rule, "ms": self.ms} if self.kind == "delay" else rule


class OrderFailed(Exception):
    """A stand-in or program refused an order or did not answer."""


class Orders:
    """Sends orders and reads texts over HTTP."""

    def __init__(self) -> None:
        limit = ClientTimeout(total=ORDER_LIMIT_S)
        self._http = ClientSession(timeout=limit)

    async def close(self) -> None:
        """Close the client."""
        await self._http.close()

    async def fault(self, port: HttpPort, fault: str, **more: Any) -> Any:
        """Order a stand-in's fault and return its answer."""
        return await self._post(port, "/faults", {"fault": fault, **more})

    async def links(self, port: HttpPort, rules: list[LinkRule]) -> None:
        """Replace a process's link rules."""
        body = {"rules": [rule.to_json() for rule in rules]}
        await self._post(port, "/faults/links", body)

    async def _post(self, port: HttpPort, path: str, body: Any) -> Any:
        try:
            async with self._http.post(port.url(path), json=body) as answer:
                if answer.status != 200:
                    raise OrderFailed(
                        f"{port.url(path)}: {await answer.text()}"
                    )
                return await answer.json()
        except (ClientError, OSError, TimeoutError) as error:
            raise OrderFailed(f"{port.url(path)}: {error!r}") from error

    async def answers(self, port: HttpPort, path: str) -> bool:
        """Say whether a GET is answered with 200."""
        try:
            async with self._http.get(port.url(path)) as answer:
                return answer.status == 200
        except (ClientError, OSError, TimeoutError):
            return False

    async def text(self, port: HttpPort, path: str) -> str:
        """Return a GET's body, or "" where nobody answers."""
        try:
            async with self._http.get(port.url(path)) as answer:
                return await answer.text()
        except (ClientError, OSError, TimeoutError):
            return ""
