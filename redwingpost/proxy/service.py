"""The proxy process: its parts, put together."""

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
from redwingpost.core import Code, GroupView, Refusal, VmAddress
from redwingpost.ports import Clock, MonotonicClock
from redwingpost.proxy.caller import Caller
from redwingpost.proxy.confirm import Confirmer
from redwingpost.proxy.drain import Drain, DrainStep
from redwingpost.proxy.control_connections import ControlConnections
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.feed import AgentFeed, FedPeer
from redwingpost.proxy.forward_server import ForwardServer
from redwingpost.proxy.forwarder import Forwarder, Homes
from redwingpost.proxy.gate import Gate
from redwingpost.proxy.http import StatusServer
from redwingpost.proxy.lending import LendingServer, RateLimiter
from redwingpost.proxy.metrics import ProxyMetrics
from redwingpost.proxy.parts import Parts
from redwingpost.proxy.reads import Reader
from redwingpost.proxy.session import StatementSession
from redwingpost.proxy.status_poller import StatusPoller
from redwingpost.proxy.targets import TargetPool
from redwingpost.proxy.transactions import Transactions
from redwingpost.proxy.view_watch import ViewWatch
from redwingpost.proxy.writes import Writer
from redwingpost.sessions import TokenMinter
from redwingpost.settings import Settings

#: Seconds between checks whether running statements have ended.
_DRAIN_POLL_S = 0.05


#: Seconds that a VM waits for each group's primary before it is ready
#: without. A member answers within one poll; a promotion takes up to 3 s.
PRIMARIES_LIMIT_S = 3.0

#: Seconds of silence after which a VM is no home any more. Heartbeats
#: come every second or two; a home lost for longer would cost each first
#: statement of a connection a vain attempt.
HOME_SILENCE_S = 10.0


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
    """The server adapter's view of the key ring."""

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
        )
        self.directory.view_listeners.append(self._leave_old_primary)
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
        # Calls given up close their connection; what else goes between
        # the VMs must not break with a forwarded statement.
        self.forward_clients = PeerClients(
            settings.vm.ip, self.tls, self.clock
        )
        views = ViewWatch(self.directory)
        writer = Writer(
            self.directory, self.pool, self.confirmer, self.clock, views
        )
        self.parts = Parts(
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
            self._make_session, self.add_future
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
        self.feed.on_withdrawn = self._cut_withdrawn
        self.feed.on_configured = self._note_configured
        self.feed.on_peers = self._take_peers
        self.feed.on_shares = self.rate_limiter.update_shares
        self.feed.on_drain = self._leave
        # Accepted connections also carry forwarded statements, which are
        # callers' traffic: control counts at the side that dialled it.
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

    def _leave_old_primary(self, view: GroupView) -> None:
        if not view.primary:
            return
        for address in self.directory.replicas(view.group):
            self.pool.fail_waiting(address)

    def _note_configured(self) -> None:
        self._configured_at = min(self._configured_at, self.clock.now())
        self.rate_limiter.configure()

    def _make_forwarder(self) -> Forwarder:
        return Forwarder(self.homes, self.forward_clients, self.clock)

    def _take_peers(self, peers: tuple[FedPeer, ...]) -> None:
        """Learn the other VMs; silent and draining ones are no homes."""
        self.rate_limiter.update_peers(peers)
        since = self.clock.now() - HOME_SILENCE_S
        self.homes.set_vms(
            tuple(
                peer.address
                for peer in peers
                if peer.heard_at >= since and not peer.draining
            )
        )

    def _mount_faults(self, application: Application) -> None:
        if self._faults is not None:
            mount_link_faults(application, self._faults)

    @property
    def ready(self) -> bool:
        """Say whether the balancer may send callers here."""
        if self._drain is not None or self.directory.configuration is None:
            return False
        if not self.rate_limiter.base_parts_usable:
            return False
        # A VM that comes back would refuse writes until it has heard of
        # each group's primary; the balancer must not send callers before.
        # A group that has none must not keep the VM from the others.
        waited = self.clock.now() - self._configured_at
        return waited > PRIMARIES_LIMIT_S or all(
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
        session = StatementSession(caller, self.parts)
        self.sessions.add(session)
        return session

    async def on_start(self) -> None:
        """Load what is given and start the parts."""
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
            "proxy listens on {}:{}",
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
        self._note_configured()

    def _cut_withdrawn(self, withdrawals: Iterable[Withdrawal]) -> None:
        """Cut the connections of withdrawn keys, wherever they are.

        An idle one may hold a transaction open, and with it locks of a
        group that its organisation must no longer touch.
        """
        withdrawn = frozenset(withdrawals)
        for session in tuple(self.sessions):
            caller = session.caller
            key = Withdrawal(caller.organisation, caller.key_hash)
            if key in withdrawn:
                refusal = Refusal(Code.KEY_WITHDRAWN)
                self.add_future(session.cut(refusal))

    def _leave(self) -> None:
        """Turn unready: the balancer sends new callers elsewhere."""
        if self._drain is None:
            leave_s = self.settings.proxy.leave_s
            self._drain = Drain(self.clock.now(), leave_s)

    async def drain(self) -> None:
        """Finish what runs; new callers are sent elsewhere."""
        self._leave()
        last_busy_at = float("-inf")
        while True:
            now = self.clock.now()
            busy = sum(session.busy for session in self.sessions)
            last_busy_at = now if busy else last_busy_at
            step = self._drain.step(now, busy, last_busy_at)
            if step is DrainStep.FINISH:
                self.callers.stop_accepting()
            elif step is DrainStep.CUT:
                logger.warning("stopped with {} statements running", busy)
            if step in (DrainStep.CLOSE, DrainStep.CUT):
                return
            await self.sleep(_DRAIN_POLL_S)

    async def on_stop(self) -> None:
        """Close what is open."""
        await self.confirmer.close()
        await self.pool.close()
        await self.control_connections.close()

    async def on_shutdown(self) -> None:
        """Close what the parts needed until their own end."""
        self.clients.close()
        self.forward_clients.close()
        if self._faults is not None:
            self._faults.uninstall()
