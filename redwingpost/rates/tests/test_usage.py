"""Rates enforced by reported usage, under simulated loads."""

from random import Random
from unittest import TestCase

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.rates.tests.partitioned_fleet import (
    Organisation,
    PartitionedFleet,
)
from redwingpost.rates.usage import REPORT_AFTER_ADMISSIONS, Usage, UsageLedger

RULE = OrganisationRule("org", frozenset(), 20.0, 20.0, 1)
WINDOW_S = 5.0
STEP_S = 0.01
HEARTBEAT_S = 0.25


class Fleet:
    """Ledgers that report their admissions to each other."""

    def __init__(self, vms: int) -> None:
        self.ledgers = [UsageLedger(0.0) for _ in range(vms)]
        self.parts = [1.0] * vms
        self.receives_from = [[True] * vms for _ in range(vms)]
        self.admitted: list[tuple[float, int]] = []
        self.offered = [0] * vms

    def offer(self, vm: int, now: float) -> None:
        """Offer one operation to a VM."""
        self.offered[vm] += 1
        if self.ledgers[vm].admit(RULE, self.parts[vm], now):
            self.admitted.append((now, vm))
        if self.ledgers[vm].is_report_due(RULE.name):
            self.report(vm, now)

    def report(self, vm: int, now: float) -> None:
        """Send a VM's counters to the VMs that it can reach."""
        usages = self.ledgers[vm].take_report(True, now)
        for other, ledger in enumerate(self.ledgers):
            if other != vm and self.receives_from[other][vm]:
                ledger.note_peer(f"vm-{vm}", 1, usages, now)

    def play(self, seconds: float, rates: list[float], seed: int) -> None:
        """Offer operations to each VM at its rate."""
        random = Random(seed)
        steps = int(seconds / STEP_S)
        for step in range(steps):
            now = step * STEP_S
            for vm, rate in enumerate(rates):
                if random.random() < rate * STEP_S:
                    self.offer(vm, now)
            if step % int(HEARTBEAT_S / STEP_S) == 0:
                for vm in range(len(rates)):
                    self.report(vm, now)

    def most_in_a_window(self) -> int:
        """Return the largest number admitted in any five seconds."""
        times = [now for now, _ in self.admitted]
        return max(
            sum(start <= now < start + WINDOW_S for now in times)
            for start in times
        )


def _flood(reports_at_once: bool) -> Fleet:
    """Return a fleet after ten seconds of low load and one of flood."""
    fleet = Fleet(6)
    if not reports_at_once:
        for ledger in fleet.ledgers:
            ledger.is_report_due = lambda organisation: False
    fleet.play(10.0, [RULE.rate / 12.0] * 6, seed=3)
    for step in range(100):
        now = 10.0 + step * STEP_S
        for vm in range(6):
            fleet.offer(vm, now)
            fleet.offer(vm, now)
        if (step + 1) % int(HEARTBEAT_S / STEP_S) == 0:
            for vm in range(6):
                fleet.report(vm, now)
    return fleet


class FloodTest(TestCase):
    def test_a_flood_after_a_low_load(self) -> None:
        """An organisation with a low load sends sixty times its rate.

        Its bucket is full at every VM. Until the VMs receive each
        other's reports each of them spends the whole bucket, and the
        members get several times the load that was granted.
        """
        allowed = (RULE.rate * WINDOW_S + RULE.burst) * 1.1
        self.assertLess(
            _flood(reports_at_once=True).most_in_a_window(), allowed
        )
        self.assertGreater(
            _flood(reports_at_once=False).most_in_a_window(), allowed
        )


class PeerTest(TestCase):
    """Counters of a VM that restarts, and of one that is removed."""

    def _ledger(self) -> UsageLedger:
        ledger = UsageLedger(0.0)
        # The bucket starts with a part of its burst; let it fill.
        ledger.admit(RULE, 1.0, 0.0)
        ledger.admit(RULE, 1.0, 100.0)
        return ledger

    def _left(self, ledger: UsageLedger) -> int:
        left = 0
        while ledger.admit(RULE, 1.0, 100.0):
            left += 1
        return left

    def test_counters_from_before_a_restart_are_ignored(self) -> None:
        """A VM restarts, and a datagram from before arrives late.

        If it were applied it would be charged a second time, and callers
        would be refused within their rate.
        """
        before = (Usage(RULE.name, 500, 500),)
        cases = (
            ("first report", [(1, before)], 19),
            ("grows", [(1, before), (1, (Usage(RULE.name, 505, 505),))], 14),
            ("restarted", [(1, before), (2, (Usage("org", 3, 3),))], 19),
            (
                "late report from before",
                [(2, before), (1, (Usage("org", 900, 900),))],
                19,
            ),
        )
        for name, entries, expected in cases:
            with self.subTest(name):
                ledger = self._ledger()
                for boot, usages in entries:
                    ledger.note_peer("vm-2", boot, usages, 100.0)
                self.assertEqual(expected, self._left(ledger))

    def test_restarts_do_not_grow_the_ledger(self) -> None:
        """A VM restarts a hundred times.

        If the counters of each start were kept, memory would grow with
        every restart in the fleet.
        """
        ledger = self._ledger()
        for boot in range(100):
            usages = (Usage(RULE.name, boot, boot),)
            ledger.note_peer("vm-2", boot, usages, 100.0)
        self.assertEqual(1, len(ledger.peers()))
        ledger.forget_peer("vm-2")
        self.assertEqual((), ledger.peers())


class UsageTest(TestCase):
    def test_no_window_holds_more_than_rate_and_burst(self) -> None:
        """An organisation sends ten times its rate through six VMs.

        Each VM learns the others' admissions only from reports. All
        together may admit at most rate and burst and a tenth more.
        """
        allowed = (RULE.rate * WINDOW_S + RULE.burst) * 1.1
        cases = (
            ("even", [34.0] * 6),
            ("one VM", [200.0] + [0.0] * 5),
            ("uneven", [100.0, 50.0, 25.0, 12.0, 8.0, 5.0]),
        )
        for name, rates in cases:
            with self.subTest(name):
                fleet = Fleet(6)
                fleet.play(20.0, rates, seed=7)
                self.assertLess(fleet.most_in_a_window(), allowed)
                served = len(fleet.admitted)
                self.assertGreater(served, RULE.rate * 20.0 * 0.9)

    def test_refused_callers_get_a_sufficient_retry_delay(self) -> None:
        """An organisation sends ten times its rate through six VMs.

        With too short a retry delay a caller is refused again, and its
        retries add to the flood.
        """
        fleet = Fleet(6)
        fleet.play(20.0, [34.0] * 6, seed=7)
        ledger = fleet.ledgers[0]
        while ledger.admit(RULE, 1.0, 20.0):
            pass
        wait_s = ledger.wait_s(RULE, 1.0)
        # A sixth of 20 a second: one token every 0.3 s.
        self.assertGreater(wait_s, 0.05)
        self.assertFalse(ledger.admit(RULE, 1.0, 20.0 + wait_s * 0.5))
        self.assertLess(wait_s, 1.0)

    def test_no_operation_within_the_rate_is_refused(self) -> None:
        fleet = Fleet(6)
        fleet.play(20.0, [6.0, 4.0, 2.0, 1.0, 0.5, 0.0], seed=3)
        self.assertGreaterEqual(len(fleet.admitted), sum(fleet.offered) * 0.99)

    def test_callers_of_all_vms_are_served_equally(self) -> None:
        """Two and a half times the rate, unevenly spread.

        If the VM that sees a token first spent it, callers of one VM
        would be refused three times as often as those of another.
        """
        fleet = Fleet(4)
        fleet.play(60.0, [25.0, 12.0, 8.0, 5.0], seed=5)
        shares = [
            sum(vm == number for _, vm in fleet.admitted) / offered
            for number, offered in enumerate(fleet.offered)
        ]
        self.assertLess(max(shares) - min(shares), 0.08)

    def test_a_partitioned_fleet_keeps_to_the_rate(self) -> None:
        """A partition separates two halves of the fleet under load.

        Each half uses its part of the rate; both together must not
        exceed it.
        """
        fleet = Fleet(4)
        fleet.parts = [0.5] * 4
        for vm in range(4):
            for other in range(4):
                fleet.receives_from[vm][other] = vm // 2 == other // 2
        fleet.play(20.0, [50.0] * 4, seed=9)
        allowed = (RULE.rate * WINDOW_S + RULE.burst) * 1.1
        self.assertLess(fleet.most_in_a_window(), allowed)

    def test_reports_may_be_repeated_late_or_lost(self) -> None:
        """Datagrams are lost, duplicated and reordered.

        Because counters never decrease, a later report makes up for it.
        """
        sender = UsageLedger(0.0)
        reader = UsageLedger(0.0)
        reader.admit(RULE, 1.0, 0.0)
        reports = [sender.take_report(True, 0.0)]
        for _ in range(3):
            sender.admit(RULE, 1.0, 0.0)
            reports.append(sender.take_report(True, 0.0))
        for order in ((1, 3, 2, 3), (1, 1, 3), (3, 1)):
            with self.subTest(order):
                fresh = UsageLedger(0.0)
                fresh.admit(RULE, 1.0, 0.0)
                for number in order:
                    fresh.note_peer("s", 1, reports[number], 0.0)
                first = min(order)
                last = UsageLedger(0.0)
                last.admit(RULE, 1.0, 0.0)
                if order[0] == first:
                    last.note_peer("s", 1, reports[first], 0.0)
                last.note_peer("s", 1, reports[3], 0.0)
                self.assertEqual(
                    last.wait_s(RULE, 1.0), fresh.wait_s(RULE, 1.0)
                )

    def test_operations_that_reach_no_member_are_free(self) -> None:
        """A primary is lost, and callers retry repeatedly.

        If each attempt counted, they would be over their rate once
        another primary is available, at every VM that gets the reports.
        """
        tried, other = UsageLedger(0.0), UsageLedger(0.0)
        other.admit(RULE, 1.0, 0.0)
        other.note_peer("t", 1, (Usage(RULE.name, 0),), 0.0)
        before_s = other.wait_s(RULE, 1.0)
        for _ in range(50):
            if tried.admit(RULE, 1.0, 0.0):
                tried.refund(RULE.name)
        other.note_peer("t", 1, tried.take_report(True, 0.0), 0.0)
        self.assertTrue(tried.admit(RULE, 1.0, 0.0))
        self.assertEqual(before_s, other.wait_s(RULE, 1.0))

    def test_many_admissions_are_reported_at_once(self) -> None:
        ledger = UsageLedger(0.0)
        due = []
        for _ in range(REPORT_AFTER_ADMISSIONS):
            ledger.admit(RULE, 1.0, 0.0)
            due.append(ledger.is_report_due(RULE.name))
        self.assertEqual([False] * (REPORT_AFTER_ADMISSIONS - 1) + [True], due)


class ShareTest(TestCase):
    def test_shares_add_up_to_one_as_a_flood_begins(self) -> None:
        """Counts that come late by way of gatherers would raise all shares.

        If the network then splits the VMs, the shares alone bound what they
        admit until they notice.
        """
        vms, begin = 68, 4.0
        rule = OrganisationRule("a", frozenset(), 345.0, 345.0, 1)
        load = Organisation(
            rule,
            lambda vm, now: rule.rate * (4.0 if now >= begin else 0.6) / vms,
        )
        for seed in range(2):
            fleet = PartitionedFleet(
                vms, (load,), lambda *_: False, seed, is_gathered=True
            )
            fleet.play(0.0, begin + 0.6)
            for step in range(3, 8):
                with self.subTest(seed=seed, step=step):
                    now = begin + 0.2 * step
                    fleet.play(now, now + 0.2)
                    shares = [vm.ledger.view("a").share for vm in fleet.vms]
                    self.assertLess(sum(shares), 1.15)
