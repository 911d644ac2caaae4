"""Fetch the configuration from a VM that has a newer one."""

from asyncio import Task, create_task
from collections.abc import Callable
from random import Random

from redwingpost.membership.vm_table import VmTable
from redwingpost.node.fleet.copies import fetch_copy
from redwingpost.node.fleet.registry import MemberReader, RulesReader
from redwingpost.node.request.admission import Admission
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock

#: Seconds for which another VM must have had a newer configuration before
#: its copy is fetched, where this VM's own source has failed and where it
#: has not. A large configuration takes a while to arrive; fetched once more
#: meanwhile, by all VMs from the one that had it first, it would fill that
#: VM's link and arrive later at all of them.
COPY_AFTER_S = 0.5
COPY_ANYWAY_S = 1.2

#: Seconds over which the VMs spread their fetches.
SPREAD_S = 0.5


class CopyFetcher:
    """Takes a peer's rows where the store's don't arrive.

    Parameters
    ----------
    vms, admission : VmTable, Admission
        Which versions others have, and which is in force here.
    rules, members : RulesReader, MemberReader
        Get the rows.
    has_members : callable
        Says whether the store has told the members itself.
    is_source_lost : callable
        Says whether the configuration's own source has failed.
    port : int
        Where all VMs show their copies.
    clock : Clock
        For the wait.
    random : Random
        Spreads the fetches of all VMs.
    """

    def __init__(
        self,
        vms: VmTable,
        admission: Admission,
        rules: RulesReader,
        members: MemberReader,
        has_members: Callable[[], bool],
        is_source_lost: Callable[[], bool],
        port: int,
        clock: Clock,
        random: Random,
    ) -> None:
        self._vms = vms
        self._admission = admission
        self._rules = rules
        self._members = members
        self._has_members = has_members
        self._is_source_lost = is_source_lost
        self._port = port
        self._clock = clock
        self._random = random
        self._behind_since: float | None = None
        self._spread_s = 0.0
        self._fetching: Task | None = None

    def fetch_if_behind(self) -> None:
        """Fetch a peer's copy where it has a newer configuration.

        Whoever calls isn't held up: a peer may take its time limit.
        """
        now = self._clock.now()
        version, ip = self._vms.newest_configuration(now)
        if version <= self._admission.rules.version:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
            self._spread_s = self._random.uniform(0.0, SPREAD_S)
        if self._fetching is not None and not self._fetching.done():
            return
        if now - self._behind_since >= self._wait_s():
            self._behind_since = now
            self._fetching = create_task(self._fetch(ip))

    def _wait_s(self) -> float:
        after_s = COPY_AFTER_S if self._is_source_lost() else COPY_ANYWAY_S
        return after_s + self._spread_s

    async def _fetch(self, ip: str) -> None:
        got = await fetch_copy(ip, self._port)
        if got.is_error():
            log_event("copy-failed", ip=ip, detail=got.error.detail)
            return
        if got.ok.configuration is not None:
            log_event("copy-taken", ip=ip)
            self._rules.take(got.ok.configuration)
        if not self._has_members():
            self._members.on_rows(got.ok.members)
