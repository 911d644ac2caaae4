"""HTTP port for faults: ``POST /faults {"fault": NAME, …}``."""

from collections.abc import Awaitable, Callable
from inspect import getdoc, signature
from typing import Any

from aiohttp.web import (
    AppRunner,
    Application,
    Request,
    Response,
    TCPSite,
    json_response,
)
from msgspec import DecodeError
from msgspec.json import Decoder, Encoder

from redwingpost.adapters.links import (
    LinkFaults,
    install_link_faults,
    mount_link_faults,
)
from redwingpost.core import Registry
from redwingpost.standin.settings import Endpoint

Fault = Callable[..., Awaitable[dict[str, Any] | None]]

_DECODER = Decoder(dict[str, Any])
_ENCODER = Encoder()


def describe_faults(registry: Registry[Fault]) -> list[dict[str, str]]:
    """Return each fault's name, arguments and first docstring line."""
    return [
        {
            "fault": name,
            "arguments": ", ".join(list(signature(fault).parameters)[1:]),
            "does": (getdoc(fault) or "").splitlines()[0],
        }
        for name, fault in registry.items()
    ]


class FaultServer:
    """The fault port of a stand-in.

    Parameters
    ----------
    registry : Registry
        The faults that this stand-in supports.
    standin : object
        Passed to each fault as its first argument.
    endpoint : Endpoint
        Address to listen on.
    link_faults : bool
        Whether link faults can be set too, at ``/faults/links``.
    """

    def __init__(
        self,
        registry: Registry[Fault],
        standin: Any,
        endpoint: Endpoint,
        link_faults: bool = False,
    ) -> None:
        self._registry = registry
        self._standin = standin
        self._endpoint = endpoint
        self._link_faults = link_faults
        self._links: LinkFaults | None = None
        self._runner: AppRunner | None = None
        self.address = (endpoint.ip, endpoint.port)

    async def start(self) -> None:
        """Start to listen."""
        application = Application()
        application.router.add_get("/faults", self._list)
        application.router.add_post("/faults", self._inject)
        if self._link_faults:
            self._links = install_link_faults(self._endpoint.ip)
            mount_link_faults(application, self._links)
        self._runner = AppRunner(application, access_log=None)
        await self._runner.setup()
        site = TCPSite(self._runner, self._endpoint.ip, self._endpoint.port)
        await site.start()
        self.address = self._runner.addresses[0][:2]

    async def stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._links is not None:
            self._links.uninstall()

    async def _list(self, request: Request) -> Response:
        return json_response({"faults": describe_faults(self._registry)})

    async def _inject(self, request: Request) -> Response:
        try:
            arguments = _DECODER.decode(await request.read())
            fault = self._registry.get(str(arguments.pop("fault", "")))
            answer = await fault(self._standin, **arguments)
        except (DecodeError, KeyError, TypeError, ValueError) as error:
            return json_response({"error": str(error)}, status=400)
        body = _ENCODER.encode(answer or {})
        return Response(body=body, content_type="application/json")
