"""When a silent VM counts as gone, and how often VMs send heartbeats.

Has to cope with VMs that die, pauses of a second or two, and partitions
that let traffic through one way only. An agent sends heartbeats to its
data centre's relay and, where that fails, to any other VM, which passes
them on; so a VM counts as silent only when it reaches no other VM. If a
single link decided, a one-way partition would take a live VM's share of
the rates away.

The relay of a data centre marks VMs of its own data centre only. VMs of a
data centre that can't be reached are not marked gone: they may be serving
on the other side of a partition, and nothing may be taken over from them
on suspicion.
"""

from collections.abc import Iterable
from typing import NamedTuple

from redwingpost.membership.beats import Beat, Member

#: Heartbeat intervals without a heartbeat after which a VM counts as
#: gone. A reconnect loses one, a pause of the garbage collector or the
#: hypervisor two; a live VM loses three in a row less than once a day at
#: 1,000 VMs if single losses are below 0.1%.
MISSED_BEATS = 3.5

#: Heartbeats a second that a relay receives at most, whatever the size of
#: its data centre: each costs it some 900 bytes, and control traffic may
#: cost a VM 2 KB a second. Changes don't wait for heartbeats; the price
#: is that a dead VM of a large data centre is detected later.
MAX_RELAY_BEATS_PER_S = 2.0

#: Shortest heartbeat interval (seconds): with two VMs in a data centre a
#: lost push is repaired within the 2 s that a change of configuration may
#: take.
MIN_BEAT_INTERVAL_S = 1.0


class BeatSchedule(NamedTuple):
    """Heartbeat interval and timeout of a data centre, in seconds."""

    beat_s: float
    gone_after_s: float

    @classmethod
    def for_size(cls, agents: int) -> "BeatSchedule":
        """Return the schedule of a data centre with ``agents`` VMs.

        Examples
        --------
        >>> BeatSchedule.for_size(2)
        BeatSchedule(beat_s=1.0, gone_after_s=3.5)
        >>> BeatSchedule.for_size(72)
        BeatSchedule(beat_s=36.0, gone_after_s=126.0)
        """
        beat_s = max(MIN_BEAT_INTERVAL_S, agents / MAX_RELAY_BEATS_PER_S)
        return cls(beat_s, beat_s * MISSED_BEATS)


def mark_silent_members(
    members: Iterable[Member],
    relay_vm: str,
    schedule: BeatSchedule,
    now: float,
) -> tuple[Beat, ...]:
    """Return the heartbeats that mark silent members as gone.

    Parameters
    ----------
    members : iterable of Member
        The members of the relay's own data centre.
    relay_vm : str
        The relay's VM, which never marks itself.
    schedule : BeatSchedule
        The members' heartbeat interval and timeout.
    now : float
        Seconds on the relay's clock.
    """
    return tuple(
        member.beat._replace(gone=True, relay=False)
        for member in members
        if member.beat.vm != relay_vm
        and member.beat.incarnation > 0
        and not member.beat.gone
        and member.silent_s(now) > schedule.gone_after_s
    )
