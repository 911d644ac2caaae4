"""Choice of the home that runs a statement."""

from math import inf
from statistics import fmean
from unittest import TestCase

from hypothesis import given, settings
from hypothesis.strategies import (
    dictionaries,
    floats,
    just,
    one_of,
    sampled_from,
)

from redwingpost.routing.placement import Choice, Need, place
from redwingpost.routing.tests.placement_play import (
    PlayedLoad,
    order_by_name,
    place_all,
    play,
)

_ORDER = ("a", "b", "c")
_NEED = Need(remaining_s=0.6, target_latency_s=0.2, draw=0.0)
_SEEDS = range(3)


class PlaceTest(TestCase):
    def test_which_home_is_chosen(self) -> None:
        cases = (
            ("no reports: by name", {}, "abc", Choice.FIRST),
            ("idle", {"a": 0.0, "b": 0.0}, "abc", Choice.FIRST),
            ("at the bound", {"a": 0.05, "b": 0.0}, "abc", Choice.FIRST),
            ("overloaded", {"a": 0.1, "b": 0.04}, "bac", Choice.SPREAD),
            ("others alike", {"a": 0.1, "b": 0.05}, "abc", Choice.FIRST),
            ("others unknown", {"a": 0.5}, "abc", Choice.FIRST),
            (
                "the next in order, not the least loaded",
                {"a": 0.4, "b": 0.1, "c": 0.0},
                "bac",
                Choice.SPREAD,
            ),
            (
                "the next is as loaded",
                {"a": 0.4, "b": 0.3, "c": 0.0},
                "cab",
                Choice.SPREAD,
            ),
            ("unable", {"a": inf, "b": 0.0, "c": 0.0}, "bc", Choice.REACH),
            ("known to be able", {"a": inf, "c": 0.0}, "cb", Choice.REACH),
            ("others unknown, too", {"a": inf}, "bc", Choice.REACH),
            ("not in time", {"a": 0.6, "b": 0.5}, "bc", Choice.REACH),
            (
                "able, but overloaded",
                {"a": inf, "b": 0.4, "c": 0.1},
                "cb",
                Choice.REACH,
            ),
            ("a later one is unable", {"b": inf}, "ac", Choice.FIRST),
        )
        for name, waits, homes, choice in cases:
            with self.subTest(name):
                placement = place(_ORDER, waits, _NEED)
                self.assertEqual(homes, "".join(placement.homes))
                self.assertEqual(choice, placement.choice)
                is_first = placement.homes[0] == "a"
                self.assertEqual(not is_first, placement.passed_over == "a")

    def test_what_is_refused(self) -> None:
        cases = (
            ("none reaches a primary", (inf, inf, inf), 500, True),
            ("all full", (0.9, 0.8, 1.2), 200, False),
            ("the only one that can is full", (inf, 0.61, inf), 10, False),
            ("just too late", (0.6, 0.6, 0.6), 1, False),
        )
        for name, waits, retry_ms, reaches_none in cases:
            with self.subTest(name):
                by_home = dict(zip(_ORDER, waits, strict=True))
                placement = place(_ORDER, by_home, _NEED)
                self.assertEqual(Choice.REFUSED, placement.choice)
                self.assertEqual((), placement.homes)
                self.assertEqual(retry_ms, placement.retry_after_ms)
                self.assertEqual(reaches_none, placement.reaches_none)
                others = _NEED._replace(may_refuse=False)
                self.assertEqual(_ORDER, place(_ORDER, by_home, others).homes)

    def test_nothing_is_refused_without_all_reports(self) -> None:
        placement = place(_ORDER, {"a": inf, "b": inf}, _NEED)
        self.assertEqual(("c",), placement.homes)

    def test_the_part_that_leaves_grows_with_the_wait(self) -> None:
        """Guards against all statements leaving a home at once."""
        for wait_s, leaving in ((0.05, 0), (0.0625, 20), (0.1, 50), (0.5, 90)):
            with self.subTest(wait_s):
                left = sum(
                    place(
                        _ORDER,
                        {"a": wait_s, "b": 0.0},
                        _NEED._replace(draw=(n + 0.5) / 100),
                    ).choice
                    is Choice.SPREAD
                    for n in range(100)
                )
                self.assertEqual(leaving, left)

    def test_a_home_without_a_report_is_tried_at_the_last_moment(self) -> None:
        """Guards against an error when the statement's time is over."""
        need = _NEED._replace(remaining_s=-0.1)
        self.assertEqual(_ORDER, place(_ORDER, {}, need).homes)
        placement = place(_ORDER, {"a": 0.0, "b": inf}, need)
        self.assertEqual(("c",), placement.homes)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        waits=dictionaries(
            sampled_from("abcd"), one_of(just(inf), floats(0.0, 10.0))
        ),
        remaining_s=floats(-1.0, 5.0),
        draw=floats(0.0, 1.0, exclude_max=True),
    )
    def test_any_reports(self, waits, remaining_s, draw) -> None:
        """Guards against lost homes, and refusals of what can be run."""
        need = Need(remaining_s, 0.2, draw)
        placement = place("abcd", waits, need)
        able = {home for home in "abcd" if waits.get(home, -inf) < remaining_s}
        self.assertEqual(able, set(placement.homes))
        self.assertEqual(len(able), len(placement.homes))
        is_refused = placement.choice is Choice.REFUSED
        self.assertEqual(not able, is_refused)
        if is_refused:
            self.assertGreaterEqual(placement.retry_after_ms, 1)

    def test_no_homes(self) -> None:
        self.assertEqual((), place((), {}, _NEED).homes)


class LoadTest(TestCase):
    """Homes with a quarter to all of the strongest's capacity.

    Few organisations send most statements; reports are up to 0.3 s late.
    """

    def test_more_is_served_in_time_than_by_name(self) -> None:
        for load, least in ((0.5, 0.98), (0.7, 0.95), (0.9, 0.9)):
            for seed in _SEEDS:
                with self.subTest(load=load, seed=seed):
                    played = PlayedLoad(load=load)
                    by_name = play(played, order_by_name, seed)
                    placed = play(played, place, seed)
                    self.assertGreaterEqual(placed.served, least)
                    self.assertGreater(placed.served, by_name.served)
                    self.assertLess(placed.busiest, by_name.busiest)

    def test_beyond_the_capacity_the_homes_stay_busy(self) -> None:
        """Guards against less service, the more is sent."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                placed = play(PlayedLoad(load=1.5), place, seed)
                self.assertGreaterEqual(placed.served, 0.95 / 1.5)

    def test_no_herd_moves_from_home_to_home(self) -> None:
        """All statements of a loaded home leave it with the same report.

        The next home is overloaded at once, and the first idle. A caller
        notices slow statements although the homes' mean load is low.
        """
        for load in (0.5, 0.7, 0.9):
            played = PlayedLoad(load=load)
            with self.subTest(load=load):
                shifts = [
                    fmean(play(played, rule, seed).shift for seed in _SEEDS)
                    for rule in (order_by_name, place, place_all)
                ]
                by_name, placed, all_at_once = shifts
                self.assertLess(placed, 0.8 * all_at_once)
                self.assertLess(placed, 3.0 * by_name)
