"""VMs' estimates of one bucket, under simulated loads."""

from random import Random
from typing import NamedTuple
from unittest import TestCase

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.rates.usage import UsageLedger

STEP_S = 0.01
STEPS_PER_HEARTBEAT = 25
HEARTBEATS_PER_FULL_REPORT = 10
WINDOW_S = 5.0


def _rule(rate: float) -> OrganisationRule:
    return OrganisationRule("org", frozenset(), rate, rate, 1)


class Load(NamedTuple):
    """Operations a second at each VM, and the seed of their times."""

    per_s: list[float]
    seed: int


class Fleet:
    """Ledgers whose heartbeats are spread over the heartbeat interval."""

    def __init__(self, vms: int, seed: int) -> None:
        self._random = Random(seed)
        self.vms = vms
        self.ledgers = [UsageLedger(0.0) for _ in range(vms)]
        self.boots = [1] * vms
        self.admitted: list[tuple[float, int]] = []
        self.offered: list[tuple[float, int]] = []
        self._phases = [
            self._random.randrange(STEPS_PER_HEARTBEAT) for _ in range(vms)
        ]

    def restart(self, vm: int, now: float) -> None:
        """Restart a VM, which loses all its state."""
        self.ledgers[vm] = UsageLedger(now)
        self.boots[vm] += 1

    def play(
        self, begin: float, end: float, load: Load, rule: OrganisationRule
    ) -> None:
        """Offer operations and send heartbeats from ``begin`` to ``end``."""
        for step in range(round(begin / STEP_S), round(end / STEP_S)):
            now = step * STEP_S
            for vm, per_s in enumerate(load.per_s):
                arrivals = int(per_s * STEP_S + self._random.random())
                for _ in range(arrivals):
                    self._offer(vm, rule, now)
            for vm in range(self.vms):
                if step % STEPS_PER_HEARTBEAT == self._phases[vm]:
                    beat = step // STEPS_PER_HEARTBEAT
                    self._report(
                        vm, beat % HEARTBEATS_PER_FULL_REPORT == 0, now
                    )

    def share(self, vm: int, since: float) -> float:
        """Return the fraction of a VM's operations that was admitted."""
        offered = sum(at >= since and by == vm for at, by in self.offered)
        served = sum(at >= since and by == vm for at, by in self.admitted)
        return served / offered

    def admitted_between(self, begin: float, end: float) -> int:
        """Return the number of operations admitted in a time span."""
        return sum(begin <= at < end for at, _ in self.admitted)

    def most_in_a_window(self) -> int:
        """Return the largest number admitted in any window."""
        return max(
            self.admitted_between(at, at + WINDOW_S) for at, _ in self.admitted
        )

    def _offer(self, vm: int, rule: OrganisationRule, now: float) -> None:
        ledger = self.ledgers[vm]
        self.offered.append((now, vm))
        if ledger.admit(rule, 1.0, now):
            self.admitted.append((now, vm))
        if ledger.is_report_due(rule.name):
            self._report(vm, False, now)

    def _report(self, vm: int, everything: bool, now: float) -> None:
        usages = self.ledgers[vm].take_report(everything, now)
        for other, ledger in enumerate(self.ledgers):
            if other != vm:
                name = f"vm-{vm}"
                ledger.note_peer(name, self.boots[vm], usages, now)


class ViewsTest(TestCase):
    def test_a_lowered_rate_is_shared_equally(self) -> None:
        """An operator lowers a rate far below what is sent.

        Each VM applies the change at a different time, so that their
        estimates of the bucket differ. Unless the estimates converge,
        callers of one VM get five times as much as those of another for
        as long as the organisation is over its rate: 0.05 to 0.27 of what
        was sent, as opposed to 0.16 to 0.20 with reported estimates.
        """
        for seed in range(6):
            with self.subTest(seed=seed):
                fleet = Fleet(7, seed)
                random = Random(seed)
                weights = [0.1 + random.random() for _ in range(7)]
                per_s = [60.0 * w / sum(weights) for w in weights]
                load = Load(per_s, seed)
                fleet.play(0.0, 3.0, load, _rule(101.0))
                fleet.play(3.0, 60.0, load, _rule(11.0))
                shares = [fleet.share(vm, 10.0) for vm in range(7)]
                self.assertLess(max(shares) - min(shares), 0.08)
                served = fleet.admitted_between(10.0, 60.0)
                self.assertGreater(served, 11.0 * 50.0 * 0.96)
                self.assertLess(served, 11.0 * 50.0 * 1.02)

    def test_a_fleet_that_starts_again_serves_within_the_rate(self) -> None:
        """All VMs lose power and restart; waiting callers retry at once.

        If each bucket were nearly empty at its first operation, a VM
        would refuse callers that are below the rate when the time without
        service is included.
        """
        cases = (("once up", 0.5), ("long after", 12.0))
        for name, first_s in cases:
            with self.subTest(name):
                fleet = Fleet(7, 3)
                rush = Load([26.0] * 7, 3)
                fleet.play(first_s, first_s + 0.5, rush, _rule(100.0))
                calm = Load([8.0] * 7, 3)
                fleet.play(first_s + 0.5, first_s + 5.0, calm, _rule(100.0))
                self.assertEqual(len(fleet.offered), len(fleet.admitted))

    def test_restarts_in_a_flood_grant_no_extra_burst(self) -> None:
        """VMs restart in turn during a flood that is limited to its rate.

        A restarted VM has no record of the usage. If its bucket started
        full, the members would get another burst with each restart.
        """
        rule = _rule(40.0)
        load = Load([30.0] * 6, 5)
        fleet = Fleet(6, 5)
        now = 10.0
        fleet.play(0.0, now, load, rule)
        for vm in range(6):
            fleet.restart(vm, now)
            fleet.play(now, now + 0.8, load, rule)
            now += 0.8
        fleet.play(now, now + 5.0, load, rule)
        allowed = (rule.rate * WINDOW_S + rule.burst) * 1.1
        since = [at for at, _ in fleet.admitted if at >= 9.0]
        most = max(fleet.admitted_between(at, at + WINDOW_S) for at in since)
        self.assertLess(most, allowed)
