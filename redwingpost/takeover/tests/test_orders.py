"""Records of promotion orders, as stored and read again."""

from unittest import TestCase

from redwingpost.core.foreign import MAX_COUNTED
from redwingpost.takeover.orders import OrderRecord


class OrderRecordTest(TestCase):
    def test_orders_that_vms_record(self) -> None:
        """Guards against an order under way that counts as unreadable.

        Another member would be promoted beside it.
        """
        cases = (
            ("the first", OrderRecord("a", 1, 9000)),
            ("the largest term of a member", OrderRecord("a", MAX_COUNTED, 9)),
            ("many sends", OrderRecord("a", 1, 9000, 2**53 + 1)),
        )
        for name, order in cases:
            with self.subTest(name):
                read = OrderRecord.from_value(order.to_value())
                self.assertEqual(order[:3], read[:3])
                self.assertEqual(order.sends > 1, read.sends > 1)
