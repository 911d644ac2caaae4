"""Tests of the load over all VMs, summed from their metrics pages."""

from unittest import TestCase

from redwingpost.node.metrics import NodeMetrics
from redwingpost.operator.load import (
    LoadSeries,
    MemberUse,
    VmLoad,
    measure_load,
    read_load,
    summarise_load,
)

_GAUGES = (
    "redwing_admission_running",
    "redwing_admission_waiting",
    "redwing_admission_limit",
    "redwing_connections_open",
    "redwing_connections_allowed",
)
_REFUSED = LoadSeries(
    "redwing_admission_refused_total", ("g", "m1", "over-capacity")
)
_COLD = LoadSeries("redwing_cold_refused_total", ("g", "m2"))
_OTHER_REASON = _REFUSED._replace(labels=("g", "m1", "deadline-too-short"))

#: Gauges of a VM that states limits for a member and runs nothing there.
_IDLE = (0, 0, 5, 0, 8)


def _member(member: str, *values: int) -> dict[LoadSeries, float]:
    return {
        LoadSeries(metric, ("g", member)): float(value)
        for metric, value in zip(_GAUGES, values, strict=True)
    }


class ReadLoadTest(TestCase):
    def test_a_node_s_page_is_read_as_written(self) -> None:
        """Guards against metrics or labels renamed at one end only.

        ``LoadCollector``'s page is covered by ``cli.tests.test_ctl_load``.
        """
        metrics = NodeMetrics()
        metrics.note_placement("g", "spread")
        metrics.note_cold_refused("g", "m2")
        metrics.note_withheld({"parish": 3.5})
        metrics.note("read", "ok", 0.1)
        load = read_load(metrics.render().decode())
        placed = LoadSeries("redwing_placements_total", ("g", "spread"))
        withheld = LoadSeries("redwing_rate_withheld", ("parish",))
        self.assertEqual({placed: 1, _COLD: 1}, load.counts)
        self.assertEqual({withheld: 3.5}, load.gauges)

    def test_a_page_that_is_not_a_node_s(self) -> None:
        """Guards against a page that is taken for one without load."""
        cases = (
            ("not a metrics page", "<html>"),
            ("a label is missing", 'redwing_placements_total{group="g"} 1.0'),
        )
        for name, page in cases:
            with self.subTest(name), self.assertRaises(ValueError):
                read_load(page)


class MeasureLoadTest(TestCase):
    def test_gauges_are_the_last_and_counters_their_increase(self) -> None:
        """Guards against counts since the start shown as those of a span."""
        cases = (
            ("grew", {_REFUSED: 4}, {_REFUSED: 9}, {_REFUSED: 5}),
            ("new", {}, {_REFUSED: 9}, {_REFUSED: 9}),
            ("started again", {_REFUSED: 4}, {_REFUSED: 3}, {_REFUSED: 3}),
        )
        old, new = _member("m1", 1, 2, 3, 4, 5), _member("m1", 6, 7, 8, 9, 9)
        for name, before, after, expected in cases:
            with self.subTest(name):
                measured = measure_load(
                    VmLoad(old, before), VmLoad(new, after)
                )
                self.assertEqual(VmLoad(new, expected), measured)


class SummariseLoadTest(TestCase):
    def test_members_over_all_vms(self) -> None:
        """Guards against limits of VMs that run nothing at a member.

        Each VM states a limit and connections for each member. With those
        of VMs that aren't homes a full member would seem to have some left.
        """
        loads = (
            VmLoad(
                {
                    **_member("m1", 4, 9, 5, 7, 8),
                    **_member("m2", 0, 0, 5, 1, 8),
                },
                {_REFUSED: 2, _COLD: 1},
            ),
            VmLoad(
                {**_member("m1", 3, 20, 5, 6, 8), **_member("m2", *_IDLE)},
                {_REFUSED: 1, _OTHER_REASON: 4, _COLD: 2},
            ),
            VmLoad({**_member("m1", *_IDLE), **_member("m2", *_IDLE)}, {}),
        )
        full, cold = summarise_load(loads).members
        self.assertEqual(("g", "m1", 2), full[:3])
        self.assertEqual(MemberUse(7, 29, 10, 13, 16), full.use)
        self.assertEqual(
            {"over-capacity": 3, "deadline-too-short": 4},
            full.refused_by_reason,
        )
        self.assertEqual(("g", "m2", 1), cold[:3])
        self.assertEqual(MemberUse(0, 0, 5, 1, 8), cold.use)
        self.assertEqual(({}, 3), cold[4:])

    def test_members_that_have_only_one_kind_of_value(self) -> None:
        """Guards against members left out although they have refusals.

        A member that was removed between two readings has counters only;
        one that nothing was sent to has gauges only.
        """
        loads = (
            VmLoad({}, {_COLD: 1}),
            VmLoad({}, {_REFUSED: 1}),
            VmLoad(_member("m3", *_IDLE), {}),
        )
        lines = summarise_load(loads).members
        self.assertEqual(["m1", "m2", "m3"], [line.member for line in lines])
        for line in lines:
            with self.subTest(line.member):
                self.assertEqual((0, MemberUse()), line[2:4])

    def test_organisations_over_all_vms(self) -> None:
        """Guards against a flood that can't be told from its victims."""
        waiting = "redwing_admission_organisation_waiting"
        refused = "redwing_admission_organisation_refused_total"
        full = "over-capacity"
        heavy, light = LoadSeries(waiting, ("g", "a")), ("g", "b")
        loads = (
            VmLoad(
                {heavy: 30.0, LoadSeries(waiting, light): 1.0},
                {LoadSeries(refused, ("g", "a", full)): 5},
            ),
            VmLoad(
                {heavy: 12.0, LoadSeries(waiting, ("g", "idle")): 0.0},
                {
                    LoadSeries(refused, ("g", "a", full)): 2,
                    LoadSeries(refused, ("g", "c", full)): 1,
                    LoadSeries(refused, ("g", "idle", full)): 0,
                },
            ),
        )
        expected = (
            ("g", "a", 42, {full: 7}),
            ("g", "b", 1, {}),
            ("g", "c", 0, {full: 1}),
        )
        self.assertEqual(expected, summarise_load(loads).organisations)

    def test_placements_over_all_vms(self) -> None:
        """Guards against choices of several VMs that replace each other."""
        metric = "redwing_placements_total"
        first = LoadSeries(metric, ("g", "first"))
        reach = LoadSeries(metric, ("g", "reach"))
        other = LoadSeries(metric, ("a", "first"))
        loads = (VmLoad({}, {first: 8, reach: 0}), VmLoad({}, {first: 2}))
        cases = (
            ("of one group", loads, (("g", {"first": 10}),)),
            (
                "of two groups",
                (*loads, VmLoad({}, {reach: 3, other: 1})),
                (("a", {"first": 1}), ("g", {"first": 10, "reach": 3})),
            ),
        )
        for name, given, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, summarise_load(given).placements)

    def test_withheld_is_the_largest_of_any_vm(self) -> None:
        """Guards against operations that are counted once for each VM.

        The VMs of one side of a partition withhold the same operations of
        an organisation's rate.
        """
        withheld = LoadSeries("redwing_rate_withheld", ("parish",))
        loads = [VmLoad({withheld: held}, {}) for held in (40.0, 41.5, 40.0)]
        found = summarise_load(loads).withheld_by_organisation
        self.assertEqual({"parish": 41.5}, found)

    def test_no_vm(self) -> None:
        self.assertEqual(((), (), (), {}), summarise_load(()))
