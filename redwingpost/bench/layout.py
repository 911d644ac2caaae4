"""Where everything of a bench run stands, and its settings files.

Each VM and member has a loopback address of its own in its data
centre's network, 127.<data centre>.0.0/16, so that a cut between data
centres is a rule about networks. Ports are handed in: the caller found
them free.
"""

from collections.abc import Callable
from json import dumps
from typing import Any, NamedTuple

from redwingpost.bench.callers import Credential, ProxyEndpoint
from redwingpost.bench.orders import HttpPort, LinkRule
from redwingpost.bench.schedule import CURRENT, FORMER
from redwingpost.bench.sites import (
    CONNECT_S,
    MEMBERS,
    READ_SERVICE_S,
    SLOTS,
    VMS_PER_DATA_CENTRE,
    WRITE_SERVICE_S,
    Site,
)
from redwingpost.configuration.keys import hash_key

#: Where the platform's stand-in listens: in no data centre.
PLATFORM_IP = "127.200.0.1"

#: Replicas apply this long after they received, in milliseconds.
APPLY_LAG_MS = 5.0

#: What a statement inside a transaction costs a member, in
#: milliseconds; the commit costs a write.
STEP_MS = 0.5

#: The platform's list of VMs is this late, in seconds.
LIST_LAG_S = 2.0

#: Shared secret of the bench's session tokens.
TOKEN_SECRET = "bench-secret-0123456789abcdef"

#: Request kinds that hold a slot for long.
LONG_KINDS = ("print-run",)

PortFinder = Callable[[str], int]


class Vm(NamedTuple):
    """One entry VM and its ports."""

    name: str
    data_centre: str
    network: str
    ip: str
    caller_port: int
    proxy_peer_port: int
    proxy_http_port: int
    agent_peer_port: int
    agent_http_port: int

    @property
    def proxy(self) -> ProxyEndpoint:
        """Where callers and health checks reach the proxy."""
        return ProxyEndpoint(
            self.name, self.ip, self.caller_port, self.proxy_http_port
        )


class GroupMember(NamedTuple):
    """One member of a database group."""

    name: str
    group: str
    data_centre: str
    network: str
    ip: str
    port: int


class Layout(NamedTuple):
    """All addresses of a run."""

    site: Site
    vms_by_name: dict[str, Vm]
    members_by_group: dict[str, tuple[GroupMember, ...]]
    platform: HttpPort
    platform_faults: HttpPort
    faults_by_group: dict[str, HttpPort]
    credentials_by_name: dict[tuple[str, str], Credential]

    @property
    def platform_url(self) -> str:
        """Where the table service answers."""
        return self.platform.url("")

    def primary(self, group: str) -> GroupMember:
        """Return the member that leads a group's first term."""
        return self.members_by_group[group][0]

    def vms_in(self, data_centre: str) -> list[Vm]:
        """Return the VMs of one data centre."""
        vms = self.vms_by_name.values()
        return [vm for vm in vms if vm.data_centre == data_centre]


def make_layout(site: Site, find_port: PortFinder) -> Layout:
    """Place a site's VMs, members and platform.

    Parameters
    ----------
    site : Site
        Whose sizes apply.
    find_port : callable
        IP to a port that is free there.

    Returns
    -------
    Layout
        The first member of group number n stands in data centre n.
    """
    group_faults = {
        group: HttpPort(f"127.200.0.{2 + number}", 0)
        for number, group in enumerate(site.groups)
    }
    return Layout(
        site=site,
        vms_by_name=_place_vms(site, find_port),
        members_by_group=_place_members(site, find_port),
        platform=HttpPort(PLATFORM_IP, find_port(PLATFORM_IP)),
        platform_faults=HttpPort(PLATFORM_IP, find_port(PLATFORM_IP)),
        faults_by_group={
            group: HttpPort(port.ip, find_port(port.ip))
            for group, port in group_faults.items()
        },
        credentials_by_name={
            (organisation.name, name): Credential(
                organisation.name, name, f"{name}-key-{organisation.name}"
            )
            for organisation in site.organisations
            for name in (CURRENT, FORMER)
        },
    )


def _network(number: int) -> str:
    return f"127.{number}.0.0/16"


def _place_vms(site: Site, find_port: PortFinder) -> dict[str, Vm]:
    vms = {}
    for number, data_centre in enumerate(site.data_centres, 1):
        for place in range(1, VMS_PER_DATA_CENTRE[number - 1] + 1):
            ip = f"127.{number}.{place}.1"
            name = f"vm-{len(vms) + 1}"
            ports = [find_port(ip) for _ in range(5)]
            vms[name] = Vm(name, data_centre, _network(number), ip, *ports)
    return vms


def _place_members(
    site: Site, find_port: PortFinder
) -> dict[str, tuple[GroupMember, ...]]:
    members_by_group = {}
    placed = [0] * len(site.data_centres)
    for number, group in enumerate(site.groups):
        members = []
        for place in range(MEMBERS):
            centre = (number + place) % len(site.data_centres)
            placed[centre] += 1
            ip = f"127.{centre + 1}.{100 + placed[centre]}.1"
            members.append(
                GroupMember(
                    name=f"{group}-{'abc'[place]}",
                    group=group,
                    data_centre=site.data_centres[centre],
                    network=_network(centre + 1),
                    ip=ip,
                    port=find_port(ip),
                )
            )
        members_by_group[group] = tuple(members)
    return members_by_group


def delay_rules(site: Site) -> list[LinkRule]:
    """Return the rules that put data centres their distance apart."""
    networks = [_network(n + 1) for n in range(len(site.data_centres))]
    return [
        LinkRule(source, target, "delay", site.data_centre_delay_ms)
        for source in networks
        for target in networks
        if source != target
    ]


def cut_rules(network: str, others: list[str]) -> list[LinkRule]:
    """Return the rules that cut a network off from others, both ways."""
    rules = []
    for other in others:
        rules.append(LinkRule(network, other, "cut"))
        rules.append(LinkRule(other, network, "cut"))
    return rules


def make_configuration(layout: Layout) -> dict[str, Any]:
    """Return the configuration that the operators submit first."""
    site = layout.site
    return {
        "site": site.name,
        "organisations": {
            organisation.name: {
                "keys": _make_keys(layout, organisation.name),
                "rate": organisation.rate,
                "burst": organisation.burst,
                "weight": organisation.weight,
                "groups": list(site.groups),
            }
            for organisation in site.organisations
        },
        "groups": {
            group: {
                "connections": site.connections,
                "members": {
                    member.name: {
                        "data_centre": member.data_centre,
                        "ip": member.ip,
                        "port": member.port,
                    }
                    for member in members
                },
            }
            for group, members in layout.members_by_group.items()
        },
        "kinds": _make_kinds(site),
        "withdrawn": [],
        "draining_members": [],
    }


def _make_keys(layout: Layout, organisation: str) -> list[dict[str, str]]:
    """Return both keys: as in a rotation, two are valid at once."""
    credentials = (
        layout.credentials_by_name[(organisation, name)]
        for name in (CURRENT, FORMER)
    )
    return [{"name": c.name, "hash": hash_key(c.key)} for c in credentials]


def _make_kinds(site: Site) -> dict[str, Any]:
    kinds = {
        entry.kind: {"weight": site.weights_by_kind.get(entry.kind, 1.0)}
        for entry in site.mix
    }
    for kind in LONG_KINDS:
        weight = site.weights_by_kind.get(kind, 1.0)
        kinds[kind] = {"weight": weight, "long": True}
    return kinds


def _toml(tables: dict[str, dict[str, Any]]) -> str:
    """Return tables as TOML; JSON scalars and lists are valid there."""
    lines = []
    for table, values in tables.items():
        if table:
            lines.append(f"[{table}]")
        lines.extend(f"{key} = {dumps(v)}" for key, v in values.items())
    return "\n".join(lines) + "\n"


def render_vm_settings(
    layout: Layout, vm: Vm, configuration_file: str = ""
) -> str:
    """Return the settings file of a VM's proxy and agent.

    ``configuration_file`` is for the baseline, which has no agent.
    """
    proxy = {
        "caller_port": vm.caller_port,
        "peer_port": vm.proxy_peer_port,
        "http_port": vm.proxy_http_port,
    }
    if configuration_file:
        proxy["configuration_file"] = configuration_file
    return _toml(
        {
            "vm": {
                "name": vm.name,
                "data_centre": vm.data_centre,
                "ip": vm.ip,
            },
            "proxy": proxy,
            "agent": {
                "peer_port": vm.agent_peer_port,
                "http_port": vm.agent_http_port,
            },
            "platform": {"url": layout.platform_url},
            "fleet": {"token_secrets": [TOKEN_SECRET]},
            "log": {"level": "INFO"},
            "faults": {"enabled": True},
        }
    )


def render_group_settings(layout: Layout, group: str) -> str:
    """Return the settings file of a group's stand-in."""
    members = layout.members_by_group[group]
    faults = layout.faults_by_group[group]
    tables: dict[str, dict[str, Any]] = {
        "": {
            "group": group,
            "primary": members[0].name,
            "connections": layout.site.connections,
            "slots": SLOTS,
            "connect_ms": CONNECT_S * 1000.0,
            "read_ms": READ_SERVICE_S * 1000.0,
            "write_ms": WRITE_SERVICE_S * 1000.0,
            "step_ms": STEP_MS,
            "apply_lag_ms": APPLY_LAG_MS,
            "link_faults": True,
        },
        "faults": {"ip": faults.ip, "port": faults.port},
    }
    for member in members:
        tables[f"members.{member.name}"] = {
            "ip": member.ip,
            "port": member.port,
            "data_centre": member.data_centre,
        }
    return _toml(tables)


def render_platform_settings(layout: Layout) -> str:
    """Return the settings file of the platform's stand-in."""
    listen, faults = layout.platform, layout.platform_faults
    text = _toml(
        {
            "": {"list_lag_s": LIST_LAG_S},
            "listen": {"ip": listen.ip, "port": listen.port},
            "faults": {"ip": faults.ip, "port": faults.port},
        }
    )
    for vm in layout.vms_by_name.values():
        text += "[[vms]]\n" + _toml(
            {
                "": {
                    "vm": vm.name,
                    "data_centre": vm.data_centre,
                    "ip": vm.ip,
                    "agent_port": vm.agent_peer_port,
                    "proxy_port": vm.proxy_peer_port,
                }
            }
        )
    return text
