"""Fetch the configuration from a VM that has a newer one."""

from collections.abc import Callable

from redwingpost.membership.hearing import VmTable
from redwingpost.node.fleet.copies import fetch_copy
from redwingpost.node.fleet.registry import MemberReader, RulesReader
from redwingpost.node.request.admission import Admission
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock

#: Seconds for which another VM must have had a newer configuration before
#: its copy is fetched: the store usually tells both within less.
COPY_AFTER_S = 0.5


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
    port : int
        Where all VMs show their copies.
    clock : Clock
        For the wait.
    """

    def __init__(
        self,
        vms: VmTable,
        admission: Admission,
        rules: RulesReader,
        members: MemberReader,
        has_members: Callable[[], bool],
        port: int,
        clock: Clock,
    ) -> None:
        self._vms = vms
        self._admission = admission
        self._rules = rules
        self._members = members
        self._has_members = has_members
        self._port = port
        self._clock = clock
        self._behind_since: float | None = None

    async def fetch_if_behind(self) -> None:
        """Fetch a peer's copy where it has a newer configuration."""
        now = self._clock.now()
        version, ip = self._vms.newest_configuration(now)
        if version <= self._admission.rules.version:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since >= COPY_AFTER_S:
            self._behind_since = now
            await self._fetch(ip)

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
