"""What members' reports prove about a group's primary and its log.

Guards against reads at a primary that was replaced without noticing. It goes
on serving reads, and its callers miss every commit that the new primary has
acknowledged. A clock doesn't prevent this, since the proxy may have been
suspended between its check and the read.

The proof rests on the order of steps in a takeover. Before a promotion takes
effect, every replica but the chosen one is paused for the new term
(``redwingpost.takeover.plan``). So if a replica's report is requested *after*
a read arrived, and the replica is neither paused for a newer term nor in one,
no promotion was in effect when the read arrived: the primary of that moment
held every acknowledged commit. One such report serves all reads that wait for
it, and needs neither the platform's store nor a clock.

The same reports give *samples*: a position that the primary's log had reached
at a moment when it was proven to lead covers every commit acknowledged before
that moment.
"""

from collections import deque
from typing import NamedTuple

from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.ports.database import StatusReport

#: Samples kept, and the shortest time between two (seconds): together they
#: span more than the largest ``max_staleness_s`` in use, 2.5 s.
_MAX_SAMPLES = 64
SAMPLE_SPACING_S = 0.05

#: Seconds after a restart during which a replica's report proves nothing, as
#: a restart loses the pause: longer than a whole takeover takes.
RECENT_RESTART_S = 10.0


class Sample(NamedTuple):
    """A position that covers commits acknowledged before ``taken_at``."""

    taken_at: float
    position: Position


class ReadNeeds(NamedTuple):
    """What a read must see.

    Commits that were acknowledged before ``since`` (seconds), and those of
    its own session up to ``written``.
    """

    since: float
    written: Position


class TimedReport(NamedTuple):
    """A member's report and when it was requested (seconds)."""

    report: StatusReport
    requested_at: float


def accepts_commits(report: StatusReport, term: int) -> bool:
    """Return whether a replica accepts commits of a term's primary."""
    return (
        not report.is_primary
        and report.term <= term
        and report.paused_for <= term
    )


class GroupEvidence:
    """Collects the reports of a group's members and what they prove.

    Examples
    --------
    >>> evidence = GroupEvidence()
    >>> head = Position(3, 9)
    >>> primary = StatusReport(True, 3, head, 0, 0, 0, 1)
    >>> replica = StatusReport(False, 3, head, 0, 5, 0, 1)
    >>> evidence.note_report("a", primary, requested_at=1.0)
    >>> evidence.note_report("b", replica, requested_at=1.0)
    >>> evidence.derive_proof(requested_at=1.0)
    >>> evidence.leader, evidence.proven_at
    ('a', 1.0)
    """

    def __init__(self) -> None:
        self._report_by_member: dict[str, TimedReport] = {}
        self._samples: deque[Sample] = deque(maxlen=_MAX_SAMPLES)
        self.leader: str | None = None
        self.term = 0
        self.proven_at = float("-inf")
        self._led_term = 0
        self._start_term = 0
        self._start_position = ZERO_POSITION
        self._acknowledged = ZERO_POSITION

    @property
    def floor(self) -> Position:
        """Return the position that a log must hold to be promoted next.

        It covers the log with which the present primary began to lead, if
        that was seen, and the newest commit that this VM has acknowledged.
        """
        if self._start_term != self.term:
            return self._acknowledged
        return max(self._start_position, self._acknowledged)

    def holds(self, position: Position) -> bool:
        """Return whether the present primary began with a commit in its log.

        False if this VM has no report that shows it.
        """
        start = self._start_position
        return (
            self._start_term == self.term
            and start.term == position.term < self.term
            and start >= position
        )

    def note_report(
        self, member: str, report: StatusReport, requested_at: float
    ) -> None:
        """Add a member's report, unless it has a later one already."""
        last = self._report_by_member.get(member)
        if last is not None and last.requested_at > requested_at:
            return
        self._report_by_member[member] = TimedReport(report, requested_at)
        self._note_start(report)
        self._update_leader()

    def forget(self, member: str) -> None:
        """Remove a member that is gone."""
        if self._report_by_member.pop(member, None) is not None:
            self._update_leader()

    def note_not_primary(self, member: str) -> None:
        """Record that a member refused a write because it doesn't lead."""
        last = self._report_by_member.get(member)
        if last is None or not last.report.is_primary:
            return
        report = last.report._replace(is_primary=False)
        self._report_by_member[member] = last._replace(report=report)
        self._update_leader()

    def last_report(self, member: str) -> TimedReport | None:
        """Return a member's last report."""
        return self._report_by_member.get(member)

    def covers(self, needs: ReadNeeds) -> bool:
        """Return whether the primary is proven to hold what a read needs.

        It holds what it has committed itself. A commit of a later term shows
        that it has been replaced, however recent the proof is.
        """
        return (
            self.proven_at >= needs.since and self.term >= needs.written.term
        )

    def is_proof(self, report: StatusReport) -> bool:
        """Return whether a report proves that the primary still led."""
        return self.leader is not None and accepts_commits(report, self.term)

    def note_proof(self, requested_at: float) -> None:
        """Record that the primary still led at ``requested_at``."""
        self.proven_at = max(self.proven_at, requested_at)

    def note_commit(
        self, member: str, position: Position | None, sent_at: float
    ) -> None:
        """Add a commit that a replica has confirmed.

        A replica that isn't paused accepted it from the primary after
        ``sent_at``, which proves as much as its report would.
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
        """Add a sample that another VM took at ``taken_at``."""
        if member != self.leader or position.term != self.term:
            return
        self.note_proof(taken_at)
        self._add_sample(Sample(taken_at, position))

    def newest_sample(self) -> Sample | None:
        """Return the newest sample."""
        return max(self._samples, default=None)

    def derive_proof(
        self, requested_at: float, provers: frozenset | None = None
    ):
        """Derive a proof and a sample from the reports of one round.

        Parameters
        ----------
        requested_at : float
            When the round of requests began (seconds).
        provers : frozenset of str, optional
            Members whose reports count as proof; all if None.
        """
        if self.leader is None:
            return
        fresh_by_member = {
            member: last.report
            for member, last in self._report_by_member.items()
            if last.requested_at >= requested_at
        }
        proven = any(
            self.is_proof(report)
            for member, report in fresh_by_member.items()
            if provers is None or member in provers
        )
        if not proven:
            return
        self.note_proof(requested_at)
        if self.leader in fresh_by_member:
            position = fresh_by_member[self.leader].received
            self._add_sample(Sample(requested_at, position))

    def sample_since(self, taken_at: float) -> Sample | None:
        """Return the oldest sample taken at ``taken_at`` or later.

        The oldest one is the easiest for a lagging replica to reach.
        """
        recent = [s for s in self._samples if s.taken_at >= taken_at]
        return min(recent, default=None)

    def _add_sample(self, sample: Sample) -> None:
        newest = self.newest_sample()
        if (
            newest is None
            or sample.taken_at - newest.taken_at > SAMPLE_SPACING_S
        ):
            self._samples.append(sample)

    def _note_start(self, report: StatusReport) -> None:
        """Record the log with which a primary began, before it commits.

        Its first commit has a higher term than all before it. If a primary
        already has commits of its own when first seen, the log with which it
        began is unknown; a log certainly holds that only if it has one of
        these commits.
        """
        if not report.is_primary or report.term < self._start_term:
            return
        if report.received.term < report.term:
            self._start_position = report.received
        elif report.term > self._start_term:
            self._start_position = Position(report.term, 0)
        self._start_term = report.term

    def _update_leader(self) -> None:
        reports = [
            (last.report.term, member, last.report.is_primary)
            for member, last in self._report_by_member.items()
        ]
        # A primary that was seen to lead has replaced those of earlier terms,
        # also after it has been removed.
        newest = max((term for term, _, _ in reports), default=0)
        newest = max(newest, self._led_term)
        claims = [
            member
            for term, member, is_primary in reports
            if is_primary and term == newest
        ]
        leader = claims[0] if claims else None
        if newest != self.term or leader not in (self.leader, None):
            # Positions of an earlier term may name commits that the new
            # primary never had; a replica would wait for them forever.
            self._samples.clear()
            self.proven_at = float("-inf")
        self.leader = leader
        self.term = newest
        if leader is not None:
            self._led_term = newest
