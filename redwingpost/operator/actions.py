"""The actions of ``redwingctl`` on the store and the agents.

The store decides which changes are accepted. One agent in each data
centre is notified of an accepted change, so that it takes effect before
the agents next poll the store. Withdrawals are sent to the agents without
waiting for the store, since they take effect from the first agent that
receives them.
"""

from asyncio import gather
from collections.abc import Callable, Iterable
from json import loads
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from redwingpost.adapters.peer import PeerAddress, PeerClients
from redwingpost.configuration.acceptance import Accepted, Change
from redwingpost.configuration.diff import canonical
from redwingpost.configuration.log import ConfigurationLog
from redwingpost.configuration.model import Versioned, Withdrawal
from redwingpost.core import Code, Refusal
from redwingpost.membership.beats import Beat
from redwingpost.membership.report import (
    Sighting,
    VmReport,
    latest_sightings,
    report_vm,
)
from redwingpost.ports import ObjectStore, TableService, VmList
from redwingpost.wire.codec import (
    decode_beat,
    encode_version,
    encode_withdrawals,
)

#: Timeout of one call to an agent (seconds).
AGENT_TIMEOUT_S = 2.0


class NotificationResult(NamedTuple):
    """The agents notified, and the data centres where none answered."""

    vms_by_data_centre: dict[str, str]
    missed: tuple[str, ...]


class Agents:
    """The agents that an operator can call.

    Parameters
    ----------
    clients : PeerClients
        Clients for the calls.
    vm_list : VmList
        The list of VMs with the addresses of their agents.
    known_addresses : tuple of PeerAddress
        Agents to try first; required while the list is unavailable.
    """

    def __init__(
        self,
        clients: PeerClients,
        vm_list: VmList,
        known_addresses: tuple[PeerAddress, ...] = (),
    ) -> None:
        self._clients = clients
        self._vm_list = vm_list
        self._known_addresses = known_addresses

    async def call(
        self, address: PeerAddress, method: Callable[[Any], Any]
    ) -> Result[Any, Refusal]:
        """Call one agent."""
        return await self._clients.call(address, method, AGENT_TIMEOUT_S)

    async def sightings(self) -> dict[str, Sighting]:
        """Return the latest sighting of each VM, from the relays.

        One agent names the relays; each relay receives the heartbeats of
        its data centre's VMs. 14 calls are enough for 1,000 VMs.
        """
        first = await self._initial_sightings()
        relays = [s.beat for s in first.values() if s.beat.relay]
        answers = await gather(
            *(self._fetch_sightings(_address(b)) for b in relays)
        )
        sightings = list(first.values())
        for answer in answers:
            sightings.extend(answer)
        return latest_sightings(sightings)

    async def _initial_sightings(self) -> dict[str, Sighting]:
        listed = await self._vm_list.vms()
        entries = listed.ok if listed.is_ok() else ()
        addresses = [PeerAddress(e.ip, e.agent_port) for e in entries]
        sightings_by_vm: dict[str, Sighting] = {}
        for address in dict.fromkeys([*self._known_addresses, *addresses]):
            answer = await self._fetch_sightings(address)
            if answer:
                sightings_by_vm = latest_sightings(answer)
                break
        for entry in entries:
            placeholder = Beat(
                vm=entry.vm,
                data_centre=entry.data_centre,
                ip=entry.ip,
                agent_port=entry.agent_port,
                proxy_port=entry.proxy_port,
                incarnation=0,
                sequence=0,
            )
            sightings_by_vm.setdefault(
                entry.vm, Sighting(placeholder, float("inf"))
            )
        return sightings_by_vm

    async def _fetch_sightings(self, address: PeerAddress) -> list[Sighting]:
        answer = await self.call(address, lambda n: n.fleet().fleet.members())
        if answer.is_error():
            return []
        return [Sighting(*decode_beat(reader)) for reader in answer.ok.beats]

    async def notify(self, method: Callable[[Any], Any]) -> NotificationResult:
        """Call one agent in each data centre, preferably the relay."""
        beats = [s.beat for s in (await self.sightings()).values()]
        data_centres = sorted({beat.data_centre for beat in beats})
        notified = await gather(
            *(
                self._notify_data_centre(beats, data_centre, method)
                for data_centre in data_centres
            )
        )
        vms = {c: vm for c, vm in zip(data_centres, notified) if vm}
        missed = tuple(c for c in data_centres if c not in vms)
        return NotificationResult(vms, missed)

    async def _notify_data_centre(
        self, beats: list[Beat], data_centre: str, method: Callable[[Any], Any]
    ) -> str:
        candidates = [b for b in beats if b.data_centre == data_centre]
        candidates.sort(key=lambda b: (not b.relay, b.gone, b.vm))
        for beat in candidates:
            answer = await self.call(_address(beat), method)
            if answer.is_ok():
                return beat.vm
        return ""


class OperatorActions:
    """The actions that an operator can take.

    Parameters
    ----------
    tables, objects : TableService, ObjectStore
        The platform's store.
    agents : Agents
        The agents to notify.
    """

    def __init__(
        self, tables: TableService, objects: ObjectStore, agents: Agents
    ) -> None:
        self.log = ConfigurationLog(tables, objects)
        self.agents = agents

    async def submit(self, change: Change) -> Result[Accepted, Refusal]:
        """Submit a change; notify the agents if it is accepted."""
        accepted = await self.log.submit(change)
        if accepted.is_ok():
            await self.announce(accepted.ok.version)
        return accepted

    async def announce(self, number: int) -> NotificationResult | None:
        """Send a version to one agent in each data centre."""
        version = await self.log.version(number)
        if version.is_error():
            return None
        copy = encode_version(version.ok)
        return await self.agents.notify(
            lambda n: n.fleet().fleet.accepted(configuration=copy)
        )

    async def amend(
        self,
        edit: Callable[[dict[str, Any]], Refusal | None],
        change: Change,
        max_rebases: int = 5,
    ) -> Result[Accepted, Refusal]:
        """Edit the newest version and submit it, rebasing on conflicts.

        Parameters
        ----------
        edit : callable
            Changes the body in place, or returns a refusal.
        change : Change
            Who and when; body and base are filled in here.
        max_rebases : int
            Number of tries when another version is accepted first.
        """
        result: Result[Accepted, Refusal] = Error(Refusal(Code.NOT_FOUND))
        for attempt in range(max_rebases):
            head = await self.log.head()
            if head.is_error():
                return head
            edited = _edit(head.ok.version, edit)
            if edited.is_error():
                return edited
            result = await self.submit(
                change._replace(
                    body=edited.ok,
                    base=head.ok.version.version,
                    submission=f"{change.submission}-{attempt}",
                )
            )
            is_conflict = (
                result.is_error() and result.error.code == Code.CONFIG_CONFLICT
            )
            if not is_conflict:
                return result
        return result

    async def withdraw(
        self, withdrawals: Iterable[Withdrawal], change: Change
    ) -> tuple[NotificationResult, Result[Accepted, Refusal]]:
        """Withdraw keys at the agents and in the store concurrently.

        Either one is enough for the withdrawal to take effect: agents
        spread it and record it later, and relays read it from the store.
        """
        wanted = tuple(withdrawals)
        encoded = encode_withdrawals(wanted)
        notified, recorded = await gather(
            self.agents.notify(
                lambda n: n.fleet().fleet.withdrawals(known=encoded)
            ),
            self.log.withdraw(wanted, change),
        )
        if recorded.is_ok():
            await self.announce(recorded.ok.version)
        return notified, recorded

    async def status(self) -> tuple[int, list[VmReport]]:
        """Return the version that should be in force and all VM reports.

        While the store is unavailable, that is the highest version that
        any VM has.
        """
        row = await self.log.head_row()
        sightings = await self.agents.sightings()
        versions = [s.beat.config_version for s in sightings.values()]
        if row.is_ok() and row.ok is not None:
            versions.append(int(row.ok.value["version"]))
        version = max(versions, default=0)
        reports = [
            report_vm(sighting, version)
            for _, sighting in sorted(sightings.items())
        ]
        return version, reports


def _address(beat: Beat) -> PeerAddress:
    return PeerAddress(beat.ip, beat.agent_port)


def _edit(
    version: Versioned, edit: Callable[[dict[str, Any]], Refusal | None]
) -> Result[bytes, Refusal]:
    if version.version == 0:
        return Error(Refusal(Code.NOT_FOUND, "no version stands"))
    body = loads(version.body)
    refusal = edit(body)
    if refusal is not None:
        return Error(refusal)
    return Ok(canonical(body))
