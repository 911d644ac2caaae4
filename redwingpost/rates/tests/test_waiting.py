"""Tests of the line of requests that wait for tokens."""

from unittest import TestCase

from redwingpost.rates.waiting import RateLine, WAIT_S, Waiter
from redwingpost.rates.bucket import WHOLE
from redwingpost.rates.ledger import Base, Ledger

_STATEMENT = 1_000_000
_RATE = 100.0
_BURST = 50.0


def _line(parts):
    ledger = Ledger(_RATE, _BURST, 0.0)
    ledger.set_base(Base(parts, 0.0, 1e9), 0.0)
    return RateLine(ledger)


class FloodTest(TestCase):
    def test_a_flood_does_not_fill_the_line_while_a_lender_is_asked(self):
        # One organisation sends ten times its rate through one VM. If
        # all of it waits for the lenders' answers, the VM spends its
        # time on the line and its other callers find it closed.
        line = _line(WHOLE // 6)
        refused = 0
        for number in range(5000):
            line.add(Waiter(_STATEMENT, 10.0, number))
            refused += len(line.refuse(0.5, may_gain=True))
        self.assertLessEqual(len(line), _BURST + _RATE * WAIT_S)
        self.assertEqual(len(line) + refused, 5000)

    def test_a_burst_of_the_whole_fleets_tokens_may_wait(self):
        # A page of a small organisation asks for all its tokens at once
        # and at one VM; they are being lent.
        line = _line(WHOLE // 6)
        for number in range(int(_BURST)):
            line.add(Waiter(_STATEMENT, 10.0, number))
        self.assertEqual(line.refuse(0.5, may_gain=True), [])

    def test_refusals_name_the_time(self):
        line = _line(WHOLE)
        for number in range(200):
            line.add(Waiter(_STATEMENT, 10.0, number))
        refused = line.refuse(0.0, may_gain=False)
        self.assertEqual(len(refused), 200 - int(_RATE * WAIT_S))
        self.assertTrue(all(one.retry_after_ms > 0 for one in refused))
