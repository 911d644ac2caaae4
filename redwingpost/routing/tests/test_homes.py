"""Tests of choosing a group's home VMs."""

from collections import Counter
from unittest import TestCase

from redwingpost.core import VmAddress
from redwingpost.routing.homes import (
    DEFAULT_HOMES,
    choose_forward_targets,
    choose_homes,
)


def _vms(count, data_centres):
    return [
        VmAddress(f"vm-{n}", f"dc-{n % data_centres}", "", 0, 0, 1)
        for n in range(count)
    ]


class ChooseHomesTest(TestCase):
    def test_all_of_six(self):
        homes = choose_homes("g", ("dc-0",), _vms(6, 4))
        self.assertEqual(len(set(homes)), 6)

    def test_members_data_centres_first(self):
        homes = choose_homes("g", ("dc-1", "dc-5"), _vms(140, 14))
        counts = Counter(vm.data_centre for vm in homes)
        self.assertEqual(counts, {"dc-1": 3, "dc-5": 3})

    def test_order_of_the_list_does_not_matter(self):
        vms = _vms(50, 5)
        self.assertEqual(
            choose_homes("g", ("dc-1",), vms),
            choose_homes("g", ("dc-1",), vms[::-1]),
        )

    def test_a_lost_vm_moves_only_its_own_groups(self):
        vms = _vms(100, 4)
        centres = ("dc-0", "dc-1", "dc-2")
        lost = choose_homes("g-0", centres, vms)[0]
        kept = [vm for vm in vms if vm != lost]
        for number in range(50):
            with self.subTest(number=number):
                before = set(choose_homes(f"g-{number}", centres, vms))
                after = set(choose_homes(f"g-{number}", centres, kept))
                expected = 1 if lost in before else 0
                self.assertEqual(len(before - after), expected)

    def test_load_is_spread(self):
        # As many groups per VM as 1,300 on 1,000: 7.8 homes on average.
        vms = _vms(200, 14)
        counts = Counter()
        for number in range(260):
            centres = (f"dc-{number % 14}", f"dc-{(number + 1) % 14}")
            for vm in choose_homes(f"g-{number}", centres, vms):
                counts[vm.vm] += 1
        self.assertEqual(sum(counts.values()), 260 * DEFAULT_HOMES)
        self.assertLess(max(counts.values()), 3 * 7.8)


class ChooseForwardTargetsTest(TestCase):
    def test_near_first_and_session_sticks(self):
        homes = _vms(6, 2)
        first = choose_forward_targets(homes, "dc-1", "org/s1")
        again = choose_forward_targets(homes[::-1], "dc-1", "org/s1")
        self.assertEqual(first, again)
        self.assertEqual(
            [target.is_near for target in first], [True] * 3 + [False] * 3
        )

    def test_sessions_spread(self):
        homes = _vms(6, 1)
        chosen = {
            choose_forward_targets(homes, "dc-0", f"org/{n}")[0].vm.vm
            for n in range(100)
        }
        self.assertEqual(len(chosen), 6)
