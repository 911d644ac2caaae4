"""When a silent VM counts as gone, and how often VMs beat.

Answers VMs that die, pauses of a second or two, and cuts that let
traffic through one way only. An agent beats its data centre's relay and,
where that fails, any other VM, which passes the heartbeat on; so a VM
counts as silent only when it reaches nobody. Judged by one link alone, a
one-way cut would take a live VM's share of the rates away.

The relay of a data centre judges its own VMs only. VMs of a data centre
that can't be reached are not marked gone: they may be serving behind a
cut, and nothing may be taken over from them on suspicion.
"""

from collections.abc import Iterable
from typing import NamedTuple

from redwingpost.membership.beats import Beat, Member

#: Missed heartbeats until a VM counts as gone. One is lost with any
#: reconnect, two with a pause of a garbage collector or host; three in a
#: row happen to live VMs less than once a day at 1,000 VMs if single
#: losses are below 0.1%.
MISSED_BEATS = 3.5

#: A relay takes at most this many heartbeats a second, whatever the size
#: of its data centre: each costs it some 900 bytes, and control may cost
#: a node 2 KB a second. News doesn't wait for heartbeats; what suffers is
#: how soon a dead VM of a large data centre is found.
RELAY_BEATS_PER_S = 2.0

#: Fastest heartbeat (seconds): with two VMs in a data centre a lost push
#: is repaired within the 2 s that a change of configuration may take.
FASTEST_BEAT_S = 1.0


class BeatSchedule(NamedTuple):
    """Intervals of one data centre of a given size, in seconds."""

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
        beat_s = max(FASTEST_BEAT_S, agents / RELAY_BEATS_PER_S)
        return cls(beat_s, beat_s * MISSED_BEATS)


def judge_silence(
    members: Iterable[Member], judge: str, schedule: BeatSchedule, now: float
) -> tuple[Beat, ...]:
    """Return the heartbeats that mark silent members as gone.

    Parameters
    ----------
    members : iterable of Member
        The members of the judge's own data centre.
    judge : str
        The relay that judges; it is never silent to itself.
    schedule : BeatSchedule
        What the members keep to.
    now : float
        Seconds on the judge's clock.
    """
    return tuple(
        member.beat._replace(gone=True, relay=False)
        for member in members
        if member.beat.vm != judge
        and member.beat.incarnation > 0
        and not member.beat.gone
        and member.silent_s(now) > schedule.gone_after_s
    )
