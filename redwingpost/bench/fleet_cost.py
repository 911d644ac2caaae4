"""The control plane's cost for each VM, by the size of the fleet.

Runs many agents in one process on real sockets, each on its own
loopback address, with a store in memory. Bytes are counted by the
kernel for each address, so that relays and other VMs are counted
separately. CPU time is that of the whole process divided by the number
of agents; the cost of an exchange is CPU time divided by the number of
exchanges. Heartbeats, exchanges and pushes are the same as in
production; the store's HTTP calls, which only relays make, are left
out.
"""

from asyncio import run, sleep
from json import dumps
from resource import RUSAGE_SELF, getrusage
from time import monotonic, process_time
from typing import Any, NamedTuple

from capnp import kj_loop
from expression import Ok, Result
from loguru import logger
from typer import Option, Typer, echo

from redwingpost.adapters.traffic import read_connections
from redwingpost.agent import Agent
from redwingpost.bench.memory_store import MemoryStore
from redwingpost.configuration.acceptance import Change
from redwingpost.configuration.log import ConfigurationLog
from redwingpost.core import Refusal
from redwingpost.ports import VmEntry
from redwingpost.settings import (
    AgentSettings,
    Settings,
    VmSettings,
)

app = Typer(add_completion=False)

#: Second octet of the agents' addresses (127.x) in the first data centre;
#: scenarios and tests use other networks.
NETWORK = 60


class MemoryPlatform(MemoryStore):
    """A store in memory with a list of VMs."""

    def __init__(self) -> None:
        super().__init__()
        self.entries: list[VmEntry] = []

    async def vms(self) -> Result[tuple[VmEntry, ...], Refusal]:
        """Return the VMs."""
        return Ok(tuple(self.entries))


class Cost(NamedTuple):
    """The cost of a run; rates are per agent.

    ``bytes_per_s`` counts bytes sent and received; ``relay_bytes_per_s``
    is the mean over relays, ``plain_bytes_per_s`` over the other VMs.
    ``exchange_cpu_ms`` is the process's whole CPU time divided by the
    number of exchanges, so it covers both ends and all other work.
    """

    agents: int
    data_centres: int
    seconds: float
    changes: int
    body_bytes: int
    bytes_per_s: float
    relay_bytes_per_s: float
    plain_bytes_per_s: float
    core_share: float
    exchanges_per_s: float
    exchange_cpu_ms: float
    rss_mb: float
    slowest_change_s: float


def make_configuration_body(organisations: int, rate: float) -> bytes:
    """Return a configuration with ``organisations`` and three groups."""
    groups = {
        f"group-{number}": {
            "connections": 32,
            "members": {
                f"group-{number}-{letter}": {
                    "data_centre": f"dc-{place}",
                    "ip": f"127.1.{100 + number}.{place}",
                    "port": 3306,
                }
                for place, letter in enumerate("abc", 1)
            },
        }
        for number in range(3)
    }
    organisations_by_name = {
        f"organisation-{number}": {
            "keys": [{"name": "first", "hash": f"{number:040x}"}],
            "rate": rate,
            "burst": 50.0,
            "groups": list(groups),
        }
        for number in range(organisations)
    }
    body = {
        "site": "cost",
        "organisations": organisations_by_name,
        "groups": groups,
    }
    return dumps(body).encode()


class CostRun:
    """One run with a whole fleet in one process."""

    def __init__(
        self,
        agents: int,
        data_centres: int,
        organisations: int,
        parts: tuple[str, ...],
    ) -> None:
        self._count = agents
        self._data_centres = data_centres
        self._organisations = organisations
        self._parts = parts
        self._platform = MemoryPlatform()
        self._log = ConfigurationLog(self._platform, self._platform)
        self._agents: list[Agent] = []
        self._version = 0
        self._body_bytes = 0
        self._slowest_s = 0.0

    async def measure(self, seconds: float, interval_s: float) -> Cost:
        """Start the fleet, wait until it has converged, and measure."""
        await self._submit()
        for number in range(self._count):
            await self._start(number)
        await self._settle()
        bytes_before, exchanges_before = self._bytes_by_ip(), self._exchanges()
        cpu_s, started_at = process_time(), monotonic()
        changes = await self._run_changes(seconds, interval_s)
        elapsed_s = monotonic() - started_at
        cost = self._make_cost(
            bytes_before, exchanges_before, process_time() - cpu_s, elapsed_s
        )
        for agent in self._agents:
            await agent.stop()
        return cost._replace(changes=changes)

    async def _start(self, number: int) -> None:
        centre = number % self._data_centres
        ip = f"127.{NETWORK + centre}.{1 + number // self._data_centres}.1"
        vm = VmSettings(f"vm-{number}", f"dc-{centre}", ip)
        settings = Settings(vm=vm, agent=AgentSettings())
        agent = Agent(settings, platform=self._platform, parts=self._parts)
        await agent.start()
        self._agents.append(agent)
        entry = VmEntry(
            vm.name, vm.data_centre, ip, agent.server.port, 0, "live"
        )
        self._platform.entries.append(entry)

    async def _settle(self) -> None:
        """Wait until all agents have converged and their links are open."""
        while not all(self._has_converged(agent) for agent in self._agents):
            await sleep(0.2)
        await sleep(5.0)

    def _has_converged(self, agent: Agent) -> bool:
        members = agent.context.state.members.by_vm.values()
        known_count = sum(member.beat.incarnation > 0 for member in members)
        version = agent.context.state.configuration.version
        return known_count == self._count and version == self._version

    async def _run_changes(self, seconds: float, interval_s: float) -> int:
        ends_at = monotonic() + seconds
        changes = 0
        while monotonic() < ends_at:
            if interval_s and monotonic() + interval_s <= ends_at:
                await self._change()
                changes += 1
            await sleep(min(interval_s or seconds, ends_at - monotonic()))
        return changes

    async def _change(self) -> None:
        """Submit a new version and wait until every agent has it."""
        started_at = monotonic()
        await self._submit()
        while not all(
            self._holds_current_version(agent) for agent in self._agents
        ):
            await sleep(0.005)
        self._slowest_s = max(self._slowest_s, monotonic() - started_at)

    def _holds_current_version(self, agent: Agent) -> bool:
        return agent.context.state.configuration.version == self._version

    async def _submit(self) -> None:
        body = make_configuration_body(
            self._organisations, 100.0 + self._version
        )
        change = Change(body, self._version, "cost", "", f"s{self._version}")
        accepted = await self._log.submit(change)
        self._version = accepted.ok.version
        self._body_bytes = len(body)

    def _exchanges(self) -> float:
        return sum(
            agent.context.registry.get_sample_value(
                "redwing_exchanges_total", {"outcome": "answered"}
            )
            or 0.0
            for agent in self._agents
        )

    def _bytes_by_ip(self) -> dict[str, int]:
        bytes_by_ip: dict[str, int] = {}
        for (local, _), traffic in read_connections():
            total = traffic.sent + traffic.received
            bytes_by_ip[local.ip] = bytes_by_ip.get(local.ip, 0) + total
        return bytes_by_ip

    def _make_cost(
        self,
        bytes_before: dict[str, int],
        exchanges_before: float,
        cpu_s: float,
        elapsed_s: float,
    ) -> Cost:
        bytes_after = self._bytes_by_ip()
        moved_bytes_by_ip = {
            agent.settings.vm.ip: bytes_after.get(agent.settings.vm.ip, 0)
            - bytes_before.get(agent.settings.vm.ip, 0)
            for agent in self._agents
        }
        relays = {
            agent.settings.vm.ip
            for agent in self._agents
            if agent.context.state.is_relay
        }
        bytes_per_s_by_ip = {
            ip: total / elapsed_s for ip, total in moved_bytes_by_ip.items()
        }
        exchanges = self._exchanges() - exchanges_before
        return Cost(
            agents=self._count,
            data_centres=self._data_centres,
            seconds=round(elapsed_s, 1),
            changes=0,
            body_bytes=self._body_bytes,
            bytes_per_s=_mean(bytes_per_s_by_ip.values()),
            relay_bytes_per_s=_mean(bytes_per_s_by_ip[ip] for ip in relays),
            plain_bytes_per_s=_mean(
                rate
                for ip, rate in bytes_per_s_by_ip.items()
                if ip not in relays
            ),
            core_share=round(cpu_s / elapsed_s / self._count, 5),
            exchanges_per_s=round(exchanges / elapsed_s / self._count, 2),
            exchange_cpu_ms=round(cpu_s * 1000 / max(1.0, exchanges), 3),
            rss_mb=round(getrusage(RUSAGE_SELF).ru_maxrss / 1024, 1),
            slowest_change_s=round(self._slowest_s, 3),
        )


def _mean(values: Any) -> float:
    listed = list(values)
    return round(sum(listed) / len(listed), 1) if listed else 0.0


def measure(cost_run: CostRun, seconds: float, interval_s: float) -> Cost:
    """Run one fleet, with a change each ``interval_s``; return its cost."""

    async def measure_in_loop() -> Cost:
        async with kj_loop():
            return await cost_run.measure(seconds, interval_s)

    return run(measure_in_loop())


@app.command()
def main(
    agents: int = Option(6, help="Agents in the one process."),
    data_centres: int = Option(4, help="Data centres they are spread over."),
    seconds: float = Option(20.0, help="Seconds to measure."),
    change_every: float = Option(0.0, help="Seconds between versions."),
    organisations: int = Option(8, help="Size of the configuration."),
    part: list[str] = Option(["fleet"], help="Parts of the agent to run."),
) -> None:
    """Measure the control plane's cost at one size.

    Example: python -m redwingpost.bench.fleet_cost --agents 96
    """
    logger.remove()
    cost_run = CostRun(agents, data_centres, organisations, tuple(part))
    echo(dumps(measure(cost_run, seconds, change_every)._asdict()))


if __name__ == "__main__":
    app()
