"""Tests of the queue of requests that wait for tokens."""

from unittest import TestCase

from redwingpost.rates.waiting import WaitQueue, WAIT_S, Waiter
from redwingpost.rates.bucket import TOTAL_PARTS
from redwingpost.rates.ledger import BaseParts, Ledger

_STATEMENT_MICROTOKENS = 1_000_000
_RATE = 100.0
_BURST = 50.0


def _wait_queue(parts):
    ledger = Ledger(_RATE, _BURST, 0.0)
    ledger.set_base(BaseParts(parts, 0.0, 1e9), 0.0)
    return WaitQueue(ledger)


class FloodTest(TestCase):
    def test_a_flood_does_not_fill_the_queue_while_a_loan_is_pending(self):
        # One organisation sends ten times its rate through one VM. If
        # all its requests wait for the lenders' answers, the VM spends
        # its time on the queue and fails its other callers.
        queue = _wait_queue(TOTAL_PARTS // 6)
        refused = 0
        for number in range(5000):
            queue.add(Waiter(_STATEMENT_MICROTOKENS, 10.0, number))
            refused += len(queue.refuse(0.5, loan_pending=True))
        self.assertLessEqual(len(queue), _BURST + _RATE * WAIT_S)
        self.assertEqual(len(queue) + refused, 5000)

    def test_a_burst_of_the_whole_fleets_tokens_may_wait(self):
        # A page of a small organisation needs all its tokens at once at
        # one VM, while a lender's answer is pending.
        queue = _wait_queue(TOTAL_PARTS // 6)
        for number in range(int(_BURST)):
            queue.add(Waiter(_STATEMENT_MICROTOKENS, 10.0, number))
        self.assertEqual(queue.refuse(0.5, loan_pending=True), [])

    def test_refusals_contain_a_retry_delay(self):
        queue = _wait_queue(TOTAL_PARTS)
        for number in range(200):
            queue.add(Waiter(_STATEMENT_MICROTOKENS, 10.0, number))
        refused = queue.refuse(0.0, loan_pending=False)
        self.assertEqual(len(refused), 200 - int(_RATE * WAIT_S))
        self.assertTrue(all(entry.retry_after_ms > 0 for entry in refused))
