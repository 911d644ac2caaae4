"""Which agent relays for its data centre.

Answers the loss or pause of a relay without anyone's help, and a table
service that is away while it happens. The role is a lease in the table
service; while the service is away the holder goes on, and if it falls
silent its data centre's agents turn to the next by rendezvous rank. Two
relays at once cost a few messages and nothing else: everything they
pass on merges the same from two sides. So the role needs no fencing, and
no agent ever waits for one that is gone.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from redwingpost.membership.beats import Member
from redwingpost.membership.ranking import rank_vms

#: Seconds that the relay's lease lasts. Renewed each third of it, that
#: is one write in 1.3 s for each data centre: 11 of the store's several
#: hundred writes a second at 14 data centres.
RELAY_LEASE_S = 4.0

#: An agent that could not reach the relay for this long tries to take
#: the role over. Longer than one heartbeat with its deadline, so that a
#: single lost call doesn't cost a read of the store.
TAKE_OVER_AFTER_S = 1.5


def relay_of(
    data_centre: str,
    members: Iterable[Member],
    avoid: Collection[str] = (),
) -> str:
    """Return the VM to turn to in a data centre.

    Parameters
    ----------
    data_centre : str
        Which one.
    members : iterable of Member
        Its members.
    avoid : collection of str
        VMs that the caller could not reach a moment ago.

    Returns
    -------
    str
        The relay as its heartbeat says, the one heard last if several
        do; else the first by rank that isn't gone; empty if there is
        none.
    """
    usable = [
        member
        for member in members
        if not member.beat.gone and member.beat.vm not in avoid
    ]
    relays = [member for member in usable if member.beat.relay]
    if relays:
        return max(relays, key=lambda member: member.heard_at).beat.vm
    staying = [m for m in usable if not m.beat.draining] or usable
    ranked = rank_vms(data_centre, (m.beat.vm for m in staying))
    return ranked[0] if ranked else ""


class RelayRole(NamedTuple):
    """What one agent knows when it decides about the role.

    ``unreached_s`` is how long the present relay has not answered it;
    0 while it does. ``store_away`` says that the table service does not
    answer.
    """

    vm: str
    data_centre: str
    holds_lease: bool
    held_lease_before: bool
    store_away: bool
    draining: bool
    unreached_s: float

    def wants_lease(self, relay: str, members: Iterable[Member]) -> bool:
        """Say whether to read and claim the lease's row now.

        Only the holder, and the first by rank of those that stay once
        the relay does not answer, ask the store at all.
        """
        if self.draining:
            return False
        if self.holds_lease or relay == self.vm:
            return True
        if relay and self.unreached_s < TAKE_OVER_AFTER_S:
            return False
        return self._is_next(relay, members)

    def acts(self, relay: str, members: Iterable[Member]) -> bool:
        """Say whether to do the relay's work now."""
        if self.holds_lease:
            return True
        if not self.store_away:
            return False
        if relay == self.vm or self.held_lease_before:
            return True
        lost = self.unreached_s >= TAKE_OVER_AFTER_S
        return lost and self._is_next(relay, members)

    def _is_next(self, relay: str, members: Iterable[Member]) -> bool:
        others = (m for m in members if not m.beat.relay)
        return relay_of(self.data_centre, others, avoid={relay}) == self.vm
