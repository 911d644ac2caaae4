"""Tests of the choice of members for reads, hedging and the directory."""

from unittest import TestCase

from redwingpost.groups.choice import Candidate, rank
from redwingpost.groups.directory import REREGISTRATION_S, Directory
from redwingpost.groups.latency import (
    HEDGE_FLOOR_S,
    LATENCY_LIFETIME_S,
    LatencyTracker,
)
from redwingpost.ports.database import MemberEntry

_REPLICA = Candidate("r", 0.03, 0, 0, True, False, True)
_PRIMARY = Candidate("p", 0.03, 0, 0, True, True, True)


def _entry(member: str, **changes) -> MemberEntry:
    entry = MemberEntry(member, "g", "10.0.0.1", 80, "a", False, False)
    return entry._replace(**changes)


class RankTest(TestCase):
    def test_order_of_candidates(self) -> None:
        cases = (
            ("replica before primary", _REPLICA, _PRIMARY),
            ("fast before slow", _REPLICA, _REPLICA._replace(smoothed_s=0.2)),
            ("idle before full", _REPLICA, _REPLICA._replace(busy=5)),
            (
                "many slots before few",
                _REPLICA._replace(busy=5, slots=20),
                _REPLICA._replace(busy=5),
            ),
            ("near before far", _REPLICA, _REPLICA._replace(is_near=False)),
            (
                "open before new",
                _REPLICA,
                _REPLICA._replace(has_connection=False),
            ),
            (
                "idle primary before a slow replica",
                _PRIMARY,
                _REPLICA._replace(smoothed_s=0.3),
            ),
        )
        for name, first, second in cases:
            with self.subTest(name):
                candidates = [
                    second._replace(member="2"),
                    first._replace(member="1"),
                ]
                self.assertEqual(["1", "2"], rank(candidates))

    def test_slow_replica_gets_few_reads(self) -> None:
        """Guards against an even spread when one of two replicas slows down.

        Every second read would be late. The slow one gets a read only when
        enough are in flight at the fast one.
        """
        in_flight = {"fast": 0, "slow": 0}
        for _ in range(12):
            candidates = [
                Candidate("fast", 0.03, in_flight["fast"], 0, *[True] * 3),
                Candidate("slow", 0.15, in_flight["slow"], 0, *[True] * 3),
            ]
            in_flight[rank(candidates)[0]] += 1
        self.assertGreaterEqual(in_flight["fast"], 11)


class LatencyTest(TestCase):
    def test_hedge_delay_is_above_the_usual_latency(self) -> None:
        tracker = LatencyTracker()
        for number in range(200):
            tracker.observe(0.02 + 0.01 * (number % 3), now=number * 0.1)
        self.assertGreater(tracker.late_after_s, 0.04)
        self.assertLess(tracker.late_after_s, 0.12)
        self.assertGreaterEqual(tracker.late_after_s, HEDGE_FLOOR_S)

    def test_measurement_expires(self) -> None:
        """Guards against a member that gets no reads after one slow answer.

        Without an expiry no measurement would show that it has recovered.
        """
        tracker = LatencyTracker()
        tracker.observe(2.0, now=10.0)
        self.assertTrue(tracker.is_known(10.0 + LATENCY_LIFETIME_S / 2))
        self.assertFalse(tracker.is_known(10.0 + LATENCY_LIFETIME_S * 2))


class DirectoryTest(TestCase):
    def test_removal_applies_at_once_without_an_outage(self):
        directory = Directory()
        directory.put(_entry("m"), 1.0)
        directory.remove("m", 2.0)
        self.assertEqual((), directory.members_of("g"))
        removed = [entry.member for entry in directory.recently_removed("g")]
        self.assertEqual(["m"], removed)

    def test_lapsed_entries_after_an_outage(self) -> None:
        """Guards against dropping live members after a registry outage.

        The registry has dropped members that still run. Without a grace
        period the group would have no members and refuse every caller.
        """
        cases = (("back in time", True), ("gone", False))
        for name, comes_back in cases:
            with self.subTest(name):
                directory = Directory()
                directory.put(_entry("m"), 1.0)
                directory.note_outage(10.0)
                directory.replace((), 10.1)
                self.assertEqual(1, len(directory.members_of("g")))
                if comes_back:
                    directory.put(_entry("m"), 11.0)
                directory.expire(10.0 + REREGISTRATION_S)
                left = len(directory.members_of("g"))
                self.assertEqual(int(comes_back), left)

    def test_removed_member_that_answers_is_kept_for_a_while(self) -> None:
        """Guards against dropping live members in an undetected outage."""
        cases = (
            ("answers", True, False, True),
            ("fails", False, False, False),
            ("had announced its end", True, True, False),
        )
        for name, answers, is_draining, is_kept in cases:
            with self.subTest(name):
                directory = Directory()
                directory.put(_entry("m", is_draining=is_draining), 1.0)
                directory.remove("m", 2.0, answers)
                listed = directory.members_of("g")
                self.assertEqual(int(is_kept), len(listed))
                directory.expire(2.0 + REREGISTRATION_S)
                self.assertEqual((), directory.members_of("g"))

    def test_drain_time_counts_from_its_first_observation(self) -> None:
        directory = Directory()
        directory.put(_entry("m"), 1.0)
        for now in (2.0, 3.0):
            directory.put(_entry("m", is_draining=True), now)
        self.assertEqual(2.0, directory.get("m").draining_since)

    def test_drain_whose_start_was_not_observed(self) -> None:
        """Guards against new work for a member that is about to exit.

        A VM restarts, or was partitioned, while a member drains. If the
        drain time were counted from when the VM learned of it, the member
        would get new work until it exits, and that work would be aborted.
        """
        cases = (
            ("first seen draining", None, None, True),
            ("stale list after an outage", 1.0, 2.9, True),
            ("seen as it happens", 1.0, None, False),
            ("long after an outage", 1.0, 1.5, False),
        )
        for name, seen_at, outage_at, is_unknown in cases:
            with self.subTest(name):
                directory = Directory()
                if seen_at is not None:
                    directory.put(_entry("m"), seen_at)
                if outage_at is not None:
                    directory.note_outage(outage_at)
                directory.put(_entry("m", is_draining=True), 3.0)
                since = directory.get("m").draining_since
                self.assertEqual(is_unknown, since < 0.0)

    def test_restart_between_removal_and_return(self) -> None:
        """Guards against treating expired entries as restarted replicas."""
        cases = (
            ("same start time", 5, 5, False),
            ("other start time", 5, 6, True),
            ("unknown start times", 0, 0, True),
        )
        for name, before, after, has_restarted in cases:
            with self.subTest(name):
                directory = Directory()
                directory.put(_entry("m", started_ms=before), 1.0)
                directory.remove("m", 2.0)
                directory.put(_entry("m", started_ms=after), 3.0)
                restarted_at = directory.get("m").restarted_at
                self.assertEqual(has_restarted, restarted_at == 3.0)

    def test_a_restart_under_the_same_name(self) -> None:
        directory = Directory()
        directory.put(_entry("m", started_ms=5), 1.0)
        self.assertLess(directory.get("m").restarted_at, 0.0)
        directory.put(_entry("m", started_ms=6), 9.0)
        self.assertEqual(9.0, directory.get("m").restarted_at)
