"""Who gets a connection that comes free: played loads."""

from heapq import heappop, heappush
from random import Random
from typing import NamedTuple
from unittest import TestCase

from redwingpost.pools.line import MAX_PASSES, Waiter, WaitingLine

ORGANISATIONS = 8
CONNECTIONS = 3
WORK_S = 0.033
OPEN_S = 0.015

#: Operations a second that press; the connections take some 70 to 90.
PRESS_PER_S = 120.0
PLAY_S = 20.0
PATIENCE_S = 0.5


class Played(NamedTuple):
    """What callers of a played load got; waits in seconds."""

    served_per_s: float
    longest_wait_s: float
    served_by_organisation: dict[str, int]


class Connection(NamedTuple):
    """A connection's organisation, and whom it passed over in a row."""

    organisation: str
    passes: int


def _play(max_passes: int, weights: list[float], seed: int) -> Played:
    """Let statements press on a few connections of one member.

    Those that have waited for ``PATIENCE_S`` leave, as callers do.
    """
    random = Random(seed)
    names = [f"org-{number}" for number in range(len(weights))]
    line = WaitingLine()
    resting = [Connection("", 0) for _ in range(CONNECTIONS)]
    ends: list[tuple[float, Connection]] = []
    since_by_waiter: dict[Waiter, float] = {}
    waits_s: list[float] = []
    served = {name: 0 for name in names}
    arrives_at = 0.0

    def start(organisation: str, link: Connection, now: float) -> None:
        opens_s = 0.0 if link.organisation == organisation else OPEN_S
        link = link._replace(organisation=organisation)
        heappush(ends, (now + opens_s + WORK_S, link))
        served[organisation] += 1

    def serve_next(link: Connection, now: float) -> None:
        passes = max(link.passes, MAX_PASSES - max_passes)
        while turn := line.take(link.organisation, passes):
            waited_s = now - since_by_waiter.pop(turn.waiter)
            if waited_s <= PATIENCE_S:
                passes = link.passes + 1 if turn.is_passing else 0
                link = link._replace(passes=passes)
                start(turn.waiter.organisation, link, now)
                waits_s.append(waited_s)
                return
        resting.append(link)

    while arrives_at < PLAY_S:
        if ends and ends[0][0] <= arrives_at:
            now, link = heappop(ends)
            serve_next(link, now)
            continue
        now = arrives_at
        arrives_at += random.expovariate(PRESS_PER_S)
        (organisation,) = random.choices(names, weights)
        if resting:
            start(organisation, resting.pop(), now)
            continue
        waiter = line.new_waiter(1, organisation)
        since_by_waiter[waiter] = now
        line.join(waiter)
    return Played(sum(served.values()) / PLAY_S, max(waits_s), served)


def _of_small(played: Played) -> int:
    """Return what all organisations but the flooding one were served."""
    return sum(list(played.served_by_organisation.values())[1:])


class WaitingLineTest(TestCase):
    def test_fewer_handshakes_while_a_member_is_full(self) -> None:
        """Callers of eight organisations press on a full primary.

        First come, first served, nearly every statement closes another
        organisation's connection and opens its own. Callers would be
        served less for nothing: 67 statements a second, 82 so.
        """
        weights = [8.0, 4.0, 4.0, 2.0, 2.0, 1.0, 1.0, 1.0]
        for seed in range(3):
            with self.subTest(seed=seed):
                plain = _play(0, weights, seed)
                own_first = _play(MAX_PASSES, weights, seed)
                self.assertGreater(
                    own_first.served_per_s, plain.served_per_s * 1.1
                )

    def test_a_flood_keeps_no_connection_for_itself(self) -> None:
        """One organisation sends twenty times what each other one does.

        If its statements always went first at its own connections, the
        others would wait until their callers give up.
        """
        weights = [20.0, *[1.0] * 7]
        plain = _play(0, weights, seed=1)
        played = _play(MAX_PASSES, weights, seed=1)
        self.assertGreater(_of_small(played), _of_small(plain) * 0.75)

    def test_whose_turn_it_is(self) -> None:
        cases = (
            ("own organisation", "b", 0, ("b", True)),
            ("a place", None, 0, ("a", False)),
            ("nobody of it", "z", 0, ("a", False)),
            ("passed over often", "b", MAX_PASSES, ("a", False)),
            ("first and own", "a", 0, ("a", False)),
        )
        for name, organisation, passes, expected in cases:
            with self.subTest(name):
                line = WaitingLine()
                for priority, waits in ((1, "a"), (1, "b"), (2, "b")):
                    line.join(line.new_waiter(priority, waits))
                turn = line.take(organisation, passes)
                got = (turn.waiter.organisation, turn.is_passing)
                self.assertEqual(expected, got)
                self.assertEqual(1, turn.waiter.priority)

    def test_a_place_is_kept(self) -> None:
        """A statement looks for itself while it waits, and joins again."""
        line = WaitingLine()
        first = line.new_waiter(1, "a")
        line.join(first)
        line.join(line.new_waiter(1, "b"))
        line.leave(first)
        line.join(first)
        self.assertEqual(first, line.take(None, 0).waiter)
