"""When a data centre counts as lost."""

from unittest import TestCase

from redwingpost.membership.centres import (
    ALIVE_S,
    AWAITED_S,
    CentreWatch,
    MemberHealth,
)


def _watch(**healths_by_centre: list[tuple[float, float]]) -> CentreWatch:
    watch = CentreWatch("own")
    watch.take(
        tuple(
            MemberHealth(centre, answered_s, awaited_s)
            for centre, signs in healths_by_centre.items()
            for answered_s, awaited_s in signs
        )
    )
    return watch


_WELL = [(0.1, 0.0), (2.0, 0.0)]
_DARK = [(0.7, 0.5), (0.9, AWAITED_S)]
_OLD = [(ALIVE_S + 0.1, 0.0)]


class LostCentreTest(TestCase):
    def test_when_a_centre_is_lost(self) -> None:
        """A data centre is cut off; its members all fall silent.

        Callers of the groups whose primary is there are refused until
        another leads. One slow member, or a suspension of this VM, must
        not look the same.
        """
        cases = (
            ("well", _watch(own=_WELL, far=_WELL), 0.0),
            ("lost", _watch(own=_WELL, far=_DARK), 0.7),
            (
                "one member answers",
                _watch(own=_WELL, far=[*_DARK, (0.1, 0.0)]),
                0.1,
            ),
            ("one member only", _watch(own=_WELL, far=_DARK[:1]), 0.0),
            ("nobody was asked", _watch(own=_WELL, far=_OLD * 3), 0.0),
            ("this VM slept", _watch(own=_DARK, far=_DARK), 0.0),
            ("unknown", _watch(own=_WELL), 0.0),
        )
        for name, watch, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, watch.lost_s("far"))

    def test_when_its_members_are_asked(self) -> None:
        """One statement waits at a member of a data centre that is quiet.

        Its other members are asked, so that a loss doesn't take until
        callers happen to need each of them.
        """
        waits = [(0.5, AWAITED_S), (3.0, 0.0)]
        cases = (
            ("one waits", _watch(far=waits), True),
            ("another answered", _watch(far=[*waits, (0.1, 0.0)]), False),
            ("nothing waits", _watch(far=_OLD), False),
            ("unknown", _watch(), False),
        )
        for name, watch, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, watch.is_suspect("far"))

    def test_when_this_vm_is_cut_off(self) -> None:
        """The own data centre is cut off; callers still reach it."""
        cases = (
            ("well", _watch(own=_WELL, a=_WELL, b=_WELL), 0.0),
            ("cut off", _watch(own=_WELL, a=_DARK, b=_DARK), 0.7),
            ("one is lost", _watch(own=_WELL, a=_DARK, b=_WELL), 0.1),
            ("this VM slept", _watch(own=_DARK, a=_DARK), 0.0),
            ("nobody was asked", _watch(own=_WELL, a=_OLD), 0.0),
            ("no other", _watch(own=_WELL), 0.0),
        )
        for name, watch, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, watch.cut_off_s())
