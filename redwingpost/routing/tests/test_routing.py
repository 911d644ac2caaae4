"""Tests of the routing of reads: proofs and policies."""

from random import Random
from unittest import TestCase

from redwingpost.core import GroupView, Position
from redwingpost.ports import MemberStatus
from redwingpost.routing import (
    POLICIES,
    Candidate,
    is_recent_enough,
    is_trusted,
)

VIEW = GroupView("plans", 3, "m-1", ())


def status(member="m-2", role="replica", term=3, age_ms=0):
    position = Position(3, 7)
    return MemberStatus(
        member, role, term, position, position, "m-1", (), age_ms
    )


class FreshnessTest(TestCase):
    def test_which_status_is_trusted(self):
        """Guards against stale reads at a primary that was replaced.

        It returns and still reports that it leads, with fresh data; a caller
        would read data from before the promotion.
        """
        table = [
            (status(), True),
            (status("m-1", "primary"), True),
            (status("m-2", "primary", term=2), False),
            (status("m-2", "primary"), False),
            (status(term=2), False),
            (status(term=4), True),
        ]
        for reported, expected in table:
            with self.subTest(reported=reported):
                self.assertIs(is_trusted(reported, VIEW), expected)

    def test_age_counts_from_the_request(self):
        table = [(100, 0.0, True), (100, 0.5, False), (600, 0.0, False)]
        for age_ms, known_for_s, expected in table:
            with self.subTest(age_ms=age_ms, known_for_s=known_for_s):
                recent = is_recent_enough(
                    status(age_ms=age_ms), known_for_s, 500
                )
                self.assertIs(recent, expected)


class SimulatedMembers:
    """Members of five slots each, used by several proxies."""

    def __init__(self, service_s, proxies=6):
        self.service_s = service_s
        self.ends = [[] for _ in service_s]
        self.outstanding = [[0] * len(service_s) for _ in range(proxies)]
        self.estimated_s = [[0.02] * len(service_s) for _ in range(proxies)]
        self.in_flight = []

    def complete(self, now):
        for entry in [e for e in self.in_flight if e[0] <= now]:
            self.in_flight.remove(entry)
            _, proxy, member, took = entry
            self.outstanding[proxy][member] -= 1
            estimate_s = self.estimated_s[proxy][member]
            self.estimated_s[proxy][member] += 0.1 * (took - estimate_s)

    def send(self, policy, proxy, now, random):
        candidates = [
            Candidate(
                str(m),
                self.outstanding[proxy][m],
                2,
                estimate_s,
                0.0005 * m,
                True,
            )
            for m, estimate_s in enumerate(self.estimated_s[proxy])
        ]
        member = int(policy(candidates, random).member)
        busy = sorted(end for end in self.ends[member] if end > now)
        start = busy[-5] if len(busy) >= 5 else now
        end = start + self.service_s[member]
        self.ends[member] = [*busy, end]
        self.outstanding[proxy][member] += 1
        self.in_flight.append((end, proxy, member, self.service_s[member]))
        return end - now


def p99_ms(name, service_s, per_second=450.0, seconds=10.0):
    """Return the 99th percentile of a policy's response times (ms)."""
    random = Random(7)
    members, policy = SimulatedMembers(service_s), POLICIES.get(name)
    now, took = 0.0, []
    while now < seconds:
        now += random.expovariate(per_second)
        members.complete(now)
        proxy = random.randrange(6)
        took.append(members.send(policy, proxy, now, random))
    return 1000 * sorted(took)[int(0.99 * len(took))]


class PoliciesTest(TestCase):
    def test_against_a_fixed_order(self):
        """Guards against a policy that overloads one member.

        Six proxies share three members at 60% of their slots. In a fixed
        order the first member gets all reads and its queue grows without
        bound.
        """
        equal = (0.02, 0.02, 0.02)
        naive = p99_ms("first", equal)
        for name in set(POLICIES.names()) - {"first"}:
            with self.subTest(name=name):
                self.assertLess(p99_ms(name, equal), naive / 10)

    def test_expected_time_avoids_a_slow_member(self):
        """Guards against a policy that ignores service times.

        One member needs five times as long for each read. A proxy that only
        counts requests still sends it a large part.
        """
        slow = (0.1, 0.02, 0.02)
        best = p99_ms("expected-time", slow)
        self.assertLess(best, p99_ms("least-outstanding", slow))
        self.assertLess(best, p99_ms("affinity-load", slow))
