"""Node processes that run against the stand-ins, for tests."""

from asyncio import create_subprocess_exec, sleep, wait_for
from asyncio.subprocess import PIPE, Process
from collections.abc import Callable
from itertools import count
from json import dumps, loads
from os import environ, getpid
from pathlib import Path
from signal import SIGKILL, SIGTERM
from sys import executable
from tempfile import mkdtemp
from typing import Any

from redwingpost.adapters.http_client import HttpClient, HttpLost
from redwingpost.bench.ports import find_free_port
from redwingpost.node.tests.line_caller import LineCaller
from redwingpost.platform.settings import PATH_VARIABLE
from redwingpost.standin.lines.site import LineSite

#: Seconds to wait for any condition: long enough for a busy computer; a
#: condition that holds earlier ends the wait.
TIMEOUT_S = 20.0

_SITES = count(1)


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one database for each consistency."""
    value = {
        "configVersion": version,
        "routes": [
            _route("strict", "primary", 0),
            _route("stated", "bounded_staleness", 1500),
            _route("own", "read_your_writes", 2500),
        ],
        "services": [{"name": "g1", "maxConns": 32, "syncReplicas": 1}],
        "limits": {"txIdleMs": 3000},
        "tenants": [
            _organisation("parish", ["key-1", "key-2"]),
            _organisation("diocese", ["key-3"]),
        ],
    }
    value.update(changes)
    return value


def _route(name: str, kind: str, stale_ms: int) -> dict[str, Any]:
    return {
        "name": f"r-{name}",
        "host": name,
        "routeType": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "g1",
        "maxStalenessMs": stale_ms,
        "public": False,
    }


def _organisation(name: str, keys: list[str]) -> dict[str, Any]:
    return {"name": name, "apiKeys": keys, "ratePerS": 500, "burst": 500}


class NodeProcess:
    """One node process and its ports."""

    def __init__(
        self,
        vm: str,
        ip: str,
        ports: dict[str, int],
        process: Process,
        log: Path,
    ) -> None:
        self.vm = vm
        self.ip = ip
        self.ports = ports
        self.process = process
        self.log = log

    def log_lines(self) -> list[dict[str, Any]]:
        """Return what the node has logged so far."""
        return [loads(line) for line in self.log.read_text().splitlines()]

    def has_started(self) -> bool:
        """Return whether the node has logged its start."""
        return any(line["kind"] == "started" for line in self.log_lines())

    async def caller(self, database: str, key: str = "key-1") -> LineCaller:
        """Return a caller with an open session."""
        caller = await LineCaller.connect(self.ip, self.ports["callers"])
        answer = await caller.start(database, key)
        if answer != "READY":
            raise AssertionError(f"no session: {answer}")
        return caller

    async def is_ready(self) -> bool:
        """Check the readiness page, as the load balancer does."""
        try:
            caller = await LineCaller.connect(self.ip, self.ports["ready"])
        except OSError:
            return False
        caller.send("GET /ready HTTP/1.1\r\nHost: balancer\r\n")
        status = await caller.line()
        caller.close()
        return " 200 " in f"{status} "

    async def metrics(self) -> str:
        """Return the metrics page; try again where no connection opens.

        The client gives a connection one second, which a busy computer may
        exceed.
        """
        pages: list[str] = []

        async def fetch() -> bool:
            client = HttpClient(self.ip, self.ports["metrics"])
            try:
                answer = await client.request("GET", "/metrics", TIMEOUT_S)
            except HttpLost as lost:
                if lost.sent:
                    raise
                return False
            finally:
                client.close()
            pages.append(answer.body.decode())
            return True

        await until(fetch, "a connection to the metrics page")
        return pages[0]

    async def end(self, signal: int = SIGTERM) -> int:
        """Signal the process and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal)
        return await wait_for(self.process.wait(), TIMEOUT_S)


class NodeSite:
    """The stand-ins and node processes of one test.

    ``settings`` are added to the settings of nodes that start from then on.

    Parameters
    ----------
    standins : LineSite or None
        The stand-ins; by default new ones without faults.
    groups : tuple of str
        Names of the groups.
    tree : Path or None
        Checkout whose sources the nodes run; by default this one.
    """

    def __init__(
        self,
        standins: LineSite | None = None,
        groups: tuple[str, ...] = ("g1",),
        tree: Path | None = None,
    ) -> None:
        self.settings: dict[str, Any] = {}
        self.groups = groups
        self.configuration = configuration(1)
        self._tree = tree
        number = next(_SITES)
        # Each site has its own addresses: nodes share one inner port, and
        # tests may run in parallel.
        self._prefix = f"127.{40 + getpid() % 200}.{number % 250}"
        self.standins = standins or LineSite()
        self.nodes: list[NodeProcess] = []
        self._numbers = count(1)
        self._inner_ports: list[int] = []
        self.folder = Path(mkdtemp(prefix="redwing-node-"))

    async def start(self, nodes: int = 2) -> None:
        """Start the stand-ins and the nodes; wait until all are ready."""
        await self.standins.start(self.groups)
        self.standins.configure(self.configuration)
        first_ip = f"{self._prefix}.1"
        self._inner_ports = [find_free_port(first_ip) for _ in range(2)]
        for _ in range(nodes):
            await self.add_node()
        for node in self.nodes:
            await until(node.is_ready)

    async def stop(self) -> None:
        """Stop all processes and stand-ins that were started."""
        for node in self.nodes:
            if node.process.returncode is None:
                await node.end(SIGKILL)
        await self.standins.stop()

    async def add_node(self, data_centre: str = "dc-a") -> NodeProcess:
        """Start one more node."""
        number = next(self._numbers)
        ip = f"{self._prefix}.{number}"
        ports = {
            "callers": find_free_port(ip),
            "ready": find_free_port(ip),
            "metrics": self._inner_ports[-1],
        }
        path = self.folder / f"node-{number}.json"
        vm = f"vm-{number}"
        settings = self._settings(vm, ip, ports)
        settings.update({"zone": data_centre, **self.settings})
        path.write_text(dumps(settings))
        log = path.with_suffix(".log")
        process = await self._start_process(path, log)
        node = NodeProcess(vm, ip, ports, process, log)
        self.nodes.append(node)
        return node

    async def start_again(self, node: NodeProcess) -> None:
        """Start a node that has ended, under its name and at its address."""
        path = node.log.with_suffix(".json")
        node.process = await self._start_process(path, node.log)

    async def _start_process(self, path: Path, log: Path) -> Process:
        """Start a node process; it adds its lines to those in the log."""
        variables = {**environ, PATH_VARIABLE: str(path)}
        if self._tree is not None:
            variables["PYTHONPATH"] = str(self._tree)
        with log.open("ab") as stdout:
            return await create_subprocess_exec(
                executable,
                "-m",
                "redwingpost.cli.node",
                env=variables,
                cwd=self._tree,
                stdout=stdout,
                stderr=PIPE,
            )

    def _settings(self, vm: str, ip: str, ports: dict) -> dict[str, Any]:
        standins = self.standins
        return {
            "node": vm,
            "zone": "dc-a",
            "ip": ip,
            "listen": {
                "front": f"{ip}:{ports['callers']}",
                "ready": f"{ip}:{ports['ready']}",
            },
            "innerPorts": self._inner_ports,
            "seeds": [],
            "bounds": {"drainMs": 7000, "graceS": 6},
            "platform": {"address": f"{standins.ip}:{standins.store_port}"},
            "cloudApi": {"address": f"{standins.ip}:{standins.orders_port}"},
        }


async def until(holds: Callable, what: str = "it") -> None:
    """Wait until a condition holds."""

    async def poll() -> None:
        while True:
            result = holds()
            if hasattr(result, "__await__"):
                result = await result
            if result:
                return
            await sleep(0.02)

    try:
        await wait_for(poll(), TIMEOUT_S)
    except TimeoutError as error:
        raise AssertionError(f"{what} did not happen in time") from error


async def until_in_force(node: NodeProcess, version: int) -> None:
    """Wait until a node has put a configuration in force."""

    def is_in_force() -> bool:
        return any(
            line["kind"] == "rules-in-force" and line["version"] == version
            for line in node.log_lines()
        )

    await until(is_in_force, f"version {version}")
