"""Election of the agent that relays for its data centre.

Covers the loss or pause of a relay without an operator, also while the
table service is unavailable. The role is a lease in the table service.
While the service is unavailable the holder goes on, and if it falls
silent its data centre's agents use the next by rendezvous rank. Two
relays at once only cost a few messages, since merging is idempotent:
whatever both pass on gives the same result. So the role needs no fencing,
and no agent ever waits for a relay that is gone.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from redwingpost.membership.beats import Member
from redwingpost.membership.ranking import rank_vms

#: Duration of the relay's lease (seconds). It is renewed at each third,
#: one write in 1.3 s for each data centre: 11 of the store's several
#: hundred writes a second at 14 data centres.
RELAY_LEASE_S = 4.0

#: Seconds for which an agent couldn't reach the relay before it tries to
#: take the role over. Longer than one heartbeat with its deadline, so
#: that a single lost call doesn't cost a read of the store.
TAKE_OVER_AFTER_S = 1.5


def relay_of(
    data_centre: str,
    members: Iterable[Member],
    avoid: Collection[str] = (),
) -> str:
    """Return the VM to use as the relay of a data centre.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    members : iterable of Member
        Its members.
    avoid : collection of str
        VMs that the agent could not reach a moment ago.

    Returns
    -------
    str
        The member whose heartbeat claims the role, the one last seen
        alive if several do; else the first by rank that isn't gone, if
        possible one that isn't draining; empty if there is none.
    """
    usable = [
        member
        for member in members
        if not member.beat.gone and member.beat.vm not in avoid
    ]
    relays = [member for member in usable if member.beat.relay]
    if relays:
        return max(relays, key=lambda member: member.last_seen_at).beat.vm
    candidates = [m for m in usable if not m.beat.draining] or usable
    ranked = rank_vms(data_centre, (m.beat.vm for m in candidates))
    return ranked[0] if ranked else ""


class RelayRole(NamedTuple):
    """One agent's state for its decisions about the relay role.

    ``unreached_s`` is how long the present relay has not answered this
    agent, 0 while it does. ``store_unavailable`` is true while the table
    service does not answer.
    """

    vm: str
    data_centre: str
    holds_lease: bool
    held_lease_before: bool
    store_unavailable: bool
    draining: bool
    unreached_s: float

    def wants_lease(self, relay: str, members: Iterable[Member]) -> bool:
        """Return whether to read and claim the lease's row now.

        Only two agents access the store at all: the holder and, once the
        relay does not answer, the first by rank of the others.
        """
        if self.draining:
            return False
        if self.holds_lease or relay == self.vm:
            return True
        if relay and self.unreached_s < TAKE_OVER_AFTER_S:
            return False
        return self._is_next(relay, members)

    def is_active(self, relay: str, members: Iterable[Member]) -> bool:
        """Return whether to do the relay's work now."""
        if self.holds_lease:
            return True
        if not self.store_unavailable:
            return False
        if relay == self.vm or self.held_lease_before:
            return True
        lost = self.unreached_s >= TAKE_OVER_AFTER_S
        return lost and self._is_next(relay, members)

    def _is_next(self, relay: str, members: Iterable[Member]) -> bool:
        others = (m for m in members if not m.beat.relay)
        return relay_of(self.data_centre, others, avoid={relay}) == self.vm
