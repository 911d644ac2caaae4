"""VMs' views of one bucket: played loads, judged by what is served."""

from random import Random
from typing import NamedTuple
from unittest import TestCase

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.rates.usage import UsageLedger

STEP_S = 0.01
STEPS_A_BEAT = 25
BEATS_TO_FULL = 10
WINDOW_S = 5.0


def _rule(rate: float) -> OrganisationRule:
    return OrganisationRule("org", frozenset(), rate, rate, 1)


class Load(NamedTuple):
    """Operations a second at each VM, and the seed of their moments."""

    per_s: list[float]
    seed: int


class Fleet:
    """Ledgers whose heartbeats are spread over the interval."""

    def __init__(self, vms: int, seed: int) -> None:
        self._random = Random(seed)
        self.vms = vms
        self.ledgers = [UsageLedger(0.0) for _ in range(vms)]
        self.boots = [1] * vms
        self.admitted: list[tuple[float, int]] = []
        self.offered: list[tuple[float, int]] = []
        self._phases = [
            self._random.randrange(STEPS_A_BEAT) for _ in range(vms)
        ]

    def restart(self, vm: int, now: float) -> None:
        """Let a VM lose all that it knew."""
        self.ledgers[vm] = UsageLedger(now)
        self.boots[vm] += 1

    def play(
        self, begin: float, end: float, load: Load, rule: OrganisationRule
    ) -> None:
        """Let operations arrive and heartbeats go round."""
        for step in range(round(begin / STEP_S), round(end / STEP_S)):
            now = step * STEP_S
            for vm, per_s in enumerate(load.per_s):
                arrivals = int(per_s * STEP_S + self._random.random())
                for _ in range(arrivals):
                    self._offer(vm, rule, now)
            for vm in range(self.vms):
                if step % STEPS_A_BEAT == self._phases[vm]:
                    beat = step // STEPS_A_BEAT
                    self._report(vm, beat % BEATS_TO_FULL == 0, now)

    def share(self, vm: int, since: float) -> float:
        """Return the part of a VM's operations that was admitted."""
        offered = sum(at >= since and by == vm for at, by in self.offered)
        served = sum(at >= since and by == vm for at, by in self.admitted)
        return served / offered

    def admitted_between(self, begin: float, end: float) -> int:
        """Return the operations admitted in a span."""
        return sum(begin <= at < end for at, _ in self.admitted)

    def most_in_a_window(self) -> int:
        """Return the most admitted in any window."""
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
    def test_a_lowered_rate_is_shared_alike(self) -> None:
        """An operator lowers a rate far below what is sent.

        Each VM sees the change at another moment, so that their views of
        the bucket differ. While nothing brings them together, callers of
        one VM get five times as much as those of another, for as long as
        the organisation is over its rate: 0.05 to 0.27 of what was sent,
        0.16 to 0.20 with views that are told.
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
        """All VMs lose power and start; those who waited come at once.

        If each bucket began nearly empty at its first operation, a VM
        would refuse callers that are below the rate, taken over the time
        in which nobody was served.
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

    def test_restarts_in_a_flood_give_nothing_away(self) -> None:
        """VMs are stopped in turn while a flood is held to its rate.

        Each that starts again knows nothing of what was used. If it took
        its bucket for filled, the members would get a burst more with
        each restart.
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
