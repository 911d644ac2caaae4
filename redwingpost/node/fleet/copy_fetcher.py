"""Fetch the configuration from a VM that has a newer one."""

from asyncio import Task, create_task
from collections.abc import Callable
from random import Random

from redwingpost.membership.vm_table import VmTable
from redwingpost.node.fleet.copies import fetch_copy
from redwingpost.node.fleet.registry import (
    EvacuationReader,
    MemberReader,
    RulesReader,
)
from redwingpost.node.request.admission import Admission
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock

#: Seconds for which another VM must have had a newer configuration before
#: its copy is fetched: if this VM's own source has failed, and if it has
#: not. A large configuration takes a while to arrive. If all VMs meanwhile
#: fetched it from the VM that had it first, they would saturate that VM's
#: link, and it would arrive later everywhere.
FETCH_AFTER_LOSS_S = 0.5
FETCH_AFTER_S = 1.2

#: Maximum random delay (seconds) that spreads the fetches of all VMs.
FETCH_JITTER_S = 0.5


class CopyFetcher:
    """Fetches rows from a peer if the store doesn't deliver them.

    Parameters
    ----------
    vms, admission : VmTable, Admission
        The versions at other VMs, and the version in force here.
    rules, members, evacuations : readers of the copied tables
        Receive the rows. Orders to evacuate are taken from a copy only if
        this VM has read none from the store.
    has_members, has_rules_table : callable
        Return whether the members, and the configuration's table, have been
        read from the store.
    is_source_lost : callable
        Returns whether the configuration's own source has failed.
    port : int
        The metrics port of all VMs, which serves the copies.
    clock : Clock
        Measures the delay.
    random : Random
        Source of the random delay.
    """

    def __init__(
        self,
        vms: VmTable,
        admission: Admission,
        rules: RulesReader,
        members: MemberReader,
        evacuations: EvacuationReader,
        has_members: Callable[[], bool],
        has_rules_table: Callable[[], bool],
        is_source_lost: Callable[[], bool],
        port: int,
        clock: Clock,
        random: Random,
    ) -> None:
        self._vms = vms
        self._admission = admission
        self._rules = rules
        self._members = members
        self._evacuations = evacuations
        self._has_members = has_members
        self._has_rules_table = has_rules_table
        self._is_source_lost = is_source_lost
        self._port = port
        self._clock = clock
        self._random = random
        self._behind_since: float | None = None
        self._jitter_s = 0.0
        self._fetching: Task | None = None
        self._failed_ip = ""

    def fetch_if_behind(self) -> None:
        """Start fetching a peer's copy if its configuration is newer.

        The fetch runs in a task of its own, because a peer may take as
        long as the request timeout.
        """
        now = self._clock.now()
        version, ips = self._vms.newest_configuration(now)
        if version <= self._admission.rules.version:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
            self._jitter_s = self._random.uniform(0.0, FETCH_JITTER_S)
        if self._fetching is not None and not self._fetching.done():
            return
        if now - self._behind_since >= self._wait_s():
            self._behind_since = now
            self._fetching = create_task(self._fetch(self._choose(ips)))

    def _choose(self, ips: tuple[str, ...]) -> str:
        """Return the VM to ask: not the one that failed, if there is another.

        A VM whose heartbeats arrive may be unreachable all the same.
        """
        others = tuple(ip for ip in ips if ip != self._failed_ip)
        return self._random.choice(others or ips)

    def _wait_s(self) -> float:
        after_s = (
            FETCH_AFTER_LOSS_S if self._is_source_lost() else FETCH_AFTER_S
        )
        return after_s + self._jitter_s

    async def _fetch(self, ip: str) -> None:
        got = await fetch_copy(ip, self._port)
        if got.is_error():
            log_event("copy-failed", ip=ip, detail=got.error.detail)
            self._failed_ip = ip
            return
        self._failed_ip = ""
        if got.ok.configuration is not None:
            log_event("copy-taken", ip=ip)
            self._rules.apply_if_newer(got.ok.configuration)
        if not self._has_rules_table():
            self._evacuations.replace(got.ok.evacuated)
        if not self._has_members():
            self._members.take_copy(got.ok.members)
