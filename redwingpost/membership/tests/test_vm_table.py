"""Tests of the VM table and of readiness."""

from unittest import TestCase

from redwingpost.membership.heartbeat import (
    Echo,
    Heartbeat,
    PrimaryHealth,
    VmAddress,
)
from redwingpost.membership.readiness import (
    WORSE_OFF_FOR_S,
    ReadinessInputs,
    Readiness,
)
from redwingpost.membership.vm_table import (
    HEARTBEAT_TIMEOUT_S,
    REMOVE_AFTER_S,
    VmTable,
)


def _heartbeat(vm: str, **changes) -> Heartbeat:
    return Heartbeat(vm, 1, "ip", 1, {}, 1000, None, ())._replace(**changes)


def _table(vms: int = 4) -> VmTable:
    table = VmTable("vm-0", now=0.0)
    names = [f"vm-{number}" for number in range(vms)]
    table.set_listed(tuple(VmAddress(name, "ip", 1) for name in names))
    return table


class VmTableTest(TestCase):
    def test_part_depends_on_the_alive_vms(self) -> None:
        """A VM resumes after a suspension; all heartbeats are outdated.

        It must not use the whole rate: the other VMs admitted operations
        meanwhile.
        """
        table = _table()
        for vm in ("vm-1", "vm-2", "vm-3"):
            table.note(_heartbeat(vm), now=1.0)
        self.assertEqual(1.0, table.part(1.0))
        self.assertEqual(0.25, table.part(1.0 + HEARTBEAT_TIMEOUT_S * 2))
        self.assertFalse(table.hears_half(1.0 + HEARTBEAT_TIMEOUT_S * 2))

    def test_part_is_small_without_a_vm_list(self) -> None:
        table = VmTable("vm-0", now=0.0)
        self.assertLess(table.part(0.0), 0.5)

    def test_unlisted_vms_count_once_they_send_heartbeats(self) -> None:
        table = _table(1)
        table.note(_heartbeat("late"), now=1.0)
        self.assertEqual(2, table.count())
        self.assertEqual(1.0, table.part(1.0))

    def test_silent_vms_are_removed_after_a_delay(self) -> None:
        table = _table(3)
        table.note(_heartbeat("vm-1"), now=10.0)
        self.assertEqual((), table.silent_vms(REMOVE_AFTER_S - 1.0))
        late = REMOVE_AFTER_S + 5.0
        self.assertEqual(("vm-2",), table.silent_vms(late))

    def test_each_vm_has_a_rank_of_its_own(self) -> None:
        for subject in ("g1", "g2", "orders"):
            with self.subTest(subject):
                ranks = []
                for number in range(4):
                    table = VmTable(f"vm-{number}", now=0.0)
                    names = [f"vm-{other}" for other in range(4)]
                    table.set_listed(
                        tuple(VmAddress(name, "ip", 1) for name in names)
                    )
                    for other in names:
                        table.note(_heartbeat(other), now=0.0)
                    ranks.append(table.rank(subject, now=0.1))
                self.assertEqual([0, 1, 2, 3], sorted(ranks))

    def test_silent_vms_are_not_ranked(self) -> None:
        """A data centre with two of four VMs is cut off.

        If the others waited for these two to act first, a takeover
        would take 0.3 s longer without need.
        """
        table = VmTable("vm-3", now=0.0)
        names = ("vm-0", "vm-1", "vm-2", "vm-3")
        table.set_listed(tuple(VmAddress(name, "ip", 1) for name in names))
        subjects = [f"g{number}" for number in range(4)]
        for name in names[:3]:
            table.note(_heartbeat(name), now=0.0)
        table.note(_heartbeat("vm-2"), now=1.0)
        before = {table.rank(subject, 0.1) for subject in subjects}
        after = {table.rank(subject, 1.0) for subject in subjects}
        self.assertEqual({0, 1, 2, 3}, before)
        self.assertEqual({0, 1}, after)

    def test_age_of_a_datagram_is_not_underestimated(self) -> None:
        """A heartbeat waits in the socket of a suspended VM for seconds.

        The age of the sample in it must count from the earliest time when
        it may have been sent, or reads that are seconds old would pass as
        fresh.
        """
        delayed = _heartbeat("vm-1", echo=Echo(clock_ms=5000, held_ms=200))
        self.assertEqual(5.2, delayed.earliest_sent_at())
        self.assertIsNone(_heartbeat("vm-1").earliest_sent_at())

    def test_a_brief_heartbeat_keeps_the_previous_health(self) -> None:
        """Every second heartbeat leaves primaries out while all are well.

        If it erased the health of the previous one, a primary would look
        half of the time as if only this VM observed it.
        """
        health = {"p": PrimaryHealth(300, 0, 0, 0)}
        table = _table()
        table.note(_heartbeat("vm-1", health_by_primary=health), now=1.0)
        table.note(_heartbeat("vm-1", is_brief=True), now=1.25)
        (heartbeat,) = table.fresh_heartbeats(1.3)
        self.assertEqual(health, heartbeat.health_by_primary)
        table.note(_heartbeat("vm-1"), now=1.5)
        (heartbeat,) = table.fresh_heartbeats(1.6)
        self.assertEqual({}, heartbeat.health_by_primary)

    def test_primary_reached_by_another_vm(self) -> None:
        table = _table()
        table.note(
            _heartbeat(
                "vm-1", health_by_primary={"p": PrimaryHealth(300, 0, 0, 0)}
            ),
            now=1.0,
        )
        self.assertEqual(0.8, table.reached_elsewhere_s("p", 1.5))
        self.assertEqual(float("inf"), table.reached_elsewhere_s("q", 1.5))


class ReadinessTest(TestCase):
    def test_when_a_vm_is_ready(self) -> None:
        """A data centre is cut off while its callers still reach it.

        A VM that still reports that it is ready keeps getting callers and
        serves none of them.
        """
        fine = ReadinessInputs(True, False, 3, 3, True, False)
        alone = fine._replace(reached=0, hears_half=False)
        cases = (
            ("fine", fine, True),
            ("no rules yet", fine._replace(has_rules=False), False),
            ("stopping", fine._replace(is_stopping=True), False),
            ("no group known", fine._replace(groups=0), False),
            ("cut off", alone, False),
            (
                "others reach primaries, this one doesn't",
                fine._replace(reached=1, others_reach_more=True),
                False,
            ),
            ("no VM reaches any", fine._replace(reached=0), True),
            (
                "only its own data centre answers",
                fine._replace(cut_off_s=0.6, hears_half_lately=False),
                False,
            ),
            ("half are alive", fine._replace(cut_off_s=0.6), True),
            (
                "few are alive, members answer",
                fine._replace(hears_half_lately=False),
                True,
            ),
        )
        for name, inputs, expected in cases:
            with self.subTest(name):
                readiness = Readiness()
                readiness.update(inputs, 0.0)
                later = WORSE_OFF_FOR_S + 0.1
                self.assertEqual(expected, readiness.update(inputs, later))
