"""The service of one VM: assembles its parts, updates and drains them."""

from asyncio import create_task, gather
from random import Random
from typing import Any, NamedTuple, Protocol

from mode import Service

from redwingpost.adapters.http_pages import Page, PageServer
from redwingpost.admission.stopping import StopGate, StopPlan
from redwingpost.configuration.routes import OrganisationRule
from redwingpost.core.requests import Refusal
from redwingpost.groups.directory import REREGISTRATION_S, Directory
from redwingpost.groups.evacuations import (
    EVACUATION_WORK_FRACTION,
    Evacuations,
)
from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.gathering import Gathering
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.membership.readiness import Readiness
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.fleet.copies import COPY_PATH, CopyPage
from redwingpost.node.fleet.copy_fetcher import CopyFetcher
from redwingpost.node.fleet.eras import StoreEras
from redwingpost.node.fleet.heartbeat_writer import HeartbeatWriter
from redwingpost.node.fleet.heartbeats import Heartbeats, LocalVm
from redwingpost.node.fleet.readiness_inputs import ReadinessView
from redwingpost.node.fleet.registry import (
    CombinedReader,
    EvacuationReader,
    MemberReader,
    RulesReader,
    StoredMembers,
)
from redwingpost.node.fleet.relayed_store import RelayedStore
from redwingpost.node.fleet.table_pages import (
    CURRENT_WAIT_S,
    TABLE_PATH,
    TablePages,
)
from redwingpost.node.fleet.vm_list import FLEET_TABLE, FleetEntry, FleetReader
from redwingpost.node.fleet.watcher import TableWatcher
from redwingpost.node.forwarding.channel import Channels
from redwingpost.node.forwarding.forwarder import Forwarder
from redwingpost.node.forwarding.homes import HomeView
from redwingpost.node.forwarding.local_loads import LocalLoads
from redwingpost.node.forwarding.peer import HomeDependencies
from redwingpost.node.forwarding.server import HomeServer
from redwingpost.node.group import DRAIN_WORK_FRACTION, GroupClient
from redwingpost.node.group_activity import GroupActivity
from redwingpost.node.load_metrics import LoadCollector
from redwingpost.node.metrics import NodeMetrics
from redwingpost.node.places import Places
from redwingpost.node.request.admission import Admission
from redwingpost.node.request.reads import ReadRunner
from redwingpost.node.request.session import NodeSession, Services
from redwingpost.node.request.start_gate import StartGate
from redwingpost.node.request.writes import WriteRunner
from redwingpost.node.settings import NodeSettings
from redwingpost.node.steps import repeat
from redwingpost.node.table_metrics import TableCollector
from redwingpost.node.takeover.coordinator import TakeoverDependencies
from redwingpost.node.takeover.duty import DutyKeeper
from redwingpost.node.takeover.keeper import TakeoverKeeper
from redwingpost.node.takeover.leader_view import LeaderViews
from redwingpost.node.takeover.rosters import RosterKeeper
from redwingpost.observability.journal import log_event
from redwingpost.observability.unreadable import UnreadableCollector
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import LinkFactory, PromotionOrders
from redwingpost.ports.fleet_store import FleetStore
from redwingpost.ports.registry import RegistryFormat
from redwingpost.pools.pool import HOME_IDLE_S, IDLE_S
from redwingpost.rates.usage import UsageLedger

#: Seconds between updates of directory, readiness and pools.
STEP_S = 0.1

#: Steps after which groups, pools and metrics are updated even if nothing
#: has changed.
SYNC_EVERY_STEPS = 5

#: Seconds between checks which members must be probed: while anything waits
#: for a member's answer, and while nothing does. The longer one is below
#: the shortest wait that indicates a lost member.
PROBE_CHECK_S = 0.05
IDLE_PROBE_CHECK_S = 0.19

#: How late (seconds) a change of the list of VMs may be known: a VM that
#: enters it sends heartbeats to all others by itself.
_VM_LIST_BOUND_S = 10.0

#: Connections to a group's members if the configuration doesn't name it.
_DEFAULT_CONNECTIONS = 32

#: Seconds for which a stopping VM serves as before: the load balancer
#: removes a VM after two failed checks, one a second.
LEAVE_BALANCER_S = 2.2

#: Seconds after which a VM that isn't ready closes idle sessions: on
#: average the load balancer has removed it by then, and a caller that still
#: reconnects to it is disconnected again at the next step.
CLOSE_IDLE_AFTER_S = 1.5

#: Seconds that a caller waits for the first configuration of a VM that has
#: just started; it arrives well within this time. If callers that reconnect
#: together after a power loss were refused at once, they would use up their
#: retries.
START_TIMEOUT_S = 0.5


class NodePorts(NamedTuple):
    """The external interfaces that the service uses."""

    store: FleetStore
    links: LinkFactory
    orders: PromotionOrders
    format: RegistryFormat
    clock: Clock


class CallerConnections(Protocol):
    """The callers' connections, as the service drains them."""

    @property
    def open_connections(self) -> int:
        """Return how many callers are connected."""

    def stop_listening(self) -> None:
        """Accept no further connections."""

    def close_idle(self) -> int:
        """Close connections without open work; return how many."""


class Node(Service):
    """One VM of the fleet; opens callers' sessions.

    ``callers`` is set once the caller server listens.
    """

    def __init__(
        self, settings: NodeSettings, ports: NodePorts, **kwargs: Any
    ) -> None:
        super().__init__(**kwargs)
        clock = ports.clock
        self.settings = settings
        self.metrics = NodeMetrics()
        self.directory = Directory(
            min(REREGISTRATION_S, settings.drain_s * DRAIN_WORK_FRACTION),
            Evacuations(settings.evacuate_s * EVACUATION_WORK_FRACTION),
        )
        self.group_by_name: dict[str, GroupClient] = {}
        self.is_ready = False
        self._ports = ports
        self._clock = clock
        self._ledger = UsageLedger(clock.now())
        self._vms = VmTable(settings.vm, clock.now())
        self._gathering = Gathering(settings.vm)
        self._admission = Admission(self._vms, self._ledger, clock)
        self._ledger.find_rule = self._find_organisation_rule
        self._centres = CentreWatch(settings.data_centre)
        self._readiness = Readiness()
        self._start_gate = StartGate()
        self._stop_gate = StopGate()
        self._unready_since: float | None = None
        self._steps = 0
        self.callers: CallerConnections | None = None
        self._homes = HomeView(
            settings.vm, self._vms, self.directory, settings.regions
        )
        self._places: Places | None = None
        if settings.has_places:
            self._places = Places(
                settings.vm,
                self._homes.senders,
                self.metrics.note_cold_refused,
                clock,
                settings.regions,
                settings.cold_bounds,
            )
        self._activity = GroupActivity(
            self.group_by_name, self._homes, self._sync_group
        )
        self._channels = Channels(
            clock, note_silent=self.metrics.note_silent_channel
        )
        self._services = Services(
            self._admission,
            self.group_by_name,
            ReadRunner(clock),
            WriteRunner(clock),
            self.metrics,
            clock,
            Forwarder(
                self._homes,
                self._channels,
                clock,
                LocalLoads(
                    self.group_by_name, clock, self._homes.places_by_load
                ),
                self.metrics.note_placement,
            ),
            self._stop_gate,
        )
        self.metrics.collect_from(LoadCollector(self.group_by_name, clock))
        self.metrics.collect_from(UnreadableCollector())
        self._readiness_view = ReadinessView(
            self._admission,
            self.group_by_name,
            self._activity,
            self._vms,
            self._centres,
        )
        self._make_watchers()
        self.metrics.collect_from(TableCollector(self._watchers))
        self._home_server = HomeServer(
            settings.ip,
            settings.heartbeat_port,
            HomeDependencies(
                self.group_by_name,
                self._services.reads,
                self._services.writes,
                clock,
                self._stop_gate,
                self._homes.places_by_load,
                self._admission.is_holder,
            ),
        )
        self._copies = CopyPage(
            self._member_watcher.copy, self.directory.evacuations
        )
        self._copy_fetcher = CopyFetcher(
            self._vms,
            self._admission,
            self._rules_reader,
            self._member_reader,
            self._evacuation_reader,
            lambda: self._member_watcher.has_read,
            lambda: self._rules_watcher.has_read,
            lambda: self._rules_watcher.is_lost,
            settings.metrics_port,
            clock,
            Random(settings.vm),
        )
        self._make_fleet_parts()
        self._make_pages()

    # Callers -----------------------------------------------------------

    async def open_session(
        self, database: str, key: str
    ) -> NodeSession | Refusal:
        """Return a session for a caller, or the refusal."""
        # During a partition no configuration arrives, so don't wait for it.
        if not self._rules_watcher.is_lost:
            await self._start_gate.wait(START_TIMEOUT_S)
        session = NodeSession(self._services, database, key)
        checked = session.check()
        if isinstance(checked, Refusal):
            log_event(
                "session-refused", database=database, code=checked.code.name
            )
            return checked
        return session

    def _find_organisation_rule(self, name: str) -> OrganisationRule | None:
        return self._admission.rules.organisations_by_name.get(name)

    # Parts -------------------------------------------------------------

    def _make_watchers(self) -> None:
        settings = self.settings
        self._eras = StoreEras()
        ports = self._ports
        store = RelayedStore(
            ports.store,
            self._gathering,
            settings.metrics_port,
            FLEET_TABLE,
            self._clock,
        )
        self._rules_reader = RulesReader(
            self._admission, ports.format, self._on_rules
        )
        self._member_reader = MemberReader(
            self.directory,
            ports.format,
            self._clock,
            self._on_members,
            self._is_answering,
        )
        self._evacuation_reader = EvacuationReader(
            self.directory.evacuations,
            ports.format.evacuation_prefix,
            self._clock,
            self._known_data_centres,
            self._sync_groups,
        )
        self._rules_watcher = TableWatcher(
            store,
            ports.format.configuration_table,
            CombinedReader((self._rules_reader, self._evacuation_reader)),
            self._clock,
            self._try_takeovers,
            bound_s=min(settings.configuration_s, settings.evacuate_s),
            eras=self._eras,
        )
        self._member_watcher = TableWatcher(
            store,
            ports.format.member_table,
            self._member_reader,
            self._clock,
            self._try_takeovers,
            self.directory.note_current,
            ports.format.member_essence,
            settings.drain_s * DRAIN_WORK_FRACTION,
            self._eras,
        )
        self._fleet_watcher = TableWatcher(
            store,
            FLEET_TABLE,
            FleetReader(
                self._vms,
                self._gathering,
                lambda: self._heartbeats.announce(),
                lambda is_whole: self._entry.enter_if_missing(is_whole),
            ),
            self._clock,
            self._try_takeovers,
            bound_s=_VM_LIST_BOUND_S,
            eras=self._eras,
        )
        self._watchers = (
            self._rules_watcher,
            self._member_watcher,
            self._fleet_watcher,
        )

    def _known_data_centres(self) -> frozenset[str]:
        """Return the data centres of VMs and members, as far as listed."""
        now = self._clock.now()
        members = (
            client.entry.data_centre
            for group in self.group_by_name.values()
            for client in group.member_by_name.values()
        )
        vms = self._vms.alive_addresses(now, float("inf"))
        return frozenset(members) | {item.data_centre for item in vms}

    def _try_takeovers(self) -> None:
        self._takeovers.retry_now()

    def _make_fleet_parts(self) -> None:
        settings = self.settings
        ports = self._ports
        self._heartbeat_writer = HeartbeatWriter(
            settings.vm,
            settings.ip,
            self.group_by_name,
            self._activity,
            self.directory,
            self._admission,
            self._clock,
            lambda: self._vms.gathers,
        )
        address = VmAddress(
            settings.vm,
            settings.ip,
            settings.heartbeat_port,
            settings.data_centre,
            settings.capacity,
        )
        self._entry = FleetEntry(
            ports.store,
            self._vms,
            self._gathering,
            address,
            self._clock,
            self._forget_vm,
        )
        self._heartbeats = Heartbeats(
            self._vms,
            self._ledger,
            self._gathering,
            self._heartbeat_writer,
            self._clock,
            LocalVm(
                settings.vm,
                settings.ip,
                settings.heartbeat_port,
                settings.peer_ips,
            ),
        )
        self._admission.on_admitted = self._heartbeats.report_if_due
        duty = DutyKeeper(ports.store, settings.vm, self._clock)
        self._takeovers = TakeoverKeeper(
            self._activity,
            duty,
            self._admission,
            self._vms,
            LeaderViews(self._vms, self._centres, self._is_registry_lost),
            self.metrics,
            TakeoverDependencies(
                self.directory,
                StoredMembers(ports.store, ports.format),
                ports.links,
                ports.orders,
                self._clock,
                settings.vm,
                self._places,
            ),
        )
        self._rosters = RosterKeeper(
            ports.store,
            self.group_by_name,
            self.directory,
            self._vms,
            self._is_registry_lost,
            settings.drain_s,
            self._clock,
            duty,
        )
        self._eras.listen(self._rosters.on_new_era)

    def _forget_vm(self, vm: str) -> None:
        self._ledger.forget_peer(vm)
        self._heartbeats.forget(vm)

    def _is_registry_lost(self) -> bool:
        return self._member_watcher.is_lost

    def _make_pages(self) -> None:
        settings = self.settings
        self._ready_pages = PageServer(
            settings.readiness.ip,
            settings.readiness.port,
            {"/ready": self._ready_page},
        )
        self._metrics_pages = PageServer(
            settings.ip,
            settings.metrics_port,
            {
                "/metrics": lambda: Page(200, self.metrics.render()),
                COPY_PATH: self._copies.page,
            },
            {TABLE_PATH: self._table_pages().page},
        )

    def _table_pages(self) -> TablePages:
        watcher_by_table = {item.table: item for item in self._watchers}
        return TablePages(
            {name: item.copy for name, item in watcher_by_table.items()},
            lambda table: watcher_by_table[table].is_lost,
            lambda table: watcher_by_table[table].age_s,
            {self._member_watcher.table: CURRENT_WAIT_S},
        )

    def on_init_dependencies(self) -> list[Service]:
        """Return the services that start and stop with this one."""
        return [
            self._ready_pages,
            self._metrics_pages,
            *self._watchers,
            self._entry,
            self._heartbeats,
            self._takeovers,
            self._rosters,
            self._home_server,
        ]

    # Steps -------------------------------------------------------------

    @Service.task
    async def _step(self) -> None:
        await repeat(self, self._run_checks, STEP_S)

    @Service.task
    async def _rounds(self) -> None:
        await repeat(self, self._probe_members, self._probe_check_pause_s)

    def _probe_check_pause_s(self) -> float:
        is_waiting = any(
            client.has_unanswered
            for group in self._activity.active(self._clock.now())
            for client in group.member_by_name.values()
        )
        return PROBE_CHECK_S if is_waiting else IDLE_PROBE_CHECK_S

    async def _probe_members(self) -> None:
        now = self._clock.now()
        groups = self._activity.active(now)
        self._centres.update(
            tuple(
                client.health()
                for group in groups
                for client in group.member_by_name.values()
            )
        )
        for group in groups:
            group.probe_if_due()

    async def _run_checks(self) -> None:
        self._update_tables()
        self._update_readiness()
        self._takeovers.check_all()
        self._copy_fetcher.fetch_if_behind()

    def _update_tables(self) -> None:
        now = self._clock.now()
        self._vms.note_hears_half(now)
        self._admission.follow_fleet()
        if self._member_watcher.is_lost:
            self.directory.note_outage(now)
        if self._rules_watcher.is_lost:
            self.directory.evacuations.note_outage(now)
        self.directory.expire(now)
        self._steps += 1
        if self._steps % SYNC_EVERY_STEPS:
            return
        self._sync_changed_groups()
        for group in self._activity.attended(now):
            self._sync_group(group)
        if self.callers is not None:
            self.metrics.sessions.set(self.callers.open_connections)
        self.metrics.version.set(self._admission.rules.version)
        self.metrics.part.set(self._vms.part(now))
        self.metrics.gathers.set(self._vms.gathers)
        self.metrics.note_withheld(self._admission.withheld_by_organisation())

    def _on_rules(self) -> None:
        self._copies.configuration = self._rules_reader.row
        self._homes.take_rules(self._admission.rules)
        if self._places is not None:
            self._places.take_rules(self._admission.rules)
        self._start_gate.open()
        self._sync_groups()

    def _is_answering(self, member: str) -> bool:
        """Return whether nothing failed at a member since its last answer."""
        clients = (
            group.member_by_name.get(member)
            for group in self.group_by_name.values()
        )
        return any(
            item is not None and not item.is_failing for item in clients
        )

    def _on_members(self) -> None:
        self._sync_changed_groups()
        self._rosters.check_now()

    def _sync_groups(self) -> None:
        """Update all groups from the directory and the rules."""
        self._sync_changed_groups()
        for group in self.group_by_name.values():
            self._sync_group(group)

    def _sync_changed_groups(self) -> None:
        """Update the groups whose members have changed."""
        for name in self.directory.take_changed_groups():
            if name not in self.group_by_name:
                self.group_by_name[name] = GroupClient(
                    name,
                    self.directory,
                    self._ports.links,
                    self._clock,
                    self.settings.data_centre,
                    self.settings.drain_s,
                    self._vms,
                    self._centres,
                    self._homes,
                    self._activity.note_contact,
                    self._places,
                )
            self._sync_group(self.group_by_name[name])

    def _sync_group(self, group: GroupClient) -> None:
        now = self._clock.now()
        rule = self._admission.rules.groups_by_name.get(group.name)
        limit = rule.max_connections if rule else _DEFAULT_CONNECTIONS
        is_all = self._homes.homes_of(group.name, now).is_all
        group.follow_directory(
            limit,
            self._homes.sharers(group.name, now),
            IDLE_S if is_all else HOME_IDLE_S,
            self._homes.is_cut(group.name, now),
            self._admission.member_rules(limit),
        )

    # Readiness ---------------------------------------------------------

    def _update_readiness(self) -> None:
        now = self._clock.now()
        is_stopping = self._stop_gate.is_stopping
        inputs = self._readiness_view.describe(is_stopping, now)
        is_ready = self._readiness.update(inputs, now)
        if is_ready != self.is_ready:
            self.is_ready = is_ready
            log_event("readiness", ready=is_ready, **inputs._asdict())
            self._unready_since = None if is_ready else now
        self._close_idle_sessions(now)

    def _close_idle_sessions(self, now: float) -> None:
        """Close idle sessions while this VM isn't ready.

        The load balancer diverts only new connections. During a partition,
        long sessions would stay here and be refused until it heals.
        """
        if self._unready_since is None or self._stop_gate.is_stopping:
            return
        if (
            self.callers is None
            or now - self._unready_since < CLOSE_IDLE_AFTER_S
        ):
            return
        closed = self.callers.close_idle()
        if closed:
            log_event("sent-elsewhere", sessions=closed)

    def _ready_page(self) -> Page:
        return Page(200 if self.is_ready else 503)

    # Stop --------------------------------------------------------------

    async def drain(self) -> None:
        """Leave the load balancer and let sessions end.

        Idle connections are closed once the load balancer has had time
        to divert new ones. Statements that couldn't end in time are refused,
        those that were taken are waited for.
        """
        callers = self.callers
        plan = StopPlan(self._clock.now(), self.settings.grace_s)
        self._stop_gate.begin(plan)
        log_event("stopping", sessions=callers.open_connections)
        leave = create_task(self._entry.leave())
        await self.sleep(LEAVE_BALANCER_S)
        callers.stop_listening()
        while self._clock.now() < plan.closes_at:
            if not callers.open_connections and self._home_server.is_idle:
                break
            callers.close_idle()
            await self.sleep(0.03)
        await gather(leave, return_exceptions=True)
        log_event("stopped", sessions=callers.open_connections)

    async def on_stop(self) -> None:
        """Close the connections to homes, once no caller needs them."""
        self._channels.close()
