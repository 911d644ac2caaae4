"""Tests of the rule by which a committed write is acknowledged."""

from unittest import TestCase

from redwingpost.core import Position
from redwingpost.promotion import (
    Acknowledgements,
    Decision,
    PastBound,
    WaitAnswer,
    proves,
)


def answer(replica, index, promised=2, term=2):
    return WaitAnswer(replica, promised, Position(term, index))


class ProvesTest(TestCase):
    def test_table(self):
        position = Position(2, 5)
        table = [
            ("holds it", answer("b", 5), True),
            ("holds more", answer("b", 9), True),
            ("holds less", answer("b", 4), False),
            ("promised more", answer("b", 9, promised=3), False),
            ("not caught up", answer("b", 9, term=1), False),
            ("another term's log", answer("b", 9, term=3, promised=3), False),
        ]
        for name, given, expected in table:
            with self.subTest(name):
                self.assertEqual(proves(given, position), expected)


class AcknowledgementsTest(TestCase):
    def setUp(self):
        self.acks = Acknowledgements(2, ("b", "c"), 1, outstanding=2)

    def add(self, write, index, bound_at=1.0, past_bound=PastBound.REFUSE):
        position = Position(2, index)
        return self.acks.add(write, position, bound_at, past_bound)

    def settle(self, *decided):
        return {
            done.write: done.decision for batch in decided for done in batch
        }

    def test_waits_are_shared(self):
        """Hundreds of writes a second wait for the same replicas.

        One statement per write and replica would double what members
        have to answer, and callers would queue behind it.
        """
        for write in range(50):
            self.add(write, 10 + write)
        wait = self.acks.next_wait("b")
        self.assertEqual(wait.position, Position(2, 59))
        self.assertIsNone(self.acks.next_wait("b"))
        self.add(50, 60)
        self.assertEqual(self.acks.next_wait("b").position, Position(2, 60))
        self.add(51, 61)
        self.assertIsNone(self.acks.next_wait("b"))
        decided = self.acks.answered(wait.number, answer("b", 59))
        self.assertEqual(len(decided), 50)
        self.assertEqual(len(self.acks), 2)
        self.assertEqual(self.acks.next_wait("b").position, Position(2, 61))

    def test_replaced_primary_acknowledges_nothing(self):
        """The primary was cut off and another promoted; it still commits.

        Its caller would be told "stored", and the write would be gone
        with the old primary's tail.
        """
        self.add(1, 5)
        wait = self.acks.next_wait("b")
        decided = self.acks.answered(wait.number, answer("b", 5, promised=3))
        self.assertEqual(self.settle(decided), {1: Decision.REPLACED})
        self.assertEqual(self.settle(self.add(2, 6)), {2: Decision.REPLACED})

    def test_past_the_bound(self):
        """Both replicas have stopped receiving; the write stands on one.

        What a caller is told depends on the kind: an order is better
        called unconfirmed, a bookmark better accepted.
        """
        accept, refuse = PastBound.ACCEPT, PastBound.REFUSE
        behind = answer("b", 1)
        table = [
            ("refuse", refuse, True, Decision.NOT_CONFIRMED),
            ("accept, term proven", accept, True, Decision.ACKNOWLEDGED),
            ("accept, nothing proven", accept, False, Decision.NOT_CONFIRMED),
        ]
        for name, past_bound, hears, expected in table:
            with self.subTest(name):
                self.setUp()
                self.add(1, 5, 1.0, past_bound)
                wait = self.acks.next_wait("b")
                if hears:
                    self.assertEqual(
                        self.acks.answered(wait.number, behind), ()
                    )
                self.assertEqual(self.acks.expired(0.9), ())
                decided = self.settle(self.acks.expired(1.0))
                self.assertEqual(decided, {1: expected})

    def test_older_wait_proves_no_term_for_a_younger_write(self):
        """A wait was answered before a claim, the write came after it.

        The answer arrives late. Taken as proof of the term, it would
        acknowledge a write of a primary that is already replaced.
        """
        self.add(1, 5)
        old = self.acks.next_wait("b")
        self.add(2, 6, 1.0, PastBound.ACCEPT)
        self.acks.answered(old.number, answer("b", 5))
        decided = self.settle(self.acks.expired(1.0))
        self.assertEqual(decided, {2: Decision.NOT_CONFIRMED})

    def test_five_members_need_two_replicas(self):
        acks = Acknowledgements(2, ("b", "c", "d", "e"), 2)
        acks.add(1, Position(2, 5), 1.0)
        first, second = acks.next_wait("b"), acks.next_wait("c")
        self.assertEqual(acks.answered(first.number, answer("b", 5)), ())
        decided = acks.answered(second.number, answer("c", 5))
        self.assertEqual(self.settle(decided), {1: Decision.ACKNOWLEDGED})

    def test_failed_wait_is_sent_again(self):
        self.add(1, 5)
        wait = self.acks.next_wait("b")
        self.acks.failed("b", wait.number)
        self.assertEqual(self.acks.next_wait("b").position, Position(2, 5))

    def test_group_of_one_needs_nobody(self):
        acks = Acknowledgements(2, (), 0)
        decided = self.settle(acks.add(1, Position(2, 5), 1.0))
        self.assertEqual(decided, {1: Decision.ACKNOWLEDGED})
