"""When statements may no longer be sent to an evacuated data centre."""

from unittest import TestCase

from redwingpost.groups.evacuations import STALE_ORDER_S, Evacuations

_WORK_S = 2.5


class EvacuationsTest(TestCase):
    def test_when_work_ends(self) -> None:
        """Guards against an old order that counts as a new one.

        An order that was read at this VM's start or after an outage may
        have been in force for longer than it allows work.
        """
        late = 20.0 + STALE_ORDER_S
        for name, has_read, outage_at, ordered_at, ends_at in (
            ("a new order", True, None, 20.0, 20.0 + _WORK_S),
            ("read at the start", False, None, 20.0, float("-inf")),
            ("just after an outage", True, 19.5, 20.0, float("-inf")),
            ("long after an outage", True, 19.9, late, late + _WORK_S),
        ):
            with self.subTest(name):
                evacuations = Evacuations(_WORK_S)
                if has_read:
                    evacuations.replace((), 1.0)
                if outage_at is not None:
                    evacuations.note_outage(outage_at)
                evacuations.put("dc-a", ordered_at)
                self.assertEqual(ends_at, evacuations.work_ends_at("dc-a"))

    def test_an_order_that_is_read_again_gives_no_more_time(self) -> None:
        evacuations = Evacuations(_WORK_S)
        evacuations.replace((), 1.0)
        evacuations.put("dc-a", 10.0)
        evacuations.put("dc-a", 12.0)
        evacuations.replace(("dc-a",), 13.0)
        self.assertEqual(10.0 + _WORK_S, evacuations.work_ends_at("dc-a"))

    def test_two_orders_and_a_withdrawal(self) -> None:
        evacuations = Evacuations(_WORK_S)
        evacuations.replace((), 1.0)
        evacuations.put("dc-a", 2.0)
        evacuations.put("dc-b", 3.0)
        evacuations.replace(("dc-b", "dc-c"), 4.0)
        self.assertEqual({"dc-b", "dc-c"}, set(evacuations.data_centres))
        evacuations.withdraw("dc-b")
        evacuations.withdraw("unknown")
        self.assertFalse(evacuations.is_ordered("dc-b"))
        self.assertEqual(float("inf"), evacuations.work_ends_at("dc-b"))
