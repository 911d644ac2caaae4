"""When to probe whether a member is alive.

Load pattern: a network partition silently drops what is sent to a member.
Statements in flight there wait for their timeout, a second or more, and the
decision to send callers to another VM is delayed as long. If probes are sent
too often, members spend their capacity on them instead of on statements.
"""

from typing import NamedTuple

#: Seconds after which a VM probes a primary that has answered neither this VM
#: nor, by their heartbeats, any other. Each further VM in order waits one
#: heartbeat longer, so that about one probe a second shows all VMs that the
#: primary of an idle group is alive.
IDLE_PROBE_S = 0.8
IDLE_PROBE_STEP_S = 0.3

#: Seconds that statements may wait at a member that answers none of them
#: before it is probed: hardly any statement takes longer in normal operation.
#: A partition is detected after this time and the probe's timeout, rather
#: than after a statement's timeout, which is much longer.
OVERDUE_S = 0.3

#: Seconds between probes of one member: a probe's timeout.
PROBE_INTERVAL_S = 0.4


#: VMs that probe all members of a suspect group at the shorter interval:
#: enough that one of them can act although some are partitioned. All others
#: use the longer interval and learn of a new primary from heartbeats. If each
#: of 200 VMs probed four times a second, a member would answer nothing but
#: probes; full of their connections it would seem lost to the other VMs,
#: which would then probe it as well.
ALERT_PROBERS = 7
ALERT_INTERVAL_S = 0.25
ALERT_OTHERS_INTERVAL_S = 3.0


class MemberSilence(NamedTuple):
    """How long a member has been silent; times are seconds.

    ``answered_s`` and ``probed_s`` count from its last answer to this VM and
    the last probe, ``elsewhere_s`` from its last answer to another VM.
    ``waiting_s`` is how long statements have waited there without any answer
    (0 if none waits).
    """

    answered_s: float
    probed_s: float
    elsewhere_s: float
    waiting_s: float


def alert_interval_s(rank: int) -> float:
    """Return the interval of probes to a suspect group (seconds).

    Parameters
    ----------
    rank : int
        This VM's rank in the order of VMs that probe, from 0.

    Examples
    --------
    >>> alert_interval_s(0), alert_interval_s(100)
    (0.25, 3.0)
    """
    return (
        ALERT_INTERVAL_S if rank < ALERT_PROBERS else ALERT_OTHERS_INTERVAL_S
    )


def is_overdue(silence: MemberSilence) -> bool:
    """Return whether to probe a member because statements wait too long.

    Examples
    --------
    >>> is_overdue(MemberSilence(0.5, 9.0, 9.0, waiting_s=0.1))
    False
    >>> is_overdue(MemberSilence(0.5, 9.0, 9.0, waiting_s=0.4))
    True
    """
    return silence.waiting_s >= OVERDUE_S and may_probe(silence)


def may_probe(silence: MemberSilence) -> bool:
    """Return whether the last probe of a member is long enough ago.

    Examples
    --------
    >>> may_probe(MemberSilence(0.5, 9.0, 9.0, waiting_s=0.0))
    True
    >>> may_probe(MemberSilence(0.5, 0.1, 9.0, waiting_s=0.0))
    False
    """
    return silence.probed_s >= PROBE_INTERVAL_S


def is_primary_probe_due(silence: MemberSilence, rank: int) -> bool:
    """Return whether this VM must probe an idle group's primary.

    Parameters
    ----------
    silence : MemberSilence
        How long the primary has been silent.
    rank : int
        This VM's rank in the order of VMs that probe, from 0.

    Examples
    --------
    >>> idle = MemberSilence(1.0, 1.0, 1.0, 0.0)
    >>> is_primary_probe_due(idle, 0), is_primary_probe_due(idle, 1)
    (True, False)
    """
    silence_s = min(silence.answered_s, silence.probed_s, silence.elsewhere_s)
    return silence_s >= IDLE_PROBE_S + IDLE_PROBE_STEP_S * rank
