"""What is proven about a group: who leads, since when, up to where.

Answers a primary that was replaced without noticing. It goes on serving
reads as before, and its callers miss every commit that the new primary
acknowledged. No clock helps: the proxy may have been suspended between
its check and the read.

The proof rests on the order of a takeover. Before a promotion takes
effect, every replica but the chosen one has been paused for the new term
(``redwingpost.takeover.plan``). So a replica that is asked *after* a read
arrived, and that is neither paused for a newer term nor in one, shows
that no promotion was in effect when the read arrived: whoever led then
held every acknowledged commit. One such answer serves all reads that
wait for it, and it needs neither the platform's store nor a clock.

The same answers give *samples*: a position that the primary's log had
reached at a moment when it was proven to lead covers all that was
acknowledged before that moment.
"""

from collections import deque
from typing import NamedTuple

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.ports.database import StatusReport

#: Samples kept, and the least time between two (seconds): together more
#: than the largest stated age of today, 2.5 s.
_MAX_SAMPLES = 64
SPACING_S = 0.05

#: A replica that started again this short ago (seconds) proves nothing:
#: a restart forgets a pause. Longer than a takeover takes altogether.
FRESH_START_S = 10.0


class Sample(NamedTuple):
    """All that was acknowledged before ``taken_at`` is in ``position``."""

    taken_at: float
    position: Position


class Heard(NamedTuple):
    """A member's last report and when it was asked for (seconds)."""

    report: StatusReport
    asked_at: float


def vouches(report: StatusReport, term: int) -> bool:
    """Say whether a replica takes commits of a term's primary."""
    return (
        not report.is_primary
        and report.term <= term
        and report.paused_for <= term
    )


class GroupEvidence:
    """Reports of one group's members and what follows from them.

    Examples
    --------
    >>> evidence = GroupEvidence()
    >>> head = Position(3, 9)
    >>> primary = StatusReport(True, 3, head, 0, 0, 0, 1)
    >>> replica = StatusReport(False, 3, head, 0, 5, 0, 1)
    >>> evidence.note_report("a", primary, asked_at=1.0)
    >>> evidence.note_report("b", replica, asked_at=1.0)
    >>> evidence.conclude(asked_at=1.0)
    >>> evidence.leader, evidence.proven_at
    ('a', 1.0)
    """

    def __init__(self) -> None:
        self._heard_by_member: dict[str, Heard] = {}
        self._samples: deque[Sample] = deque(maxlen=_MAX_SAMPLES)
        self.leader: str | None = None
        self.term = 0
        self.proven_at = float("-inf")
        self._prefix_term = 0
        self._prefix = ZERO_POSITION
        self._acknowledged = ZERO_POSITION

    @property
    def floor(self) -> Position:
        """Return what a log must hold to succeed the present primary's.

        The log with which it began to lead, where that was seen, and the
        newest commit that this VM has acknowledged.
        """
        if self._prefix_term != self.term:
            return self._acknowledged
        return max(self._prefix, self._acknowledged)

    def holds(self, position: Position) -> bool:
        """Say whether the present primary began with a commit in its log.

        False where that isn't known.
        """
        prefix = self._prefix
        return (
            self._prefix_term == self.term
            and prefix.term == position.term < self.term
            and prefix >= position
        )

    def note_report(
        self, member: str, report: StatusReport, asked_at: float
    ) -> None:
        """Take in a member's report; older ones than known are ignored."""
        known = self._heard_by_member.get(member)
        if known is not None and known.asked_at > asked_at:
            return
        self._heard_by_member[member] = Heard(report, asked_at)
        self._note_prefix(report)
        self._settle_leader()

    def forget(self, member: str) -> None:
        """Drop a member that is gone."""
        if self._heard_by_member.pop(member, None) is not None:
            self._settle_leader()

    def disavow(self, member: str) -> None:
        """Note that a member refused a write as no primary."""
        heard = self._heard_by_member.get(member)
        if heard is None or not heard.report.is_primary:
            return
        report = heard.report._replace(is_primary=False)
        self._heard_by_member[member] = heard._replace(report=report)
        self._settle_leader()

    def heard(self, member: str) -> Heard | None:
        """Return a member's last report."""
        return self._heard_by_member.get(member)

    def is_proof(self, report: StatusReport) -> bool:
        """Say whether a report shows that the leader was still in force."""
        return self.leader is not None and vouches(report, self.term)

    def note_proof(self, asked_at: float) -> None:
        """Note that the leader was in force at ``asked_at``."""
        self.proven_at = max(self.proven_at, asked_at)

    def note_commit(
        self, member: str, position: Position | None, sent_at: float
    ) -> None:
        """Take in a commit that a replica has confirmed.

        An unpaused replica took it from the leader after ``sent_at``,
        which proves as much as its report would.
        """
        if member != self.leader or position is None:
            return
        if position.term != self.term:
            return
        self._acknowledged = max(self._acknowledged, position)
        self.note_proof(sent_at)
        self._add_sample(Sample(sent_at, position))

    def note_shared(
        self, member: str, position: Position, taken_at: float
    ) -> None:
        """Take in a sample that another VM took at ``taken_at``."""
        if member != self.leader or position.term != self.term:
            return
        self.note_proof(taken_at)
        self._add_sample(Sample(taken_at, position))

    def newest_sample(self) -> Sample | None:
        """Return the youngest sample."""
        return max(self._samples, default=None)

    def conclude(self, asked_at: float, provers: frozenset | None = None):
        """Draw a proof and a sample from reports asked since a moment.

        Parameters
        ----------
        asked_at : float
            When the round of questions began (seconds).
        provers : frozenset of str, optional
            Members whose word counts; all where None.
        """
        if self.leader is None:
            return
        fresh_by_member = {
            member: heard.report
            for member, heard in self._heard_by_member.items()
            if heard.asked_at >= asked_at
        }
        proven = any(
            self.is_proof(report)
            for member, report in fresh_by_member.items()
            if provers is None or member in provers
        )
        if not proven:
            return
        self.note_proof(asked_at)
        if self.leader in fresh_by_member:
            position = fresh_by_member[self.leader].received
            self._add_sample(Sample(asked_at, position))

    def sample_since(self, taken_at: float) -> Sample | None:
        """Return the oldest sample taken at ``taken_at`` or later.

        The oldest that will do: it asks least of a lagging replica.
        """
        good = [s for s in self._samples if s.taken_at >= taken_at]
        return min(good, default=None)

    def _add_sample(self, sample: Sample) -> None:
        newest = self.newest_sample()
        if newest is None or sample.taken_at - newest.taken_at > SPACING_S:
            self._samples.append(sample)

    def _note_prefix(self, report: StatusReport) -> None:
        """Note with which log a primary began, while it is without commit.

        Its first commit has a higher term than all before it. One that was
        first seen with commits of its own began with a log that nobody
        here knows: then only a log with one of these commits holds it.
        """
        if not report.is_primary or report.term < self._prefix_term:
            return
        if report.received.term < report.term:
            self._prefix = report.received
        elif report.term > self._prefix_term:
            self._prefix = Position(report.term, 0)
        self._prefix_term = report.term

    def _settle_leader(self) -> None:
        reports = [
            (heard.report.term, member, heard.report.is_primary)
            for member, heard in self._heard_by_member.items()
        ]
        newest = max((term for term, _, _ in reports), default=0)
        claims = [
            member
            for term, member, is_primary in reports
            if is_primary and term == newest
        ]
        leader = claims[0] if claims else None
        if newest != self.term or leader not in (self.leader, None):
            # Positions of an earlier term may name commits that the new
            # primary never had; a replica would wait for them for ever.
            self._samples.clear()
            self.proven_at = float("-inf")
        self.leader = leader
        self.term = newest
