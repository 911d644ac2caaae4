"""Settings of a process: one TOML file, checked whole, typed.

The format is listed in ``docs/design/settings.md``.
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
