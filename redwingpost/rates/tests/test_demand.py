"""Loans in virtual time move tokens to the VMs that need them."""

from random import Random
from unittest import TestCase

from redwingpost.rates.bucket import STATEMENT_MICROTOKENS, TOTAL_PARTS
from redwingpost.rates.demand import (
    DemandMeter,
    LoanAmount,
    lendable,
    shortfall,
    surplus_loans,
    tokens_to_keep,
)
from redwingpost.rates.ledger import BaseParts, Ledger
from redwingpost.rates.loans import Borrower, Lender, number_sequence
from redwingpost.rates.waiting import WaitQueue, Waiter

RATE, BURST = 120.0, 60.0
VMS = 6
#: Duration of an exchange between two VMs in these tests.
EXCHANGE_S = 0.003
STEP_S = 0.001
FOREVER = 1e9


class Vm:
    def __init__(self, index, lends):
        self.lends = lends
        self.ledger = Ledger(RATE, BURST, 0.0)
        numbers = number_sequence(index)
        self.lender = Lender(self.ledger, numbers)
        self.borrower = Borrower(self.ledger, numbers)
        self.queue = WaitQueue(self.ledger)
        self.meter = DemandMeter()
        self.request_after = 0.0
        self.served = 0
        self.refused = 0


class Fleet:
    """Six VMs that exchange loans in rounds of a fixed duration."""

    def __init__(self, lends=True):
        self.vms = [Vm(index + 1, lends) for index in range(VMS)]
        for vm in self.vms:
            base = BaseParts(TOTAL_PARTS // VMS, 0.0, FOREVER)
            vm.ledger.set_base(base, 0.0)
        self.now = 2.0
        self.pending = []

    def offer(self, index):
        vm = self.vms[index]
        vm.meter.observe(STATEMENT_MICROTOKENS, self.now)
        vm.queue.add(Waiter(STATEMENT_MICROTOKENS, self.now + 1.0, None))

    def step(self):
        self.now += STEP_S
        for due_at, vm, peer, request, amount in list(self.pending):
            if due_at <= self.now:
                self.pending.remove((due_at, vm, peer, request, amount))
                self._exchange(vm, peer, request, amount)
        for vm in self.vms:
            self._maintain_loans(vm)
            self._request_loans(vm)
            vm.served += len(vm.queue.serve(self.now))
            loan_pending = any(entry[1] is vm for entry in self.pending)
            vm.refused += len(vm.queue.refuse(self.now, loan_pending))

    def _request_loans(self, vm):
        if not vm.lends or self.now < vm.request_after:
            return
        demand = vm.meter.per_second(self.now)
        amount = shortfall(vm.ledger, demand, vm.queue.waiting, self.now)
        if amount is None:
            return
        vm.request_after = self.now + 2 * EXCHANGE_S
        for peer in self.vms:
            if peer is not vm:
                each = LoanAmount(amount.parts, amount.tokens)
                request = vm.borrower.request(
                    str(id(peer)), each.parts, each.tokens, self.now
                )
                due_at = self.now + EXCHANGE_S
                self.pending.append((due_at, vm, peer, request, each))

    def _exchange(self, vm, peer, request, amount):
        demand = peer.meter.per_second(self.now)
        waiting = peer.queue.waiting
        spare = lendable(peer.ledger, demand, waiting, amount, self.now)
        grant = peer.lender.lend("", spare.parts, spare.tokens, self.now)
        vm.borrower.accept(request.number, grant, self.now)
        for loan in surplus_loans(peer.ledger, demand, waiting, self.now):
            self._return_loan(peer, loan, demand)

    def _maintain_loans(self, vm):
        demand = vm.meter.per_second(self.now)
        for loan in surplus_loans(
            vm.ledger, demand, vm.queue.waiting, self.now
        ):
            self._return_loan(vm, loan, demand)
        for loan in vm.borrower.due_for_renewal(self.now):
            key = (loan.lender, loan.loan)
            valid_s = self._lender_of(loan).renew(loan.loan, False, self.now)
            vm.borrower.apply_renewal(key, valid_s, self.now, self.now)

    def _lender_of(self, loan):
        return next(p for p in self.vms if str(id(p)) == loan.lender).lender

    def _return_loan(self, vm, loan, demand):
        key = (loan.lender, loan.loan)
        returned = vm.borrower.return_loan(
            key, tokens_to_keep(demand), self.now
        )
        self._lender_of(loan).take_back(
            returned.loan, returned.tokens, self.now
        )

    def run(self, seconds, choose, per_second, seed=1):
        """Offer Poisson arrivals; ``choose`` picks the VM of each."""
        random = Random(seed)
        end = self.now + seconds
        next_at = self.now
        while self.now < end:
            while next_at <= self.now:
                self.offer(choose(random))
                next_at += random.expovariate(per_second)
            self.step()

    @property
    def refused(self):
        return sum(vm.refused for vm in self.vms)

    @property
    def served(self):
        return sum(vm.served for vm in self.vms)


def any_vm(random):
    return random.randrange(VMS)


def one_vm(_random):
    return 0


class LoansFollowDemandTest(TestCase):
    def test_within_the_rate(self):
        """Callers of one organisation connect through a balancer that
        spreads them over the VMs or sticks to one VM. Within the rate no
        request may be refused; with fixed parts, most are.
        """
        table = [("spread", any_vm), ("one VM", one_vm)]
        for name, choose in table:
            for lends in (True, False):
                with self.subTest(name=name, lends=lends):
                    fleet = Fleet(lends)
                    fleet.run(4.0, choose, 0.85 * RATE)
                    if lends:
                        self.assertEqual(fleet.refused, 0)
                    elif choose is one_vm:
                        self.assertGreater(fleet.refused, 200)

    def test_burst_at_one_vm(self):
        """The organisation's total burst arrives at one VM at once, whose
        own parts hold a sixth of it, as when a page prints a whole plan.
        """
        for lends, least in ((True, 60), (False, 10)):
            with self.subTest(lends=lends):
                fleet = Fleet(lends)
                for _ in range(int(BURST)):
                    fleet.offer(0)
                for _ in range(300):
                    fleet.step()
                self.assertGreaterEqual(fleet.served, least)
                self.assertEqual(fleet.served == BURST, lends)

    def test_callers_move_to_another_vm(self):
        """A drain moves all callers from one VM to another, which at
        first holds only its own parts. The old VM returns its loans when
        it receives a request.
        """
        fleet = Fleet()
        fleet.run(3.0, one_vm, 0.85 * RATE)
        fleet.run(3.0, lambda _random: 5, 0.85 * RATE)
        self.assertEqual(fleet.refused, 0)

    def test_ten_times_the_rate(self):
        """One organisation sends ten times its rate. It gets no more
        statements than its rate and burst allow; the rest is refused.
        """
        fleet = Fleet()
        fleet.run(5.0, one_vm, 10 * RATE)
        allowed = BURST + 5.0 * RATE
        self.assertLessEqual(fleet.served, allowed)
        self.assertGreaterEqual(fleet.served, 0.97 * allowed)
