"""Settings of a process, read from one TOML file and validated.

``docs/design/settings.md`` describes the format.
"""

from redwingpost.settings.decode import decode_table
from redwingpost.settings.load import load_settings, parse_settings
from redwingpost.settings.model import (
    AgentSettings,
    FaultSettings,
    FleetSettings,
    LogSettings,
    PlatformSettings,
    ProxySettings,
    Settings,
    TargetSettings,
    TlsSettings,
    VmSettings,
)

__all__ = [
    "AgentSettings",
    "FaultSettings",
    "FleetSettings",
    "LogSettings",
    "PlatformSettings",
    "ProxySettings",
    "Settings",
    "TargetSettings",
    "TlsSettings",
    "VmSettings",
    "decode_table",
    "load_settings",
    "parse_settings",
]
