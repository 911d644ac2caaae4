"""The proxy process, assembled from its components."""

from collections.abc import Iterable
from pathlib import Path
from time import time
from typing import Any

from aiohttp.web import Application
from loguru import logger
from mode import Service

from redwingpost.adapters.mysql_server import CallerServer
from redwingpost.adapters.mysql_target import MySQLTargetDialler
from redwingpost.adapters.links import (
    LinkFaults,
    install_link_faults,
    mount_link_faults,
)
from redwingpost.adapters.peer import (
    NodeInterfaces,
    PeerAddress,
    PeerClients,
    PeerServer,
)
from redwingpost.adapters.traffic import ControlTraffic
from redwingpost.adapters.tls import TlsContexts
from redwingpost.configuration.keys import KeyRing
from redwingpost.configuration.model import Withdrawal
from redwingpost.configuration.parse import parse_configuration
from redwingpost.core import Code, GroupView, Refusal, Request, VmAddress
from redwingpost.ports import Clock, MonotonicClock
from redwingpost.proxy.caller import Caller
from redwingpost.proxy.confirm import Confirmer
from redwingpost.proxy.drain import Drain, DrainStep
from redwingpost.proxy.control_connections import ControlConnections
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.feed import AgentFeed, FeedPeer
from redwingpost.proxy.forward_server import ForwardServer
from redwingpost.proxy.forwarder import Forwarder, Homes
from redwingpost.proxy.gate import Gate
from redwingpost.proxy.http import StatusServer
from redwingpost.proxy.lending import LendingServer, RateLimiter
from redwingpost.proxy.metrics import ProxyMetrics
from redwingpost.proxy.components import Components
from redwingpost.proxy.reads import Reader
from redwingpost.proxy.session import StatementSession
from redwingpost.proxy.status_poller import StatusPoller
from redwingpost.proxy.targets import TargetPool
from redwingpost.proxy.transactions import Transactions
from redwingpost.proxy.view_watch import ViewWatch
from redwingpost.proxy.writes import Writer
from redwingpost.sessions import TokenMinter
from redwingpost.settings import Settings

#: Seconds between checks for running statements during a drain.
_DRAIN_POLL_S = 0.05


#: Seconds after which a VM is ready even if it doesn't know each group's
#: primary. A member answers within one poll; a promotion takes up to 3 s.
PRIMARIES_TIMEOUT_S = 3.0

#: Seconds without a heartbeat after which a VM is no longer a home.
#: Heartbeats are sent every one or two seconds. While a lost VM counts as a
#: home, the first statement of a connection may cost a failed attempt at it.
HOME_TIMEOUT_S = 10.0


def _own_address(settings: Settings) -> VmAddress:
    return VmAddress(
        vm=settings.vm.name,
        data_centre=settings.vm.data_centre,
        ip=settings.vm.ip,
        agent_port=settings.agent.peer_port,
        proxy_port=settings.proxy.peer_port,
        incarnation=0,
    )


class _KeyLookup:
    """Key ring as the server adapter uses it."""

    def __init__(self, keys: KeyRing) -> None:
        self._keys = keys

    def key_hashes(self, organisation: str) -> tuple[str, ...]:
        return self._keys.hashes(organisation)


class Proxy(Service):
    """Serves callers on one VM.

    Parameters
    ----------
    settings : Settings
        The VM's settings.
    clock : Clock, optional
        Source of time.
    """

    def __init__(
        self, settings: Settings, clock: Clock | None = None, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self.directory = Directory()
        self.keys = KeyRing(settings.fleet.key_confirmation_s)
        self.metrics = ProxyMetrics()
        self.sessions: set[StatementSession] = set()
        self._left_at: float | None = None
        self._drain: Drain | None = None
        self._configured_at = float("inf")
        self._faults: LinkFaults | None = None
        self._build()

    def _build(self) -> None:
        settings = self.settings
        dialler = MySQLTargetDialler(
            settings.targets.user, settings.targets.password
        )
        self.control_connections = ControlConnections(dialler)
        self.pool = TargetPool(
            self.directory,
            dialler,
            self.clock,
            lambda _group: settings.proxy.homes,
            self._refuse_changed_key,
        )
        self.directory.view_listeners.append(self._fail_waiting_at_replicas)
        self.confirmer = Confirmer(
            self.directory, self.control_connections, self.clock
        )
        self.tls = TlsContexts(settings.tls)
        self.clients = PeerClients(settings.vm.ip, self.tls, self.clock)
        self.rate_limiter = RateLimiter(
            settings.vm.name,
            settings.vm.data_centre,
            self.directory,
            self.clients,
            self.clock,
            incarnation=int(time() * 1000),
            loop=self.loop,
        )
        self.homes = Homes(
            _own_address(settings), self.directory, settings.proxy.homes
        )
        self.status_poller = StatusPoller(
            self.directory,
            self.control_connections,
            self.clock,
            self.homes.is_home,
            loop=self.loop,
        )
        # A call that times out closes its connection. Forwarded statements
        # have connections of their own, so that no other call between the
        # VMs fails with them.
        self.forward_clients = PeerClients(
            settings.vm.ip, self.tls, self.clock
        )
        views = ViewWatch(self.directory)
        writer = Writer(
            self.directory, self.pool, self.confirmer, self.clock, views
        )
        self.components = Components(
            clock=self.clock,
            keys=self.keys,
            tokens=TokenMinter(settings.fleet.token_secrets),
            directory=self.directory,
            status_poller=self.status_poller,
            pool=self.pool,
            gate=Gate(self.rate_limiter),
            reader=Reader(
                self.directory,
                self.status_poller,
                self.pool,
                self.confirmer,
                self.clock,
                views,
                settings.vm.data_centre,
            ),
            writer=writer,
            transactions=Transactions(writer, self.pool, views, self.clock),
            metrics=self.metrics,
            sessions=self.sessions,
            homes=self.homes,
            make_forwarder=self._make_forwarder,
            takes=self._takes,
        )
        self.callers = CallerServer(
            settings.vm.ip,
            settings.proxy.caller_port,
            _KeyLookup(self.keys),
            self._make_session,
            tls=lambda: self.tls.caller,
            loop=self.loop,
        )
        self.interfaces = NodeInterfaces()
        self.interfaces.forward = ForwardServer(
            self._make_session, self.add_future, self.clock
        )
        self.interfaces.lending = LendingServer(
            self.rate_limiter, self.directory
        )
        self.peers = PeerServer(
            PeerAddress(settings.vm.ip, settings.proxy.peer_port),
            self.interfaces,
            self.tls,
            loop=self.loop,
        )
        self.feed = AgentFeed(
            PeerAddress(settings.vm.ip, settings.agent.peer_port),
            self.clients,
            self.directory,
            self.keys,
            self.clock,
            loop=self.loop,
        )
        self.feed.on_withdrawn = self._terminate_withdrawn
        self.feed.on_configured = self._on_configured
        self.feed.on_peers = self._update_peers
        self.feed.on_shares = self.rate_limiter.update_shares
        self.feed.on_drain = self._leave_balancer
        # Accepted connections also carry forwarded statements, which are
        # callers' traffic, so control traffic is counted by the VM that
        # opened the connection.
        ControlTraffic(
            settings.vm.ip,
            lambda: 0,
            self.clients.addresses,
        ).register(self.metrics.registry)
        self.http = StatusServer(
            settings.vm.ip,
            settings.proxy.http_port,
            self.metrics.registry,
            lambda: self.ready,
            self._mount_faults,
            loop=self.loop,
        )

    def _refuse_changed_key(self, request: Request) -> Refusal | None:
        if not request.key_hash:
            return None
        return self.keys.check(
            request.organisation, request.key_hash, self.clock.now()
        )

    def _fail_waiting_at_replicas(self, view: GroupView) -> None:
        if not view.primary:
            return
        for address in self.directory.replicas(view.group):
            self.pool.fail_waiting(address)

    def _on_configured(self) -> None:
        self._configured_at = min(self._configured_at, self.clock.now())
        self.rate_limiter.configure()
        for member in self.directory.configuration.draining_members:
            # What waits for it goes to another member.
            address = self.directory.address(member)
            if address is not None:
                self.pool.fail_waiting(address)

    def _make_forwarder(self) -> Forwarder:
        return Forwarder(self.homes, self.forward_clients, self.clock)

    def _update_peers(self, peers: tuple[FeedPeer, ...]) -> None:
        """Apply the list of VMs; lost and draining ones are no homes."""
        self.rate_limiter.update_peers(peers)
        since = self.clock.now() - HOME_TIMEOUT_S
        self.homes.set_vms(
            tuple(
                peer.address
                for peer in peers
                if peer.last_alive_at >= since and not peer.draining
            )
        )

    def _mount_faults(self, application: Application) -> None:
        if self._faults is not None:
            mount_link_faults(application, self._faults)

    @property
    def ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        if self._left_at is not None or self.directory.configuration is None:
            return False
        if not self.rate_limiter.base_parts_usable:
            return False
        # A restarted VM refuses writes to a group until it knows its
        # primary, so the balancer must not send callers before. The timeout
        # prevents a group without a primary from blocking the VM.
        waited = self.clock.now() - self._configured_at
        return waited > PRIMARIES_TIMEOUT_S or all(
            self.directory.view(group) is not None
            for group in self.directory.configuration.groups_by_name
            if self.homes.is_home(group)
        )

    def _make_session(
        self,
        organisation: str,
        key_hash: str,
        group: str,
        connection_id: int,
    ) -> StatementSession:
        caller = Caller(organisation, key_hash, group, connection_id)
        session = StatementSession(caller, self.components)
        self.sessions.add(session)
        return session

    async def on_start(self) -> None:
        """Load a configuration file, if set, and start the components."""
        if self.settings.faults.enabled:
            self._faults = install_link_faults(self.settings.vm.ip)
        await self.add_runtime_dependency(self.peers)
        if self.settings.proxy.configuration_file:
            self._load_file(Path(self.settings.proxy.configuration_file))
        elif self.settings.agent.peer_port:
            await self.add_runtime_dependency(self.feed)
        await self.add_runtime_dependency(self.rate_limiter)
        await self.add_runtime_dependency(self.status_poller)
        await self.add_runtime_dependency(self.callers)
        await self.add_runtime_dependency(self.http)
        logger.bind(vm=self.settings.vm.name).info(
            "proxy is listening on {}:{}",
            self.settings.vm.ip,
            self.callers.port,
        )

    def _load_file(self, path: Path) -> None:
        parsed = parse_configuration(path.read_bytes())
        if parsed.is_error():
            raise ValueError(parsed.error.describe())
        self.directory.configure(parsed.ok, version=1)
        self.rate_limiter.use_full_rates()
        self.keys.grant(parsed.ok)
        self.keys.confirm(self.clock.now())
        self._on_configured()

    def _terminate_withdrawn(self, withdrawals: Iterable[Withdrawal]) -> None:
        """Terminate the sessions of withdrawn keys, idle ones too.

        An idle session may have an open transaction, which holds locks in a
        group that the organisation may no longer use.
        """
        withdrawn = frozenset(withdrawals)
        for session in tuple(self.sessions):
            caller = session.caller
            key = Withdrawal(caller.organisation, caller.key_hash)
            if key in withdrawn:
                refusal = Refusal(Code.KEY_WITHDRAWN)
                self.add_future(session.terminate(refusal))

    def _leave_balancer(self) -> None:
        """Become not ready, so that the balancer sends no new callers.

        Callers that are connected are served until the proxy is stopped.
        """
        if self._left_at is None:
            self._left_at = self.clock.now()

    def _takes(self, deadline_at: float) -> bool:
        """Return whether to take a statement with a deadline (seconds)."""
        if self._drain is None:
            return True
        return self._drain.takes(self.clock.now(), deadline_at)

    async def drain(self) -> None:
        """Finish running statements while new callers go elsewhere."""
        self._leave_balancer()
        now = self.clock.now()
        left_s = now - self._left_at
        leave_s = max(self.settings.proxy.leave_s - left_s, 0.0)
        self._drain = Drain(now, leave_s)
        last_busy_at = float("-inf")
        while True:
            now = self.clock.now()
            busy = sum(session.busy for session in self.sessions)
            last_busy_at = now if busy else last_busy_at
            step = self._drain.step(now, busy, last_busy_at)
            if step is DrainStep.FINISH:
                self.callers.stop_accepting()
            elif step is DrainStep.CUT:
                logger.warning("stopped with {} busy connections", busy)
            if step in (DrainStep.CLOSE, DrainStep.CUT):
                return
            await self.sleep(_DRAIN_POLL_S)

    async def on_stop(self) -> None:
        """Close the connections to targets."""
        await self.confirmer.close()
        await self.pool.close()
        await self.control_connections.close()

    async def on_shutdown(self) -> None:
        """Close what the components use until they have stopped."""
        self.clients.close()
        self.forward_clients.close()
        if self._faults is not None:
            self._faults.uninstall()
