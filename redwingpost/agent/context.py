"""The context that an agent's parts share, and the registry of parts."""

from asyncio import Task, create_task
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from prometheus_client import CollectorRegistry

from redwingpost.adapters.peer import NodeInterfaces, PeerClients
from redwingpost.agent.state import FleetState
from redwingpost.core import GroupView, Registry
from redwingpost.ports import Clock, ObjectStore, TableService, VmList
from redwingpost.settings import Settings


class AgentContext:
    """Settings, ports and state shared by an agent's parts.

    Attributes
    ----------
    settings : Settings
        The VM's settings.
    clock : Clock
        Source of time.
    tables, objects, vm_list : ports
        The platform's table service, object store and list of VMs.
    peers : PeerClients
        For calls to other VMs' agents.
    interfaces : NodeInterfaces
        RPC interfaces to serve, set by the parts on construction.
    state : FleetState
        Configuration, members, views, shares.
    registry : CollectorRegistry
        Registry of this agent's metrics.
    announce : callable
        Sends views of groups to all agents and proxies; set by the fleet
        part.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        platform: Any,
        peers: PeerClients,
        state: FleetState,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.tables: TableService = platform
        self.objects: ObjectStore = platform
        self.vm_list: VmList = platform
        self.peers = peers
        self.interfaces = NodeInterfaces()
        self.state = state
        self.registry = CollectorRegistry()
        self.announce: Callable[[Iterable[GroupView]], None] = (
            state.observe_views
        )
        self._tasks: set[Task] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task that is cancelled when the agent stops."""
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_spawned(self) -> None:
        """Cancel the tasks that still run."""
        for task in tuple(self._tasks):
            task.cancel()


#: Factories of the agent's parts by name: each takes the context and
#: returns a ``mode.Service``. ``redwingpost.agent.parts`` imports the
#: modules that register them.
AGENT_PARTS: Registry[Callable[[AgentContext], Any]] = Registry("agent part")
