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
