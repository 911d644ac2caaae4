"""Tests of the promotion state machine, rejoining and dropped positions."""

from unittest import TestCase

from redwingpost.core import Position
from redwingpost.ports import MemberStatus
from redwingpost.promotion import (
    Abort,
    Announce,
    Candidate,
    ClaimAnswer,
    MemberFailed,
    PromoteAnswer,
    SendFollow,
    SendPromote,
    StartTimer,
    Timer,
    TimerFired,
    WriteOutcome,
    backoff_s,
    continue_from,
    leader_of,
    must_follow,
    resolve_write,
    start,
    step,
)

CANDIDATES = tuple(Candidate(member) for member in "abc")


def claim(member, index, applied=None, term=1):
    applied_index = index if applied is None else applied
    return ClaimAnswer(
        member, True, 2, Position(term, index), Position(term, applied_index)
    )


def run(*events, candidates=CANDIDATES):
    """Return the election after ``events`` and all its commands."""
    election, commands = start(candidates, 2)
    sent = list(commands)
    for event in events:
        election, commands = step(election, event)
        sent.extend(commands)
    return election, sent


def of_type(commands, kind):
    return [command for command in commands if isinstance(command, kind)]


class ElectionTest(TestCase):
    def promoted(self, *events, **options):
        _, sent = run(*events, **options)
        return [command.member for command in of_type(sent, SendPromote)]

    def test_choice(self):
        grace = TimerFired(Timer.GRACE)
        near = (Candidate("a", 2), Candidate("b", 1), Candidate("c", 3))
        leaving = (Candidate("a"), Candidate("b"), Candidate("c", 0, True))
        every = (claim("a", 5), claim("b", 5), claim("c", 5))
        longer_old = claim("a", 99, term=1)
        shorter_new = claim("b", 7, term=2)
        table = [
            ("longest log", (claim("a", 5), claim("b", 9), grace), {}, "b"),
            ("latest term", (longer_old, shorter_new, grace), {}, "b"),
            (
                "least to apply",
                (claim("a", 5, 1), claim("b", 5), grace),
                {},
                "b",
            ),
            ("nearest", every, {"candidates": near}, "b"),
            ("not leaving", every, {"candidates": leaving}, "b"),
            (
                "third is dead",
                (claim("a", 5), claim("c", 6), MemberFailed("b")),
                {},
                "c",
            ),
        ]
        for name, events, options, expected in table:
            with self.subTest(name):
                self.assertEqual(self.promoted(*events, **options), [expected])

    def test_no_promotion_without_a_majority(self):
        """Two of three members are unreachable from the proposer.

        A promotion with one accepted claim would create a second primary
        while the first continues in the other part of the network.
        """
        table = [
            (claim("a", 5), TimerFired(Timer.CLAIM)),
            (claim("a", 5), MemberFailed("b"), MemberFailed("c")),
            (
                claim("a", 5),
                ClaimAnswer("b", False, 7),
                ClaimAnswer("c", False, 3),
            ),
            (claim("a", 5), claim("a", 5), TimerFired(Timer.GRACE)),
        ]
        for events in table:
            with self.subTest(events=events):
                self.assertEqual(self.promoted(*events), [])

    def test_draining_member_is_chosen_only_if_no_other_can_be(self):
        """An operator drains the primary, which is ahead of the others.

        The most advanced log of any majority is sufficient, so that the
        leaving member need not be chosen.
        """
        ahead = claim("a", 9)
        candidates = (Candidate("a", 0, True), *CANDIDATES[1:])
        three = (ahead, claim("b", 5), claim("c", 6))
        two = (ahead, claim("b", 5), MemberFailed("c"))
        for events, expected in ((three, "c"), (two, "a")):
            with self.subTest(expected=expected):
                chosen = self.promoted(*events, candidates=candidates)
                self.assertEqual(chosen, [expected])

    def test_late_and_foreign_answers_are_ignored(self):
        done = (claim("a", 5), claim("b", 6), claim("c", 5))
        table = [
            (*done, claim("a", 9)),
            (*done, PromoteAnswer("a", True, Position(2, 7))),
            (*done, TimerFired(Timer.CLAIM)),
            (*done, TimerFired(Timer.GRACE)),
            (claim("a", 5), PromoteAnswer("a", True), MemberFailed("a")),
        ]
        for events in table:
            with self.subTest(last=events[-1]):
                election, sent = run(*events)
                self.assertEqual(of_type(sent, Announce), [])
                self.assertNotIn(election.phase.name, ("DONE", "ABORTED"))

    def test_refusal_reports_the_higher_term(self):
        _, sent = run(ClaimAnswer("b", False, 7), ClaimAnswer("c", False, 3))
        self.assertEqual(of_type(sent, Abort)[0].highest_term, 7)

    def test_late_member_within_grace_is_chosen(self):
        grace = TimerFired(Timer.GRACE)
        events = (claim("a", 5), claim("b", 5), claim("c", 8), grace)
        self.assertEqual(self.promoted(*events), ["c"])

    def test_whole_run(self):
        election, sent = run(
            claim("a", 5),
            claim("b", 6),
            MemberFailed("c"),
            PromoteAnswer("b", True, Position(2, 7)),
            PromoteAnswer("b", True, Position(2, 7)),
        )
        self.assertEqual(
            of_type(sent, Announce), [Announce(2, "b", Position(2, 7))]
        )
        self.assertEqual(
            of_type(sent, SendFollow),
            [SendFollow("a", 2, "b"), SendFollow("c", 2, "b")],
        )
        self.assertEqual(election.phase.name, "DONE")

    def test_chosen_member_dies(self):
        """The most advanced member fails between its claim and promotion.

        No primary is announced; the next attempt claims a higher term.
        """
        table = [TimerFired(Timer.PROMOTE), PromoteAnswer("b", False)]
        for event in table:
            with self.subTest(event=event):
                events = (claim("a", 5), claim("b", 6), claim("c", 5), event)
                _, sent = run(*events)
                self.assertEqual(of_type(sent, Announce), [])
                self.assertEqual(len(of_type(sent, Abort)), 1)

    def test_every_timer_is_started_once(self):
        _, sent = run(claim("a", 5), claim("b", 6), claim("c", 5))
        timers = [command.timer for command in of_type(sent, StartTimer)]
        self.assertEqual(timers, [Timer.CLAIM, Timer.GRACE, Timer.PROMOTE])

    def test_backoff_grows_to_its_bound(self):
        pauses = [backoff_s(attempt, 0.5) for attempt in range(6)]
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[-1], 2.0)


def status(member, role, promised, follows="", term=1):
    at = Position(term, 1)
    history = tuple(Position(t, t) for t in range(1, term + 1))
    return MemberStatus(member, role, promised, at, at, follows, history, 0)


class ResolveWriteTest(TestCase):
    def test_table(self):
        """The primary was replaced before a replica had confirmed."""
        history = (Position(1, 1), Position(2, 8))
        start_of_term = Position(2, 8)
        table = [
            (Position(1, 7), start_of_term, WriteOutcome.SURVIVED),
            (Position(1, 8), start_of_term, WriteOutcome.DROPPED),
            (Position(1, 8), Position(0, 0), WriteOutcome.UNDECIDED),
            (Position(2, 9), Position(2, 9), WriteOutcome.UNDECIDED),
            (Position(3, 1), start_of_term, WriteOutcome.UNDECIDED),
        ]
        for position, confirmed, expected in table:
            with self.subTest(position=position, confirmed=confirmed):
                outcome = resolve_write(position, history, confirmed)
                self.assertIs(outcome, expected)
        self.assertIs(
            resolve_write(Position(1, 1), (), history[0]),
            WriteOutcome.UNDECIDED,
        )


class RejoinTest(TestCase):
    def test_table(self):
        new = status("b", "primary", 2, term=2)
        table = [
            ("old primary", status("a", "primary", 1), True),
            ("replica of the old one", status("a", "replica", 1, "a"), True),
            ("claimed, idle", status("a", "replica", 2, ""), True),
            ("follows already", status("a", "replica", 2, "b"), False),
            ("claimed again", status("a", "replica", 3, ""), False),
        ]
        for name, member, listed in table:
            with self.subTest(name):
                statuses = must_follow((member, new))
                self.assertEqual([s.member for s in statuses], ["a"] * listed)

    def test_highest_term_leads(self):
        old, new = status("a", "primary", 1), status("b", "primary", 2, term=2)
        self.assertEqual(leader_of((old, new)).member, "b")
        self.assertEqual(must_follow((old,)), ())


class ContinuationTest(TestCase):
    def test_dropped_position_is_reported_once(self):
        """A session read its own write from a primary that then failed.

        The promotion dropped the write. Without an error the session's
        next read would miss what it had seen.
        """
        history = (Position(1, 1), Position(2, 8), Position(3, 9))
        table = [
            (Position(1, 7), Position(1, 7), False),
            (Position(1, 8), Position(2, 8), True),
            (Position(2, 9), Position(3, 9), True),
            (Position(3, 40), Position(3, 40), False),
            (Position(4, 2), Position(4, 2), False),
        ]
        for position, expected, lost in table:
            with self.subTest(position=position):
                first = continue_from(position, history)
                self.assertEqual(first, (expected, lost))
                again = continue_from(first.position, history)
                self.assertFalse(again.lost)
