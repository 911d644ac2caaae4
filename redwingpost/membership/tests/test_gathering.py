"""Tests of the selection of gatherers and the merging of digests."""

from unittest import TestCase

from redwingpost.membership.digests import DigestTable
from redwingpost.membership.gathering import (
    ISOLATED_AFTER_S,
    CELL_VMS,
    GATHERERS,
    REPORT_TIMEOUT_S,
    RETRY_S,
    SUSPECT_AFTER_S,
    Cells,
    Gathering,
)
from redwingpost.membership.heartbeat import CellReport, Digest, VmAddress
from redwingpost.rates.counters import NO_USAGES


def _addresses(vms: int, centres: int = 2) -> tuple[VmAddress, ...]:
    return tuple(
        VmAddress(f"vm-{n}", f"ip-{n}", 1, f"dc-{n % centres}")
        for n in range(vms)
    )


def _gathering(vm: str, vms: int = 40) -> Gathering:
    gathering = Gathering(vm)
    gathering.set_listed(_addresses(vms))
    return gathering


def _names(addresses: tuple[VmAddress, ...]) -> list[str]:
    return [address.vm for address in addresses]


class GathererSelectionTest(TestCase):
    def test_all_vms_select_the_same_gatherers(self) -> None:
        chosen = {
            tuple(_names(_gathering(f"vm-{n}").gatherers(0.0)))
            for n in range(0, 40, 2)
            if not _gathering(f"vm-{n}").gathers(0.0)
        }
        self.assertEqual(1, len(chosen))
        self.assertEqual(GATHERERS, len(chosen.pop()))

    def test_gatherers_are_the_vms_that_carry_most(self) -> None:
        """Guards against digests that fill a small VM's link."""
        strong = {"vm-6", "vm-14", "vm-7", "vm-15"}
        addresses = tuple(
            address._replace(capacity=4.0 if address.vm in strong else 0.5)
            for address in _addresses(40)
        )
        gathering = Gathering("vm-0")
        gathering.set_listed(addresses)
        self.assertEqual(
            {"vm-6", "vm-14"}, set(_names(gathering.gatherers(0.0)))
        )
        others = _names(gathering.other_cell_gatherers(0.0))
        self.assertEqual({"vm-7", "vm-15"}, set(others))

    def test_small_fleets_have_no_gatherers(self) -> None:
        cases = ((7, 3, True), (18, 6, True), (18, 3, False), (62, 3, False))
        for vms, centres, expected in cases:
            with self.subTest(vms=vms, centres=centres):
                gathering = Gathering("vm-0")
                gathering.set_listed(_addresses(vms, centres))
                self.assertEqual(expected, gathering.is_direct)

    def test_a_large_data_centre_has_cells(self) -> None:
        """A data centre of 300 VMs has too many for two gatherers.

        Each would send 300 datagrams a heartbeat interval and have no
        time for anything else.
        """
        cells = Cells()
        cells.set_listed(_addresses(300, centres=1))
        sizes = [len(cells.ranked(name)) for name in cells.names()]
        self.assertEqual(300, sum(sizes))
        self.assertLessEqual(max(sizes), 1.5 * CELL_VMS)

    def test_a_silent_gatherer_is_replaced_and_retried(self) -> None:
        """A gatherer is suspended and resumes.

        If its VMs kept reporting to it alone, they would get no digests of
        the fleet; if it weren't retried, the next gatherer would do its
        work permanently.
        """
        gathering = _gathering("vm-0")
        if gathering.gathers(0.0):
            gathering = _gathering("vm-2")
        first, second = _names(gathering.gatherers(0.0))
        gathering.note_sent((first, second), 0.0)
        gathering.note_digest(second, SUSPECT_AFTER_S - 0.1)
        moments = (
            ("before the timeout", SUSPECT_AFTER_S - 0.05, first),
            ("suspected", SUSPECT_AFTER_S, second),
            ("still suspected", SUSPECT_AFTER_S + RETRY_S - 0.05, second),
            ("retried", SUSPECT_AFTER_S + RETRY_S + 0.05, first),
        )
        for name, now, expected in moments:
            with self.subTest(name):
                gatherers = _names(gathering.gatherers(now))
                self.assertEqual(expected, gatherers[0])
                self.assertIn(first, gatherers)

    def test_a_vm_that_gets_reports_gathers(self) -> None:
        gathering = next(
            candidate
            for n in range(0, 40, 2)
            if not (candidate := _gathering(f"vm-{n}")).gathers(0.0)
        )
        gathering.note_report("vm-38", 1.0)
        self.assertTrue(gathering.gathers(1.0 + REPORT_TIMEOUT_S))
        self.assertFalse(gathering.gathers(1.1 + REPORT_TIMEOUT_S))

    def test_an_isolated_vm_gathers_for_itself(self) -> None:
        """A VM is cut off from its whole data centre.

        It still sends digests to the gatherers of other data centres,
        which may receive them.
        """
        gathering = next(
            candidate
            for n in range(0, 40, 2)
            if not (candidate := _gathering(f"vm-{n}")).gathers(0.0)
        )
        now = 0.0
        while now < ISOLATED_AFTER_S:
            self.assertFalse(gathering.gathers(now))
            gathering.note_sent(_names(gathering.gatherers(now)), now)
            now += 0.25
        self.assertTrue(gathering.gathers(now))
        self.assertTrue(gathering.other_cell_gatherers(now))
        gathering.note_digest(_names(gathering.gatherers(now))[0], now)
        self.assertFalse(gathering.gathers(now))


class DigestTest(TestCase):
    def _digest(self, vm: str, vms: set[int] | None, **changes) -> Digest:
        sent = None if vms is None else frozenset(vms)
        report = CellReport("a/0", 0, sent, len(vms or ()), 1, "ip", 2)
        digest = Digest(
            vm, 1, False, (report,), {}, False, (), 5, {}, NO_USAGES
        )
        return digest._replace(**changes)

    def test_reports_of_two_gatherers_are_merged(self) -> None:
        """VMs move from a gatherer that seems silent to another.

        For a moment each has reports from some of them only. A VM that
        used one of the two digests alone would count too few VMs alive,
        use only that part of each rate, and refuse callers within their
        rates.
        """
        table = DigestTable()
        table.note(self._digest("old", {1, 2, 3}), now=1.0)
        table.note(self._digest("new", {3, 4}), now=1.2)
        cases = ((1.3, {1, 2, 3, 4}), (1.6, {3, 4}))
        for now, expected in cases:
            with self.subTest(now=now):
                (report,) = table.cells(now, within_s=0.5)
                self.assertEqual(expected, set(report.vms))

    def test_a_digest_without_its_set_of_vms(self) -> None:
        """A digest leaves out a set of VMs that was sent before.

        If the digest with the set was lost, the set must not count as
        empty: the VM would use only its own part of each rate.
        """
        table = DigestTable()
        table.note(self._digest("g", {1, 2}), now=1.0)
        cases = (("received", 2, {1, 2}), ("lost", 9, {1, 2}))
        for name, number, expected in cases:
            with self.subTest(name):
                report = CellReport("a/0", 0, None, number, 1, "ip", 2)
                digest = self._digest("g", None, cells=(report,))
                table.note(digest, now=1.2)
                (merged,) = table.cells(now=1.3, within_s=0.5)
                self.assertEqual(expected, set(merged.vms))


class TableSourcesTest(TestCase):
    def test_one_vm_of_a_cell_reads_the_store(self) -> None:
        """Two that followed each other would both have old tables."""
        cases = (
            ("all of a small fleet", 6, 2, 6),
            ("without gatherers", 16, 4, 4),
            ("with gatherers", 60, 2, 2),
        )
        for name, vms, centres, readers in cases:
            with self.subTest(name):
                addresses = tuple(
                    VmAddress(f"v{n}", f"ip{n}", 1, f"dc-{n % centres}")
                    for n in range(vms)
                )
                followed_by_vm = {}
                for address in addresses:
                    gathering = Gathering(address.vm)
                    gathering.set_listed(addresses)
                    sources = gathering.table_sources(0.0)
                    followed_by_vm[address.vm] = [item.vm for item in sources]
                reading = {vm for vm, it in followed_by_vm.items() if not it}
                self.assertEqual(readers, len(reading))
                for vm, followed in followed_by_vm.items():
                    for source in followed:
                        self.assertNotIn(vm, followed_by_vm[source])
