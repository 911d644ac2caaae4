"""On which VMs a configuration version is in force, and why not on others.

An operator has to know whether a change has reached all VMs before making
the next one. That it was accepted isn't enough: a VM that is cut off goes
on serving with an older version.
"""

from collections.abc import Iterable
from typing import NamedTuple

from redwingpost.membership.beats import Beat

#: Seconds without a heartbeat after which a VM's reported version may be
#: outdated: a few heartbeat intervals of a small data centre.
SILENT_AFTER_S = 5.0


class VmReport(NamedTuple):
    """One VM's line of ``redwingctl status``.

    ``reason`` is empty where the version is in force.
    """

    vm: str
    data_centre: str
    agent_version: int
    proxy_version: int
    silent_s: float
    relay: bool
    draining: bool
    reason: str


class Sighting(NamedTuple):
    """A VM's heartbeat as reported by one agent, and its age."""

    beat: Beat
    silent_s: float


def latest_sightings(sightings: Iterable[Sighting]) -> dict[str, Sighting]:
    """Return the latest sighting of each VM, from several agents'."""
    latest_by_vm: dict[str, Sighting] = {}
    for sighting in sightings:
        vm = sighting.beat.vm
        latest = latest_by_vm.get(vm)
        if latest is None or _sort_key(sighting) > _sort_key(latest):
            latest_by_vm[vm] = sighting
    return latest_by_vm


def _sort_key(sighting: Sighting) -> tuple:
    return (*sighting.beat.order, -sighting.silent_s)


def report_vm(sighting: Sighting, version: int) -> VmReport:
    """Return one VM's line of the status.

    Parameters
    ----------
    sighting : Sighting
        The latest sighting of the VM.
    version : int
        The version that should be in force.

    Examples
    --------
    >>> beat = Beat("vm-1", "lima-1", "127.1.1.1", 1, 2, 7, 1,
    ...             config_version=2, proxy_version=1, proxy_attached=True)
    >>> report_vm(Sighting(beat, 0.2), version=2).reason
    'the proxy is at version 1'
    """
    beat = sighting.beat
    return VmReport(
        vm=beat.vm,
        data_centre=beat.data_centre,
        agent_version=beat.config_version,
        proxy_version=beat.proxy_version,
        silent_s=sighting.silent_s,
        relay=beat.relay,
        draining=beat.draining,
        reason=_reason(sighting, version),
    )


def _reason(sighting: Sighting, version: int) -> str:
    beat, silent_s = sighting
    if beat.incarnation == 0:
        return "on the platform's list, but no heartbeat received yet"
    if beat.gone:
        return "gone: its data centre's relay receives no heartbeats from it"
    if silent_s > SILENT_AFTER_S:
        return f"no heartbeat for {silent_s:.0f} s: cut off, paused or gone"
    if beat.config_version < version:
        return f"the agent holds version {beat.config_version}"
    if not beat.proxy_attached:
        return "no proxy takes the agent's feed"
    if beat.proxy_version < version:
        return f"the proxy is at version {beat.proxy_version}"
    return ""
