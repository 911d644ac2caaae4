"""All scenarios; importing this package registers them."""

from redwingpost.bench.scenarios.changes import ConfigConflict
from redwingpost.bench.scenarios.load import Steady
from redwingpost.bench.scenarios.platform import StoreOutage
from redwingpost.bench.scenarios.primaries import PrimaryLoss
from redwingpost.bench.scenarios.vms import ProxyDeath

__all__ = [
    "ConfigConflict",
    "PrimaryLoss",
    "ProxyDeath",
    "Steady",
    "StoreOutage",
]
