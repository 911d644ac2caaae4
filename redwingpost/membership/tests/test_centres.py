"""Tests of the detection of lost data centres."""

from unittest import TestCase

from redwingpost.membership.centres import (
    ALIVE_WITHIN_S,
    OVERDUE_AFTER_S,
    CentreWatch,
    MemberHealth,
)


def _watch(**healths_by_centre: list[tuple[float, float]]) -> CentreWatch:
    watch = CentreWatch("own")
    watch.update(
        tuple(
            MemberHealth(centre, answered_s, awaited_s)
            for centre, healths in healths_by_centre.items()
            for answered_s, awaited_s in healths
        )
    )
    return watch


_HEALTHY = [(0.1, 0.0), (2.0, 0.0)]
_SILENT = [(0.7, 0.5), (0.9, OVERDUE_AFTER_S)]
_IDLE = [(ALIVE_WITHIN_S + 0.1, 0.0)]


class LostCentreTest(TestCase):
    def test_when_a_centre_is_lost(self) -> None:
        """A data centre is cut off; all its members stop answering.

        Callers of the groups whose primary is there are refused until
        another primary takes over. One slow member, or a suspension of
        this VM, must not count as a loss.
        """
        cases = (
            ("healthy", _watch(own=_HEALTHY, far=_HEALTHY), 0.0),
            ("lost", _watch(own=_HEALTHY, far=_SILENT), 0.7),
            (
                "one member answers",
                _watch(own=_HEALTHY, far=[*_SILENT, (0.1, 0.0)]),
                0.1,
            ),
            ("one member only", _watch(own=_HEALTHY, far=_SILENT[:1]), 0.0),
            ("nothing was sent", _watch(own=_HEALTHY, far=_IDLE * 3), 0.0),
            ("this VM was paused", _watch(own=_SILENT, far=_SILENT), 0.0),
            ("unknown", _watch(own=_HEALTHY), 0.0),
        )
        for name, watch, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, watch.lost_s("far"))

    def test_when_its_members_are_probed(self) -> None:
        """One statement waits for a member of a silent data centre.

        The other members are probed. Otherwise a loss would be detected
        only when callers happen to need each of them.
        """
        overdue = [(0.5, OVERDUE_AFTER_S), (3.0, 0.0)]
        cases = (
            ("one is overdue", _watch(far=overdue), True),
            ("another answered", _watch(far=[*overdue, (0.1, 0.0)]), False),
            ("none is overdue", _watch(far=_IDLE), False),
            ("unknown", _watch(), False),
        )
        for name, watch, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, watch.is_suspect("far"))

    def test_when_this_vm_is_cut_off(self) -> None:
        """The own data centre is cut off; callers still reach it."""
        cases = (
            ("healthy", _watch(own=_HEALTHY, a=_HEALTHY, b=_HEALTHY), 0.0),
            ("cut off", _watch(own=_HEALTHY, a=_SILENT, b=_SILENT), 0.7),
            ("one is lost", _watch(own=_HEALTHY, a=_SILENT, b=_HEALTHY), 0.1),
            ("this VM was paused", _watch(own=_SILENT, a=_SILENT), 0.0),
            ("nothing was sent", _watch(own=_HEALTHY, a=_IDLE), 0.0),
            ("no other", _watch(own=_HEALTHY), 0.0),
        )
        for name, watch, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, watch.cut_off_s())
