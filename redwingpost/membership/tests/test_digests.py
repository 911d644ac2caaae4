"""What gatherers told, where some of their messages are missing."""

from unittest import TestCase

from redwingpost.membership.digests import KEPT_SETS, DigestTable
from redwingpost.membership.heartbeat import CellReport, Digest, set_number
from redwingpost.rates.counters import NO_USAGES

_CELL = "a/0"
_ALL = frozenset(range(20))


def _digest(teller: str, vms: frozenset[int], is_told: bool = True) -> Digest:
    """Return a digest; without ``is_told`` it has the set's number only."""
    told = vms if is_told else None
    report = CellReport(_CELL, 0, told, set_number(vms), 1, "ip", 1)
    return Digest(teller, 1, False, (report,), {}, False, (), 5, {}, NO_USAGES)


class SetsOfVmsTest(TestCase):
    """Guards against VMs that drop out of hearing though all are heard."""

    def _vms(self, table: DigestTable, now: float) -> frozenset[int]:
        return table.cells(now, within_s=1.0)[0].vms

    def test_sets_of_another_gatherer(self) -> None:
        """A second gatherer tells many sets while VMs turn to it."""
        cases = (("few", 4), ("many", KEPT_SETS + 1))
        for name, sets in cases:
            with self.subTest(name):
                table = DigestTable()
                table.note(_digest("first", _ALL), now=1.0)
                for size in range(sets):
                    partial = frozenset(range(size))
                    table.note(_digest("second", partial), now=1.0)
                told = _digest("first", _ALL, is_told=False)
                table.note(told, now=1.1)
                self.assertEqual(_ALL, self._vms(table, 1.1))

    def test_a_lost_message(self) -> None:
        table = DigestTable()
        table.note(_digest("first", _ALL), now=1.0)
        table.note(_digest("second", frozenset({1})), now=1.0)
        fewer = _ALL - {3}
        table.note(_digest("first", fewer, is_told=False), now=1.1)
        self.assertEqual(_ALL, self._vms(table, 1.1))
