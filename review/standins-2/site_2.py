"""Nodes started as in the deploy file, before the project's stand-ins.

The members note each statement of a caller together with the organisation
and the session values of the connection on which it ran.
"""

from asyncio import create_subprocess_exec, current_task
from asyncio.subprocess import PIPE, Process
from os import environ
from pathlib import Path
from shlex import split
from shutil import rmtree
from signal import SIGCONT
from time import monotonic
from tomllib import loads
from typing import NamedTuple

from redwingpost.bench.ports import find_free_port
from redwingpost.node.tests.line_site import NodeProcess, NodeSite
from redwingpost.platform.settings import PATH_VARIABLE
from redwingpost.standin.lines.group import LineGroup
from redwingpost.standin.lines.member_server import (
    OWN_REQUEST,
    MemberConnection,
    MemberServer,
)
from redwingpost.standin.lines.site import LineSite

ROOT = Path(__file__).resolve().parents[2]

#: Variables that the platform hands on to a process.
_KEPT_VARIABLES = ("PATH", "HOME", "LANG")

#: Fields of the settings file as on the smallest deployments.
_SMALL_DEPLOYMENT = {
    "machineClass": "front",
    "role": "node",
    "serves": ["front", "control"],
    "bootstrap": True,
    "limits": {
        "cpuShare": 0.537,
        "cores": 2,
        "memoryMb": 300,
        "maxFds": 4300,
        "linkMbps": 1000.0,
        "diskMb": 0,
    },
    "contracts": [
        "base",
        "drain",
        "config",
        "cost",
        "recover",
        "sql",
        "tenants",
        "quota",
        "platform",
    ],
    "bounds": {
        "stableWindowMs": 4000,
        "ackTimeoutMs": 5000,
        "drainMs": 7000,
        "graceS": 6,
        "lossSlackMs": 200,
        "configApplyMs": 3000,
        "downgradeSlackMs": 250,
        "outerBoundMs": 12000,
        "quotaWindowS": 5,
        "quotaOverage": 0.1,
        "quotaSlack": 20,
        "recoveryS": 12,
        "fencing": False,
    },
}


class Record:
    """The record of a run; times are seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = monotonic()

    def now(self) -> float:
        """Return the time since the start."""
        return monotonic() - self._started_at

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line."""
        at = self.now() if at is None else at
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()


class Arrival(NamedTuple):
    """A caller's statement that has reached a member."""

    at: float
    member: str
    organisation: str
    values: dict[str, str]
    request: str
    text: str


class NotingConnection(MemberConnection):
    """A member's connection that notes arrivals and session values."""

    def __init__(self, server, reader, writer) -> None:
        super().__init__(server, reader, writer)
        self._values: dict[str, str] = {}

    async def _answer(self, request: str, text: str) -> None:
        if request != OWN_REQUEST:
            self._server.note(request, text, dict(self._values))
        await super()._answer(request, text)

    async def _do_set(self, request: str, rest: str) -> tuple[list, str]:
        name, _, value = rest.partition(" ")
        self._values[name] = value
        return [], "-"

    async def _do_discard(self, request: str, rest: str) -> tuple[list, str]:
        self._values.clear()
        return await super()._do_discard(request, rest)


class _Organisations(list):
    """The organisations of a member's connections, also by task."""

    def __init__(self) -> None:
        super().__init__()
        self.by_task: dict = {}

    def append(self, organisation: str) -> None:
        self.by_task[current_task()] = organisation
        super().append(organisation)


class NotingServer(MemberServer):
    """A member that notes the statements that reach it."""

    def __init__(self, site: "NotingSite", group: LineGroup, member) -> None:
        super().__init__(group, member)
        self._site = site
        self.organisations = _Organisations()

    def note(self, request: str, text: str, values: dict[str, str]) -> None:
        """Note a statement that has arrived."""
        organisation = self.organisations.by_task[current_task()]
        arrival = Arrival(
            self._site.record.now(),
            self.member.name,
            organisation,
            values,
            request,
            text,
        )
        self._site.arrivals.append(arrival)
        self._site.on_arrival(arrival)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        self.connections += 1
        try:
            await NotingConnection(self, reader, writer).run()
        except (EOFError, OSError):
            # The node has closed the connection; it rolls back.
            pass
        finally:
            self.organisations.by_task.pop(current_task(), None)
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()


class NotingSite(LineSite):
    """The project's stand-ins with members that note arrivals."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.arrivals: list[Arrival] = []

    def make_server(self, group: LineGroup, member: str) -> MemberServer:
        """Return a member's server, not started yet."""
        return NotingServer(self, group, group.member_by_name[member])

    def on_arrival(self, arrival: Arrival) -> None:
        """Write a statement that has reached a member to the record."""
        self.record.note(
            f"at {arrival.member}: {arrival.request} {arrival.text!r}, "
            f"organisation {arrival.organisation}, "
            f"session values {arrival.values}",
            arrival.at,
        )


class DeployedSite(NodeSite):
    """Nodes that are started with the command of the deploy file."""

    def __init__(self, standins: LineSite, groups=("g1",)) -> None:
        super().__init__(standins, groups)
        self.settings = dict(_SMALL_DEPLOYMENT)
        deploy = loads((ROOT / "deploy/system.toml").read_text())
        self._command = split(deploy["roles"]["node"]["run"])

    async def _start_process(self, path: Path, log: Path) -> Process:
        variables = {
            name: environ[name] for name in _KEPT_VARIABLES if name in environ
        }
        variables[PATH_VARIABLE] = str(path)
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        with log.open("ab") as stdout:
            return await create_subprocess_exec(
                *self._command,
                env=variables,
                cwd=ROOT,
                stdout=stdout,
                stderr=PIPE,
            )

    async def start(self, nodes: int = 2) -> None:
        """Start all; write to the record what kept a node from starting."""
        try:
            await super().start(nodes)
        except AssertionError:
            for node in self.nodes:
                await self._note_state(node)
            raise

    async def _note_state(self, node: NodeProcess) -> None:
        record = self.standins.record
        code = node.process.returncode
        lines = node.log.read_text().splitlines()[-3:]
        record.note(f"{node.vm} {node.ports}: exit code {code}, {lines}")
        if code is not None:
            errors = (await node.process.stderr.read()).decode()
            record.note(f"{node.vm}: {errors.splitlines()[-1:]}")

    def use_inner_ports(self) -> None:
        """Choose the nodes' inner ports, for nodes that are added alone."""
        first_ip = f"{self._prefix}.1"
        self._inner_ports = [find_free_port(first_ip) for _ in range(2)]

    async def stop(self) -> None:
        """Stop all processes and stand-ins; remove the folder."""
        for node in self.nodes:
            if node.process.returncode is None:
                node.process.send_signal(SIGCONT)
        await super().stop()
        rmtree(self.folder, ignore_errors=True)

    def find(self, vm: str) -> NodeProcess:
        """Return the node with a name."""
        return next(node for node in self.nodes if node.vm == vm)
