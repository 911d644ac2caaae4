"""What the parts of an agent share, and how they are put in place."""

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
    """Handed to each part of an agent when it is made.

    Attributes
    ----------
    settings : Settings
        The VM's settings.
    clock : Clock
        Source of time.
    tables, objects, vm_list : ports
        The platform.
    peers : PeerClients
        For calls to other VMs' agents.
    interfaces : NodeInterfaces
        A part that serves an interface puts it here when it is made.
    state : FleetState
        Configuration, members, views, shares.
    registry : CollectorRegistry
        For metrics.
    announce : callable
        Spreads views of groups to all agents and proxies; filled by the
        fleet part.
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

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside the caller; the agent's stop ends it."""
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_spawned(self) -> None:
        """End the work that still runs."""
        for task in tuple(self._tasks):
            task.cancel()


#: Parts of the agent by name: each is given the context and returns a
#: ``mode.Service``. Parts in ``redwingpost.agent.parts`` are imported.
AGENT_PARTS: Registry[Callable[[AgentContext], Any]] = Registry("agent part")
