"""Tests of when an acknowledged commit may be reported as kept."""

from unittest import TestCase

from redwingpost.core.positions import Position
from redwingpost.groups.confirmation import (
    FAILS_ELSEWHERE_S,
    HELD_UP_S,
    SETTLED_S,
    Commit,
    CommitStatus,
    ReplicaAnswer,
    TakeoverSigns,
    check_commit,
    needs_claim,
    needs_confirmation,
)
from redwingpost.ports.database import StatusReport

_TERM = 3
_FOLLOWS = StatusReport(False, _TERM, Position(_TERM, 9), 0, 0, 0, 1)
_PAUSED = _FOLLOWS._replace(paused_for=_TERM + 1)
_LEADS_NEXT = _FOLLOWS._replace(is_primary=True, term=_TERM + 1)
_HEALTHY = TakeoverSigns(False, 0.0, False, 60.0)


class PossibleTakeoverTest(TestCase):
    def test_signs_of_a_possible_takeover(self) -> None:
        cases = (
            ("healthy", _HEALTHY, False, False),
            (
                "a replica restarted",
                _HEALTHY._replace(has_fresh_replica=True),
                True,
                False,
            ),
            (
                "the primary fails to another VM",
                _HEALTHY._replace(fails_elsewhere_s=FAILS_ELSEWHERE_S),
                True,
                False,
            ),
            (
                "the primary is draining",
                _HEALTHY._replace(is_suspect=True),
                False,
                True,
            ),
            ("cut off", _HEALTHY._replace(heard_half_s=0.0), True, True),
            (
                "cut off until recently",
                _HEALTHY._replace(heard_half_s=SETTLED_S / 2),
                True,
                True,
            ),
        )
        for name, signs, confirms, claims in cases:
            with self.subTest(name):
                self.assertEqual(confirms, needs_confirmation(signs))
                self.assertEqual(claims, needs_claim(signs))


class CheckCommitTest(TestCase):
    """Guards against keeping commits that the new primary lacks."""

    def test_statuses(self) -> None:
        trusted = ReplicaAnswer(_FOLLOWS, is_trusted=True)
        fresh = ReplicaAnswer(_FOLLOWS, is_trusted=False)
        paused = ReplicaAnswer(_PAUSED, is_trusted=True)
        leads = ReplicaAnswer(_LEADS_NEXT, is_trusted=True)
        silent = ReplicaAnswer(None, is_trusted=True)
        cases = (
            ("a replica accepts it", (trusted,), 0.0, CommitStatus.KEPT),
            ("one of two accepts", (trusted, silent), 0.0, CommitStatus.KEPT),
            ("only one that restarted", (fresh,), 0.0, CommitStatus.OPEN),
            (
                "restarted, other paused",
                (fresh, paused),
                0.0,
                CommitStatus.OPEN,
            ),
            (
                "restarted, other leads",
                (fresh, leads),
                0.0,
                CommitStatus.REPLACED,
            ),
            ("planned change", (trusted, paused), 0.0, CommitStatus.KEPT),
            ("none answers", (silent, silent), 0.0, CommitStatus.OPEN),
            (
                "held up until a replica lost its pause",
                (trusted, paused),
                HELD_UP_S,
                CommitStatus.OPEN,
            ),
            (
                "held up by load",
                (trusted, trusted),
                HELD_UP_S,
                CommitStatus.KEPT,
            ),
        )
        for name, answers, held_up_s, expected in cases:
            with self.subTest(name):
                commit = Commit(_TERM, held_up_s=held_up_s)
                self.assertIs(expected, check_commit(commit, answers))

    def test_a_restart_that_the_registry_has_not_told_yet(self) -> None:
        """Guards against the word of a replica that has lost its pause."""
        position = Position(_TERM, 9)
        holds = ReplicaAnswer(_FOLLOWS, True)
        lacks = ReplicaAnswer(
            _FOLLOWS._replace(received=Position(_TERM, 8)), True
        )
        lasting = holds._replace(is_running_on=True)
        fresh = holds._replace(is_trusted=False)
        paused = ReplicaAnswer(_PAUSED, True)
        silent = ReplicaAnswer(None, True)
        kept, still_open = CommitStatus.KEPT, CommitStatus.OPEN
        cases = (
            ("both accept and hold it", (holds, holds), 0.0, kept),
            ("the other is paused", (holds, paused), 0.0, still_open),
            ("the other is silent", (holds, silent), 0.0, still_open),
            ("the other lacks it", (holds, lacks), 0.0, still_open),
            ("the other has restarted", (holds, fresh), 0.0, kept),
            ("both have restarted", (fresh, fresh), 0.0, still_open),
            ("ran on, other paused", (lasting, paused), 0.0, still_open),
            ("ran on, other silent", (lasting, silent), 0.0, kept),
            (
                "ran on, but lacks it",
                (lacks._replace(is_running_on=True), silent),
                0.0,
                still_open,
            ),
            ("ran on, held up", (lasting, paused), HELD_UP_S, still_open),
        )
        for name, answers, held_up_s, expected in cases:
            with self.subTest(name):
                commit = Commit(_TERM, position, held_up_s, True)
                self.assertIs(expected, check_commit(commit, answers))
