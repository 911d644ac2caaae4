"""Tests of digests from several gatherers and of lost digests."""

from unittest import TestCase

from redwingpost.membership.digests import MAX_SETS_PER_CELL, DigestTable
from redwingpost.membership.heartbeat import CellReport, Digest, vm_set_number
from redwingpost.rates.counters import NO_USAGES

_CELL = "a/0"
_ALL = frozenset(range(20))


def _digest(
    gatherer: str, vms: frozenset[int], has_set: bool = True
) -> Digest:
    """Return a digest; without ``has_set`` it has the set's number only."""
    sent = vms if has_set else None
    report = CellReport(_CELL, 0, sent, vm_set_number(vms), 1, "ip", 1)
    return Digest(
        gatherer, 1, False, (report,), {}, False, (), 5, {}, NO_USAGES
    )


class PassedOnTest(TestCase):
    def test_a_lost_vm_isnt_kept_alive_by_two_gatherers(self) -> None:
        """Two gatherers hear each other, and one set of a cell is old.

        VMs beyond a split of the network would count as alive, while their
        counters don't arrive: an organisation got more than its rate.
        """
        tables = {"x": DigestTable(), "y": DigestTable()}
        for table in tables.values():
            table.note(_digest("lost", _ALL), now=0.0)
        kept = frozenset({1, 2})
        for step in range(1, 13):
            now = 0.25 * step
            for table in tables.values():
                table.note(_digest("first", kept), now)
            for name, other in (("x", "y"), ("y", "x")):
                digest = _digest(name, _ALL)._replace(
                    cells=tables[name].reports(now, 0.85), is_fleet=True
                )
                tables[other].note(digest, now)
        for name, table in tables.items():
            with self.subTest(name):
                self.assertEqual(kept, table.cells(3.0, 0.85)[0].vms)


class SetsOfVmsTest(TestCase):
    """Guards against VMs that count as silent although they are alive."""

    def _vms(self, table: DigestTable, now: float) -> frozenset[int]:
        return table.cells(now, within_s=1.0)[0].vms

    def test_sets_of_another_gatherer(self) -> None:
        """A second gatherer sends many sets while VMs move to it."""
        cases = (("few", 4), ("many", MAX_SETS_PER_CELL + 1))
        for name, sets in cases:
            with self.subTest(name):
                table = DigestTable()
                table.note(_digest("first", _ALL), now=1.0)
                for size in range(sets):
                    partial = frozenset(range(size))
                    table.note(_digest("second", partial), now=1.0)
                digest = _digest("first", _ALL, has_set=False)
                table.note(digest, now=1.1)
                self.assertEqual(_ALL, self._vms(table, 1.1))

    def test_digest_whose_set_was_lost(self) -> None:
        table = DigestTable()
        table.note(_digest("first", _ALL), now=1.0)
        table.note(_digest("second", frozenset({1})), now=1.0)
        fewer = _ALL - {3}
        table.note(_digest("first", fewer, has_set=False), now=1.1)
        self.assertEqual(_ALL, self._vms(table, 1.1))
