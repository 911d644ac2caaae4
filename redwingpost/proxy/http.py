"""Health, readiness and metrics over HTTP."""

from collections.abc import Callable
from typing import Any

from aiohttp.web import (
    Application,
    AppRunner,
    Request,
    Response,
    TCPSite,
    get,
    json_response,
)
from mode import Service
from prometheus_client import CollectorRegistry, generate_latest

#: Content type of ``/metrics``: Prometheus's text format.
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

#: Timeout of open HTTP requests when the process stops (seconds).
_SHUTDOWN_S = 1.0


class StatusServer(Service):
    """Serves ``/healthz``, ``/readyz``, ``/metrics``.

    Parameters
    ----------
    ip, port : str, int
        Address to listen on; port 0 chooses a free port.
    registry : CollectorRegistry
        Metrics to serve.
    is_ready : callable
        Returns True while the load balancer may send callers here.
    add_routes : callable, optional
        Called with the application, to add further routes.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        registry: CollectorRegistry,
        is_ready: Callable[[], bool],
        add_routes: Callable[[Application], None] | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._ip = ip
        self._port = port
        self._registry = registry
        self._is_ready = is_ready
        self._add_routes = add_routes
        self._runner: AppRunner | None = None

    @property
    def port(self) -> int:
        """Return the port in use."""
        return self._runner.addresses[0][1]

    async def on_start(self) -> None:
        """Start to listen."""
        application = Application()
        application.add_routes(
            [
                get("/healthz", self._healthz),
                get("/readyz", self._readyz),
                get("/metrics", self._metrics),
            ]
        )
        if self._add_routes is not None:
            self._add_routes(application)
        self._runner = AppRunner(
            application, access_log=None, shutdown_timeout=_SHUTDOWN_S
        )
        await self._runner.setup()
        await TCPSite(self._runner, self._ip, self._port).start()

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _healthz(self, _request: Request) -> Response:
        return json_response({"status": "ok"})

    async def _readyz(self, _request: Request) -> Response:
        ready = self._is_ready()
        body = {"status": "ready" if ready else "not ready"}
        return json_response(body, status=200 if ready else 503)

    async def _metrics(self, _request: Request) -> Response:
        body = generate_latest(self._registry)
        return Response(body=body, headers={"Content-Type": _METRICS_TYPE})
