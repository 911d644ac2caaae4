"""The real programs of a run: child processes on loopback sockets."""

from asyncio import gather, sleep
from collections.abc import Iterator
from json import dumps
from pathlib import Path
from time import monotonic
from typing import Any

from asyncmy import connect
from loguru import logger
from prometheus_client.parser import text_string_to_metric_families

from redwingpost.bench.children import Children, ExitStatus
from redwingpost.bench.control_client import (
    ControlClient,
    ControlRequestFailed,
    HttpPort,
    LinkRule,
)
from redwingpost.bench.history import Contents, EditRow, OrderRow
from redwingpost.bench.layout import (
    GroupMember,
    Layout,
    delay_rules,
    make_configuration,
    make_layout,
    render_group_settings,
    render_platform_settings,
    render_vm_settings,
)
from redwingpost.bench.operators import Operator
from redwingpost.bench.ports import find_free_port
from redwingpost.bench.sites import Site
from redwingpost.bench.statements import SCHEMA

#: Timeout until a started program answers its health check, in seconds.
READY_TIMEOUT_S = 15.0

#: Seconds between two health checks of a program that starts.
_POLL_S = 0.05

_PROXY = "redwingpost.cli.proxy"

#: Counter of a process's control traffic by link and direction. Traffic
#: with link "local" stays on the VM and crosses no network.
_CONTROL_BYTES = "redwing_control_bytes_total"

REDWINGPOST = "redwingpost"
NAIVE = "naive"


class NotReady(Exception):
    """A program did not become ready; its log gives the cause."""


class Fleet:
    """Stand-ins, agents and proxies of one run.

    Parameters
    ----------
    site : Site
        Sizes and names of the fleet.
    policy : str
        ``redwingpost`` or ``naive``.
    directory : Path
        Directory of settings files and logs.
    """

    def __init__(self, site: Site, policy: str, directory: Path) -> None:
        self.site = site
        self.policy = policy
        self.has_agents = policy == REDWINGPOST
        self.layout: Layout = make_layout(site, find_free_port)
        self.configuration = make_configuration(self.layout)
        self.children = Children(directory)
        self.control = ControlClient()
        self.rules: list[LinkRule] = delay_rules(site)
        self._directory = directory

    # -- start and stop

    async def start(self) -> None:
        """Start all programs and wait until every proxy is ready."""
        self._write_settings()
        await self._start_standins()
        await self._create_tables()
        if self.has_agents:
            await self._submit_initial_configuration()
        vms = list(self.layout.vms_by_name)
        await gather(*(self.start_vm(vm) for vm in vms))
        await gather(*(self.wait_ready(vm) for vm in vms))
        await self.set_links(self.rules)

    def _path(self, name: str) -> Path:
        return self._directory / name

    def _write_settings(self) -> None:
        configuration = self._path("configuration.json")
        configuration.write_text(dumps(self.configuration))
        configuration_file = "" if self.has_agents else str(configuration)
        platform = render_platform_settings(self.layout)
        self._path("platform.toml").write_text(platform)
        for group in self.site.groups:
            text = render_group_settings(self.layout, group)
            self._path(f"{group}.toml").write_text(text)
        for vm in self.layout.vms_by_name.values():
            text = render_vm_settings(self.layout, vm, configuration_file)
            self._path(f"{vm.name}.toml").write_text(text)

    async def _start_standins(self) -> None:
        program = "redwingpost.cli.standin"
        names = {"platform": self.layout.platform_faults}
        names.update(self.layout.faults_by_group)
        for name in names:
            kind = "platform" if name == "platform" else "group"
            settings = str(self._path(f"{name}.toml"))
            await self.children.start(
                f"standin {name}", [program, kind, "--settings", settings]
            )
        await gather(
            *(
                self._wait_until_ok(f"standin {name}", port, "/faults")
                for name, port in names.items()
            )
        )

    async def _create_tables(self) -> None:
        for group in self.site.groups:
            connection = await self.connect_to_member(
                self.layout.primary(group)
            )
            for statement in SCHEMA:
                await connection.cursor().execute(statement)
            connection.close()

    async def start_vm(self, vm: str) -> None:
        """Start a VM's agent and proxy, or only the baseline's proxy."""
        if self.has_agents:
            await self._start("agent", vm, "redwingpost.cli.agent")
        await self.start_proxy(vm)

    async def start_proxy(self, vm: str) -> None:
        """Start a VM's proxy without its agent."""
        naive = self.policy == NAIVE
        program = "redwingpost.bench.naive" if naive else _PROXY
        await self._start("proxy", vm, program)

    async def _start(self, kind: str, vm: str, program: str) -> None:
        settings = str(self._path(f"{vm}.toml"))
        await self.children.start(
            f"{kind} {vm}", [program, "--settings", settings]
        )

    async def wait_ready(self, vm: str) -> None:
        """Wait until a VM's proxy accepts callers."""
        address = self.layout.vms_by_name[vm]
        port = HttpPort(address.ip, address.proxy_http_port)
        await self._wait_until_ok(f"proxy {vm}", port, "/readyz")

    async def _wait_until_ok(
        self, name: str, port: HttpPort, path: str
    ) -> None:
        deadline_at = monotonic() + READY_TIMEOUT_S
        while not await self.control.is_answered(port, path):
            self._check_starting(name, deadline_at)
            await sleep(_POLL_S)

    def _check_starting(self, name: str, deadline_at: float) -> None:
        child = self.children[name]
        if not child.running or monotonic() > deadline_at:
            tail = child.log.read_text(errors="replace")[-2000:]
            raise NotReady(f"{name} is not ready; log {child.log}:\n{tail}")

    async def stop(self) -> list[tuple[str, ExitStatus]]:
        """End all programs; proxies and agents by a planned stop."""
        ended = []
        for prefix in ("proxy", "agent"):
            names = self.children.names(prefix)
            results = await gather(
                *(self.children.end(name, planned=True) for name in names)
            )
            ended.extend(zip(names, results))
        await self.children.end_all()
        await self.control.close()
        return ended

    # -- faults

    def _link_rule_ports(self) -> list[HttpPort]:
        ports = list(self.layout.faults_by_group.values())
        running = set(self.children.names())
        for vm in self.layout.vms_by_name.values():
            if f"proxy {vm.name}" in running:
                ports.append(HttpPort(vm.ip, vm.proxy_http_port))
            if f"agent {vm.name}" in running:
                ports.append(HttpPort(vm.ip, vm.agent_http_port))
        return ports

    async def set_links(self, rules: list[LinkRule]) -> None:
        """Apply a set of link rules in every running process."""
        self.rules = rules
        await gather(*(self._set_links(p) for p in self._link_rule_ports()))

    async def _set_links(self, port: HttpPort) -> None:
        try:
            await self.control.set_link_rules(port, self.rules)
        except ControlRequestFailed as error:
            # A paused or just ended process accepts no rules; the run
            # continues without it.
            logger.debug("link rules not set: {}", error)

    async def member_fault(
        self, member: GroupMember, fault: str, **more: Any
    ) -> Any:
        """Inject a fault into one member."""
        port = self.layout.faults_by_group[member.group]
        return await self.control.inject_fault(
            port, fault, member=member.name, **more
        )

    async def platform_fault(self, fault: str, **more: Any) -> Any:
        """Inject a fault into the platform."""
        port = self.layout.platform_faults
        return await self.control.inject_fault(port, fault, **more)

    # -- resource usage

    def cpu_s(self) -> float:
        """Return CPU seconds of all proxies and agents so far."""
        children = self.children
        return children.cpu_s("proxy") + children.cpu_s("agent")

    async def control_bytes(self) -> float:
        """Return bytes between VMs and the platform, in both directions.

        Processes that have ended are not counted.
        """
        ports = []
        for vm in self.layout.vms_by_name.values():
            ports.append(HttpPort(vm.ip, vm.proxy_http_port))
            ports.append(HttpPort(vm.ip, vm.agent_http_port))
        pages = await gather(
            *(self.control.get_text(port, "/metrics") for port in ports)
        )
        return sum(map(sum_control_bytes, pages))

    # -- contents of the targets

    async def connect_to_member(self, member: GroupMember) -> Any:
        """Connect to a member directly, without a proxy."""
        return await connect(
            host=member.ip,
            port=member.port,
            user="bench",
            password="",
            autocommit=None,
            connect_timeout=3,
        )

    async def current_primary(self, group: str) -> GroupMember | None:
        """Return the running primary with the highest term."""
        port = self.layout.faults_by_group[group]
        statuses = await self.control.inject_fault(port, "status")
        terms_by_member = {
            name: status["promised_term"]
            for name, status in statuses.items()
            if status["role"] == "primary" and status["alive"]
        }
        primaries = [
            (terms_by_member[member.name], member)
            for member in self.layout.members_by_group[group]
            if member.name in terms_by_member
        ]
        return max(primaries)[1] if primaries else None

    async def read_contents(self, group: str) -> Contents:
        """Read a group's final contents from its primary.

        The contents come from the stand-in's dump instead of a database
        connection, because the proxies may hold all connections.

        Raises
        ------
        NotReady
            If the group has no primary.
        """
        primary = await self.current_primary(group)
        if primary is None:
            raise NotReady(f"{group} has no primary at the end of the run")
        tables = (await self.member_fault(primary, "dump"))["tables"]
        return Contents(
            tuple(
                OrderRow(row["organisation"], row["request"], row["part"])
                for row in _rows(tables["orders"])
            ),
            tuple(
                EditRow(
                    row["organisation"],
                    row["document"],
                    row["revision"],
                    row["request"],
                )
                for row in _rows(tables["edits"])
            ),
        )

    async def _submit_initial_configuration(self) -> None:
        """Submit the first configuration as an operator."""
        operator = Operator("bench", self.layout.platform_url)
        submission = await operator.submit(self.configuration, base=0)
        await operator.close()
        if not submission.accepted:
            raise NotReady(submission.result.error.describe())


def sum_control_bytes(page: str) -> float:
    """Return the control bytes of a metrics page that crossed a network.

    Examples
    --------
    >>> sum_control_bytes(
    ...     'redwing_control_bytes_total{link="peer",way="sent"} 2.0\\n'
    ...     'redwing_control_bytes_total{link="local",way="sent"} 9.0'
    ... )
    2.0
    """
    return sum(
        sample.value
        for family in text_string_to_metric_families(page)
        for sample in family.samples
        if sample.name == _CONTROL_BYTES and sample.labels["link"] != "local"
    )


def _rows(table: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Iterate over a dumped table's rows by column name."""
    return (dict(zip(table["columns"], row)) for row in table["rows"])
