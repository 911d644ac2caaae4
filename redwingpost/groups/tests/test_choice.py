"""Where reads go, when they are hedged, and who is listed."""

from unittest import TestCase

from redwingpost.groups.choice import Candidate, rank
from redwingpost.groups.directory import REAPPEAR_S, Directory
from redwingpost.groups.latency import (
    FORGET_S,
    HEDGE_FLOOR_S,
    LatencyTracker,
)
from redwingpost.ports.database import MemberEntry

_REPLICA = Candidate("r", 0.03, 0, 0, True, False, True)
_PRIMARY = Candidate("p", 0.03, 0, 0, True, True, True)


def _entry(member: str, **changes) -> MemberEntry:
    entry = MemberEntry(member, "g", "10.0.0.1", 80, "a", False, False)
    return entry._replace(**changes)


class RankTest(TestCase):
    def test_who_comes_first(self) -> None:
        cases = (
            ("replica before primary", _REPLICA, _PRIMARY),
            ("fast before slow", _REPLICA, _REPLICA._replace(usual_s=0.2)),
            ("idle before full", _REPLICA, _REPLICA._replace(busy=5)),
            (
                "many slots before few",
                _REPLICA._replace(busy=5, slots=20),
                _REPLICA._replace(busy=5),
            ),
            ("near before far", _REPLICA, _REPLICA._replace(is_near=False)),
            ("open before new", _REPLICA, _REPLICA._replace(has_link=False)),
            (
                "idle primary before a slow replica",
                _PRIMARY,
                _REPLICA._replace(usual_s=0.3),
            ),
        )
        for name, first, second in cases:
            with self.subTest(name):
                candidates = [
                    second._replace(member="2"),
                    first._replace(member="1"),
                ]
                self.assertEqual(["1", "2"], rank(candidates))

    def test_a_slow_replica_takes_a_small_part(self) -> None:
        """One of two replicas becomes five times slower.

        Spread evenly, every second read would be late. Reads that wait
        at the fast one make the slow one worth a few.
        """
        under_way = {"fast": 0, "slow": 0}
        for _ in range(12):
            candidates = [
                Candidate("fast", 0.03, under_way["fast"], 0, *[True] * 3),
                Candidate("slow", 0.15, under_way["slow"], 0, *[True] * 3),
            ]
            under_way[rank(candidates)[0]] += 1
        self.assertGreaterEqual(under_way["fast"], 11)


class LatencyTest(TestCase):
    def test_late_is_far_above_usual(self) -> None:
        tracker = LatencyTracker()
        for number in range(200):
            tracker.observe(0.02 + 0.01 * (number % 3), now=number * 0.1)
        self.assertGreater(tracker.late_after_s, 0.04)
        self.assertLess(tracker.late_after_s, 0.12)
        self.assertGreaterEqual(tracker.late_after_s, HEDGE_FLOOR_S)

    def test_a_time_is_forgotten(self) -> None:
        """A member was slow once and gets no reads any more.

        Without forgetting nothing would show that it has recovered.
        """
        tracker = LatencyTracker()
        tracker.observe(2.0, now=10.0)
        self.assertTrue(tracker.is_known(10.0 + FORGET_S / 2))
        self.assertFalse(tracker.is_known(10.0 + FORGET_S * 2))


class DirectoryTest(TestCase):
    def test_a_removal_counts_at_once_while_the_registry_is_well(self):
        directory = Directory()
        directory.put(_entry("m"), 1.0)
        directory.remove("m", 2.0)
        self.assertEqual((), directory.members_of("g"))
        gone = [entry.member for entry in directory.lately_gone("g")]
        self.assertEqual(["m"], gone)

    def test_lapsed_entries_after_an_outage(self) -> None:
        """The registry was away and has dropped members that live.

        Taken at its word, the group would have no members, and every
        caller would be refused although all of them run.
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
                directory.expire(10.0 + REAPPEAR_S)
                left = len(directory.members_of("g"))
                self.assertEqual(int(comes_back), left)

    def test_whom_a_removal_leaves_for_a_moment(self) -> None:
        """Guards against an outage that no call to the registry shows."""
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
                directory.expire(2.0 + REAPPEAR_S)
                self.assertEqual((), directory.members_of("g"))

    def test_leaving_is_counted_from_when_it_was_first_seen(self) -> None:
        directory = Directory()
        directory.put(_entry("m"), 1.0)
        for now in (2.0, 3.0):
            directory.put(_entry("m", is_draining=True), now)
        self.assertEqual(2.0, directory.get("m").draining_since)

    def test_leaving_that_nobody_here_saw_begin(self) -> None:
        """A VM starts again while a member leaves, or was cut off.

        Counted from when the VM heard of it, the member would get new
        work until it exits, and what runs there then would be cut.
        """
        cases = (
            ("first seen leaving", None, None, True),
            ("old news after an outage", 1.0, 2.9, True),
            ("told as it happens", 1.0, None, False),
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

    def test_who_has_restarted_while_off_the_list(self) -> None:
        """Guards against replicas distrusted only because entries lapsed."""
        cases = (
            ("the same life", 5, 5, False),
            ("another life", 5, 6, True),
            ("unknown lives", 0, 0, True),
        )
        for name, before, after, has_restarted in cases:
            with self.subTest(name):
                directory = Directory()
                directory.put(_entry("m", started_ms=before), 1.0)
                directory.remove("m", 2.0)
                directory.put(_entry("m", started_ms=after), 3.0)
                restarted_at = directory.get("m").restarted_at
                self.assertEqual(has_restarted, restarted_at == 3.0)

    def test_another_life_under_the_same_name(self) -> None:
        directory = Directory()
        directory.put(_entry("m", started_ms=5), 1.0)
        self.assertLess(directory.get("m").restarted_at, 0.0)
        directory.put(_entry("m", started_ms=6), 9.0)
        self.assertEqual(9.0, directory.get("m").restarted_at)
