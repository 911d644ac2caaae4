"""Heartbeats of hundreds of VMs: what they cost, and what they survive."""

from random import Random
from unittest import TestCase

from redwingpost.configuration.routes import OrganisationRule
from redwingpost.membership.gathering import GATHERERS, SUSPECT_AFTER_S
from redwingpost.membership.heartbeat import PrimaryHealth
from redwingpost.membership.vm_table import (
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
)
from redwingpost.node.fleet.heartbeats import PASS_ON_S
from redwingpost.node.tests.many_vms import (
    DELAY_S,
    PRIMARY,
    ManyVms,
    SimulatedVm,
)

#: Seconds after which a fleet that has started knows all about itself.
_SETTLED_S = 2.0

#: What a VM may exceed a rate by, as the users' pages say.
_OVERAGE = 0.1
_SLACK = 20


class CostTest(TestCase):
    def test_a_vm_sends_and_takes_in_few_datagrams(self) -> None:
        """A fleet of hundreds starts, and callers come.

        Told each to each, heartbeats are 800 a second and VM at 200 VMs.
        A VM on half a core does nothing else then, and callers wait.
        """
        a_second = round(1.0 / HEARTBEAT_INTERVAL_S)
        for vms, centres in ((62, 3), (195, 6)):
            with self.subTest(vms=vms):
                fleet = ManyVms(vms, centres)
                fleet.run(_SETTLED_S)
                self.assertEqual({1.0}, set(fleet.parts()))
                fleet.sent.clear()
                fleet.received.clear()
                fleet.run(1.0)
                gatherers = fleet.gatherers()
                self.assertEqual(GATHERERS * centres, len(gatherers))
                cell = -(-vms // centres)
                far = GATHERERS * (centres - 1)
                for name in fleet.vm_by_name:
                    most = GATHERERS * a_second
                    if name in gatherers:
                        most = (cell + far) * a_second
                    # A beat of either side may fall into the second twice.
                    most += cell + far if name in gatherers else GATHERERS
                    self.assertLessEqual(fleet.sent[name], most)
                    self.assertLessEqual(fleet.received[name], most)

    def test_datagrams_fit_a_packet(self) -> None:
        """Guards against VMs out of hearing where many organisations call.

        Counters of many organisations at each VM make digests of several
        packets, which are lost with any of them.
        """
        names = [f"organisation-{n}" for n in range(40)]
        rules = [
            OrganisationRule(name, frozenset(), 500.0, 500.0, 1)
            for name in names
        ]
        fleet = ManyVms(30, 3)
        fleet.max_bytes = 1472
        fleet.run(_SETTLED_S)
        for _ in range(5):
            for vm in fleet.vm_by_name.values():
                for rule in rules:
                    vm.admit(rule, fleet.clock.now())
            fleet.run(HEARTBEAT_INTERVAL_S)
            self.assertEqual({1.0}, set(fleet.parts()))

    def test_a_small_fleet_tells_each_to_each(self) -> None:
        fleet = ManyVms(7, 3)
        fleet.run(_SETTLED_S)
        self.assertEqual({1.0}, set(fleet.parts()))
        fleet.sent.clear()
        fleet.run(1.0)
        self.assertEqual({6 * 4}, set(fleet.sent.values()))


class LossTest(TestCase):
    def setUp(self) -> None:
        self.fleet = ManyVms(96, 4)
        self.fleet.run(_SETTLED_S)

    def test_a_gatherer_dies(self) -> None:
        """One of a data centre's two gatherers is killed.

        A VM that no longer knew of the others would refuse callers within
        their rates. The second gatherer has told everything meanwhile; a
        third takes the place of the first.
        """
        gone = self.fleet.gatherers()[0]
        self.fleet.stop(gone)
        least = 1.0
        for _ in range(20):
            self.fleet.run(HEARTBEAT_INTERVAL_S / 2)
            least = min(least, *self.fleet.parts())
        self.assertGreaterEqual(least, 95 / 96 - 1e-9)
        self.assertEqual(GATHERERS * 4, len(self.fleet.gatherers()))

    def test_both_gatherers_die(self) -> None:
        """Both gatherers of a data centre are killed at once.

        Its VMs are left by whoever they told until others gather, two
        heartbeats and the way later.
        """
        fleet = self.fleet
        centre = fleet.addresses[0].data_centre
        gone = [
            name
            for name in fleet.gatherers()
            if fleet.vm_by_name[name].address.data_centre == centre
        ]
        self.assertEqual(GATHERERS, len(gone))
        for name in gone:
            fleet.stop(name)
        fleet.run(SUSPECT_AFTER_S + 4 * HEARTBEAT_INTERVAL_S)
        self.assertGreaterEqual(min(fleet.parts()), 94 / 96 - 1e-9)

    def test_a_data_centre_is_cut_off(self) -> None:
        """A data centre of four is cut off, and comes back.

        Both sides must know at once how small they are: each may use its
        part of a rate only. When the cut has healed, callers are refused
        for as long as the two sides don't hear each other.
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

    def test_all_vms_start_again(self) -> None:
        """All VMs lose power and start again together."""
        fleet = self.fleet
        for address in fleet.addresses:
            fleet.start(address)
        fleet.run(1.0)
        self.assertEqual({1.0}, set(fleet.parts()))


class EvidenceTest(TestCase):
    def test_a_failing_primary_is_known_within_three_heartbeats(self) -> None:
        """A primary fails, and some VMs notice.

        Others act on it only once they know: each tenth of a second is a
        tenth more without writes. It is told with a VM's next heartbeat,
        its gatherers' next digests, and theirs elsewhere.
        """
        fleet = ManyVms(96, 4)
        fleet.run(_SETTLED_S)
        failing = [f"vm-{number}" for number in range(10)]
        for name in failing:
            life = fleet.vm_by_name[name]
            life.writer.health = PrimaryHealth(900, 0, 900, 700)
        fleet.run(3 * HEARTBEAT_INTERVAL_S + 4 * DELAY_S)
        now = fleet.clock.now()
        for name, vm in fleet.vm_by_name.items():
            reports = vm.vms.health_of(PRIMARY, now)
            told = sum(len(report.failing_ms) for report in reports)
            with self.subTest(name):
                self.assertEqual(len(failing) - _told_itself(vm), told)


def _told_itself(vm: SimulatedVm) -> int:
    """Return 1 for a gatherer that fails: it knows that by itself."""
    return int(vm.vms.gathers and vm.writer.health.failing_ms > 0)


class RateTest(TestCase):
    def test_a_flood_over_the_whole_fleet(self) -> None:
        """An organisation sends eight times its rate to all VMs.

        No window of five seconds may serve more than the rate and burst
        allow, through the loss of gatherers as well, and what the rate
        allows must be served.
        """
        rule = OrganisationRule("flood", frozenset(), 40.0, 60.0, 1)
        for name, kills in (("calm", ()), ("gatherers lost", (3.0, 6.0))):
            with self.subTest(name):
                fleet = ManyVms(96, 4)
                fleet.run(4.0)
                admitted = _play_flood(fleet, rule, 320.0, 12.0, kills)
                allowed = (40.0 * 5 + 60.0) * (1 + _OVERAGE) + _SLACK
                starts = [at for at in admitted if at <= admitted[-1] - 5.0]
                most = max(
                    sum(start <= at < start + 5.0 for at in admitted)
                    for start in starts
                )
                self.assertLessEqual(most, allowed)
                late = [at for at in admitted if at >= admitted[0] + 6.0]
                self.assertGreaterEqual(len(late), 0.85 * 40.0 * 6.0)

    def test_much_admitted_at_one_vm_is_known_at_once(self) -> None:
        """Callers of an organisation all come to one VM for a moment.

        Until the others know, they admit what is used up already. It goes
        over two gatherers, each of which lets news gather.
        """
        rule = OrganisationRule("a", frozenset(), 100.0, 100.0, 1)
        fleet = ManyVms(96, 4)
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
        fleet.run(2 * PASS_ON_S + 4 * DELAY_S)
        for name, vm in fleet.vm_by_name.items():
            with self.subTest(name):
                vm.ledger.admit(rule, 1.0, fleet.clock.now())
                tokens = vm.ledger.view("a").tokens
                self.assertLessEqual(tokens, before[name] - 20.0)


def _play_flood(
    fleet: ManyVms,
    rule: OrganisationRule,
    per_s: float,
    seconds: float,
    kills: tuple[float, ...],
) -> list[float]:
    """Return when operations were admitted (seconds).

    ``kills`` are when a gatherer is killed, seconds from the start.
    """
    random = Random(7)
    admitted = []
    started_at = fleet.clock.now()
    left = list(kills)
    while fleet.clock.now() - started_at < seconds:
        fleet.run(random.expovariate(per_s))
        if left and fleet.clock.now() - started_at >= left[0]:
            del left[0]
            fleet.stop(fleet.gatherers()[0])
        vm = random.choice(list(fleet.vm_by_name.values()))
        if vm.admit(rule, fleet.clock.now()):
            admitted.append(fleet.clock.now())
    return admitted
