"""The tables of a settings file as typed records.

A field without a default must be given. Ports of 0 mean that the
process doesn't serve that port.
"""

from typing import NamedTuple


class VmSettings(NamedTuple):
    """``[vm]``: who this VM is and where."""

    name: str
    data_centre: str
    ip: str


class ProxySettings(NamedTuple):
    """``[proxy]``: the proxy's ports.

    ``leave_s`` is how long a proxy that stops goes on serving after it
    turned unready: longer than the balancer's check interval.
    ``configuration_file`` names a configuration to serve without an
    agent, for tests. ``homes`` is how many VMs hold connections to one
    group's members (``redwingpost.routing.homes``); all VMs of a fleet
    must have the same number.
    """

    caller_port: int = 0
    peer_port: int = 0
    http_port: int = 0
    leave_s: float = 1.0
    configuration_file: str = ""
    homes: int = 6


class AgentSettings(NamedTuple):
    """``[agent]``: the agent's ports."""

    peer_port: int = 0
    http_port: int = 0


class PlatformSettings(NamedTuple):
    """``[platform]``: where the table and object service answers."""

    url: str = ""
    timeout_s: float = 2.0


class TargetSettings(NamedTuple):
    """``[targets]``: how the system signs in to database members."""

    user: str = "redwing"
    password: str = ""


class FleetSettings(NamedTuple):
    """``[fleet]``: what all VMs share.

    ``token_secrets`` are the secrets that authenticate session tokens;
    the first signs, all are accepted. ``key_confirmation_s`` is how long
    keys are honoured after the last confirmation of the withdrawals.
    """

    token_secrets: tuple[str, ...] = ()
    token_secrets_file: str = ""
    key_confirmation_s: float = 600.0


class TlsSettings(NamedTuple):
    """``[tls]``: certificate files, reloaded when they change."""

    certificate: str
    private_key: str
    authority: str
    caller_certificate: str = ""
    caller_private_key: str = ""


class LogSettings(NamedTuple):
    """``[log]``: how much is logged."""

    level: str = "INFO"


class FaultSettings(NamedTuple):
    """``[faults]``: link faults by HTTP, for tests and benches."""

    enabled: bool = False


class Settings(NamedTuple):
    """A whole settings file; ``tls`` is None where not configured."""

    vm: VmSettings
    proxy: ProxySettings = ProxySettings()
    agent: AgentSettings = AgentSettings()
    platform: PlatformSettings = PlatformSettings()
    targets: TargetSettings = TargetSettings()
    fleet: FleetSettings = FleetSettings()
    tls: TlsSettings | None = None
    log: LogSettings = LogSettings()
    faults: FaultSettings = FaultSettings()
