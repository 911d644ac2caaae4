"""Test harness: several agents in one process on loopback sockets."""

from asyncio import sleep
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from redwingpost.adapters.peer import PeerAddress, PeerClients
from redwingpost.adapters.tls import TlsContexts
from redwingpost.agent import Agent
from redwingpost.configuration.acceptance import Change
from redwingpost.configuration.log import ConfigurationLog
from redwingpost.configuration.model import Withdrawal
from redwingpost.bench.memory_store import MemoryStore
from redwingpost.core import Code, Refusal
from redwingpost.ports import VmEntry
from redwingpost.settings import (
    AgentSettings,
    Settings,
    VmSettings,
)

#: Rounds that a test waits for a condition: 30 s in total, which is
#: reached only if the condition never holds or the computer hangs.
ROUNDS = 600
ROUND_S = 0.05


class FakePlatform(MemoryStore):
    """An in-memory store with a list of VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.entries: list[VmEntry] = []

    async def vms(self) -> Result[tuple[VmEntry, ...], Refusal]:
        """Return the list, also while the store is unavailable."""
        return Ok(tuple(self.entries))


class PlatformLink:
    """One VM's connection to the platform, which can be cut."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform
        self.is_cut = False

    def __getattr__(self, name: str) -> Any:
        return self._refuse if self.is_cut else getattr(self._platform, name)

    async def _refuse(self, *args: Any, **kwargs: Any) -> Any:
        return Error(Refusal(Code.STORE_UNAVAILABLE, "cut"))


class TestFleet:
    """A fleet of agents; ``vms`` maps VM names to data centres."""

    __test__ = False

    def __init__(self, vms: dict[str, str], net: int) -> None:
        self.platform = FakePlatform()
        self.links = {vm: PlatformLink(self.platform) for vm in vms}
        self.agents: dict[str, Agent] = {}
        self._data_centres = vms
        self.ips = {
            vm: f"127.{net}.{number + 1}.1" for number, vm in enumerate(vms)
        }
        self._clients = PeerClients("", TlsContexts(None))
        self._log = ConfigurationLog(self.platform, self.platform)

    async def start(self, *vms: str) -> None:
        """Start agents, all by default."""
        for vm in vms or tuple(self._data_centres):
            await self.start_one(vm)

    async def start_one(self, vm: str) -> Agent:
        """Start an agent, replacing an earlier one of that name."""
        data_centre, ip = self._data_centres[vm], self.ips[vm]
        settings = Settings(
            vm=VmSettings(vm, data_centre, ip), agent=AgentSettings()
        )
        agent = Agent(settings, platform=self.links[vm])
        await agent.start()
        self.agents[vm] = agent
        entry = VmEntry(vm, data_centre, ip, agent.server.port, 0, "live")
        kept = [e for e in self.platform.entries if e.vm != vm]
        self.platform.entries = kept + [entry]
        return agent

    async def stop(self, *vms: str) -> None:
        """Stop agents, all by default."""
        for vm in vms or tuple(self.agents):
            await self.agents.pop(vm).stop()
        if not self.agents:
            self._clients.close()

    async def kill(self, vm: str) -> None:
        """Stop an agent without an announcement, as a crash would."""
        agent = self.agents.pop(vm)
        agent.parts_by_name["fleet"].announce_leaving = False
        await agent.stop()

    async def submit(self, body: bytes, base: int) -> None:
        """Submit a version to the store without notifying any agent."""
        change = Change(body, base, "ana", "2030-01-01", f"s-{base}")
        accepted = await self._log.submit(change)
        assert accepted.is_ok(), accepted

    async def withdraw(self, vm: str, key: Withdrawal) -> None:
        """Withdraw a key at one agent."""
        known = [{"organisation": key.organisation, "keyHash": key.key_hash}]
        await self.call(vm, lambda n: n.fleet().fleet.withdrawals(known=known))

    async def call(self, vm: str, method: Callable[[Any], Any]) -> Any:
        """Call an agent over RPC, as another process does."""
        address = PeerAddress(self.ips[vm], self.agents[vm].server.port)
        answer = await self._clients.call(address, method, 20.0)
        assert answer.is_ok(), answer
        return answer.ok

    async def until(self, condition: Callable[[Agent], bool]) -> None:
        """Wait until a condition holds at every agent."""
        for _ in range(ROUNDS):
            if all(condition(agent) for agent in self.agents.values()):
                return
            await sleep(ROUND_S)
        missing = [vm for vm, a in self.agents.items() if not condition(a)]
        raise AssertionError(f"the condition does not hold at {missing}")

    async def pause(self) -> None:
        """Let the agents run for one round."""
        await sleep(ROUND_S)

    async def until_all_known(self) -> None:
        """Wait until every agent knows every other one."""
        count = len(self.agents)
        await self.until(lambda agent: len(known_live_vms(agent)) == count)


def state_of(agent: Agent) -> Any:
    """Return an agent's state."""
    return agent.context.state


def known_live_vms(agent: Agent) -> list[str]:
    """Return the VMs that an agent knows and has not marked gone."""
    return [
        vm
        for vm, member in state_of(agent).members.by_vm.items()
        if member.beat.incarnation > 0 and not member.beat.gone
    ]
