"""Where a version is in force, and why it is not elsewhere.

Answers an operator who has to know whether a change has arrived before
the next one is made: "it was accepted" is no answer while a VM is cut
off and serves by an older version.
"""

from collections.abc import Iterable
from typing import NamedTuple

from redwingpost.membership.beats import Beat

#: A VM unheard for this long may serve by whatever version it had
#: (seconds): a few heartbeats of a small data centre.
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
    """A VM's heartbeat as one agent tells it, and how old it is."""

    beat: Beat
    silent_s: float


def best_sightings(sightings: Iterable[Sighting]) -> dict[str, Sighting]:
    """Return the latest of several agents' sightings of each VM."""
    best: dict[str, Sighting] = {}
    for sighting in sightings:
        vm = sighting.beat.vm
        known = best.get(vm)
        if known is None or _rank(sighting) > _rank(known):
            best[vm] = sighting
    return best


def _rank(sighting: Sighting) -> tuple:
    return (*sighting.beat.order, -sighting.silent_s)


def report_vm(sighting: Sighting, version: int) -> VmReport:
    """Return one VM's line.

    Parameters
    ----------
    sighting : Sighting
        The latest of it.
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
        return "on the platform's list, but never heard"
    if beat.gone:
        return "gone: its data centre's relay no longer hears it"
    if silent_s > SILENT_AFTER_S:
        return f"not heard for {silent_s:.0f} s: cut off, paused or gone"
    if beat.config_version < version:
        return f"the agent holds version {beat.config_version}"
    if not beat.proxy_attached:
        return "no proxy takes the agent's feed"
    if beat.proxy_version < version:
        return f"the proxy is at version {beat.proxy_version}"
    return ""
