"""Faults of the platform, and commands that change its list of VMs."""

from typing import Any

from redwingpost.core import Registry
from redwingpost.standin.faults import Fault
from redwingpost.standin.settings import VmSettings

PLATFORM_FAULTS: Registry[Fault] = Registry("platform fault")

_OUTAGES = ("refuse", "hang")


@PLATFORM_FAULTS.register("outage")
async def outage(platform: Any, kind: str = "refuse") -> None:
    """Answer 503 (``refuse``) or nothing (``hang``) until ``recover``."""
    if kind not in _OUTAGES:
        raise ValueError(f"kind must be one of {', '.join(_OUTAGES)}")
    platform.set_outage(kind)


@PLATFORM_FAULTS.register("recover")
async def recover(platform: Any) -> None:
    """End an outage and the delay set by ``slow``."""
    platform.set_outage("")
    platform.slow_s = 0.0


@PLATFORM_FAULTS.register("slow")
async def slow(platform: Any, ms: float) -> None:
    """Delay every request by ``ms``."""
    platform.slow_s = float(ms) / 1000


@PLATFORM_FAULTS.register("lose-answer")
async def lose_answer(platform: Any, count: int = 1, match: str = "") -> None:
    """Apply the next ``count`` writes, but abort instead of answering."""
    platform.lost_answers = int(count)
    platform.lost_answers_match = match


@PLATFORM_FAULTS.register("list-lag")
async def list_lag(platform: Any, seconds: float) -> None:
    """Show changes of the list of VMs ``seconds`` late."""
    platform.vms.lag_s = float(seconds)


@PLATFORM_FAULTS.register("vm-add")
async def vm_add(
    platform: Any,
    vm: str,
    data_centre: str,
    ip: str,
    agent_port: int,
    proxy_port: int,
) -> None:
    """Add a VM to the list or replace its entry."""
    entry = VmSettings(vm, data_centre, ip, agent_port, proxy_port)
    platform.vms.put(entry, platform.now())


@PLATFORM_FAULTS.register("vm-remove")
async def vm_remove(platform: Any, vm: str) -> None:
    """Remove a VM from the list."""
    platform.vms.remove(vm, platform.now())


@PLATFORM_FAULTS.register("vm-leaving")
async def vm_leaving(platform: Any, vm: str) -> None:
    """Mark a VM as leaving."""
    platform.vms.set_state(vm, "leaving", platform.now())


@PLATFORM_FAULTS.register("dump")
async def dump(platform: Any) -> dict[str, Any]:
    """Return every row and the keys of all objects."""
    return {
        "rows": platform.tables.dump(),
        "objects": sorted(platform.objects_by_key),
    }


@PLATFORM_FAULTS.register("requests")
async def requests(platform: Any) -> dict[str, Any]:
    """Return the number of received reads and writes."""
    return dict(platform.requests_by_kind)
