"""Loans in virtual time: do tokens get to where the callers are?"""

from random import Random
from unittest import TestCase

from redwingpost.rates.bucket import STATEMENT, WHOLE
from redwingpost.rates.demand import (
    DemandMeter,
    Shortfall,
    keep_tokens,
    lendable,
    shortfall,
    surplus,
)
from redwingpost.rates.ledger import Base, Ledger
from redwingpost.rates.loans import Borrower, Lender, numbers_of
from redwingpost.rates.waiting import RateLine, Waiter

RATE, BURST = 120.0, 60.0
VMS = 6
#: Seconds of an exchange between two VMs in these tests.
EXCHANGE_S = 0.003
STEP_S = 0.001
FOREVER = 1e9


class Vm:
    def __init__(self, place, lends):
        self.lends = lends
        self.ledger = Ledger(RATE, BURST, 0.0)
        numbers = numbers_of(place)
        self.lender = Lender(self.ledger, numbers)
        self.borrower = Borrower(self.ledger, numbers)
        self.line = RateLine(self.ledger)
        self.meter = DemandMeter()
        self.ask_after = 0.0
        self.answered = 0
        self.refused = 0


class Fleet:
    """Six accounts that exchange loans in rounds of a fixed duration."""

    def __init__(self, lends=True):
        self.vms = [Vm(place + 1, lends) for place in range(VMS)]
        for vm in self.vms:
            base = Base(WHOLE // VMS, 0.0, FOREVER)
            vm.ledger.set_base(base, 0.0)
        self.now = 2.0
        self.pending = []

    def offer(self, place):
        vm = self.vms[place]
        vm.meter.observe(STATEMENT, self.now)
        vm.line.add(Waiter(STATEMENT, self.now + 1.0, None))

    def step(self):
        self.now += STEP_S
        for due, vm, peer, ask, need in list(self.pending):
            if due <= self.now:
                self.pending.remove((due, vm, peer, ask, need))
                self._exchange(vm, peer, ask, need)
        for vm in self.vms:
            self._keep(vm)
            self._ask(vm)
            vm.answered += len(vm.line.serve(self.now))
            asking = any(entry[1] is vm for entry in self.pending)
            vm.refused += len(vm.line.refuse(self.now, asking))

    def _ask(self, vm):
        if not vm.lends or self.now < vm.ask_after:
            return
        demand = vm.meter.per_second(self.now)
        need = shortfall(vm.ledger, demand, vm.line.waiting, self.now)
        if need is None:
            return
        vm.ask_after = self.now + 2 * EXCHANGE_S
        for peer in self.vms:
            if peer is not vm:
                each = Shortfall(need.parts, need.tokens)
                ask = vm.borrower.ask(
                    str(id(peer)), each.parts, each.tokens, self.now
                )
                due = self.now + EXCHANGE_S
                self.pending.append((due, vm, peer, ask, each))

    def _exchange(self, vm, peer, ask, need):
        demand = peer.meter.per_second(self.now)
        waiting = peer.line.waiting
        spare = lendable(peer.ledger, demand, waiting, need, self.now)
        grant = peer.lender.lend("", spare.parts, spare.tokens, self.now)
        vm.borrower.accept(ask.ask, grant, self.now)
        for loan in surplus(peer.ledger, demand, waiting, self.now):
            self._return(peer, loan, demand)

    def _keep(self, vm):
        demand = vm.meter.per_second(self.now)
        for loan in surplus(vm.ledger, demand, vm.line.waiting, self.now):
            self._return(vm, loan, demand)
        for loan in vm.borrower.due_for_renewal(self.now):
            key = (loan.lender, loan.loan)
            valid_s = self._lender(loan).renew(loan.loan, False, self.now)
            vm.borrower.renewed(key, valid_s, self.now, self.now)

    def _lender(self, loan):
        return next(p for p in self.vms if str(id(p)) == loan.lender).lender

    def _return(self, vm, loan, demand):
        key = (loan.lender, loan.loan)
        back = vm.borrower.give_back(key, keep_tokens(demand), self.now)
        self._lender(loan).take_back(back.loan, back.tokens, self.now)

    def run(self, seconds, choose, per_second, seed=1):
        """Offer Poisson arrivals; ``choose`` says at which VM."""
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
    def answered(self):
        return sum(vm.answered for vm in self.vms)


def spread(random):
    return random.randrange(VMS)


def one_vm(_random):
    return 0


class LoansFollowDemandTest(TestCase):
    def test_within_the_rate(self):
        """Callers of one organisation reach the fleet through a balancer
        that spreads them, or sticks to one VM. Within the rate nobody
        may be refused; with fixed parts, most are.
        """
        table = [("spread", spread), ("one VM", one_vm)]
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
        """A page prints a whole plan: the organisation's burst arrives at
        one VM at once, whose own part holds a sixth of it.
        """
        for lends, least in ((True, 60), (False, 10)):
            with self.subTest(lends=lends):
                fleet = Fleet(lends)
                for _ in range(int(BURST)):
                    fleet.offer(0)
                for _ in range(300):
                    fleet.step()
                self.assertGreaterEqual(fleet.answered, least)
                self.assertEqual(fleet.answered == BURST, lends)

    def test_callers_move_to_another_vm(self):
        """A drain moves all callers from one VM to another, which holds
        nothing but its own part at first. The old one gives back what
        it borrowed when it is asked.
        """
        fleet = Fleet()
        fleet.run(3.0, one_vm, 0.85 * RATE)
        fleet.run(3.0, lambda _random: 5, 0.85 * RATE)
        self.assertEqual(fleet.refused, 0)

    def test_ten_times_the_rate(self):
        """One organisation sends ten times its rate. It gets its rate,
        not a statement more, and the rest is refused.
        """
        fleet = Fleet()
        fleet.run(5.0, one_vm, 10 * RATE)
        allowed = BURST + 5.0 * RATE
        self.assertLessEqual(fleet.answered, allowed)
        self.assertGreaterEqual(fleet.answered, 0.97 * allowed)
