"""Whether a commit that a primary acknowledged may be reported as kept.

A primary acknowledges a commit once a replica has received it. During a
takeover every replica is paused, so nobody confirms a commit to the old
primary. A replica that starts again has forgotten its pause. If the old
primary lives and only the conductor can't reach it, that replica confirms
commits that the new primary lacks: between the order and its effect they
are lost, after it they are acknowledged by a primary that was replaced.

No order of the conductor's questions closes this, but the acknowledgement
still has to pass a VM. While a takeover may be under way, that VM asks the
replicas after the primary's answer. One that has not started again lately
is still paused, or leads.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from redwingpost.groups.evidence import vouches
from redwingpost.ports.database import StatusReport

#: Seconds for which a primary must have failed to some VM before that VM's
#: report counts: a takeover begins no sooner.
FAILS_ELSEWHERE_S = 0.3

#: Seconds after which a commit counts as held up. Replicas that are paused
#: hold up a commit; it is acknowledged as soon as one forgets its pause,
#: before the registry tells of the restart.
HELD_UP_S = 0.25

#: Seconds after which a VM that was cut off has heard of every takeover
#: that it missed: two heartbeats over two gatherers.
SETTLED_S = 1.0


class LeadSigns(NamedTuple):
    """Signs that a takeover may be under way.

    ``has_fresh_replica``: a replica has started again lately.
    ``fails_elsewhere_s`` is for how long the primary has failed to the VM
    that has reached it least. ``is_suspect``: something speaks for replacing
    a primary that answers; it is leaving, or its commits reach no replica.
    ``heard_half_s`` is for how long at least half of the VMs have been in
    hearing.
    """

    has_fresh_replica: bool
    fails_elsewhere_s: float
    is_suspect: bool
    heard_half_s: float


class Verdict(Enum):
    """What replicas say of a commit."""

    KEPT = "kept"
    OPEN = "open"
    REPLACED = "replaced"


class ReplicaAnswer(NamedTuple):
    """A replica's report, None where it is silent.

    ``is_trusted``: it has not started again lately.
    """

    report: StatusReport | None
    is_trusted: bool


def needs_confirmation(signs: LeadSigns) -> bool:
    """Say whether replicas must confirm that a commit is kept.

    Examples
    --------
    >>> calm = LeadSigns(False, 0.0, False, 60.0)
    >>> needs_confirmation(calm)
    False
    >>> needs_confirmation(calm._replace(has_fresh_replica=True))
    True
    """
    return (
        signs.has_fresh_replica
        or signs.fails_elsewhere_s >= FAILS_ELSEWHERE_S
        or signs.heard_half_s <= 0.0
    )


def needs_claim(signs: LeadSigns) -> bool:
    """Say whether a primary must say itself that it leads.

    A primary that answers is stopped before it is replaced, and replicas
    that are silent are not waited for. Such a replica vouches for the old
    primary until it hears of the new one.

    Examples
    --------
    >>> calm = LeadSigns(False, 0.0, False, 60.0)
    >>> needs_claim(calm), needs_claim(calm._replace(is_suspect=True))
    (False, True)
    """
    return signs.is_suspect or signs.heard_half_s < SETTLED_S


def judge_commit(
    term: int, answers: Iterable[ReplicaAnswer], held_up_s: float = 0.0
) -> Verdict:
    """Judge a commit by what replicas say after it was acknowledged.

    Parameters
    ----------
    term : int
        The primary's term.
    answers : iterable of ReplicaAnswer
        All of the group but the primary.
    held_up_s : float, optional
        How long the primary took to acknowledge the commit (seconds).

    Returns
    -------
    Verdict
        ``OPEN`` where another answer may still come: a pause may be
        undone, a silent replica may answer.

    Examples
    --------
    >>> from redwingpost.core.positions import Position
    >>> follows = StatusReport(False, 3, Position(3, 9), 0, 0, 0, 1)
    >>> paused = follows._replace(paused_for=4)
    >>> judge_commit(3, [ReplicaAnswer(follows, is_trusted=True)]).value
    'kept'
    >>> judge_commit(3, [ReplicaAnswer(paused, is_trusted=True)]).value
    'open'
    """
    answers = [item for item in answers if item.report is not None]
    vouching = [item for item in answers if vouches(item.report, term)]
    is_held_up = held_up_s >= HELD_UP_S and len(vouching) < len(answers)
    if not is_held_up and any(item.is_trusted for item in vouching):
        return Verdict.KEPT
    if any(item.report.term > term for item in answers):
        return Verdict.REPLACED
    return Verdict.OPEN
