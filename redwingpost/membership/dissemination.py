"""Gossip: which VMs a change is sent to, and what an exchange carries.

If each VM sent a change to each other VM, 1,000 VMs would send a million
messages for it. Instead a change goes from its VM to the data centre's
relay, from there to the relays of the other data centres and to the VMs
of its own. Except for the relay's push to its own data centre, the number
of messages that a VM sends is bounded whatever the size of the fleet. An
exchange carries the heartbeats that changed since the last one and, while
the two tables differ because a message was lost, a few others in
round-robin order.
"""

from collections.abc import Iterable
from enum import Enum

from redwingpost.membership.beats import Beat, Member
from redwingpost.membership.relays import relay_of
from redwingpost.membership.table import MemberTable

#: Heartbeats in one message, at most: changes first, then others in
#: round-robin order. With 64 changes a new VM is up to date on a fleet of
#: 1,000 after 16 exchanges; 4 others are 4 x 100 bytes.
MAX_CHANGES = 64
MAX_ROUND_ROBIN = 4


class ChangeOrigin(Enum):
    """Where a change came from."""

    #: From this VM itself, the store, or an operator's call to this VM.
    LOCAL = "here"
    OWN_DATA_CENTRE = "own data centre"
    OTHER_DATA_CENTRE = "other data centre"


def select_recipients(
    table: MemberTable,
    vm: str,
    is_relay: bool,
    origin: ChangeOrigin,
    source: str = "",
    avoid: frozenset[str] = frozenset(),
) -> tuple[str, ...]:
    """Return the VMs to send a change to.

    Parameters
    ----------
    table : MemberTable
        All known members.
    vm : str
        This VM.
    is_relay : bool
        Whether this VM acts as its data centre's relay.
    origin : ChangeOrigin
        Where the change came from.
    source : str
        The VM that sent the change, which is left out.
    avoid : frozenset of str
        VMs that could not be reached a moment ago. An agent that can't
        reach its relay sends the change to the relay's recipients itself.
        For an unreachable relay of another data centre, another VM there
        gets the change and passes it on in its data centre.

    Returns
    -------
    tuple of str
        Names of VMs without duplicates, this VM and the source left out.
    """
    own = table.by_vm[vm].beat.data_centre
    neighbours = [
        member.beat.vm
        for member in table.of_data_centre(own)
        if not member.beat.gone
    ]
    relay = relay_of(own, table.of_data_centre(own))
    has_no_relay = relay in ("", vm) or relay in avoid
    recipients: list[str] = []
    if origin is ChangeOrigin.OTHER_DATA_CENTRE:
        recipients = neighbours
    elif is_relay or has_no_relay:
        recipients = neighbours + _relays_elsewhere(table, own, avoid)
    elif origin is ChangeOrigin.LOCAL:
        recipients = [relay]
    return tuple(
        name
        for name in dict.fromkeys(recipients)
        if name not in (vm, source) and name not in avoid
    )


def _relays_elsewhere(
    table: MemberTable, own: str, avoid: frozenset[str]
) -> list[str]:
    others = sorted(table.data_centres() - {own})
    relays = (
        relay_of(other, table.of_data_centre(other), avoid) for other in others
    )
    return [relay for relay in relays if relay]


class BeatCursors:
    """Tracks how much of the member table each peer has been sent.

    Examples
    --------
    >>> table = MemberTable("vm-1")
    >>> table.set_own(Beat("vm-1", "d", "127.1.1.1", 1, 2, 7, 1), 0.0)
    >>> cursors = BeatCursors()
    >>> [beat.vm for beat in cursors.next_beats(table, "vm-2")]
    ['vm-1']
    """

    def __init__(self) -> None:
        self._revision_by_vm: dict[str, int] = {}
        self._next_index_by_vm: dict[str, int] = {}

    def next_beats(
        self,
        table: MemberTable,
        peer: str,
        own: Iterable[str] = (),
        differs: bool = True,
    ) -> tuple[Beat, ...]:
        """Return the heartbeats of the next message to ``peer``.

        Parameters
        ----------
        table : MemberTable
            This VM's member table.
        peer : str
            The VM that the message goes to; its own heartbeat is left
            out.
        own : iterable of str
            VMs whose heartbeats go into this message in any case.
        differs : bool
            Whether the peer's table is known to differ.
        """
        chosen = dict.fromkeys(own)
        chosen.update(dict.fromkeys(self._changed(table, peer)))
        if differs:
            chosen.update(dict.fromkeys(self._round_robin(table, peer)))
        chosen.pop(peer, None)
        return tuple(
            table.by_vm[vm].beat for vm in chosen if vm in table.by_vm
        )

    def rewind(self, peer: str) -> None:
        """Start again with a peer that was replaced or did not answer."""
        self._revision_by_vm.pop(peer, None)

    def _changed(self, table: MemberTable, peer: str) -> list[str]:
        since = self._revision_by_vm.get(peer, 0)
        changed: list[Member] = sorted(
            (m for m in table.by_vm.values() if m.revision > since),
            key=lambda member: member.revision,
        )[:MAX_CHANGES]
        if changed:
            self._revision_by_vm[peer] = changed[-1].revision
        return [member.beat.vm for member in changed if _has_heartbeat(member)]

    def _round_robin(self, table: MemberTable, peer: str) -> list[str]:
        vms = [
            vm for vm, m in sorted(table.by_vm.items()) if _has_heartbeat(m)
        ]
        if not vms:
            return []
        start = self._next_index_by_vm.get(peer, 0) % len(vms)
        self._next_index_by_vm[peer] = start + MAX_ROUND_ROBIN
        return (vms + vms)[start : start + min(MAX_ROUND_ROBIN, len(vms))]


def _has_heartbeat(member: Member) -> bool:
    """Return whether a heartbeat of the VM has arrived.

    VMs that are only listed aren't passed on: each VM can read the list.
    """
    return member.beat.incarnation > 0
