"""Tests of the detection of a lost primary and of its observers."""

from random import Random
from unittest import TestCase

from redwingpost.core import Position, VmAddress
from redwingpost.promotion import (
    PROBE_INTERVAL_S,
    Diagnosis,
    MemberObservation,
    ReplicationMeter,
    Report,
    SilenceMeter,
    choose_observers,
    diagnose_drain,
    diagnose_leadership,
    diagnose_primary,
    may_propose,
    rank_of,
)

MEMBERS = ("a", "b", "c")


def report(number, primary_silent_s, others_silent_s=0.1, age_s=9.0):
    """Return the report of observer ``number``; two per data centre."""
    return Report(
        f"vm-{number}",
        f"dc-{number // 2}",
        (
            MemberObservation("a", primary_silent_s, 1, True),
            MemberObservation("b", others_silent_s, 1, False, age_s),
            MemberObservation("c", others_silent_s, 1, False, age_s),
        ),
    )


class DiagnosePrimaryTest(TestCase):
    def diagnose(self, *reports):
        return diagnose_primary("a", MEMBERS, reports, 3)

    def test_member_that_no_observer_knows_is_silent(self):
        reports = [Report(f"vm-{n}", f"dc-{n}", ()) for n in range(4)]
        diagnosis = diagnose_primary("a", MEMBERS, reports, 3)
        self.assertIs(diagnosis, Diagnosis.MAJORITY_UNREACHABLE)

    def test_table(self):
        lost_s, reachable_s = 0.8, 0.1
        everyone = [report(n, lost_s) for n in range(6)]
        majority = [report(n, lost_s) for n in range(4)]
        majority += [report(n, reachable_s) for n in range(4, 6)]
        half = [report(n, lost_s) for n in range(3)]
        half += [report(n, reachable_s) for n in range(3, 6)]
        paused = [report(n, 0.3 + PROBE_INTERVAL_S) for n in range(6)]
        table = [
            ("all", everyone, Diagnosis.PRIMARY_LOST),
            ("most, from two data centres", majority, Diagnosis.PRIMARY_LOST),
            ("only half", half, Diagnosis.TOO_FEW_OBSERVERS),
            ("a pause of 300 ms", paused, Diagnosis.HEALTHY),
            ("one alone", everyone[:1], Diagnosis.TOO_FEW_OBSERVERS),
            ("one data centre", everyone[:2], Diagnosis.TOO_FEW_OBSERVERS),
        ]
        for name, reports, diagnosis in table:
            with self.subTest(name):
                self.assertIs(self.diagnose(*reports), diagnosis)

    def test_isolated_vm_orders_no_promotion(self):
        """One VM loses its network and reaches no member.

        If it could start a promotion, a healthy primary would be fenced
        and every write of the group would stall for a second.
        """
        cut_off = report(0, 5.0, others_silent_s=5.0)
        self.assertIs(self.diagnose(cut_off), Diagnosis.MAJORITY_UNREACHABLE)

    def test_replica_that_reaches_the_primary_delays_promotion(self):
        """Links from the VMs to the primary are lossy; replicas reach it.

        An immediate promotion may be needless; without any promotion
        callers couldn't write as long as the partition lasts.
        """
        table = [(0.8, Diagnosis.TOO_FEW_OBSERVERS)]
        table += [(1.6, Diagnosis.PRIMARY_LOST)]
        for silent_s, diagnosis in table:
            with self.subTest(silent_s=silent_s):
                reports = [report(n, silent_s, age_s=0.1) for n in range(6)]
                self.assertIs(self.diagnose(*reports), diagnosis)

    def test_packet_loss_of_five_percent(self):
        """Each segment of a probe is lost with a probability of 5%.

        TCP retransmits after 200 ms, 400 ms and 800 ms. A promotion
        because of that would stall writes although the primary is healthy.
        """
        random = Random(4)
        lost = 0
        for _ in range(20_000):
            reports = [report(n, self.stall(random)) for n in range(6)]
            lost += self.diagnose(*reports) is Diagnosis.PRIMARY_LOST
        self.assertEqual(lost, 0)

    def stall(self, random):
        """Return the longest silence of an exchange under 5% loss."""
        old = self.exchange(random)
        # A second connection's probe starts after 0.3 s of silence.
        new = 0.3 + PROBE_INTERVAL_S + self.exchange(random)
        return PROBE_INTERVAL_S + min(old, new)

    def exchange(self, random):
        seconds = 0.0
        for _ in ("there", "back"):
            timeout = 0.2
            while random.random() < 0.05:
                seconds += timeout
                timeout *= 2
        return seconds


class SilenceMeterTest(TestCase):
    def test_pause_of_the_observer_adds_no_silence(self):
        """An observer VM is paused for a minute and resumes.

        Every member seems to have been silent for a minute; if that
        counted, the observer would suspect the primary of every group.
        """
        meter = SilenceMeter(0.0)
        meter.answered(0.15)
        meter.tick(60.0)
        self.assertLess(meter.silent_s(60.0), 0.5)

    def test_silence_grows_while_awake(self):
        meter = SilenceMeter(0.0)
        for tick in range(1, 11):
            meter.tick(tick * PROBE_INTERVAL_S)
        silent_s = meter.silent_s(10 * PROBE_INTERVAL_S)
        self.assertAlmostEqual(silent_s, 10 * PROBE_INTERVAL_S)


class DiagnoseLeadershipTest(TestCase):
    def test_table(self):
        leading = MemberObservation("a", 0.1, 2, True)
        not_leading = MemberObservation("a", 0.1, 3, False)
        unreachable = MemberObservation("a", 9.0, 2, True)
        follower = MemberObservation("b", 0.1, 2, False)
        claimed = MemberObservation("c", 0.1, 3, False)
        other = MemberObservation("c", 0.1, 2, False)
        table = [
            (
                "active primary",
                (leading, follower, other),
                9.0,
                Diagnosis.HEALTHY,
            ),
            ("just claimed", (not_leading, follower, claimed), 0.1, None),
            (
                "dead proposer",
                (not_leading, follower, claimed),
                0.8,
                "LEADERLESS",
            ),
            ("stranded", (leading, follower, claimed), 3.1, "STRANDED"),
            ("not yet stranded", (leading, follower, claimed), 0.8, None),
            (
                "primary silent",
                (unreachable, follower, claimed),
                0.8,
                "LEADERLESS",
            ),
            ("alone", (follower,), 9.0, Diagnosis.MAJORITY_UNREACHABLE),
        ]
        for name, observations, since, expected in table:
            if isinstance(expected, str):
                expected = Diagnosis[expected]
            with self.subTest(name):
                diagnosis = diagnose_leadership(MEMBERS, observations, since)
                self.assertIs(diagnosis, expected or Diagnosis.HEALTHY)


class DiagnoseDrainTest(TestCase):
    def test_table(self):
        every = tuple(MemberObservation(member, 0.1) for member in MEMBERS)
        one_unreachable = every[:2] + (MemberObservation("c", 3.0),)
        table = [
            ("no member leaves", (), every, Diagnosis.HEALTHY),
            ("a replica leaves", ("b",), every, Diagnosis.HEALTHY),
            ("the primary leaves", ("a",), every, Diagnosis.LEAVING),
            (
                "a member is silent",
                ("a",),
                one_unreachable,
                Diagnosis.MAJORITY_UNREACHABLE,
            ),
            ("a majority leaves", ("a", "b"), every, Diagnosis.HEALTHY),
        ]
        for name, leaving, observations, expected in table:
            with self.subTest(name):
                diagnosis = diagnose_drain(
                    "a", MEMBERS, frozenset(leaving), observations
                )
                self.assertIs(diagnosis, expected)


class ReplicationMeterTest(TestCase):
    def test_table(self):
        """The links between a primary and its replicas fail.

        Observers still reach all three members. Callers would get
        not-confirmed for every write until the network is repaired.
        """
        head, behind = Position(1, 9), Position(1, 7)
        table = [
            ("nothing to send", [(head, (head, head))] * 3, 0.0),
            ("one keeps up", [(head, (head, behind))] * 3, 0.0),
            ("all are stalled", [(head, (behind, behind))] * 3, 2.0),
            ("not all answer", [(head, ())] * 3, 0.0),
            (
                "fell behind later",
                [
                    (behind, (behind, behind)),
                    (head, (behind, behind)),
                    (head, (behind, behind)),
                ],
                1.0,
            ),
            (
                "one moves",
                [
                    (head, (behind, behind)),
                    (head, (behind, behind)),
                    (head, (Position(1, 8), behind)),
                ],
                0.0,
            ),
        ]
        for name, rounds, expected in table:
            with self.subTest(name):
                meter = ReplicationMeter()
                for second, (primary, replicas) in enumerate(rounds):
                    meter.observe(primary, replicas, float(second))
                self.assertEqual(meter.stalled_s(2.0), expected)


class ObserversTest(TestCase):
    def vms(self, count, data_centres):
        return [
            VmAddress(f"vm-{n}", f"dc-{n % data_centres}", "", 0, 0, 1)
            for n in range(count)
        ]

    def test_spread_over_data_centres(self):
        for count, data_centres in ((6, 4), (12, 4), (1_000, 14)):
            with self.subTest(count=count):
                chosen = choose_observers("g", self.vms(count, data_centres))
                self.assertEqual(len(chosen), 6)
                spread = {vm.data_centre for vm in chosen}
                self.assertEqual(len(spread), min(6, data_centres))

    def test_work_is_spread_at_full_size(self):
        """A VM that observed most groups would be overloaded by probes."""
        vms = self.vms(1_000, 14)
        group_count_by_vm = {}
        for number in range(130):
            for vm in choose_observers(f"group-{number}", vms):
                group_count_by_vm[vm.vm] = group_count_by_vm.get(vm.vm, 0) + 1
        self.assertLessEqual(max(group_count_by_vm.values()), 8)

    def test_order_of_the_list_does_not_matter(self):
        vms = self.vms(9, 3)
        self.assertEqual(
            choose_observers("g", vms), choose_observers("g", vms[::-1])
        )

    def test_ranks(self):
        vms = self.vms(6, 4)
        ranks = sorted(rank_of(vm.vm, "g", vms) for vm in vms)
        self.assertEqual(ranks, [0, 1, 2, 3, 4, 5])
        self.assertTrue(may_propose(1, 0.4))
        self.assertFalse(may_propose(1, 0.3))
