"""Counters that pass through gatherers, lost, late and repeated."""

from unittest import TestCase

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.rates.counters import Usage, UsageTable
from redwingpost.rates.relay import IN_TURN, UsageRelay
from redwingpost.rates.usage import SETTLED_AFTER_S, UsageLedger

_RULE = OrganisationRule("a", frozenset(), 10.0, 50.0, 1)


class RelayTest(TestCase):
    def test_what_is_passed_on(self) -> None:
        relay = UsageRelay()
        relay.note("near", 1, (Usage("a", 3, newly_used=3),), is_own=True)
        relay.note("near", 1, (Usage("a", 5, newly_used=2),), is_own=True)
        relay.note("far", 1, (Usage("a", 9, newly_used=9),), is_own=False)
        news = relay.take_news()
        told = {item.vm: item.usage for item in news}
        self.assertEqual(5, told["near"].newly_used)
        self.assertEqual(["near"], [i.vm for i in relay.of_cell(news)])
        self.assertEqual((), relay.take_news())

    def test_all_are_repeated_in_turn(self) -> None:
        """A datagram with the last operations of a VM is lost.

        The VM has none after that; only a repetition tells of them.
        """
        relay = UsageRelay()
        names = [f"o{number}" for number in range(3 * IN_TURN)]
        for name in names:
            relay.note("v", 1, (Usage(name, 1),), is_own=True)
        repeated = [
            item.usage.organisation
            for _ in range(3)
            for item in relay.in_turn()
        ]
        self.assertEqual(sorted(names), sorted(repeated))

    def test_a_vm_that_is_gone(self) -> None:
        relay = UsageRelay()
        relay.note("v", 1, (Usage("a", 1),), is_own=True)
        relay.forget("v")
        self.assertEqual(((), ()), (relay.take_news(), relay.in_turn()))


class FirstCountersTest(TestCase):
    def test_a_vms_first_operations_count(self) -> None:
        """Each of a hundred VMs admits a few operations of one caller.

        If the first report of each were only where counting starts, a few
        of each of a hundred VMs would go beyond the rate.
        """
        ledger = UsageLedger(0.0)
        now = SETTLED_AFTER_S + 1.0
        ledger.admit(_RULE, 1.0, now)
        before = ledger.view("a").tokens
        for number in range(5):
            first = Usage("a", 2, 2, newly_used=2, newly_offered=2)
            ledger.note_peer(f"v{number}", 1, (first,), now)
        self.assertEqual(before - 10.0, ledger.view("a").tokens)

    def test_long_counters_of_others_are_where_counting_starts(self) -> None:
        """A VM starts, and others have admitted thousands before."""
        ledger = UsageLedger(0.0)
        now = SETTLED_AFTER_S + 1.0
        ledger.admit(_RULE, 1.0, now)
        before = ledger.view("a").tokens
        usage = Usage("a", 5000, 5000, newly_used=1, newly_offered=1)
        ledger.note_peer("v", 1, (usage,), now)
        ledger.note_peer("v", 1, (usage,), now)
        self.assertEqual(before - 1.0, ledger.view("a").tokens)

    def test_a_table_holds_what_went_in(self) -> None:
        relay = UsageRelay()
        relay.note("v", 7, (Usage("a", 3, 4, 1, 2.5, 2, 3),), is_own=True)
        news = relay.take_news()
        self.assertEqual(news, tuple(UsageTable.of(news).every()))
