"""Who holds the duty of promotions, through races and pauses."""

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
            ("over", row, "b", 1000, 5),
            ("kept", row, "a", 500, 4),
            ("own, but over", row, "a", 1000, 5),
            ("first", DutyRow.from_value(None), "a", 7, 1),
        )
        for name, known, vm, now_ms, fence in cases:
            with self.subTest(name):
                wanted = claim(known, vm, now_ms)
                self.assertEqual(fence, wanted.fence if wanted else None)
                if wanted:
                    self.assertEqual(now_ms + DUTY_MS, wanted.until_ms)

    def test_rows_of_another_writer_are_nobodys(self) -> None:
        for value in (None, 3, {}, {"holder": "a"}, {"fence": "x"}):
            with self.subTest(value=value):
                self.assertEqual("", DutyRow.from_value(value).holder)

    def test_a_suspended_holder_orders_nothing(self) -> None:
        """A VM is suspended between taking the duty and its order.

        Another has the duty by the time it wakes; its order would carry
        a fence that is lower than one already seen.
        """
        duty = HeldDuty(3, until=10.0)
        self.assertTrue(duty.allows_order(10.0 - ORDER_MARGIN_S - 0.1))
        self.assertFalse(duty.allows_order(10.0 - ORDER_MARGIN_S))
        self.assertFalse(duty.allows_order(20.0))
