"""Fetch the configuration from a VM that has a newer one."""

from collections.abc import Callable

from redwingpost.membership.hearing import Heartbeat, VmTable
from redwingpost.node.admission import Admission
from redwingpost.node.copies import fetch_copy
from redwingpost.node.registry import MemberReader, RulesReader
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
        newest = max(
            self._vms.heard(now), key=lambda b: b.config_version, default=None
        )
        in_force = self._admission.rules.version
        if newest is None or newest.config_version <= in_force:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since >= COPY_AFTER_S:
            self._behind_since = now
            await self._fetch(newest)

    async def _fetch(self, heartbeat: Heartbeat) -> None:
        got = await fetch_copy(heartbeat.ip, self._port)
        if got.is_error():
            log_event("copy-failed", vm=heartbeat.vm, detail=got.error.detail)
            return
        if got.ok.configuration is not None:
            log_event("copy-taken", vm=heartbeat.vm)
            self._rules.take(got.ok.configuration)
        if not self._has_members():
            self._members.on_rows(got.ok.members)
