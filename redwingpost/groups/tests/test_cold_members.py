"""What a VM may send to a cold member."""

from typing import NamedTuple
from unittest import TestCase

from redwingpost.groups.cold_members import (
    HOLD_S,
    NO_SHARE_RETRY_S,
    WINDOW_S,
    ColdAllowance,
    ColdBounds,
    HeldShare,
    most_in_one_second,
    share_of,
)


class ShareTest(TestCase):
    def test_shares_add_up_to_the_rate(self) -> None:
        """Guards against rounding that exceeds the rate, or wastes it."""
        for vms in (1, 2, 3, 7, 33, 68):
            senders = tuple(f"vm-{number}" for number in range(vms))
            for rate in (0.0, 0.5, 1.0, 10.0, 19.9, 33.0, 200.0):
                with self.subTest(vms=vms, rate=rate):
                    shares = [share_of(vm, senders, rate) for vm in senders]
                    self.assertEqual(int(rate), sum(shares))
                    self.assertLessEqual(max(shares) - min(shares), 1)

    def test_who_has_no_share(self) -> None:
        for senders in ((), ("b", "c")):
            with self.subTest(senders=senders):
                self.assertEqual(0, share_of("a", senders, 20.0))

    def test_the_rate_to_share(self) -> None:
        """Guards against a share above what the bounds allow."""
        cases = (
            ("usual bounds", ColdBounds(), 20.0, 20.0),
            ("bounds below the rate", ColdBounds(0.5, 2.0), 20.0, 12.0),
            ("nothing allowed", ColdBounds(0.0, 0.0), 20.0, 0.0),
        )
        for name, bounds, rate, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, bounds.rate_to_share(rate))


class HeldShareTest(TestCase):
    """Each case has the shares that are due by time, and what applies."""

    def test_what_applies(self) -> None:
        """Guards against a sum of shares above the rate while news travels."""
        steady = [(at / 10.0, 4) for at in range(25)]
        cases = (
            ("at the start", [(0.0, 4), (1.9, 4)], 0),
            ("after the hold", steady, 4),
            ("it shrinks", [*steady, (2.5, 1)], 1),
            ("it grows", [*steady, (2.5, 9), (4.4, 9)], 4),
            ("it has grown", [*steady, (2.5, 9), (4.4, 9), (4.6, 9)], 9),
            (
                "it grows and shrinks",
                [*steady, (2.5, 9), (3.5, 2), (4.6, 9)],
                2,
            ),
            ("it stood still", [*steady, (2.5 + HOLD_S, 4)], 0),
            (
                "it stood still and waited",
                [*steady, (5.0, 4), (6.0, 4), (7.0, 4)],
                4,
            ),
        )
        for name, due, expected in cases:
            with self.subTest(name):
                held = HeldShare()
                applied = [held.update(share, now) for now, share in due]
                self.assertEqual(expected, applied[-1])


class Case(NamedTuple):
    """Statements sent before ``now``, and how long others have to wait."""

    name: str
    share: int
    sent_at: tuple[float, ...]
    expected_s: float
    cold_until: float = 100.0
    statements: int = 1


_NOW = 10.0

_CASES = (
    Case("warm", 0, (), 0.0, cold_until=_NOW),
    Case("nothing sent", 2, (), 0.0),
    Case("part of the share", 2, (9.5,), 0.0),
    Case("the whole share", 2, (9.5, 9.9), 9.5 + WINDOW_S - _NOW),
    Case("sent long ago", 2, (8.0, 8.1), 0.0),
    Case("no share", 0, (), NO_SHARE_RETRY_S),
    Case("no share, soon warm", 0, (), 0.5, cold_until=10.5),
    Case("used up, soon warm", 1, (9.9,), 0.25, cold_until=10.25),
    Case("three at once", 3, (9.5,), 9.5 + WINDOW_S - _NOW, statements=3),
    Case("more than the share", 2, (), NO_SHARE_RETRY_S, statements=3),
)


class AllowanceTest(TestCase):
    def test_how_long_a_statement_waits(self) -> None:
        for case in _CASES:
            with self.subTest(case.name):
                allowance = ColdAllowance()
                allowance.cold_until = case.cold_until
                allowance.share = case.share
                for sent_at in case.sent_at:
                    allowance.note_sent(sent_at)
                wait_s = allowance.wait_s(_NOW, case.statements)
                self.assertAlmostEqual(case.expected_s, wait_s, places=2)

    def test_a_caller_that_comes_back_in_time_is_served(self) -> None:
        """Guards against a time to come back that is too short."""
        allowance = ColdAllowance()
        allowance.cold_until, allowance.share = float("inf"), 2
        now, sent = 0.0, []
        for _ in range(200):
            wait_s = allowance.wait_s(now)
            self.assertEqual(0.0, allowance.wait_s(now + wait_s))
            now += wait_s
            allowance.note_sent(now)
            sent.append(now)
        self.assertEqual(2, most_in_one_second(sent))
