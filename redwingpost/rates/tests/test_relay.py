"""Usage counters forwarded by gatherers: lost, late and repeated."""

from unittest import TestCase

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.rates.counters import Usage, UsageTable
from redwingpost.rates.relay import REPEATED_PER_HEARTBEAT, UsageRelay
from redwingpost.rates.usage import WARM_UP_S, UsageLedger

_RULE = OrganisationRule("a", frozenset(), 10.0, 50.0, 1)


class RelayTest(TestCase):
    def test_which_counters_are_forwarded(self) -> None:
        relay = UsageRelay()
        relay.record("near", 1, (Usage("a", 3, newly_used=3),), is_own=True)
        relay.record("near", 1, (Usage("a", 5, newly_used=2),), is_own=True)
        relay.record("far", 1, (Usage("a", 9, newly_used=9),), is_own=False)
        changed = relay.take_changed()
        usage_by_vm = {item.vm: item.usage for item in changed}
        self.assertEqual(5, usage_by_vm["near"].newly_used)
        changed_own = relay.take_changed_own()
        self.assertEqual(["near"], [item.vm for item in changed_own])
        self.assertEqual(5, changed_own[0].usage.newly_used)
        self.assertEqual((), relay.take_changed())
        self.assertEqual((), relay.take_changed_own())

    def test_all_counters_are_repeated_in_turn(self) -> None:
        """A datagram with the last operations of a VM is lost.

        The VM reports no change after that; only the repetition of
        unchanged counters delivers them.
        """
        relay = UsageRelay()
        names = [f"o{number}" for number in range(3 * REPEATED_PER_HEARTBEAT)]
        for name in names:
            relay.record("v", 1, (Usage(name, 1),), is_own=True)
        repeated = [
            item.usage.organisation
            for _ in range(3)
            for item in relay.next_repeated()
        ]
        self.assertEqual(sorted(names), sorted(repeated))

    def test_counters_of_a_removed_vm_are_not_forwarded(self) -> None:
        relay = UsageRelay()
        relay.record("v", 1, (Usage("a", 1),), is_own=True)
        relay.forget("v")
        self.assertEqual(
            ((), (), ()),
            (
                relay.take_changed(),
                relay.take_changed_own(),
                relay.next_repeated(),
            ),
        )


class FirstCountersTest(TestCase):
    def test_a_vms_first_operations_count(self) -> None:
        """Each of a hundred VMs admits a few operations of one caller.

        If a VM's first report only set the start of counting, those
        operations would exceed the rate.
        """
        ledger = UsageLedger(0.0)
        now = WARM_UP_S + 1.0
        ledger.admit(_RULE, 1.0, now)
        before = ledger.view("a").tokens
        for number in range(5):
            first = Usage("a", 2, 2, newly_used=2, newly_offered=2)
            ledger.note_peer(f"v{number}", 1, (first,), now)
        self.assertEqual(before - 10.0, ledger.view("a").tokens)

    def test_existing_counters_of_others_are_not_charged(self) -> None:
        """A VM starts when others have admitted thousands of operations.

        Charging their totals would refuse callers within the rate.
        """
        ledger = UsageLedger(0.0)
        now = WARM_UP_S + 1.0
        ledger.admit(_RULE, 1.0, now)
        before = ledger.view("a").tokens
        usage = Usage("a", 5000, 5000, newly_used=1, newly_offered=1)
        ledger.note_peer("v", 1, (usage,), now)
        ledger.note_peer("v", 1, (usage,), now)
        self.assertEqual(before - 1.0, ledger.view("a").tokens)

    def test_usage_table_round_trip(self) -> None:
        relay = UsageRelay()
        relay.record("v", 7, (Usage("a", 3, 4, 1, 2.5, 2, 3),), is_own=True)
        changed = relay.take_changed()
        self.assertEqual(
            changed, tuple(UsageTable.from_usages(changed).iter_usages())
        )
