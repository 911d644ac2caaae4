"""The fleet's store, with changes read from a gatherer's copy."""

from asyncio import CancelledError, Task, create_task, sleep, wait
from collections.abc import Callable

from expression import Error, Result

from redwingpost.adapters.http_client import HttpClient, HttpLost
from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.membership.gathering import Gathering
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.node.fleet.table_pages import read_changes, table_request_path
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import Changes, FleetStore, Snapshot
from redwingpost.ports.platform import Condition, TransactResult, Write

#: Seconds between checks whether the gatherer is still one of this VM's: a
#: gatherer that is cut off would delay changes for as long as the wait.
_RECHECK_S = 0.5

#: Seconds that a VM which has just started waits for the list of VMs, from
#: which it selects its gatherers.
_LIST_WAIT_S = 0.5

#: Seconds after its start from which a VM that is new to the list follows
#: the list, and the other tables. When a whole fleet starts for the first
#: time, its VMs enter the list one by one. If they followed it at once,
#: each entry would wake all VMs that entered before.
_NEW_VM_LIST_DELAY_S = 0.6
_NEW_VM_OTHERS_DELAY_S = 0.9

#: Seconds between checks of what a VM waits for at its start.
_POLL_S = 0.02

#: Seconds between requests to the store by a VM whose gatherers can't reach
#: it: otherwise all VMs would load a store that is down with repeated
#: requests. Meanwhile heartbeats show which configuration is the newest.
STORE_BACKOFF_S = 4.0


class RelayedStore:
    """Implements ``FleetStore``; reads changes from another VM if it can.

    One VM of a cell, and all VMs of a small fleet, read them from the store.
    The second gatherer of a cell, or in a fleet without gatherers each other
    VM, reads from the store, too, where the one that it follows fails.

    Parameters
    ----------
    store : FleetStore
        The store itself.
    gathering : Gathering
        Selects this VM's gatherers.
    port : int
        The metrics port of all VMs, which serves the copies.
    list_table : str
        Name of the table of VMs.
    clock : Clock
        Measures the delays.
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
        self._store_queried_at_by_table: dict[str, float] = {}
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
        self, table: str, after: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, Refusal]:
        """Wait for changes after a version."""
        await self._wait_for_list(table)
        is_store_lost = False
        for gatherer in self._sources():
            if gatherer not in self._sources():
                # It is no longer one of this VM's gatherers.
                continue
            target = table_request_path(table, after, wait_s)
            got = await self._fetch_from(gatherer, table, target, timeout_s)
            if got is None:
                continue
            if got.is_ok():
                self._note_source(table, gatherer.vm)
                return got
            is_store_lost = (
                is_store_lost or got.error.code is Code.STORE_UNAVAILABLE
            )
        if is_store_lost and not self._may_query_store(table):
            detail = "lost to the VMs that this one follows"
            return Error(Refusal(Code.STORE_UNAVAILABLE, detail))
        self._store_queried_at_by_table[table] = self._clock.now()
        got = await self._store.changes(table, after, wait_s, timeout_s)
        if got.is_ok():
            self._note_source(table, "store")
        return got

    def _note_source(self, table: str, source: str) -> None:
        """Log the source of a table's changes, each time it changes."""
        if self._source_by_table.get(table) != source:
            self._source_by_table[table] = source
            log_event("table-source", table=table, source=source)

    def _sources(self) -> tuple[VmAddress, ...]:
        return self._gathering.table_sources(self._clock.now())

    def _may_query_store(self, table: str) -> bool:
        """Return whether to ask a store that the followed VMs have lost."""
        gathering = self._gathering
        if gathering.is_direct or gathering.gathers(self._clock.now()):
            return True
        queried_at = self._store_queried_at_by_table.get(table, float("-inf"))
        return self._clock.now() - queried_at >= STORE_BACKOFF_S

    async def _wait_for_list(self, table: str) -> None:
        """Wait until this VM can select its gatherers."""
        await self._wait_until(_LIST_WAIT_S, lambda: self._gathering.has_list)
        if self._gathering.is_new:
            is_list = table == self._list_table
            after_s = (
                _NEW_VM_LIST_DELAY_S if is_list else _NEW_VM_OTHERS_DELAY_S
            )
            await self._wait_until(after_s, lambda: False)

    async def _wait_until(
        self, after_s: float, holds: Callable[[], bool]
    ) -> None:
        """Wait for a condition, at most until ``after_s`` from the start."""
        until = self._started_at + after_s
        while self._clock.now() < until and not holds():
            await sleep(_POLL_S)

    async def _fetch_from(
        self, gatherer: VmAddress, table: str, target: str, timeout_s: float
    ) -> Result[Changes, Refusal] | None:
        """Return a gatherer's changes; None once it is no longer selected."""
        client = self._client(gatherer, table)
        pending = create_task(client.request("GET", target, timeout_s))
        try:
            while not pending.done():
                await wait((pending,), timeout=_RECHECK_S)
                if not pending.done() and gatherer not in self._sources():
                    await _cancel(pending)
                    return None
            return read_changes(await pending)
        except HttpLost as lost:
            log_event("relay-lost", vm=gatherer.vm, detail=str(lost))
            return Error(Refusal(Code.PEER_REFUSED, str(lost)))
        except CancelledError:
            await _cancel(pending)
            raise

    def _client(self, gatherer: VmAddress, table: str) -> HttpClient:
        cached = self._client_by_table.get(table)
        if cached is not None and cached[0] == gatherer.ip:
            return cached[1]
        if cached is not None:
            cached[1].close()
        client = HttpClient(gatherer.ip, self._port)
        self._client_by_table[table] = (gatherer.ip, client)
        return client


async def _cancel(pending: Task) -> None:
    """Cancel a request; its connection closes with it."""
    pending.cancel()
    await wait((pending,))
