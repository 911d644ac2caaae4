"""Stand-ins for the platform and for database groups, with faults.

Tests and the bench run redwingpost against these over real sockets. A
group's members speak the MySQL protocol and the control statements of
``docs/design/target-port.md``; the platform speaks HTTP/JSON as in
``docs/design/platform-port.md``. ``docs/design/standins.md`` documents
settings and faults.
"""

from redwingpost.standin.group import GroupStandin
from redwingpost.standin.group_faults import GROUP_FAULTS
from redwingpost.standin.platform import PlatformStandin
from redwingpost.standin.platform_faults import PLATFORM_FAULTS
from redwingpost.standin.settings import (
    Endpoint,
    GroupSettings,
    PlatformSettings,
    VmSettings,
    parse_group,
    parse_platform,
)

__all__ = [
    "Endpoint",
    "GROUP_FAULTS",
    "GroupSettings",
    "GroupStandin",
    "PLATFORM_FAULTS",
    "PlatformSettings",
    "PlatformStandin",
    "VmSettings",
    "parse_group",
    "parse_platform",
]
