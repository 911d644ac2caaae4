"""When a member is asked whether it lives.

Load pattern: a cut drops what goes to a member, without a word. The
statements under way there wait for their time limit, a second or more,
and so does whoever decides that callers fare better at another VM. Asked
too often, members answer questions in place of statements.
"""

from typing import NamedTuple

#: Seconds after which a primary that answered neither this VM nor, by
#: their heartbeats, another is asked; each further VM leaves the one
#: before it the time of a heartbeat. One question a second then shows all
#: VMs that the primary of an idle group lives.
QUIET_S = 0.8
QUIET_STEP_S = 0.3

#: Seconds that statements may wait at a member that answers none of them
#: before it is asked: hardly any takes longer where all is well. A cut that
#: drops what is sent shows after this and the question's time limit, and
#: not after a statement's, which is much longer.
OVERDUE_S = 0.3

#: Seconds between questions to one member: a question's time limit.
ASK_AGAIN_S = 0.4


#: VMs that ask all members of a group in which something looks wrong, each
#: at the shorter pace: enough that one of them acts though some are cut
#: off. All others ask at the longer one, and hear of a new primary in
#: heartbeats. If each of 200 VMs asked four times a second, a member would
#: answer questions only; full with their connections it would look lost to
#: the rest, who would ask in their turn.
ALERT_ASKERS = 7
ALERT_ROUND_S = 0.25
ALERT_OTHERS_S = 3.0


class MemberQuiet(NamedTuple):
    """For how long a member has been quiet; all in seconds.

    ``answered_s`` and ``asked_s`` since its last answer to this VM and
    the last question, ``elsewhere_s`` since it answered another VM,
    ``waiting_s`` for how long statements have waited there without any
    answer (0 where none waits).
    """

    answered_s: float
    asked_s: float
    elsewhere_s: float
    waiting_s: float


def alert_round_s(place: int) -> float:
    """Return how often to ask while something looks wrong (seconds).

    Parameters
    ----------
    place : int
        This VM's place in the order of VMs that ask.

    Examples
    --------
    >>> alert_round_s(0), alert_round_s(100)
    (0.25, 3.0)
    """
    return ALERT_ROUND_S if place < ALERT_ASKERS else ALERT_OTHERS_S


def is_overdue(quiet: MemberQuiet) -> bool:
    """Say whether statements wait too long at a member.

    Examples
    --------
    >>> is_overdue(MemberQuiet(0.5, 9.0, 9.0, waiting_s=0.1))
    False
    >>> is_overdue(MemberQuiet(0.5, 9.0, 9.0, waiting_s=0.4))
    True
    """
    return quiet.waiting_s >= OVERDUE_S and is_askable(quiet)


def is_askable(quiet: MemberQuiet) -> bool:
    """Say whether the last question to a member is long enough ago.

    Examples
    --------
    >>> is_askable(MemberQuiet(0.5, 9.0, 9.0, waiting_s=0.0))
    True
    >>> is_askable(MemberQuiet(0.5, 0.1, 9.0, waiting_s=0.0))
    False
    """
    return quiet.asked_s >= ASK_AGAIN_S


def is_primary_due(quiet: MemberQuiet, place: int) -> bool:
    """Say whether an idle group's primary must be asked by this VM.

    Parameters
    ----------
    quiet : MemberQuiet
        For how long it has been quiet.
    place : int
        This VM's place in the order of VMs that ask.

    Examples
    --------
    >>> idle = MemberQuiet(1.0, 1.0, 1.0, 0.0)
    >>> is_primary_due(idle, place=0), is_primary_due(idle, place=1)
    (True, False)
    """
    quiet_s = min(quiet.answered_s, quiet.asked_s, quiet.elsewhere_s)
    return quiet_s >= QUIET_S + QUIET_STEP_S * place
