"""The tables of a settings file as typed records.

A field without a default is required. A port of 0 is not served.
"""

from typing import NamedTuple


class VmSettings(NamedTuple):
    """``[vm]``: the VM's name, data centre and IP address."""

    name: str
    data_centre: str
    ip: str


class ProxySettings(NamedTuple):
    """``[proxy]``: the proxy's ports and shutdown.

    ``leave_s`` is how long a stopping proxy continues to serve after it
    reports itself not ready. It must be longer than the load balancer's
    check interval.
    ``configuration_file`` names a configuration to serve without an
    agent, for tests. ``homes`` is the number of VMs that hold
    connections to one group's members (``redwingpost.routing.homes``);
    it must be the same on all VMs of a fleet.
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
    """``[platform]``: the address of the table and object service."""

    url: str = ""
    timeout_s: float = 2.0


class TargetSettings(NamedTuple):
    """``[targets]``: the credentials for database members."""

    user: str = "redwing"
    password: str = ""


class FleetSettings(NamedTuple):
    """``[fleet]``: settings that all VMs share.

    ``token_secrets`` authenticate session tokens: the first one signs,
    all are accepted. ``key_confirmation_s`` is how long keys are accepted
    after the last confirmation of the withdrawals.
    """

    token_secrets: tuple[str, ...] = ()
    token_secrets_file: str = ""
    key_confirmation_s: float = 600.0


class TlsSettings(NamedTuple):
    """``[tls]``: the certificate files; they are reloaded on change."""

    certificate: str
    private_key: str
    authority: str
    caller_certificate: str = ""
    caller_private_key: str = ""


class LogSettings(NamedTuple):
    """``[log]``: the log level."""

    level: str = "INFO"


class FaultSettings(NamedTuple):
    """``[faults]``: link faults set over HTTP, for tests and benches."""

    enabled: bool = False


class Settings(NamedTuple):
    """All settings; ``tls`` is None if it isn't configured."""

    vm: VmSettings
    proxy: ProxySettings = ProxySettings()
    agent: AgentSettings = AgentSettings()
    platform: PlatformSettings = PlatformSettings()
    targets: TargetSettings = TargetSettings()
    fleet: FleetSettings = FleetSettings()
    tls: TlsSettings | None = None
    log: LogSettings = LogSettings()
    faults: FaultSettings = FaultSettings()
