"""HTTP client that controls stand-ins and programs of a run."""

from typing import Any, NamedTuple

from aiohttp import ClientError, ClientSession, ClientTimeout

#: Timeout of a request, in seconds. It may be short: every request stays
#: on one computer, and a stand-in answers control requests at once.
REQUEST_TIMEOUT_S = 3.0


class HttpPort(NamedTuple):
    """The address of an HTTP server."""

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
    """One link rule of ``POST /faults/links`` between two networks.

    ``kind`` is ``cut`` or ``delay``; ``ms`` is the delay.
    """

    source: str
    target: str
    kind: str
    ms: float = 0.0

    def to_json(self) -> dict[str, Any]:
        """Return the rule as JSON for the request body."""
        rule = {"from": self.source, "to": self.target, "kind": self.kind}
        return {**rule, "ms": self.ms} if self.kind == "delay" else rule


class ControlRequestFailed(Exception):
    """A stand-in or program refused a request or did not answer."""


class ControlClient:
    """Injects faults, sets link rules and reads pages over HTTP."""

    def __init__(self) -> None:
        timeout = ClientTimeout(total=REQUEST_TIMEOUT_S)
        self._http = ClientSession(timeout=timeout)

    async def close(self) -> None:
        """Close the client."""
        await self._http.close()

    async def inject_fault(
        self, port: HttpPort, fault: str, **more: Any
    ) -> Any:
        """Inject a fault into a stand-in and return its answer."""
        return await self._post(port, "/faults", {"fault": fault, **more})

    async def set_link_rules(
        self, port: HttpPort, rules: list[LinkRule]
    ) -> None:
        """Replace a process's link rules."""
        body = {"rules": [rule.to_json() for rule in rules]}
        await self._post(port, "/faults/links", body)

    async def _post(self, port: HttpPort, path: str, body: Any) -> Any:
        try:
            async with self._http.post(port.url(path), json=body) as answer:
                if answer.status != 200:
                    raise ControlRequestFailed(
                        f"{port.url(path)}: {await answer.text()}"
                    )
                return await answer.json()
        except (ClientError, OSError, TimeoutError) as error:
            raise ControlRequestFailed(
                f"{port.url(path)}: {error!r}"
            ) from error

    async def is_answered(self, port: HttpPort, path: str) -> bool:
        """Return whether a GET request is answered with status 200."""
        try:
            async with self._http.get(port.url(path)) as answer:
                return answer.status == 200
        except (ClientError, OSError, TimeoutError):
            return False

    async def get_text(self, port: HttpPort, path: str) -> str:
        """Return the body of a GET request, or "" if it fails."""
        try:
            async with self._http.get(port.url(path)) as answer:
                return await answer.text()
        except (ClientError, OSError, TimeoutError):
            return ""
