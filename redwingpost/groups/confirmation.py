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

The registry tells of a restart only later. So while another VM can't reach the
primary, or a member is paused, a replica alone vouches only over a connection
that is older than any takeover under way: a restart would have ended it.
Otherwise all other members must answer: the one that a takeover chose is among
them. In both cases none that answers may be paused, and they must hold the
commit: a member whose promotion is under way isn't paused, and may have
received nothing.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from redwingpost.core.positions import ZERO_POSITION, Position
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
    the VMs. ``has_paused_member``: a member is paused for a newer term, so
    that an order may be under way although the primary answers all VMs.
    """

    has_fresh_replica: bool
    fails_elsewhere_s: float
    is_suspect: bool
    heard_half_s: float
    has_paused_member: bool = False

    @property
    def may_be_replaced(self) -> bool:
        """Return whether a promotion may be under way."""
        is_failing = self.fails_elsewhere_s >= FAILS_ELSEWHERE_S
        return is_failing or self.has_paused_member


class CommitStatus(Enum):
    """The status of a commit according to the replicas."""

    KEPT = "kept"
    OPEN = "open"
    REPLACED = "replaced"


class ReplicaAnswer(NamedTuple):
    """A replica's report, None if it is silent.

    ``is_trusted``: the replica has not restarted recently as far as the
    registry tells. ``is_running_on``: it answered over a connection that is
    older than any takeover under way.
    """

    report: StatusReport | None
    is_trusted: bool
    is_running_on: bool = False


class Commit(NamedTuple):
    """An acknowledged commit; ``position`` is None if it isn't known.

    ``held_up_s`` is how long the primary took to acknowledge it (seconds).
    ``may_be_replaced`` is that of the signs.
    """

    term: int
    position: Position | None = None
    held_up_s: float = 0.0
    may_be_replaced: bool = False


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
        or signs.may_be_replaced
        or signs.heard_half_s < SETTLED_S
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
    commit: Commit, answers: Iterable[ReplicaAnswer]
) -> CommitStatus:
    """Check an acknowledged commit against the replicas' later reports.

    Parameters
    ----------
    commit : Commit
        The commit, and what is known of its primary.
    answers : iterable of ReplicaAnswer
        From all members of the group but the primary.

    Returns
    -------
    CommitStatus
        ``OPEN`` if later reports may decide it: a pause may be lifted, or a
        silent replica may answer.

    Examples
    --------
    >>> follows = StatusReport(False, 3, Position(3, 9), 0, 0, 0, 1)
    >>> paused = follows._replace(paused_for=4)
    >>> check_commit(Commit(3), [ReplicaAnswer(follows, True)]).value
    'kept'
    >>> check_commit(Commit(3), [ReplicaAnswer(paused, True)]).value
    'open'

    Another VM can't reach the primary, and one replica is silent.

    >>> silent = ReplicaAnswer(None, True)
    >>> commit = Commit(3, may_be_replaced=True)
    >>> check_commit(commit, [ReplicaAnswer(follows, True), silent]).value
    'open'
    >>> lasting = ReplicaAnswer(follows, True, is_running_on=True)
    >>> check_commit(commit, [lasting, silent]).value
    'kept'
    """
    everyone = tuple(answers)
    answered = [item for item in everyone if item.report is not None]
    accepting = [
        item for item in answered if accepts_commits(item.report, commit.term)
    ]
    if _is_vouched_for(commit, everyone, answered, accepting):
        return CommitStatus.KEPT
    if any(item.report.term > commit.term for item in answered):
        return CommitStatus.REPLACED
    return CommitStatus.OPEN


def _is_vouched_for(
    commit: Commit,
    everyone: tuple[ReplicaAnswer, ...],
    answered: list[ReplicaAnswer],
    accepting: list[ReplicaAnswer],
) -> bool:
    """Return whether replicas that accept commits show that it is kept."""
    is_any_paused = len(accepting) < len(answered)
    is_in_doubt = commit.may_be_replaced or commit.held_up_s >= HELD_UP_S
    if is_in_doubt and is_any_paused:
        return False
    vouching = [item for item in accepting if item.is_trusted]
    if not commit.may_be_replaced:
        return bool(vouching)
    position = commit.position or ZERO_POSITION
    holding = [item for item in accepting if item.report.received >= position]
    if any(item.is_running_on and item.is_trusted for item in holding):
        return True
    return bool(vouching) and len(holding) == len(everyone)
