"""Who tells whom, and how much an exchange of heartbeats carries.

Answers growth: were each VM to tell each other one, 1,000 VMs would send
a million messages for a change. News goes from where it arose to its
data centre's relay, from there to the relays of the other data centres
and to the VMs of its own; each VM sends a bounded number of messages
whatever the fleet's size, but for the relay's push to its own data
centre. An exchange carries what changed since the last one and, while
the two tables differ because a message was lost, a few more in turn.
"""

from collections.abc import Iterable
from enum import Enum

from redwingpost.membership.beats import Beat, Member
from redwingpost.membership.relays import relay_of
from redwingpost.membership.table import MemberTable

#: Heartbeats of one message: changes first, then others in turn. 64
#: changes bring a new VM up to date on a fleet of 1,000 in 16 exchanges;
#: 4 in turn are 4 x 100 bytes.
MAX_CHANGES = 64
IN_TURN = 4


class Tell(Enum):
    """Where news came from."""

    #: It arose here: from an operator, the store, or this VM itself.
    HERE = "here"
    OWN_DATA_CENTRE = "own data centre"
    OTHER_DATA_CENTRE = "other data centre"


def whom_to_tell(
    table: MemberTable,
    vm: str,
    is_relay: bool,
    came: Tell,
    source: str = "",
    avoid: frozenset[str] = frozenset(),
) -> tuple[str, ...]:
    """Return the VMs to pass news on to.

    Parameters
    ----------
    table : MemberTable
        All that are known.
    vm : str
        This VM.
    is_relay : bool
        Whether it acts as its data centre's relay.
    came : Tell
        Where the news came from.
    source : str
        Which VM told it; it isn't told again.
    avoid : frozenset of str
        VMs that could not be reached a moment ago. An agent that can't
        reach its relay does the relay's part for its news itself; for a
        relay elsewhere that can't be reached, another VM of its data
        centre is told, which passes the news on there.

    Returns
    -------
    tuple of str
        Names of VMs, none twice, neither this one nor the source.
    """
    own = table.by_vm[vm].beat.data_centre
    neighbours = [
        member.beat.vm
        for member in table.of_data_centre(own)
        if not member.beat.gone
    ]
    relay = relay_of(own, table.of_data_centre(own))
    alone = relay in ("", vm) or relay in avoid
    told: list[str] = []
    if came is Tell.OTHER_DATA_CENTRE:
        told = neighbours
    elif is_relay or alone:
        told = neighbours + _relays_elsewhere(table, own, avoid)
    elif came is Tell.HERE:
        told = [relay]
    return tuple(
        name
        for name in dict.fromkeys(told)
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
    """What each peer has been sent of the member table.

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
        self._turn_by_vm: dict[str, int] = {}

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
            What this VM knows.
        peer : str
            Whom the message goes to; its own heartbeat isn't among it.
        own : iterable of str
            VMs whose heartbeats go into this message in any case.
        differs : bool
            Whether the peer's table is known to differ.
        """
        chosen = dict.fromkeys(own)
        chosen.update(dict.fromkeys(self._changed(table, peer)))
        if differs:
            chosen.update(dict.fromkeys(self._in_turn(table, peer)))
        chosen.pop(peer, None)
        return tuple(
            table.by_vm[vm].beat for vm in chosen if vm in table.by_vm
        )

    def rewind(self, peer: str) -> None:
        """Start over with a peer that was replaced or lost an answer."""
        self._revision_by_vm.pop(peer, None)

    def _changed(self, table: MemberTable, peer: str) -> list[str]:
        since = self._revision_by_vm.get(peer, 0)
        changed: list[Member] = sorted(
            (m for m in table.by_vm.values() if m.revision > since),
            key=lambda member: member.revision,
        )[:MAX_CHANGES]
        if changed:
            self._revision_by_vm[peer] = changed[-1].revision
        return [member.beat.vm for member in changed if _was_heard(member)]

    def _in_turn(self, table: MemberTable, peer: str) -> list[str]:
        vms = [vm for vm, m in sorted(table.by_vm.items()) if _was_heard(m)]
        if not vms:
            return []
        start = self._turn_by_vm.get(peer, 0) % len(vms)
        self._turn_by_vm[peer] = start + IN_TURN
        return (vms + vms)[start : start + min(IN_TURN, len(vms))]


def _was_heard(member: Member) -> bool:
    """Listed VMs aren't passed on: each VM may read its own list."""
    return member.beat.incarnation > 0
