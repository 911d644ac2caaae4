"""Tests of the rule by which a committed write is acknowledged."""

from unittest import TestCase

from redwingpost.core import Position
from redwingpost.promotion import (
    Acknowledgements,
    Decision,
    UnconfirmedPolicy,
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

    def add(
        self, write, index, expires_at=1.0, policy=UnconfirmedPolicy.REFUSE
    ):
        position = Position(2, index)
        return self.acks.add(write, position, expires_at, policy)

    def settle(self, *decided):
        return {
            done.write: done.decision for batch in decided for done in batch
        }

    def test_waits_are_shared(self):
        """Hundreds of writes per second wait for the same replicas.

        One statement per write and replica would double the statements
        that members answer, and callers' statements would queue.
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
        """A partitioned primary commits after another was promoted.

        The write would be acknowledged to its caller although the
        promotion drops it with the end of the old primary's log.
        """
        self.add(1, 5)
        wait = self.acks.next_wait("b")
        decided = self.acks.answered(wait.number, answer("b", 5, promised=3))
        self.assertEqual(self.settle(decided), {1: Decision.REPLACED})
        self.assertEqual(self.settle(self.add(2, 6)), {2: Decision.REPLACED})

    def test_unconfirmed_write_after_its_time_limit(self):
        """Both replicas have stopped receiving; only the primary has it.

        The answer depends on the request kind: an order should be
        refused as not confirmed, a bookmark should be accepted.
        """
        accept, refuse = UnconfirmedPolicy.ACCEPT, UnconfirmedPolicy.REFUSE
        behind = answer("b", 1)
        table = [
            ("refuse", refuse, True, Decision.NOT_CONFIRMED),
            ("accept, term proven", accept, True, Decision.ACKNOWLEDGED),
            ("accept, nothing proven", accept, False, Decision.NOT_CONFIRMED),
        ]
        for name, policy, has_answer, expected in table:
            with self.subTest(name):
                self.setUp()
                self.add(1, 5, 1.0, policy)
                wait = self.acks.next_wait("b")
                if has_answer:
                    self.assertEqual(
                        self.acks.answered(wait.number, behind), ()
                    )
                self.assertEqual(self.acks.expired(0.9), ())
                decided = self.settle(self.acks.expired(1.0))
                self.assertEqual(decided, {1: expected})

    def test_older_wait_proves_no_term_for_a_later_write(self):
        """A wait is answered, then a claim, then the write is committed.

        The answer arrives late. As a proof of the term it would
        acknowledge a write of a primary that is already replaced.
        """
        self.add(1, 5)
        old = self.acks.next_wait("b")
        self.add(2, 6, 1.0, UnconfirmedPolicy.ACCEPT)
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

    def test_group_of_one_needs_no_replica(self):
        acks = Acknowledgements(2, (), 0)
        decided = self.settle(acks.add(1, Position(2, 5), 1.0))
        self.assertEqual(decided, {1: Decision.ACKNOWLEDGED})
