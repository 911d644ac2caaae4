"""What ``redwingctl`` does: against the store, and with the agents.

The store decides what is accepted. Agents are told at once, one in each
data centre, so that a change doesn't wait for the next look at the
store; withdrawals are told to agents first, since they count from the
first agent that knows.
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

#: Seconds an agent has to answer an operator.
AGENT_LIMIT_S = 2.0


class Told(NamedTuple):
    """Which agents took news, by data centre, and where none did."""

    vms_by_data_centre: dict[str, str]
    missed: tuple[str, ...]


class Agents:
    """The agents that an operator can reach.

    Parameters
    ----------
    clients : PeerClients
        For the calls.
    vm_list : VmList
        Where agents are found.
    given : tuple of PeerAddress
        Agents to ask as well; needed while the list is away.
    """

    def __init__(
        self,
        clients: PeerClients,
        vm_list: VmList,
        given: tuple[PeerAddress, ...] = (),
    ) -> None:
        self._clients = clients
        self._vm_list = vm_list
        self._given = given

    async def call(
        self, address: PeerAddress, method: Callable[[Any], Any]
    ) -> Result[Any, Refusal]:
        """Call one agent."""
        return await self._clients.call(address, method, AGENT_LIMIT_S)

    async def sightings(self) -> dict[str, Sighting]:
        """Return the latest sighting of each VM, from the relays.

        One agent names the relays; each relay knows its data centre's
        VMs from their own heartbeats. So 14 calls do for 1,000 VMs.
        """
        first = await self._first_sightings()
        relays = [s.beat for s in first.values() if s.beat.relay]
        answers = await gather(*(self._ask(_address(b)) for b in relays))
        found = list(first.values())
        for answer in answers:
            found.extend(answer)
        return latest_sightings(found)

    async def _first_sightings(self) -> dict[str, Sighting]:
        listed = await self._vm_list.vms()
        entries = listed.ok if listed.is_ok() else ()
        addresses = [PeerAddress(e.ip, e.agent_port) for e in entries]
        heard: dict[str, Sighting] = {}
        for address in dict.fromkeys([*self._given, *addresses]):
            answer = await self._ask(address)
            if answer:
                heard = latest_sightings(answer)
                break
        for entry in entries:
            unheard = Beat(
                vm=entry.vm,
                data_centre=entry.data_centre,
                ip=entry.ip,
                agent_port=entry.agent_port,
                proxy_port=entry.proxy_port,
                incarnation=0,
                sequence=0,
            )
            heard.setdefault(entry.vm, Sighting(unheard, float("inf")))
        return heard

    async def _ask(self, address: PeerAddress) -> list[Sighting]:
        answer = await self.call(address, lambda n: n.fleet().fleet.members())
        if answer.is_error():
            return []
        return [Sighting(*decode_beat(reader)) for reader in answer.ok.beats]

    async def tell(self, method: Callable[[Any], Any]) -> Told:
        """Call one agent in each data centre, the relay if it answers."""
        beats = [s.beat for s in (await self.sightings()).values()]
        centres = sorted({beat.data_centre for beat in beats})
        told = await gather(
            *(self._tell_one(beats, centre, method) for centre in centres)
        )
        vms = {c: vm for c, vm in zip(centres, told) if vm}
        missed = tuple(c for c in centres if c not in vms)
        return Told(vms, missed)

    async def _tell_one(
        self, beats: list[Beat], centre: str, method: Callable[[Any], Any]
    ) -> str:
        candidates = [b for b in beats if b.data_centre == centre]
        candidates.sort(key=lambda b: (not b.relay, b.gone, b.vm))
        for beat in candidates:
            answer = await self.call(_address(beat), method)
            if answer.is_ok():
                return beat.vm
        return ""


class Desk:
    """An operator's actions.

    Parameters
    ----------
    tables, objects : ports
        The platform's store.
    agents : Agents
        Who is told.
    """

    def __init__(
        self, tables: TableService, objects: ObjectStore, agents: Agents
    ) -> None:
        self.log = ConfigurationLog(tables, objects)
        self.agents = agents

    async def submit(self, change: Change) -> Result[Accepted, Refusal]:
        """Have a change accepted and tell the agents."""
        accepted = await self.log.submit(change)
        if accepted.is_ok():
            await self.announce(accepted.ok.version)
        return accepted

    async def announce(self, number: int) -> Told | None:
        """Give a version to one agent in each data centre."""
        version = await self.log.version(number)
        if version.is_error():
            return None
        copy = encode_version(version.ok)
        return await self.agents.tell(
            lambda n: n.fleet().fleet.accepted(configuration=copy)
        )

    async def amend(
        self,
        edit: Callable[[dict[str, Any]], Refusal | None],
        change: Change,
        rebases: int = 5,
    ) -> Result[Accepted, Refusal]:
        """Edit the newest version and submit it, rebasing on conflicts.

        Parameters
        ----------
        edit : callable
            Changes the body in place, or returns why it can't.
        change : Change
            Who and when; body and base are filled in here.
        rebases : int
            How often to start over where another version came first.
        """
        result: Result[Accepted, Refusal] = Error(Refusal(Code.NOT_FOUND))
        for attempt in range(rebases):
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
            conflicted = (
                result.is_error() and result.error.code == Code.CONFIG_CONFLICT
            )
            if not conflicted:
                return result
        return result

    async def withdraw(
        self, withdrawals: Iterable[Withdrawal], change: Change
    ) -> tuple[Told, Result[Accepted, Refusal]]:
        """Withdraw keys: at the agents first, then in the store.

        Either is enough for the withdrawal to count: agents spread it
        and record it later, and relays find it in the store.
        """
        wanted = tuple(withdrawals)
        known = encode_withdrawals(wanted)
        told, recorded = await gather(
            self.agents.tell(
                lambda n: n.fleet().fleet.withdrawals(known=known)
            ),
            self.log.withdraw(wanted, change),
        )
        if recorded.is_ok():
            await self.announce(recorded.ok.version)
        return told, recorded

    async def status(self) -> tuple[int, list[VmReport]]:
        """Return the version that should be in force and every VM's line.

        With the store away that is the highest version any VM holds.
        """
        row = await self.log.head_row()
        sightings = await self.agents.sightings()
        held = [s.beat.config_version for s in sightings.values()]
        if row.is_ok() and row.ok is not None:
            held.append(int(row.ok.value["version"]))
        version = max(held, default=0)
        lines = [
            report_vm(sighting, version)
            for _, sighting in sorted(sightings.items())
        ]
        return version, lines


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
