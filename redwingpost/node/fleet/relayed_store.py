"""The fleet's store, with its feeds followed at a neighbour's copy."""

from asyncio import CancelledError, Task, create_task, sleep, wait
from collections.abc import Callable

from expression import Error, Result

from redwingpost.adapters.http_client import HttpClient, HttpLost
from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.membership.gathering import Gathering
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.fleet.table_pages import read_changes, table_target
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import Changes, FleetStore, Snapshot
from redwingpost.ports.platform import Condition, TransactResult, Write

#: Seconds beyond its wait after which a neighbour's answer counts as lost.
_MARGIN_S = 1.0

#: Seconds between looks whether the neighbour is still the one to follow:
#: one that is cut off would hold up news for as long as the wait.
_LOOK_S = 0.25

#: Seconds that a VM which has just started waits for the list of VMs,
#: which says whom to follow.
_LIST_S = 0.5

#: Seconds after its start from which a VM that is new to the list follows
#: the list, and other tables. A whole fleet that starts for the first time
#: enters the list one by one; followed at once, each entry would wake all
#: that have entered before.
_NEW_LIST_S = 0.6
_NEW_OTHERS_S = 0.9

#: Seconds between looks at what a VM waits for at its start.
_STEP_S = 0.02

#: Seconds for which a VM leaves the store alone whose gatherers have lost
#: it: otherwise all VMs would ask a store that is down again and again.
#: What it misses meanwhile it hears of in heartbeats.
STORE_REST_S = 4.0


class RelayedStore:
    """Implements ``FleetStore``; gatherers and small fleets ask the store.

    Parameters
    ----------
    store : FleetStore
        The store itself.
    gathering : Gathering
        Says who gathers.
    port : int
        Where all VMs show their copies.
    list_table : str
        The table of VMs.
    clock : Clock
        For the rest of the store.
    """

    def __init__(
        self,
        store: FleetStore,
        gathering: Gathering,
        port: int,
        list_table: str,
        clock: Clock,
    ) -> None:
        self._store = store
        self._gathering = gathering
        self._port = port
        self._list_table = list_table
        self._clock = clock
        self._started_at = clock.now()
        self._client_by_table: dict[str, tuple[str, HttpClient]] = {}
        self._asked_store_at: dict[str, float] = {}
        self._source_by_table: dict[str, str] = {}

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return all rows of a table."""
        return await self._store.snapshot(table)

    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Result[TransactResult, Refusal]:
        """Apply all writes if all conditions hold, else none."""
        return await self._store.transact(conditions, writes)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[Changes, Refusal]:
        """Wait for changes after a version."""
        await self._wait_for_list(table)
        is_lost = False
        for relay in self._relays():
            if relay not in self._relays():
                # Another is to be followed by now.
                continue
            got = await self._follow(relay, table, after, wait_s)
            if got is None:
                continue
            if got.is_ok():
                self._note_source(table, relay.vm)
                return got
            is_lost = is_lost or got.error.code is Code.STORE_UNAVAILABLE
        if is_lost and not self._may_ask_store(table):
            detail = "lost to this VM's gatherers"
            return Error(Refusal(Code.STORE_UNAVAILABLE, detail))
        self._asked_store_at[table] = self._clock.now()
        got = await self._store.changes(table, after, wait_s)
        if got.is_ok():
            self._note_source(table, "store")
        return got

    def _note_source(self, table: str, source: str) -> None:
        """Log from whom a table's changes come, where that changes."""
        if self._source_by_table.get(table) != source:
            self._source_by_table[table] = source
            log_event("table-source", table=table, source=source)

    def _relays(self) -> tuple[VmAddress, ...]:
        now = self._clock.now()
        if self._gathering.is_direct or self._gathering.gathers(now):
            return ()
        return self._gathering.gatherers(now)

    def _may_ask_store(self, table: str) -> bool:
        asked_at = self._asked_store_at.get(table, float("-inf"))
        return self._clock.now() - asked_at >= STORE_REST_S

    async def _wait_for_list(self, table: str) -> None:
        """Wait until this VM can know whom to follow."""
        await self._wait_until(_LIST_S, lambda: self._gathering.has_list)
        if self._gathering.is_new:
            is_list = table == self._list_table
            after_s = _NEW_LIST_S if is_list else _NEW_OTHERS_S
            await self._wait_until(after_s, lambda: False)

    async def _wait_until(
        self, after_s: float, holds: Callable[[], bool]
    ) -> None:
        """Wait until something holds, or until a time after the start."""
        until = self._started_at + after_s
        while self._clock.now() < until and not holds():
            await sleep(_STEP_S)

    async def _follow(
        self, relay: VmAddress, table: str, after: int, wait_s: float
    ) -> Result[Changes, Refusal] | None:
        """Return a neighbour's news; None once it is not to be followed."""
        client = self._client(relay, table)
        target = table_target(table, after, wait_s)
        timeout_s = wait_s + _MARGIN_S
        asking = create_task(client.request("GET", target, timeout_s))
        try:
            while not asking.done():
                await wait((asking,), timeout=_LOOK_S)
                if not asking.done() and relay not in self._relays():
                    await _end(asking)
                    return None
            return read_changes(await asking)
        except HttpLost as lost:
            log_event("relay-lost", vm=relay.vm, detail=str(lost))
            return Error(Refusal(Code.PEER_REFUSED, str(lost)))
        except CancelledError:
            await _end(asking)
            raise

    def _client(self, relay: VmAddress, table: str) -> HttpClient:
        known = self._client_by_table.get(table)
        if known is not None and known[0] == relay.ip:
            return known[1]
        if known is not None:
            known[1].close()
        client = HttpClient(relay.ip, self._port)
        self._client_by_table[table] = (relay.ip, client)
        return client


async def _end(asking: Task) -> None:
    """Cancel a request; its connection closes with it."""
    asking.cancel()
    await wait((asking,))
