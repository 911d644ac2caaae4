"""Addresses and settings files of a bench run.

Each VM and member has its own loopback address in its data centre's
network, 127.<data centre>.0.0/16, so that one rule about two networks
cuts the link between data centres. Free ports come from the caller.
"""

from collections.abc import Callable
from json import dumps
from typing import Any, NamedTuple

from redwingpost.bench.callers import Credential, ProxyEndpoint
from redwingpost.bench.control_client import HttpPort, LinkRule
from redwingpost.bench.schedule import CURRENT_KEY, FORMER_KEY
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

#: Address of the platform's stand-in, outside every data centre.
PLATFORM_IP = "127.200.0.1"

#: Delay between receiving and applying on a replica, in milliseconds.
APPLY_LAG_MS = 5.0

#: Service time of a statement inside a transaction, in milliseconds; the
#: commit takes the service time of a write.
STEP_MS = 0.5

#: Delay until a change shows in the platform's list of VMs, in seconds.
LIST_LAG_S = 2.0

#: Secret that signs the bench's session tokens.
TOKEN_SECRET = "bench-secret-0123456789abcdef"

#: Request kinds that occupy a slot for a long time.
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
        """The endpoint of the proxy for callers and health checks."""
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
        """The URL of the table service."""
        return self.platform.url("")

    def primary(self, group: str) -> GroupMember:
        """Return the primary of a group's first term."""
        return self.members_by_group[group][0]

    def vms_in(self, data_centre: str) -> list[Vm]:
        """Return the VMs of one data centre."""
        vms = self.vms_by_name.values()
        return [vm for vm in vms if vm.data_centre == data_centre]


def make_layout(site: Site, find_port: PortFinder) -> Layout:
    """Assign addresses to a site's VMs, members and platform.

    Parameters
    ----------
    site : Site
        Sizes and names of the fleet.
    find_port : callable
        Returns a free port on an IP address.

    Returns
    -------
    Layout
        The first member of group number n is in data centre n.
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
            for name in (CURRENT_KEY, FORMER_KEY)
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
    member_counts = [0] * len(site.data_centres)
    for number, group in enumerate(site.groups):
        members = []
        for place in range(MEMBERS):
            centre = (number + place) % len(site.data_centres)
            member_counts[centre] += 1
            ip = f"127.{centre + 1}.{100 + member_counts[centre]}.1"
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
    """Return the rules that set the delay between data centres."""
    networks = [_network(n + 1) for n in range(len(site.data_centres))]
    return [
        LinkRule(source, target, "delay", site.data_centre_delay_ms)
        for source in networks
        for target in networks
        if source != target
    ]


def cut_rules(network: str, others: list[str]) -> list[LinkRule]:
    """Return the rules that cut a network off in both directions."""
    rules = []
    for other in others:
        rules.append(LinkRule(network, other, "cut"))
        rules.append(LinkRule(other, network, "cut"))
    return rules


def make_configuration(layout: Layout) -> dict[str, Any]:
    """Return the first configuration of a run."""
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
    """Return both keys: during a rotation two keys are valid."""
    credentials = (
        layout.credentials_by_name[(organisation, name)]
        for name in (CURRENT_KEY, FORMER_KEY)
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


def _render_toml(tables: dict[str, dict[str, Any]]) -> str:
    """Return tables as TOML, in which JSON scalars and lists are valid."""
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

    ``configuration_file`` is set for the baseline, which has no agent.
    """
    proxy = {
        "caller_port": vm.caller_port,
        "peer_port": vm.proxy_peer_port,
        "http_port": vm.proxy_http_port,
    }
    if configuration_file:
        proxy["configuration_file"] = configuration_file
    return _render_toml(
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
    return _render_toml(tables)


def render_platform_settings(layout: Layout) -> str:
    """Return the settings file of the platform's stand-in."""
    listen, faults = layout.platform, layout.platform_faults
    text = _render_toml(
        {
            "": {"list_lag_s": LIST_LAG_S},
            "listen": {"ip": listen.ip, "port": listen.port},
            "faults": {"ip": faults.ip, "port": faults.port},
        }
    )
    for vm in layout.vms_by_name.values():
        text += "[[vms]]\n" + _render_toml(
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
