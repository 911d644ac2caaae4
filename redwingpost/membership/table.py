"""The member table: merged heartbeats and the platform's list of VMs.

Heartbeats may arrive twice, late, relayed or out of order, and the list
lags by seconds. Merging by (incarnation, sequence) gives the same table
in any order of arrival. The list only provides the addresses of VMs
without a heartbeat yet, and tells when a silent VM can be forgotten. If
the list took precedence over heartbeats, a new VM would get the traffic
of the VM that it replaced for as long as the list lags.
"""

from collections.abc import Iterable, Mapping
from zlib import crc32

from redwingpost.membership.beats import Beat, BeatSource, Member
from redwingpost.ports import VmEntry

#: Seconds after which a silent VM that the list no longer holds counts as
#: gone: longer than the list may lag behind a VM that is new. Gone VMs are
#: dropped once they have been silent for twice this time; by then every VM
#: has received the change.
FORGET_AFTER_S = 60.0


class MemberTable:
    """All VMs known to this one, itself included.

    Parameters
    ----------
    vm : str
        This VM; heartbeats for it from other VMs are never merged.

    Examples
    --------
    >>> table = MemberTable("vm-1")
    >>> beat = Beat("vm-2", "lima-1", "127.1.1.2", 1, 2, 7, 1)
    >>> table.merge(beat, seen_at=5.0, source=BeatSource.DIRECT)
    True
    >>> table.merge(beat, seen_at=5.0, source=BeatSource.RELAYED)
    False
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._members_by_vm: dict[str, Member] = {}
        self._listed: frozenset[str] = frozenset()
        self._unlisted_since: dict[str, float] = {}
        self._revision = 0
        self._mark = 0

    @property
    def mark(self) -> int:
        """A 32-bit checksum over the members that are present.

        Two VMs with equal checksums need to exchange only their own
        heartbeats. It is updated with each change, since summing up
        1,000 members at each exchange would cost more than the rest of
        the exchange.
        """
        return self._mark

    @property
    def revision(self) -> int:
        """Counter of the changes of any member's propagated fields."""
        return self._revision

    @property
    def by_vm(self) -> Mapping[str, Member]:
        """The members, by VM name."""
        return self._members_by_vm

    def of_data_centre(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of one data centre, sorted by name."""
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
        """Store this VM's own heartbeat."""
        self._store(beat, now)

    def merge(self, beat: Beat, seen_at: float, source: BeatSource) -> bool:
        """Merge a heartbeat.

        Parameters
        ----------
        beat : Beat
            The heartbeat.
        seen_at : float
            When the VM sent it at the earliest (seconds, own clock).
        source : BeatSource
            How it reached this VM.

        Returns
        -------
        bool
            True if the VM's propagated fields changed.
        """
        if beat.vm == self._vm:
            return False
        current = self._members_by_vm.get(beat.vm)
        if current is None and beat.gone:
            return False
        if current is None or beat.order > current.beat.order:
            alive = source is not BeatSource.LISTED and not beat.gone
            before = current.last_seen_at if current else float("-inf")
            latest = max(before, seen_at) if alive else before
            return self._store(beat, latest)
        if beat.order == current.beat.order and not beat.gone:
            latest = max(current.last_seen_at, seen_at)
            self._members_by_vm[beat.vm] = current._replace(
                last_seen_at=latest
            )
        return False

    def refresh_data_centre(self, data_centre: str, seen_at: float) -> None:
        """Note that a data centre's relay was alive at ``seen_at``.

        The relay reports members that are gone, so the others count as
        alive too, without a heartbeat of each.
        """
        for member in self.of_data_centre(data_centre):
            if member.beat.gone or member.beat.incarnation == 0:
                continue
            if member.beat.vm != self._vm:
                latest = max(member.last_seen_at, seen_at)
                self._members_by_vm[member.beat.vm] = member._replace(
                    last_seen_at=latest
                )

    def apply_vm_list(self, entries: Iterable[VmEntry], now: float) -> None:
        """Update the table from the platform's list.

        Listed VMs that are not in the table are added with their address
        and no heartbeat. Silent VMs that the list has lacked for
        ``FORGET_AFTER_S`` are marked gone.
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
                self.merge(beat, float("-inf"), BeatSource.LISTED)
        for vm, member in tuple(self._members_by_vm.items()):
            updated = member._replace(listed=vm in self._listed)
            self._members_by_vm[vm] = updated
        self._mark_missing(now)

    def drop_gone_members(self, now: float) -> None:
        """Drop VMs that are gone and have been silent for long."""
        for vm, member in tuple(self._members_by_vm.items()):
            unlisted = member.beat.incarnation == 0 and not member.listed
            gone = member.beat.gone or unlisted
            if gone and member.silent_s(now) > 2 * FORGET_AFTER_S:
                del self._members_by_vm[vm]
                self._unlisted_since.pop(vm, None)

    def _mark_missing(self, now: float) -> None:
        """Mark silent VMs as gone that the list has lacked for long.

        Only this detects that the sole VM of a data centre is gone: no
        relay is left there that could mark it.
        """
        for vm, member in tuple(self._members_by_vm.items()):
            if member.listed or vm == self._vm:
                self._unlisted_since.pop(vm, None)
                continue
            since = self._unlisted_since.setdefault(vm, now)
            missing_s = min(now - since, member.silent_s(now))
            if missing_s >= FORGET_AFTER_S and not member.beat.gone:
                gone = member.beat._replace(gone=True, relay=False)
                self._store(gone, member.last_seen_at)

    def _store(self, beat: Beat, last_seen_at: float) -> bool:
        current = self._members_by_vm.get(beat.vm)
        changed = (
            current is None
            or current.beat.propagated_fields != beat.propagated_fields
        )
        if changed:
            self._revision += 1
            before = _checksum(current.beat) if current else 0
            self._mark = (self._mark - before + _checksum(beat)) % 2**32
        self._members_by_vm[beat.vm] = Member(
            beat=beat,
            last_seen_at=last_seen_at,
            revision=self._revision if changed else current.revision,
            listed=beat.vm in self._listed,
        )
        return changed


def _checksum(beat: Beat) -> int:
    """Return a member's part of the mark; 0 if it isn't present."""
    if beat.gone or beat.incarnation == 0:
        return 0
    return crc32(f"{beat.vm}|{beat.propagated_fields}".encode())
