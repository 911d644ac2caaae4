"""Heartbeats in a fleet of hundreds of VMs: their cost, and failures."""

from random import Random
from unittest import TestCase

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.membership.gathering import GATHERERS, SUSPECT_AFTER_S
from redwingpost.membership.heartbeat import PrimaryHealth
from redwingpost.membership.vm_table import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
)
from redwingpost.node.fleet.heartbeats import FORWARD_DELAY_S
from redwingpost.rates.usage import REPORT_AFTER_ADMISSIONS
from redwingpost.node.tests.many_vms import (
    DELAY_S,
    PRIMARY,
    SimulatedFleet,
    SimulatedVm,
)

#: Seconds after its start within which each VM has heartbeats of all.
_SETTLE_S = 2.0

#: Fraction, and number of operations, by which a rate may be exceeded, as
#: documented for users.
_EXCESS = 0.1
_SLACK_OPS = 20


class CostTest(TestCase):
    def test_datagrams_per_vm_are_bounded(self) -> None:
        """A fleet of hundreds of VMs starts, and callers connect.

        If each of 200 VMs sent heartbeats to each other, each would receive
        800 a second. With half a core it could do nothing else, and callers
        would wait.
        """
        a_second = round(1.0 / HEARTBEAT_INTERVAL_S)
        for vms, data_centres in ((62, 3), (195, 6)):
            with self.subTest(vms=vms):
                fleet = SimulatedFleet(vms, data_centres)
                fleet.run(_SETTLE_S)
                self.assertEqual({1.0}, set(fleet.parts()))
                fleet.sent.clear()
                fleet.received.clear()
                fleet.run(1.0)
                gatherers = fleet.gatherers()
                self.assertEqual(GATHERERS * data_centres, len(gatherers))
                cell = -(-vms // data_centres)
                others = GATHERERS * (data_centres - 1)
                for name in fleet.vm_by_name:
                    most = GATHERERS * a_second
                    if name in gatherers:
                        most = (cell + others) * a_second
                    # One more datagram of each peer may fall into the second.
                    most += cell + others if name in gatherers else GATHERERS
                    self.assertLessEqual(fleet.sent[name], most)
                    self.assertLessEqual(fleet.received[name], most)

    def test_urgent_counters_are_forwarded_once(self) -> None:
        """Guards against gatherers that answer each other without end.

        One VM admits many operations at once while callers of eight
        organisations go on at all VMs, too few at each for urgent reports.
        """
        fleet = SimulatedFleet(62, 3)
        fleet.run(_SETTLE_S)
        rules = [
            OrganisationRule(f"o{n}", frozenset(), 5000.0, 5000.0, 1)
            for n in range(8)
        ]
        vms = list(fleet.vm_by_name.values())
        for vm in vms:
            for rule in rules:
                vm.admit(rule, fleet.clock.now())
        fleet.run(2 * HEARTBEAT_INTERVAL_S)
        for sudden in (0, 2 * REPORT_AFTER_ADMISSIONS):
            for _ in range(sudden):
                vms[0].admit(rules[0], fleet.clock.now())
            fleet.sent.clear()
            for number in range(1000):
                rule = rules[number % len(rules)]
                vms[7 * number % len(vms)].admit(rule, fleet.clock.now())
                fleet.run(0.002)
            most = max(fleet.sent.values())
            with self.subTest(sudden=sudden):
                # 21 readers and four other gatherers; two datagrams for the
                # digest of each heartbeat, one for each urgent report.
                urgent_reports = sudden // REPORT_AFTER_ADMISSIONS
                self.assertLessEqual(most, 25 * (9 * 2 + urgent_reports))

    def test_datagrams_fit_a_packet(self) -> None:
        """Guards against lost digests if there are many organisations.

        With the counters of many organisations a digest would need several
        packets, and it is lost if any of them is.
        """
        names = [f"organisation-{n}" for n in range(40)]
        rules = [
            OrganisationRule(name, frozenset(), 500.0, 500.0, 1)
            for name in names
        ]
        fleet = SimulatedFleet(30, 3)
        fleet.max_bytes = 1472
        fleet.run(_SETTLE_S)
        for _ in range(5):
            for vm in fleet.vm_by_name.values():
                for rule in rules:
                    vm.admit(rule, fleet.clock.now())
            fleet.run(HEARTBEAT_INTERVAL_S)
            self.assertEqual({1.0}, set(fleet.parts()))

    def test_a_small_fleet_sends_heartbeats_directly(self) -> None:
        fleet = SimulatedFleet(7, 3)
        fleet.run(_SETTLE_S)
        self.assertEqual({1.0}, set(fleet.parts()))
        fleet.sent.clear()
        fleet.run(1.0)
        self.assertEqual({6 * 4}, set(fleet.sent.values()))


class LossTest(TestCase):
    def setUp(self) -> None:
        self.fleet = SimulatedFleet(96, 4)
        self.fleet.run(_SETTLE_S)

    def test_a_gatherer_dies(self) -> None:
        """One of a data centre's two gatherers is killed.

        A VM that lost the others' heartbeats would refuse callers within
        their rates. The second gatherer continues to send everything, and
        another VM replaces the first.
        """
        killed = self.fleet.gatherers()[0]
        self.fleet.stop(killed)
        lowest = 1.0
        for _ in range(20):
            self.fleet.run(HEARTBEAT_INTERVAL_S / 2)
            lowest = min(lowest, *self.fleet.parts())
        self.assertGreaterEqual(lowest, 95 / 96 - 1e-9)
        self.assertEqual(GATHERERS * 4, len(self.fleet.gatherers()))

    def test_both_gatherers_die(self) -> None:
        """Both gatherers of a data centre are killed at once.

        Its VMs have no gatherer until others replace them, two heartbeat
        intervals and the network latency later.
        """
        fleet = self.fleet
        data_centre = fleet.addresses[0].data_centre
        killed = [
            name
            for name in fleet.gatherers()
            if fleet.vm_by_name[name].address.data_centre == data_centre
        ]
        self.assertEqual(GATHERERS, len(killed))
        for name in killed:
            fleet.stop(name)
        fleet.run(SUSPECT_AFTER_S + 4 * HEARTBEAT_INTERVAL_S)
        self.assertGreaterEqual(min(fleet.parts()), 94 / 96 - 1e-9)

    def test_a_data_centre_is_cut_off(self) -> None:
        """One of four data centres is cut off and reconnected.

        Both sides must detect at once how small they are: each may only
        use its part of a rate. After the cut has healed, callers are
        refused until the two sides get each other's heartbeats.
        """
        fleet = self.fleet
        inside = {
            item.vm for item in fleet.addresses if item.data_centre == "dc-1"
        }
        fleet.is_cut = lambda one, other: (one in inside) != (other in inside)
        fleet.run(HEARTBEAT_TIMEOUT_S + 3 * HEARTBEAT_INTERVAL_S)
        now = fleet.clock.now()
        for name, vm in fleet.vm_by_name.items():
            expected = 0.25 if name in inside else 0.75
            self.assertAlmostEqual(expected, vm.vms.part(now), delta=0.02)
        fleet.run(5.0)
        fleet.is_cut = lambda one, other: False
        fleet.run(1.0)
        self.assertEqual({1.0}, set(fleet.parts()))

    def test_all_vms_restart(self) -> None:
        """All VMs lose power and restart at the same time."""
        fleet = self.fleet
        for address in fleet.addresses:
            fleet.start(address)
        fleet.run(1.0)
        self.assertEqual({1.0}, set(fleet.parts()))


class EvidenceTest(TestCase):
    def test_a_failing_primary_is_known_within_three_heartbeats(self) -> None:
        """A primary fails, and some VMs detect it.

        The others act on it only after a report, and each tenth of a
        second until then adds to the time without writes. The report
        travels with a VM's next heartbeat, its gatherers' next digests,
        and those of the gatherers of other cells.
        """
        fleet = SimulatedFleet(96, 4)
        fleet.run(_SETTLE_S)
        failing = [f"vm-{number}" for number in range(10)]
        for name in failing:
            failing_vm = fleet.vm_by_name[name]
            failing_vm.writer.health = PrimaryHealth(900, 0, 900, 700)
        fleet.run(3 * HEARTBEAT_INTERVAL_S + 4 * DELAY_S)
        now = fleet.clock.now()
        for name, vm in fleet.vm_by_name.items():
            reports = vm.vms.health_of(PRIMARY, now)
            failure_count = sum(len(report.failing_ms) for report in reports)
            with self.subTest(name):
                self.assertEqual(
                    len(failing) - _own_failure_count(vm), failure_count
                )


def _own_failure_count(vm: SimulatedVm) -> int:
    """Return 1 for a failing gatherer: it gets no report from itself."""
    return int(vm.vms.gathers and vm.writer.health.failing_ms > 0)


class RateTest(TestCase):
    def test_a_flood_over_the_whole_fleet(self) -> None:
        """An organisation sends eight times its rate to all VMs.

        Within any five seconds no more operations may be admitted than
        rate and burst allow, even when gatherers fail, and nearly as many
        as the rate allows must be admitted.
        """
        rule = OrganisationRule("flood", frozenset(), 40.0, 60.0, 1)
        for name, kills_at_s in (
            ("no failure", ()),
            ("gatherers lost", (3.0, 6.0)),
        ):
            with self.subTest(name):
                fleet = SimulatedFleet(96, 4)
                fleet.run(4.0)
                admitted = _play_flood(fleet, rule, 320.0, 12.0, kills_at_s)
                allowed = (40.0 * 5 + 60.0) * (1 + _EXCESS) + _SLACK_OPS
                starts = [at for at in admitted if at <= admitted[-1] - 5.0]
                most = max(
                    sum(start <= at < start + 5.0 for at in admitted)
                    for start in starts
                )
                self.assertLessEqual(most, allowed)
                late = [at for at in admitted if at >= admitted[0] + 6.0]
                self.assertGreaterEqual(len(late), 0.85 * 40.0 * 6.0)

    def test_the_first_seconds_of_a_flood_over_small_links(self) -> None:
        """Guards against counters that are late as gatherers' links fill.

        All organisations have callers, and one begins to send four times
        as much. Most VMs have links of a few Mbit/s, of which heartbeats
        get less than half; two of each data centre have ten times that.
        """
        fleet = SimulatedFleet(62, 3, strong=range(6))
        fleet.link_bytes_per_s = 250_000.0
        flooding = OrganisationRule("flood", frozenset(), 137.0, 137.0, 1)
        others = [
            OrganisationRule(f"o{n}", frozenset(), 200.0 / n, 200.0 / n, 1)
            for n in range(2, 73)
        ]
        rule_by_name = {rule.name: rule for rule in (flooding, *others)}
        for vm in fleet.vm_by_name.values():
            vm.ledger.find_rule = rule_by_name.get
        fleet.run(4.0)
        random = Random(3)
        for per_s, seconds in ((85.0, 1.0), (350.0, 5.0)):
            admitted = _play_mixed(
                fleet, flooding, others, (per_s, 500.0), seconds, random
            )
        allowed = (137.0 * 5 + 137.0) * (1 + _EXCESS) + _SLACK_OPS
        self.assertLessEqual(len(admitted), allowed)
        self.assertGreaterEqual(len(admitted), 0.85 * 137.0 * 5)

    def test_many_admissions_at_one_vm_are_reported_at_once(self) -> None:
        """All callers of an organisation use one VM for a moment.

        Until the other VMs get its counters, they admit operations for
        which there are no tokens left. The counters pass two gatherers,
        each of which batches them for ``FORWARD_DELAY_S``.
        """
        rule = OrganisationRule("a", frozenset(), 100.0, 100.0, 1)
        fleet = SimulatedFleet(96, 4)
        fleet.run(4.0)
        for vm in fleet.vm_by_name.values():
            vm.admit(rule, fleet.clock.now())
        fleet.run(3.0)
        plain = next(
            vm
            for name, vm in fleet.vm_by_name.items()
            if name not in fleet.gatherers()
        )
        before = {
            name: vm.ledger.view("a").tokens
            for name, vm in fleet.vm_by_name.items()
        }
        for _ in range(40):
            plain.admit(rule, fleet.clock.now())
        fleet.run(2 * FORWARD_DELAY_S + 4 * DELAY_S)
        for name, vm in fleet.vm_by_name.items():
            with self.subTest(name):
                vm.ledger.admit(rule, 1.0, fleet.clock.now())
                tokens = vm.ledger.view("a").tokens
                self.assertLessEqual(tokens, before[name] - 20.0)


def _play_mixed(
    fleet: SimulatedFleet,
    rule: OrganisationRule,
    others: list[OrganisationRule],
    per_s: tuple[float, float],
    seconds: float,
    random: Random,
) -> list[float]:
    """Return when operations of one organisation were admitted (seconds).

    ``per_s`` are its operations a second and those of all others together;
    of these the first have most.
    """
    admitted = []
    vms = list(fleet.vm_by_name.values())
    weights = [1.0 / (1 + place) for place in range(len(others))]
    ends_at = fleet.clock.now() + seconds
    while fleet.clock.now() < ends_at:
        fleet.run(random.expovariate(sum(per_s)))
        vm = random.choice(vms)
        if random.uniform(0.0, sum(per_s)) > per_s[0]:
            vm.admit(random.choices(others, weights)[0], fleet.clock.now())
        elif vm.admit(rule, fleet.clock.now()):
            admitted.append(fleet.clock.now())
    return admitted


def _play_flood(
    fleet: SimulatedFleet,
    rule: OrganisationRule,
    per_s: float,
    seconds: float,
    kills_at_s: tuple[float, ...],
) -> list[float]:
    """Return the times at which operations were admitted (seconds).

    At each of ``kills_at_s`` (seconds from the start) a gatherer is killed.
    """
    random = Random(7)
    admitted = []
    started_at = fleet.clock.now()
    left = list(kills_at_s)
    while fleet.clock.now() - started_at < seconds:
        fleet.run(random.expovariate(per_s))
        if left and fleet.clock.now() - started_at >= left[0]:
            del left[0]
            fleet.stop(fleet.gatherers()[0])
        vm = random.choice(list(fleet.vm_by_name.values()))
        if vm.admit(rule, fleet.clock.now()):
            admitted.append(fleet.clock.now())
    return admitted
