"""The work of a VM table for each datagram that it receives."""

from unittest import TestCase
from unittest.mock import patch

from redwingpost.membership.digests import DigestTable
from redwingpost.membership.heartbeat import (
    CellReport,
    Digest,
    Heartbeat,
    MergedHealth,
    PrimaryHealth,
    VmAddress,
    vm_number,
    vm_set_number,
)
from redwingpost.membership.vm_table import HEARTBEAT_TIMEOUT_S, VmTable
from redwingpost.rates.counters import NO_USAGES

_WELL = PrimaryHealth(5, 0, 5, 0)
_STUCK = PrimaryHealth(5, 700, 900, 0)


def _heartbeat(vm: str, health: PrimaryHealth | None = _WELL) -> Heartbeat:
    """Return a heartbeat; without health it is brief."""
    by_primary = {} if health is None else {"p": health}
    return Heartbeat(vm, 1, "ip", 1, by_primary, 1, None, (), health is None)


def _digest(vm: str, vms: frozenset[int], health: PrimaryHealth) -> Digest:
    report = CellReport("a/0", 0, vms, vm_set_number(vms), 1, "ip", 1)
    merged = {"p": MergedHealth.of_one(health)}
    return Digest(vm, 1, True, (report,), merged, False, (), 1, {}, NO_USAGES)


class AliveTest(TestCase):
    def setUp(self) -> None:
        self.names = [f"vm-{n}" for n in range(33)]
        self.table = VmTable("vm-0", 0.0)
        self.table.set_listed(
            tuple(VmAddress(name, "ip", 1) for name in self.names)
        )
        for name in self.names[1:]:
            self.table.note(_heartbeat(name), 1.0)

    def test_heartbeats_of_alive_vms(self) -> None:
        """A gatherer receives a hundred heartbeats a second.

        If each of them made it merge all cells' reports again to know which
        VMs are alive, a third of its time would go into that.
        """
        with patch.object(
            DigestTable, "cells", autospec=True, return_value=()
        ) as merges:
            for name in self.names[1:]:
                self.assertTrue(self.table.is_alive(name, 1.01))
                self.table.note(_heartbeat(name), 1.01)
        self.assertLessEqual(merges.call_count, 1)

    def test_a_vm_that_returns_counts_at_once(self) -> None:
        cases = (
            ("its heartbeat", lambda: self.table.note(_heartbeat("x"), 1.0)),
            (
                "a gatherer's digest",
                lambda: self.table.note_digest(
                    _digest("g", frozenset((vm_number("x"),)), _WELL), 1.0
                ),
            ),
        )
        for name, receive in cases:
            with self.subTest(name):
                self.setUp()
                self.assertFalse(self.table.is_alive("x", 1.0))
                receive()
                self.assertTrue(self.table.is_alive("x", 1.0))


class StuckTest(TestCase):
    def test_no_report_is_searched_while_all_are_well(self) -> None:
        """Each of a gatherer's groups asks ten times a second."""
        table = VmTable("vm-0", 0.0)
        for number in range(1, 33):
            table.note(_heartbeat(f"vm-{number}"), 1.0)
        with patch.object(
            VmTable, "fresh_heartbeats", autospec=True, return_value=()
        ) as searches:
            for _ in range(130):
                self.assertFalse(table.is_any_write_stuck(1.1))
        self.assertEqual(0, searches.call_count)

    def test_which_reports_count(self) -> None:
        """A write waits at a primary that reaches no replica.

        If the report were missed, no VM would replace the primary, and a
        commit could be confirmed while a takeover is in progress.
        """
        late = 1.0 + 2 * HEARTBEAT_TIMEOUT_S
        vms = frozenset((7,))
        cases = (
            ("a heartbeat", [(_heartbeat("a", _STUCK), 1.0)], 1.1, True),
            ("an old one", [(_heartbeat("a", _STUCK), 1.0)], late, False),
            (
                "a brief one after an old one",
                [
                    (_heartbeat("a", _STUCK), 1.0),
                    (None, late),
                    (_heartbeat("a", None), late),
                ],
                late,
                True,
            ),
            (
                "over",
                [(_heartbeat("a", _STUCK), 1.0), (_heartbeat("a"), 1.1)],
                1.1,
                False,
            ),
            ("a digest", [(_digest("g", vms, _STUCK), 1.0)], 1.1, True),
            (
                "a digest, then over, then again",
                [
                    (_digest("g", vms, _STUCK), 1.0),
                    (_digest("g", vms, _WELL), 1.1),
                    (None, 1.1),
                    (_digest("g", vms, _STUCK), 1.2),
                ],
                1.2,
                True,
            ),
        )
        for name, received, now, expected in cases:
            with self.subTest(name):
                table = VmTable("vm-0", 0.0)
                for message, at in received:
                    if message is None:
                        self.assertFalse(table.is_any_write_stuck(at))
                    elif isinstance(message, Digest):
                        table.note_digest(message, at)
                    else:
                        table.note(message, at)
                self.assertEqual(expected, table.is_any_write_stuck(now))
