"""Tests of when a primary is replaced, by which replica, and how safely."""

from unittest import TestCase

from redwingpost.core.positions import Position
from redwingpost.ports.database import MemberEntry, StatusReport
from redwingpost.takeover.plan import (
    MemberStatus,
    choose_replica,
    is_complete,
    pause_term,
)
from redwingpost.takeover.stall import StallDetector
from redwingpost.takeover.triggers import (
    CENTRE_LOST_S,
    STALLED_S,
    LeaderView,
    Reason,
    reason_to_act,
)

_HEALTHY = LeaderView(
    leader="p",
    is_listed=True,
    is_draining=False,
    silent_s=0.0,
    others_silent_s=(0.1, 0.2),
    others_failing_s=(0.0, 0.0),
    hears_half=True,
    stalled_s=0.0,
    stuck_s=0.0,
    leaderless_s=0.0,
    registry_has_no_primary=False,
    replicas_answering=2,
    paused_s=0.0,
)


def _status(
    member: str, index: int | None, term: int = 3, **changes
) -> MemberStatus:
    entry = MemberEntry(member, "g", "ip", 1, "a", False, False)
    entry = entry._replace(**changes)
    if index is None:
        return MemberStatus(entry, None)
    head = Position(term, index)
    return MemberStatus(entry, StatusReport(False, term, head, 0, 0, 0, 1))


class ReasonTest(TestCase):
    def test_reasons_for_a_takeover(self) -> None:
        silent = _HEALTHY._replace(silent_s=1.2, others_silent_s=(0.9, 1.0))
        cases = (
            ("healthy", _HEALTHY, None),
            ("leaving", _HEALTHY._replace(is_draining=True), Reason.LEAVING),
            (
                "evacuated, a replica may lead elsewhere",
                _HEALTHY._replace(is_evacuated=True, replicas_elsewhere=1),
                Reason.EVACUATED,
            ),
            (
                "evacuated with all replicas",
                _HEALTHY._replace(is_evacuated=True, replicas_elsewhere=0),
                None,
            ),
            ("silent to all", silent, Reason.SILENT),
            (
                "silent to this VM alone",
                silent._replace(others_silent_s=(0.9, 0.1)),
                None,
            ),
            (
                "silent to most VMs",
                silent._replace(
                    others_silent_s=(0.9, 0.1), others_failing_s=(0.9, 0.0)
                ),
                Reason.SILENT,
            ),
            (
                "silent, and heartbeats of too few VMs arrive",
                silent._replace(hears_half=False, others_silent_s=()),
                None,
            ),
            (
                "silent and off the list",
                silent._replace(is_listed=False, hears_half=False),
                Reason.SILENT,
            ),
            (
                "its data centre is lost",
                _HEALTHY._replace(
                    centre_lost_s=CENTRE_LOST_S, latest_silent_s=(0.4, 0.5)
                ),
                Reason.SILENT,
            ),
            (
                "its data centre is lost to this VM alone",
                _HEALTHY._replace(
                    centre_lost_s=CENTRE_LOST_S, latest_silent_s=(0.4, 0.1)
                ),
                None,
            ),
            (
                "this VM's data centre is cut off",
                _HEALTHY._replace(
                    centre_lost_s=CENTRE_LOST_S, hears_half_lately=False
                ),
                None,
            ),
            (
                "no replica to promote",
                silent._replace(replicas_answering=0),
                None,
            ),
            (
                "commits reach no replica",
                _HEALTHY._replace(stalled_s=STALLED_S),
                Reason.STALLED,
            ),
            (
                "writes wait at every VM that has some",
                _HEALTHY._replace(stuck_s=STALLED_S),
                Reason.STALLED,
            ),
            (
                "writes wait, and this VM can't reach the primary either",
                silent._replace(others_silent_s=(0.1, 0.1), stuck_s=STALLED_S),
                Reason.STALLED,
            ),
            (
                "no primary",
                _HEALTHY._replace(leader=None, leaderless_s=1.0),
                Reason.NONE_LEADS,
            ),
            (
                "no primary, and no heartbeats arrive",
                _HEALTHY._replace(
                    leader=None, leaderless_s=1.0, hears_half=False
                ),
                None,
            ),
            (
                "the registry has dropped the primary",
                _HEALTHY._replace(
                    leader=None,
                    leaderless_s=1.0,
                    hears_half=False,
                    registry_has_no_primary=True,
                ),
                Reason.NONE_LEADS,
            ),
            (
                "no primary for a moment",
                _HEALTHY._replace(leader=None, leaderless_s=0.2),
                None,
            ),
            (
                "a replica was left paused",
                _HEALTHY._replace(paused_s=1.5),
                Reason.LEFT_PAUSED,
            ),
        )
        for name, view, expected in cases:
            with self.subTest(name):
                self.assertIs(expected, reason_to_act(view))


class PlanTest(TestCase):
    def test_choice_of_the_replica(self) -> None:
        cases = (
            ("furthest", [("a", 5, {}), ("b", 7, {})], "b"),
            (
                "draining comes last",
                [("a", 5, {}), ("b", 7, {"is_draining": True})],
                "a",
            ),
            (
                "draining if there is no other",
                [("b", 7, {"is_draining": True})],
                "b",
            ),
            ("answering before silent", [("a", 5, {}), ("b", None, {})], "a"),
            ("none answers", [("b", None, {})], None),
        )
        for name, members, expected in cases:
            with self.subTest(name):
                statuses = tuple(
                    _status(member, index, **changes)
                    for member, index, changes in members
                )
                choice = choose_replica((*statuses, _status("old", 9)), "old")
                chosen = choice.chosen.entry.member if choice else None
                self.assertEqual(expected, chosen)

    def test_the_old_primary_is_neither_chosen_nor_paused(self) -> None:
        """Guards against waiting for a dead primary to be paused.

        If it had to be paused, the takeover, and all writes, would wait
        until the registry has dropped it.
        """
        statuses = (
            _status("old", None),
            _status("a", 5),
            _status("b", 5),
        )
        choice = choose_replica(statuses, "old")
        others = [item.entry.member for item in choice.others]
        self.assertNotIn("old", [choice.chosen.entry.member, *others])

    def test_when_the_chosen_log_is_complete(self) -> None:
        """Guards against promoting a replica that lacks a commit.

        An acknowledged commit may be on one replica only; it is lost if
        another replica is promoted.
        """
        lower_floor = Position(2, 6)
        higher_floor = Position(3, 8)
        cases = (
            ("ahead", 7, ["5"], lower_floor, True),
            ("level", 7, ["7"], lower_floor, True),
            ("behind", 7, ["8"], lower_floor, False),
            ("one didn't answer", 7, ["5", ""], lower_floor, False),
            ("no other", 7, [], lower_floor, True),
            ("the primary began with more", 7, [], higher_floor, False),
        )
        for name, chosen, others, floor, expected in cases:
            with self.subTest(name):
                statuses = tuple(
                    _status(f"m{n}", int(index) if index else None)
                    for n, index in enumerate(others)
                )
                complete = is_complete(Position(3, chosen), statuses, floor)
                self.assertEqual(expected, complete)

    def test_pause_term_is_above_all_known_terms(self) -> None:
        paused = StatusReport(False, 3, Position(3, 1), 6, 0, 0, 1)
        entry = MemberEntry("a", "g", "ip", 1, "a", False, False)
        statuses = (_status("b", 4, term=5), MemberStatus(entry, paused))
        self.assertEqual(7, pause_term(statuses))


class StallTest(TestCase):
    def test_one_lagging_replica_is_no_stall(self) -> None:
        detector = StallDetector()
        for now in range(5):
            head = Position(1, 10 + now)
            stalled_s = detector.observe(
                head, [Position(1, 3), head], float(now)
            )
            self.assertEqual(0.0, stalled_s)

    def test_a_primary_without_replicas_is_stalled(self) -> None:
        """The primary, partitioned from its replicas, still accepts writes."""
        detector = StallDetector()
        replicas = [Position(1, 9), Position(1, 9)]
        lengths = [
            detector.observe(Position(1, 10 + now), replicas, float(now))
            for now in range(4)
        ]
        self.assertEqual([0.0, 1.0, 2.0, 3.0], lengths)
