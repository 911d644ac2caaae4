"""The agent process, which runs the agent's parts."""

from time import time
from typing import Any
from urllib.parse import urlsplit

from aiohttp.web import Application
from loguru import logger
from mode import Service

from redwingpost.adapters.links import (
    LinkFaults,
    install_link_faults,
    mount_link_faults,
)
from redwingpost.adapters.peer import PeerAddress, PeerClients, PeerServer
from redwingpost.adapters.platform_http import HttpPlatform
from redwingpost.adapters.tls import TlsContexts
from redwingpost.adapters.traffic import ControlTraffic
from redwingpost.agent.context import AGENT_PARTS, AgentContext
from redwingpost.agent.parts import load_parts
from redwingpost.agent.state import FleetState
from redwingpost.ports import Clock, MonotonicClock
from redwingpost.proxy.http import StatusServer
from redwingpost.settings import Settings

#: Seconds that a planned stop waits for the VM's proxy, which drains at
#: the same time and reads views of groups from this agent until it stops.
PROXY_DRAIN_TIMEOUT_S = 9.0

_DRAIN_POLL_S = 0.1


class Agent(Service):
    """The agent of one VM.

    Parameters
    ----------
    settings : Settings
        The VM's settings.
    clock : Clock, optional
        Source of time.
    platform : Any, optional
        The platform's ports, for tests; by default over HTTP.
    incarnation : int, optional
        Increases with each start; by default wall-clock milliseconds.
    parts : tuple of str, optional
        Names of the parts to run; by default all registered ones.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        platform: Any = None,
        incarnation: int = 0,
        parts: tuple[str, ...] = (),
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        load_parts()
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self._own_platform = platform is None
        if platform is None:
            platform = HttpPlatform(settings.platform, settings.vm.ip)
        self._platform = platform
        incarnation = incarnation or int(time() * 1000)
        tls = TlsContexts(settings.tls)
        self.context = AgentContext(
            settings,
            self.clock,
            platform,
            PeerClients(settings.vm.ip, tls, self.clock),
            FleetState(settings, self.clock, incarnation),
        )
        self.parts_by_name = {
            name: AGENT_PARTS.get(name)(self.context)
            for name in parts or AGENT_PARTS.names()
        }
        self.server = PeerServer(
            PeerAddress(settings.vm.ip, settings.agent.peer_port),
            self.context.interfaces,
            tls,
        )
        self.http = StatusServer(
            settings.vm.ip,
            settings.agent.http_port,
            self.context.registry,
            lambda: self.ready,
            self._mount_faults,
        )
        self._faults: LinkFaults | None = None
        ControlTraffic(
            settings.vm.ip,
            lambda: self.server.port,
            self.context.peers.addresses,
            _store_address(settings.platform.url),
        ).register(self.context.registry)

    def _mount_faults(self, application: Application) -> None:
        if self._faults is not None:
            mount_link_faults(application, self._faults)

    @property
    def ready(self) -> bool:
        """Whether the agent has a configuration and is not stopping."""
        state = self.context.state
        has_configuration = state.configuration.version > 0
        return has_configuration and not (state.draining or state.stopping)

    async def on_start(self) -> None:
        """Start the server for peers, the parts and the status pages."""
        if self.settings.faults.enabled:
            self._faults = install_link_faults(self.settings.vm.ip)
        if self._own_platform:
            await self.add_runtime_dependency(self._platform)
        await self.add_runtime_dependency(self.server)
        self.context.state.agent_port = self.server.port
        for part in self.parts_by_name.values():
            await self.add_runtime_dependency(part)
        await self.add_runtime_dependency(self.http)
        logger.bind(vm=self.settings.vm.name).info(
            "agent listens on {}:{}", self.settings.vm.ip, self.server.port
        )

    async def drain(self) -> None:
        """Become unready and wait for the VM's proxy to stop."""
        state = self.context.state
        state.stopping = True
        state.renew_own_beat()
        started_at = self.clock.now()
        while state.proxy_attached:
            if self.clock.now() - started_at > PROXY_DRAIN_TIMEOUT_S:
                logger.warning("stopping before the VM's proxy has stopped")
                break
            await self.sleep(_DRAIN_POLL_S)

    async def on_shutdown(self) -> None:
        """Release what the parts share, after they have stopped."""
        self.context.cancel_spawned()
        self.context.peers.close()
        if self._faults is not None:
            self._faults.uninstall()


def _store_address(url: str) -> PeerAddress | None:
    """Return the platform's address, or None for a URL without a port."""
    parts = urlsplit(url)
    if not parts.hostname or not parts.port:
        return None
    return PeerAddress(parts.hostname, parts.port)
