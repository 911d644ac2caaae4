"""Tests of what members' reports prove, and where reads may run."""

from unittest import TestCase

from redwingpost.configuration.routes import Consistency, RouteRule
from redwingpost.core.positions import ZERO_POSITION, Position
from redwingpost.groups.evidence import GroupEvidence
from redwingpost.groups.reads import AT_PRIMARY_WITH_PROOF, plan_read
from redwingpost.ports.database import StatusReport


def _report(
    is_primary: bool, term: int, index: int, paused_for: int = 0
) -> StatusReport:
    head = Position(term, index)
    return StatusReport(is_primary, term, head, paused_for, 0, 0, 1)


def _route(consistency: Consistency, age_s: float) -> RouteRule:
    return RouteRule("d", "g", consistency, 1.0, 0.4, 1, age_s, False)


class ProofTest(TestCase):
    def setUp(self) -> None:
        self.evidence = GroupEvidence()
        self.evidence.note_report("p", _report(True, 3, 9), 1.0)

    def test_which_reports_prove_the_primary(self) -> None:
        """Guards against stale reads at a primary that was replaced.

        It has not noticed, so its reads miss what the new primary
        acknowledges. A replica that no longer accepts its commits, or
        follows another primary, proves nothing for it.
        """
        cases = (
            ("follows", _report(False, 3, 9), True),
            ("behind", _report(False, 2, 4), True),
            ("paused for a newer term", _report(False, 3, 9, 4), False),
            ("paused long ago", _report(False, 3, 9, 3), True),
            ("in a newer term", _report(False, 4, 9), False),
            ("leads itself", _report(True, 3, 9), False),
        )
        for name, report, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, self.evidence.is_proof(report))

    def test_a_newer_term_removes_the_leader(self) -> None:
        self.evidence.note_report("r", _report(False, 4, 9), 2.0)
        self.assertIsNone(self.evidence.leader)
        self.evidence.note_report("q", _report(True, 4, 9), 2.1)
        self.assertEqual("q", self.evidence.leader)

    def test_the_newest_primary_is_removed(self) -> None:
        """Guards against an old primary that leads again for this VM."""
        self.evidence.note_report("q", _report(True, 4, 9), 2.0)
        self.evidence.forget("q")
        self.assertEqual((None, 4), (self.evidence.leader, self.evidence.term))

    def test_a_late_report_is_ignored(self) -> None:
        self.evidence.note_report("p", _report(False, 3, 9), 5.0)
        self.evidence.note_report("p", _report(True, 3, 9), 4.0)
        self.assertIsNone(self.evidence.leader)

    def test_a_restarted_replica_proves_nothing(self) -> None:
        """Guards against a proof by a replica that lost its pause.

        A paused replica restarts. Its report must not prove that the old
        primary still leads.
        """
        self.evidence.note_report("r", _report(False, 3, 9), 2.0)
        self.evidence.note_report("p", _report(True, 3, 9), 2.0)
        self.evidence.derive_proof(2.0, provers=frozenset())
        self.assertEqual(float("-inf"), self.evidence.proven_at)
        self.evidence.derive_proof(2.0, provers=frozenset({"r"}))
        self.assertEqual(2.0, self.evidence.proven_at)

    def test_samples_of_an_earlier_term_are_dropped(self) -> None:
        """Guards against reads that wait for a rolled-back position.

        A promotion rolls back commits that were never acknowledged. A sample
        may name such a position, and replicas would refuse every read that
        waits for it.
        """
        self.evidence.note_commit("p", Position(3, 12), 2.0)
        self.assertIsNotNone(self.evidence.sample_since(1.0))
        self.evidence.note_report("q", _report(True, 4, 10), 3.0)
        self.assertIsNone(self.evidence.sample_since(1.0))

    def test_position_that_a_new_primary_must_hold(self) -> None:
        """Guards against promoting a replica that lacks acknowledged writes.

        A primary crashes permanently while one replica receives nothing.
        The other replica leads now and has committed nothing yet. If the
        lagging one replaces it, all writes that it missed are lost.
        """
        began_with = _report(True, 4, 30)
        began_with = began_with._replace(received=Position(3, 30))
        committed = _report(True, 4, 31)
        cases = (
            ("no report", [], ZERO_POSITION),
            ("seen as it began", [began_with], Position(3, 30)),
            ("seen later as well", [began_with, committed], Position(3, 30)),
            ("seen later only", [committed], Position(4, 0)),
        )
        for name, reports, expected in cases:
            with self.subTest(name):
                evidence = GroupEvidence()
                for requested_at, report in enumerate(reports, 1):
                    evidence.note_report("q", report, float(requested_at))
                self.assertEqual(expected, evidence.floor)

    def test_new_primary_must_hold_locally_acknowledged_commits(self) -> None:
        self.evidence.note_commit("p", Position(3, 12), 2.0)
        began_with = _report(True, 4, 10)._replace(received=Position(3, 10))
        self.evidence.note_report("q", began_with, 3.0)
        self.assertEqual(Position(3, 12), self.evidence.floor)
        self.evidence.note_report("r", _report(True, 5, 3), 4.0)
        self.assertEqual(Position(5, 0), self.evidence.floor)

    def test_only_the_leaders_commits_count(self) -> None:
        cases = (
            ("other member", "q", Position(3, 12)),
            ("other term", "p", Position(2, 12)),
            ("no position", "p", None),
        )
        for name, member, position in cases:
            with self.subTest(name):
                self.evidence.note_commit(member, position, 2.0)
                self.assertIsNone(self.evidence.newest_sample())


class PlanTest(TestCase):
    def setUp(self) -> None:
        self.evidence = GroupEvidence()
        self.evidence.note_report("p", _report(True, 3, 9), 0.0)
        for taken_at, index in ((8.0, 20), (9.0, 30), (9.9, 40)):
            position = Position(3, index)
            self.evidence.note_commit("p", position, taken_at)

    def test_where_a_read_may_run(self) -> None:
        own = Position(3, 35)
        cases = (
            (Consistency.PRIMARY, 0.0, ZERO_POSITION, None),
            (Consistency.STATED_AGE, 1.5, ZERO_POSITION, Position(3, 30)),
            (Consistency.STATED_AGE, 2.5, ZERO_POSITION, Position(3, 20)),
            (Consistency.STATED_AGE, 2.5, own, Position(3, 20)),
            (Consistency.STATED_AGE, 0.05, ZERO_POSITION, None),
            (Consistency.READ_YOUR_WRITES, 2.5, own, own),
            (
                Consistency.READ_YOUR_WRITES,
                1.5,
                ZERO_POSITION,
                Position(3, 30),
            ),
        )
        for consistency, age_s, written, after in cases:
            with self.subTest(consistency=consistency, age_s=age_s):
                plan = plan_read(
                    _route(consistency, age_s), self.evidence, written, 10.0
                )
                if after is None:
                    self.assertEqual(AT_PRIMARY_WITH_PROOF, plan)
                else:
                    self.assertEqual(after, plan.after)
                    self.assertTrue(plan.replicas)
