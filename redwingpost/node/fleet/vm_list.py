"""The list of VMs in the fleet's store: enter, follow, tidy."""

from collections.abc import Callable
from typing import Any

from mode import Service

from redwingpost.membership.gathering import Gathering
from redwingpost.membership.heartbeat import VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.steps import repeat
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import FleetStore, Snapshot
from redwingpost.ports.platform import Row, Write

FLEET_TABLE = "redwing"
VM_PREFIX = "vm/"

#: Seconds between tries to enter the list.
_RETRY_S = 0.5

#: Seconds between looks whether the list has been read.
_LIST_S = 0.02

#: Name under which the VM that tidies is looked up in the order of VMs.
_TIDY = "tidy"

#: Seconds between looks for VMs that are gone for good.
_TIDY_S = 5.0


class FleetReader:
    """Keeps the table of VMs in step with the list.

    ``on_listed`` is called once new entries are taken in.
    """

    def __init__(
        self,
        vms: VmTable,
        gathering: Gathering,
        on_listed: Callable[[], None],
    ) -> None:
        self._vms = vms
        self._gathering = gathering
        self._on_listed = on_listed
        self._address_by_vm: dict[str, VmAddress] = {}

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Take in the whole list."""
        self._address_by_vm.clear()
        self.on_rows(snapshot.rows)

    def on_rows(self, rows: tuple[Row, ...]) -> None:
        """Take in entries that changed."""
        for row in rows:
            address = _decode(row)
            if address is not None:
                self._address_by_vm[address.vm] = address
        self._set_listed()
        self._on_listed()

    def on_removed(self, keys: tuple[str, ...]) -> None:
        """Take in entries that were removed."""
        for key in keys:
            self._address_by_vm.pop(key.removeprefix(VM_PREFIX), None)
        self._set_listed()

    def _set_listed(self) -> None:
        addresses = tuple(self._address_by_vm.values())
        self._vms.set_listed(addresses)
        self._gathering.set_listed(addresses)


class FleetEntry(Service):
    """Enters this VM in the list and takes long silent ones off it.

    ``on_gone`` gets the name of each VM that is gone for good.
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

    async def leave(self) -> None:
        """Take this VM off the list, unless the fleet is large.

        In a small one the others would have to do without its part of
        each rate until it is back. In a large one that part is nothing,
        and the entry stands for the VM that starts at this address next.
        """
        self._is_leaving = True
        if self._gathering.is_direct:
            await self._write(self._address.vm, None)

    @Service.task
    async def _enter(self) -> None:
        while not self.should_stop and not self._is_leaving:
            if self._vms.has_list and await self._is_entered():
                return
            pause_s = _RETRY_S if self._vms.has_list else _LIST_S
            await self.sleep(pause_s)

    async def _is_entered(self) -> bool:
        """Enter the list, if this VM isn't on it as it stands."""
        if self._vms.is_listed(self._address):
            return True
        value = {
            "ip": self._address.ip,
            "port": self._address.port,
            "data_centre": self._address.data_centre,
        }
        return await self._write(self._address.vm, value)

    @Service.task
    async def _tidy(self) -> None:
        await repeat(self, self._take_off, _TIDY_S)

    async def _take_off(self) -> None:
        now = self._clock.now()
        for vm in self._vms.forget_long_silent(now):
            self._on_gone(vm)
        # A VM that hears few may be the one that is cut off. One of the
        # others is enough: each removal is a call.
        if not self._vms.hears_half(now) or self._vms.place(_TIDY, now):
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
    if not isinstance(ip, str) or not isinstance(port, int):
        return None
    data_centre = row.value.get("data_centre")
    if not isinstance(data_centre, str):
        return None
    return VmAddress(row.key.removeprefix(VM_PREFIX), ip, port, data_centre)
