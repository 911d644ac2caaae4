"""Whether a commit that a primary acknowledged may be reported as kept.

A primary acknowledges a commit once a replica has received it. During a
takeover all replicas are paused, so that none confirms a commit to the old
primary. But a replica that restarts loses its pause. If the old primary still
runs and only the VM that conducts the takeover can't reach it, that replica
confirms commits that the new primary lacks. Those made between the promotion
order and its effect are lost; those made later are acknowledged by a primary
that was already replaced.

No order of the conducting VM's requests prevents this, but the primary's
acknowledgement still has to pass through a VM. While a takeover may be in
progress, that VM requests the replicas' reports after the primary has
answered. A replica that has not restarted recently is then still paused, or is
the new primary.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from redwingpost.groups.evidence import accepts_commits
from redwingpost.ports.database import StatusReport

#: Seconds for which a primary must have failed to answer some VM before that
#: VM's report counts: a takeover begins no sooner.
FAILS_ELSEWHERE_S = 0.3

#: Seconds after which a commit counts as held up. Paused replicas hold up a
#: commit; it is acknowledged as soon as one of them restarts and loses its
#: pause, before the registry reports the restart.
HELD_UP_S = 0.25

#: Seconds after which a VM that was partitioned has learned of every takeover
#: that it missed: two heartbeats through two gatherers.
SETTLED_S = 1.0


class TakeoverSigns(NamedTuple):
    """Signs that a takeover may be in progress; times are seconds.

    ``has_fresh_replica``: a replica has restarted recently.
    ``fails_elsewhere_s`` is the longest time for which the primary has not
    answered a VM. ``is_suspect``: a primary that answers may have to be
    replaced, as it is draining or its commits reach no replica.
    ``heard_half_s`` is how long heartbeats have arrived from at least half of
    the VMs.
    """

    has_fresh_replica: bool
    fails_elsewhere_s: float
    is_suspect: bool
    heard_half_s: float


class CommitStatus(Enum):
    """The status of a commit according to the replicas."""

    KEPT = "kept"
    OPEN = "open"
    REPLACED = "replaced"


class ReplicaAnswer(NamedTuple):
    """A replica's report, None if it is silent.

    ``is_trusted``: the replica has not restarted recently.
    """

    report: StatusReport | None
    is_trusted: bool


def needs_confirmation(signs: TakeoverSigns) -> bool:
    """Return whether replicas must confirm that a commit is kept.

    Examples
    --------
    >>> healthy = TakeoverSigns(False, 0.0, False, 60.0)
    >>> needs_confirmation(healthy)
    False
    >>> needs_confirmation(healthy._replace(has_fresh_replica=True))
    True
    """
    return (
        signs.has_fresh_replica
        or signs.fails_elsewhere_s >= FAILS_ELSEWHERE_S
        or signs.heard_half_s <= 0.0
    )


def needs_claim(signs: TakeoverSigns) -> bool:
    """Return whether the primary itself must also report that it leads.

    A primary that answers is stopped before it is replaced, without waiting
    for silent replicas. Such a replica goes on accepting the old primary's
    commits until it learns of the new one, so its report is not enough.

    Examples
    --------
    >>> healthy = TakeoverSigns(False, 0.0, False, 60.0)
    >>> needs_claim(healthy), needs_claim(healthy._replace(is_suspect=True))
    (False, True)
    """
    return signs.is_suspect or signs.heard_half_s < SETTLED_S


def check_commit(
    term: int, answers: Iterable[ReplicaAnswer], held_up_s: float = 0.0
) -> CommitStatus:
    """Check an acknowledged commit against the replicas' later reports.

    Parameters
    ----------
    term : int
        The primary's term.
    answers : iterable of ReplicaAnswer
        From all members of the group but the primary.
    held_up_s : float, optional
        How long the primary took to acknowledge the commit (seconds).

    Returns
    -------
    CommitStatus
        ``OPEN`` if later reports may decide it: a pause may be lifted, or a
        silent replica may answer.

    Examples
    --------
    >>> from redwingpost.core.positions import Position
    >>> follows = StatusReport(False, 3, Position(3, 9), 0, 0, 0, 1)
    >>> paused = follows._replace(paused_for=4)
    >>> check_commit(3, [ReplicaAnswer(follows, is_trusted=True)]).value
    'kept'
    >>> check_commit(3, [ReplicaAnswer(paused, is_trusted=True)]).value
    'open'
    """
    answers = [item for item in answers if item.report is not None]
    accepting = [
        item for item in answers if accepts_commits(item.report, term)
    ]
    is_held_up = held_up_s >= HELD_UP_S and len(accepting) < len(answers)
    if not is_held_up and any(item.is_trusted for item in accepting):
        return CommitStatus.KEPT
    if any(item.report.term > term for item in answers):
        return CommitStatus.REPLACED
    return CommitStatus.OPEN
