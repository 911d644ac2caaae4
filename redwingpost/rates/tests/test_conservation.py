"""Stateful test: all VMs together never spend more than was granted."""

from unittest import TestCase

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from hypothesis.strategies import integers, sampled_from

from redwingpost.rates.bucket import STATEMENT_MICROTOKENS, TOTAL_PARTS
from redwingpost.rates.ledger import BaseParts, Ledger
from redwingpost.rates.loans import (
    QUARANTINE_S,
    Borrower,
    Lender,
    number_sequence,
)
from redwingpost.rates.roster import BASE_VALID_S

VMS = ("a", "b", "c")
RATE = 10.0
BURST = 4.0
EQUAL_PARTS = TOTAL_PARTS // len(VMS)
vms = sampled_from(VMS)
vm_pairs = sampled_from([(x, y) for x in VMS for y in VMS if x != y])


class Vm:
    """The ledger of a VM with its lender and borrower."""

    def __init__(self, incarnation, now):
        self.ledger = Ledger(RATE, BURST, now)
        self.lender = Lender(self.ledger, number_sequence(incarnation))
        self.borrower = Borrower(self.ledger, number_sequence(incarnation))
        self.usable_from = now + (QUARANTINE_S if incarnation else 0.0)


class Fleet(RuleBasedStateMachine):
    """Three VMs whose messages are lost, repeated and delayed.

    A paused VM takes no step while time passes: a ledger gets ``now``
    only in the steps that use it. The base parts of a crashed VM pass to
    a new incarnation of the same VM.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.vms = {name: Vm(0, 0.0) for name in VMS}
        self.incarnation = 0
        self.messages = []
        self.spent = []
        for name in VMS:
            self.update_base(name)

    @rule()
    def update_bases(self):
        for name in VMS:
            self.update_base(name)

    def update_base(self, name):
        vm = self.vms[name]
        base = BaseParts(EQUAL_PARTS, vm.usable_from, self.now + BASE_VALID_S)
        vm.ledger.set_base(base, self.now)

    @rule(name=vms)
    def shrink_base(self, name):
        """The agent lowers the base before it hands parts over."""
        vm = self.vms[name]
        base = BaseParts(
            EQUAL_PARTS // 2, vm.usable_from, self.now + BASE_VALID_S
        )
        vm.ledger.set_base(base, self.now)

    @rule(milliseconds=sampled_from((1, 40, 300, 700, 990, 1050, 3500)))
    def wait(self, milliseconds):
        self.now += milliseconds / 1000

    @rule()
    def spend_everywhere(self):
        for name in VMS:
            self._spend(name)

    def _spend(self, name):
        # A tenth of a statement each, to detect small excesses.
        while self.vms[name].ledger.spend(
            STATEMENT_MICROTOKENS // 10, self.now
        ):
            self.spent.append(self.now)

    @rule(pair=vm_pairs, late_ms=sampled_from((0, 0, 0, 200, 900)))
    def borrow_all(self, pair, late_ms):
        """A complete exchange whose answer takes ``late_ms``."""
        name, lender = pair
        here, there = self.vms[name], self.vms[lender]
        request = here.borrower.request(
            lender, EQUAL_PARTS, 5 * STATEMENT_MICROTOKENS, self.now
        )
        grant = there.lender.lend(
            name, EQUAL_PARTS, 5 * STATEMENT_MICROTOKENS, self.now
        )
        self.now += late_ms / 1000
        here.borrower.accept(request.number, grant, self.now)

    @rule(
        pair=vm_pairs,
        parts=integers(1, EQUAL_PARTS),
        tokens=integers(0, 5 * STATEMENT_MICROTOKENS),
    )
    def ask_for_loan(self, pair, parts, tokens):
        name, lender = pair
        request = self.vms[name].borrower.request(
            lender, parts, tokens, self.now
        )
        self.messages.append(("request", name, lender, request))

    @rule(name=vms)
    def renew(self, name):
        vm = self.vms[name]
        for loan in vm.borrower.due_for_renewal(self.now):
            self.messages.append(("renew", name, loan.lender, loan, self.now))

    @rule(name=vms, keep=integers(0, 4 * STATEMENT_MICROTOKENS))
    def give_back(self, name, keep):
        vm = self.vms[name]
        for key in list(vm.ledger.borrowed_by_loan)[:1]:
            returned = vm.borrower.return_loan(key, keep, self.now)
            if returned is not None:
                self.messages.append(
                    ("return", name, returned.lender, returned)
                )

    @rule(index=integers(0, 50), repeat=sampled_from((False, False, True)))
    def deliver(self, index, repeat):
        if not self.messages:
            return
        index %= len(self.messages)
        message = self.messages[index]
        if not repeat:
            del self.messages[index]
        self._handle(*message)

    @rule(index=integers(0, 50))
    def lose_message(self, index):
        if self.messages:
            del self.messages[index % len(self.messages)]

    @rule(name=vms)
    def die_and_restart(self, name):
        self.incarnation += 1
        self.vms[name] = Vm(self.incarnation, self.now)
        self.update_base(name)

    def _handle(self, kind, name, lender, body, *rest):
        here, there = self.vms[name], self.vms[lender]
        if kind == "request":
            grant = there.lender.lend(name, body.parts, body.tokens, self.now)
            self.messages.append(("grant", name, lender, body, grant))
        elif kind == "grant":
            here.borrower.accept(body.number, rest[0], self.now)
        elif kind == "renew":
            valid_s = there.lender.renew(body.loan, False, self.now)
            answer = ("renewed", name, lender, body, rest[0], valid_s)
            self.messages.append(answer)
        elif kind == "renewed":
            key = (body.lender, body.loan)
            here.borrower.apply_renewal(key, rest[1], rest[0], self.now)
        else:
            there.lender.take_back(body.loan, body.tokens, self.now)

    @invariant()
    def never_more_than_burst_and_rate(self):
        """Each window up to now has at most burst + rate x time."""
        for index, start in enumerate(self.spent):
            allowed = BURST + RATE * (self.now - start)
            spent = (len(self.spent) - index) / 10
            assert spent <= allowed + 1e-6, (spent, allowed)

    @invariant()
    def parts_never_exceed_the_whole(self):
        held = sum(vm.ledger.parts_at(self.now) for vm in self.vms.values())
        assert held <= TOTAL_PARTS, held


class ConservationTest(TestCase):
    def test_spending_is_bounded_over_every_window(self):
        """Messages between VMs are lost, repeated or late; VMs pause
        past the end of a loan, crash and restart. If any of this created
        tokens, an organisation would get more than it was granted, at
        the expense of other organisations' callers.
        """
        run_state_machine_as_test(
            Fleet,
            settings=settings(
                max_examples=200,
                stateful_step_count=80,
                deadline=None,
                derandomize=True,
                database=None,
                phases=(Phase.generate,),
                suppress_health_check=list(HealthCheck),
            ),
        )
