"""Which usage is paid from what was withheld, at one VM."""

from unittest import TestCase

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.rates.counters import Usage
from redwingpost.rates.usage import UsageLedger
from redwingpost.rates.withheld import KEPT_S, WithheldRefill

RATE = 20.0
BURST = 40.0
RULE = OrganisationRule("org", frozenset(), RATE, BURST, 1)
CHECK_S = 0.1
HEAL_S = 20.0


def _usage(used: int, newly_used: int = 0) -> Usage:
    return Usage("org", used, used, 0, None, newly_used, newly_used)


class _Vm:
    """A ledger of one of two VMs, and which other it hears."""

    def __init__(self) -> None:
        self.ledger = UsageLedger(0.0)
        self.ledger.admit(RULE, 1.0, 0.0)
        self.now = 0.0
        self.hear(10.0, True)

    def hear(self, until: float, is_heard: bool) -> None:
        """Check ten times a second whether the other VM is heard."""
        while self.now < until:
            part = 1.0 if is_heard else 0.5
            unheard = () if is_heard else ("b",)
            self.ledger.note_hearing(part, unheard, self.now, part)
            self.now += CHECK_S

    def note(self, used: int, newly_used: int = 0, vm: str = "b") -> None:
        """Receive the counter of a VM."""
        usage = _usage(used, newly_used)
        self.ledger.note_peer(vm, 1, (usage,), self.now)

    @property
    def tokens(self) -> float:
        """Return the tokens of the organisation's bucket."""
        return self.ledger.view("org").tokens

    @property
    def withheld(self) -> float:
        """Return what is withheld of the organisation's rate."""
        return self.ledger.withheld_by_organisation()["org"]


class LateUsageTest(TestCase):
    def _after_partition(self) -> _Vm:
        vm = _Vm()
        vm.note(100)
        vm.hear(15.0, False)
        return vm

    def test_usage_in_a_partition_is_paid_once(self) -> None:
        """A partition of five seconds; the other VM used its part.

        Its counters arrive late, again by a gatherer, and out of order.
        If they were charged, or paid twice, callers would be refused, or
        more than the rate be admitted.
        """
        vm = self._after_partition()
        expected = 5.0 * RATE / 2 + BURST / 2
        self.assertAlmostEqual(expected, vm.withheld, delta=1.5)
        before, withheld = vm.tokens, vm.withheld
        vm.note(150)
        vm.note(150)
        vm.note(120)
        self.assertEqual(before, vm.tokens)
        self.assertAlmostEqual(withheld - 50.0, vm.withheld, delta=1.5)

    def test_what_exceeds_the_withheld_part_is_charged(self) -> None:
        """The other side used more than it might have.

        If that were forgiven, the fleet would exceed the rate.
        """
        vm = self._after_partition()
        before, withheld = vm.tokens, vm.withheld
        vm.note(100 + round(withheld) + 30)
        self.assertAlmostEqual(before - 30.0, vm.tokens, delta=1.5)
        self.assertEqual(0.0, vm.withheld)

    def test_usage_of_heard_vms_is_charged(self) -> None:
        """A VM reports what it used since it is heard again.

        What the partition left over must not pay for it: the fleet would
        admit that amount beyond the rate.
        """
        cases = (
            ("new since its last report", [(110, 10)], 10.0),
            ("the second report", [(100, 0), (115, 0)], 15.0),
            ("late and new", [(150, 5)], 5.0),
        )
        for name, reports, charged in cases:
            with self.subTest(name):
                vm = self._after_partition()
                vm.hear(15.1, True)
                before = vm.tokens
                for used, newly_used in reports:
                    vm.note(used, newly_used)
                self.assertAlmostEqual(before - charged, vm.tokens, delta=2.5)

    def test_usage_of_another_heard_vm_is_charged(self) -> None:
        """One VM isn't heard, and a third one, which is, sends reports."""
        vm = self._after_partition()
        vm.note(1, 1, vm="c")
        before = vm.tokens
        vm.note(11, 10, vm="c")
        self.assertAlmostEqual(before - 10.0, vm.tokens)

    def test_an_earlier_partition_pays_for_no_later_one(self) -> None:
        """An idle partition heals and begins anew at once.

        Each side uses the whole rate until it notices the second one. If
        the idle one paid for that, a link that fails again and again
        would double the rate.
        """
        vm = self._after_partition()
        vm.hear(15.3, True)
        vm.note(100)
        vm.hear(16.0, False)
        before = vm.tokens
        vm.note(180)
        self.assertLess(vm.tokens, before - 40.0)

    def test_a_suspended_vm_pays_from_the_whole_refill(self) -> None:
        """This VM is suspended for eight seconds, with full buffers.

        It reads the others' reports of that time before it has noticed
        that it hears nobody, each with the usage of a quarter of a second.
        """
        vm = _Vm()
        vm.note(100)
        vm.now += 8.0
        for number in range(32):
            vm.note(100 + 3 * number, 3)
        self.assertGreater(vm.tokens, 0.0)
        vm.hear(vm.now + 2.0, True)
        self.assertGreater(vm.tokens, 0.0)

    def test_a_restarted_vm_is_charged_from_its_start(self) -> None:
        """The other VM restarts in the partition: its counters begin anew."""
        vm = self._after_partition()
        before = vm.tokens
        vm.ledger.note_peer("b", 2, (_usage(9, 3),), vm.now)
        self.assertAlmostEqual(before - 3.0, vm.tokens)

    def test_late_demand_is_no_flood(self) -> None:
        """The other VM was offered half of the rate for five seconds.

        Counted as if it came at once, that is over the rate, and each VM
        would admit only its small share of the demand.
        """
        vm = self._after_partition()
        vm.note(100 + round(5.0 * RATE / 2))
        self.assertLess(vm.ledger.view("org").demand_per_s, RATE * 0.6)


class KeptTest(TestCase):
    def test_no_more_than_twenty_seconds_are_kept(self) -> None:
        """A partition lasts for a minute: the VMs leave the list.

        What is withheld must not grow until it can pay for anything.
        """
        vm = _Vm()
        vm.hear(70.0, False)
        self.assertAlmostEqual(RATE * KEPT_S, vm.withheld)

    def test_what_is_withheld_expires(self) -> None:
        """The other VM has reported, or never does.

        What is left must not pay for usage of the next partition.
        """
        cases = (("reported", True, 2.0), ("silent", False, 22.0))
        for name, reports, after_s in cases:
            with self.subTest(name):
                vm = _Vm()
                vm.note(100)
                vm.hear(HEAL_S, False)
                if reports:
                    vm.hear(HEAL_S + 0.2, True)
                    vm.note(105)
                vm.hear(HEAL_S + after_s, True)
                self.assertEqual(0.0, vm.withheld)

    def test_the_oldest_are_dropped_first(self) -> None:
        """The newest partition is the one whose usage still arrives."""
        withheld = WithheldRefill()
        for second in range(5):
            withheld.add(10.0, limit=30.0, now=float(second))
        self.assertEqual(30.0, withheld.amount)
        self.assertEqual(30.0, withheld.pay(99.0, since=2.0))


class UnchangedTest(TestCase):
    def test_nothing_changes_while_every_vm_is_heard(self) -> None:
        """The same operations and reports, with and without the checks.

        If hearing everybody had an effect, every deployment would get
        another rate limit.
        """
        outcomes = []
        for is_checked in (True, False):
            ledger = UsageLedger(0.0)
            outcome = []
            for step in range(3000):
                now = step * 0.01
                if is_checked and step % 10 == 0:
                    ledger.note_hearing(1.0, (), now)
                if step % 25 == 0:
                    usage = _usage(step // 20, 1)
                    ledger.note_peer("b", 1, (usage,), now)
                if step % 2 == 0 or step > 2000:
                    outcome.append(ledger.admit(RULE, 1.0, now))
            outcomes.append((outcome, ledger.view("org")))
        self.assertEqual(*outcomes)
