"""The list of VMs in the fleet's store: entering, reading, removing."""

from collections.abc import Callable
from typing import Any

from mode import Service

from redwingpost.core.foreign import MAX_WHOLE, is_host_ip, is_port
from redwingpost.membership.gathering import Gathering
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.steps import repeat
from redwingpost.observability.journal import log_event
from redwingpost.observability.unreadable import note_unreadable
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import FleetStore, Snapshot
from redwingpost.ports.platform import Row, Write

FLEET_TABLE = "redwing"
VM_PREFIX = "vm/"

#: Seconds between attempts to enter the list.
_RETRY_S = 0.5

#: Seconds between checks whether the list has been read.
_LIST_POLL_S = 0.02

#: Subject that ranks the VMs for removals (``VmTable.rank``).
_REMOVAL = "tidy"

#: Seconds between checks for VMs to remove.
_REMOVAL_INTERVAL_S = 5.0


class FleetReader:
    """Keeps the table of VMs up to date with the list.

    ``on_listed`` is called after new entries have been applied,
    ``on_change`` after any change, with whether the whole list was read.
    """

    def __init__(
        self,
        vms: VmTable,
        gathering: Gathering,
        on_listed: Callable[[], None],
        on_change: Callable[[bool], None],
    ) -> None:
        self._vms = vms
        self._gathering = gathering
        self._on_listed = on_listed
        self._on_change = on_change
        self._address_by_vm: dict[str, VmAddress] = {}

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the whole list."""
        self._address_by_vm.clear()
        self._apply(snapshot.rows)
        self._on_change(True)

    def on_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply entries that changed."""
        self._apply(rows)
        self._on_change(False)

    def _apply(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            address = _decode(row)
            if address is not None:
                self._address_by_vm[address.vm] = address
        self._set_listed()
        self._on_listed()

    def on_removed(self, keys: tuple[str, ...]) -> None:
        """Apply the removal of entries."""
        for key in keys:
            self._address_by_vm.pop(key.removeprefix(VM_PREFIX), None)
        self._set_listed()
        self._on_change(False)

    def _set_listed(self) -> None:
        addresses = tuple(self._address_by_vm.values())
        self._vms.set_listed(addresses)
        self._gathering.set_listed(addresses)


class FleetEntry(Service):
    """Enters this VM in the list and removes VMs silent for too long.

    ``on_gone`` gets the name of each VM that has left for good.
    """

    def __init__(
        self,
        store: FleetStore,
        vms: VmTable,
        gathering: Gathering,
        address: VmAddress,
        clock: Clock,
        on_gone: Callable[[str], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._store = store
        self._vms = vms
        self._gathering = gathering
        self._on_gone = on_gone
        self._address = address
        self._clock = clock
        self._is_leaving = False
        self._has_written = False
        self._was_listed = False

    def enter_if_missing(self, is_whole_list: bool) -> None:
        """Enter the list again if this VM's entry is no longer on it.

        A store that was restored from an older copy may lack the entry, and
        other VMs may have removed it while this one was cut off. Single
        changes that arrive before the own entry don't mean that it is gone.
        """
        if self._vms.is_listed(self._address):
            self._was_listed = True
            return
        is_gone = self._was_listed or (is_whole_list and self._has_written)
        if is_gone and not self._is_leaving:
            self._has_written = self._was_listed = False
            self.add_future(self._enter_until_listed())

    async def leave(self) -> None:
        """Remove this VM from the list, unless the fleet is large.

        In a small fleet the other VMs could not use this VM's part of each
        rate as long as it is listed. In a large one that part is
        negligible, and the entry stays for the VM that starts at this
        address next.
        """
        self._is_leaving = True
        if self._gathering.is_direct:
            await self._write(self._address.vm, None)

    @Service.task
    async def _enter(self) -> None:
        await self._enter_until_listed()

    async def _enter_until_listed(self) -> None:
        while not self.should_stop and not self._is_leaving:
            if self._vms.has_list and await self._write_if_missing():
                self._has_written = True
                return
            pause_s = _RETRY_S if self._vms.has_list else _LIST_POLL_S
            await self.sleep(pause_s)

    async def _write_if_missing(self) -> bool:
        """Enter the list, if this VM isn't on it with its address.

        Returns whether this VM is on the list.
        """
        if self._vms.is_listed(self._address):
            return True
        value = {
            "ip": self._address.ip,
            "port": self._address.port,
            "data_centre": self._address.data_centre,
            "capacity": self._address.capacity,
        }
        return await self._write(self._address.vm, value)

    @Service.task
    async def _remove_silent_vms(self) -> None:
        await repeat(self, self._remove_one_silent_vm, _REMOVAL_INTERVAL_S)

    async def _remove_one_silent_vm(self) -> None:
        now = self._clock.now()
        for vm in self._vms.forget_long_silent(now):
            self._on_gone(vm)
        # A VM that gets heartbeats from few others may be cut off itself.
        # Of the others, one is enough: each removal is a call of the store.
        if not self._vms.hears_half(now) or self._vms.rank(_REMOVAL, now):
            return
        for vm in self._vms.silent_vms(now)[:1]:
            log_event("vm-taken-off", vm=vm)
            await self._write(vm, None)

    async def _write(self, vm: str, value: dict | None) -> bool:
        write = Write(FLEET_TABLE, VM_PREFIX + vm, value)
        done = await self._store.transact((), (write,))
        if done.is_error():
            log_event("fleet-entry-failed", detail=done.error.detail)
        return done.is_ok()


def _decode(row: Row) -> VmAddress | None:
    if not row.key.startswith(VM_PREFIX) or not isinstance(row.value, dict):
        return None
    ip = row.value.get("ip")
    port = row.value.get("port")
    data_centre = row.value.get("data_centre")
    if not (is_host_ip(ip) and is_port(port) and isinstance(data_centre, str)):
        note_unreadable("vm-unreadable", row.key, f"{ip!r}:{port!r}")
        return None
    capacity = row.value.get("capacity")
    if not isinstance(capacity, float) or not 0.0 < capacity <= MAX_WHOLE:
        # Written by a VM that doesn't state its capacity.
        capacity = 1.0
    vm = row.key.removeprefix(VM_PREFIX)
    return VmAddress(vm, ip, port, data_centre, capacity)
