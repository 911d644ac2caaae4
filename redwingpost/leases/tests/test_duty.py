"""Claims on the duty and its expiry, with races and pauses."""

from unittest import TestCase

from redwingpost.leases.duty import (
    DUTY_MS,
    ORDER_MARGIN_S,
    DutyRow,
    HeldDuty,
    claim,
)


class DutyTest(TestCase):
    def test_claims(self) -> None:
        row = DutyRow("a", 4, 1000)
        cases = (
            ("held by another", row, "b", 999, None),
            ("expired", row, "b", 1000, 5),
            ("renewed", row, "a", 500, 4),
            ("own, but expired", row, "a", 1000, 5),
            ("first", DutyRow.from_value(None), "a", 7, 1),
        )
        for name, current, vm, now_ms, fence in cases:
            with self.subTest(name):
                claimed = claim(current, vm, now_ms)
                self.assertEqual(fence, claimed.fence if claimed else None)
                if claimed:
                    self.assertEqual(now_ms + DUTY_MS, claimed.until_ms)

    def test_unreadable_rows_have_no_holder(self) -> None:
        for value in (None, 3, {}, {"holder": "a"}, {"fence": "x"}):
            with self.subTest(value=value):
                self.assertEqual("", DutyRow.from_value(value).holder)

    def test_suspended_holder_may_not_order_a_promotion(self) -> None:
        """A VM is suspended between claiming the duty and its order.

        Another VM holds the duty when it resumes; its order would carry
        a lower fence than the members have already seen.
        """
        duty = HeldDuty(3, valid_until=10.0)
        self.assertTrue(duty.allows_order(10.0 - ORDER_MARGIN_S - 0.1))
        self.assertFalse(duty.allows_order(10.0 - ORDER_MARGIN_S))
        self.assertFalse(duty.allows_order(20.0))
