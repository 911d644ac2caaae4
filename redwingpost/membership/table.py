"""The member table: heartbeats merged, the platform's list laid over.

Answers a list that lags by seconds and heartbeats that arrive twice,
late, over detours or out of order. Merging by (incarnation, sequence)
gives the same table in whatever order they come; the list only tells
where a VM that was never heard may be found, and when a silent one can
be forgotten. Were the list believed over heartbeats, a replaced VM would
be served its predecessor's traffic for as long as the list lags.
"""

from collections.abc import Iterable, Mapping
from zlib import crc32

from redwingpost.membership.beats import Beat, Evidence, Member
from redwingpost.ports import VmEntry

#: A silent VM that the list no longer holds counts as gone after this
#: (seconds): longer than the list may lag behind a VM that is new. Gone
#: VMs are dropped after as long again, by when everyone has heard.
FORGET_AFTER_S = 60.0


class MemberTable:
    """All VMs that this one knows of, itself included.

    Parameters
    ----------
    vm : str
        This VM: what others say of it is never merged.

    Examples
    --------
    >>> table = MemberTable("vm-1")
    >>> beat = Beat("vm-2", "lima-1", "127.1.1.2", 1, 2, 7, 1)
    >>> table.merge(beat, heard_at=5.0, evidence=Evidence.DIRECT)
    True
    >>> table.merge(beat, heard_at=5.0, evidence=Evidence.PASSED_ON)
    False
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._members_by_vm: dict[str, Member] = {}
        self._listed: frozenset[str] = frozenset()
        self._missed_since: dict[str, float] = {}
        self._revision = 0
        self._mark = 0

    @property
    def mark(self) -> int:
        """A 32-bit sum over the members that are there.

        Two VMs with equal marks need not send each other anything but
        their own heartbeats. It is kept up with each change, since
        summing up 1,000 members at each exchange would cost more than
        all the rest of it.
        """
        return self._mark

    @property
    def revision(self) -> int:
        """Grows with each change of substance."""
        return self._revision

    @property
    def by_vm(self) -> Mapping[str, Member]:
        """The members, by name of their VM."""
        return self._members_by_vm

    def of_data_centre(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of one data centre, in order of name."""
        return tuple(
            member
            for _, member in sorted(self._members_by_vm.items())
            if member.beat.data_centre == data_centre
        )

    def data_centres(self) -> frozenset[str]:
        """Return the data centres that have members."""
        return frozenset(
            member.beat.data_centre for member in self._members_by_vm.values()
        )

    def set_own(self, beat: Beat, now: float) -> None:
        """Put in this VM's own heartbeat."""
        self._store(beat, now)

    def merge(self, beat: Beat, heard_at: float, evidence: Evidence) -> bool:
        """Take in a heartbeat.

        Parameters
        ----------
        beat : Beat
            The heartbeat.
        heard_at : float
            When the VM sent it at the earliest (seconds, own clock).
        evidence : Evidence
            How it came here.

        Returns
        -------
        bool
            True if the VM's substance changed.
        """
        if beat.vm == self._vm:
            return False
        known = self._members_by_vm.get(beat.vm)
        if known is None and beat.gone:
            return False
        if known is None or beat.order > known.beat.order:
            alive = evidence is not Evidence.LISTED and not beat.gone
            before = known.heard_at if known else float("-inf")
            heard = max(before, heard_at) if alive else before
            return self._store(beat, heard)
        if beat.order == known.beat.order and not beat.gone:
            heard = max(known.heard_at, heard_at)
            self._members_by_vm[beat.vm] = known._replace(heard_at=heard)
        return False

    def vouch(self, data_centre: str, heard_at: float) -> None:
        """Note that a data centre's relay was alive at ``heard_at``.

        It would have told of members that are gone, so that the others
        count as alive too, without a heartbeat of each.
        """
        for member in self.of_data_centre(data_centre):
            if member.beat.gone or member.beat.incarnation == 0:
                continue
            if member.beat.vm != self._vm:
                heard = max(member.heard_at, heard_at)
                self._members_by_vm[member.beat.vm] = member._replace(
                    heard_at=heard
                )

    def take_list(self, entries: Iterable[VmEntry], now: float) -> None:
        """Lay the platform's list over the table.

        VMs that were never heard become known by their address; silent
        ones that have been missing from the list for long are gone.
        """
        listed = {entry.vm: entry for entry in entries}
        self._listed = frozenset(listed)
        for entry in listed.values():
            if entry.vm not in self._members_by_vm and entry.vm != self._vm:
                beat = Beat(
                    vm=entry.vm,
                    data_centre=entry.data_centre,
                    ip=entry.ip,
                    agent_port=entry.agent_port,
                    proxy_port=entry.proxy_port,
                    incarnation=0,
                    sequence=0,
                    draining=entry.state == "leaving",
                )
                self.merge(beat, float("-inf"), Evidence.LISTED)
        for vm, member in tuple(self._members_by_vm.items()):
            known = member._replace(listed=vm in self._listed)
            self._members_by_vm[vm] = known
        self._mark_missing(now)

    def drop_gone(self, now: float) -> None:
        """Drop VMs that have been gone and silent for long."""
        for vm, member in tuple(self._members_by_vm.items()):
            unheard = member.beat.incarnation == 0 and not member.listed
            gone = member.beat.gone or unheard
            if gone and member.silent_s(now) > 2 * FORGET_AFTER_S:
                del self._members_by_vm[vm]
                self._missed_since.pop(vm, None)

    def _mark_missing(self, now: float) -> None:
        """Mark silent VMs gone that the list has lacked for long.

        It is the only way in which the sole VM of a data centre can be
        found to be gone: nobody there is left to judge it.
        """
        for vm, member in tuple(self._members_by_vm.items()):
            if member.listed or vm == self._vm:
                self._missed_since.pop(vm, None)
                continue
            since = self._missed_since.setdefault(vm, now)
            missing_s = min(now - since, member.silent_s(now))
            if missing_s >= FORGET_AFTER_S and not member.beat.gone:
                gone = member.beat._replace(gone=True, relay=False)
                self._store(gone, member.heard_at)

    def _store(self, beat: Beat, heard_at: float) -> bool:
        known = self._members_by_vm.get(beat.vm)
        changed = known is None or known.beat.substance != beat.substance
        if changed:
            self._revision += 1
            before = _weight(known.beat) if known else 0
            self._mark = (self._mark - before + _weight(beat)) % 2**32
        self._members_by_vm[beat.vm] = Member(
            beat=beat,
            heard_at=heard_at,
            revision=self._revision if changed else known.revision,
            listed=beat.vm in self._listed,
        )
        return changed


def _weight(beat: Beat) -> int:
    """Return a member's part of the mark; 0 if it isn't there."""
    if beat.gone or beat.incarnation == 0:
        return 0
    return crc32(f"{beat.vm}|{beat.substance}".encode())
