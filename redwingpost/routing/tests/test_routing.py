"""Routing of reads: proofs, policies, waiting."""

from random import Random
from unittest import TestCase

from redwingpost.core import GroupView, Position
from redwingpost.ports import MemberStatus
from redwingpost.routing import POLICIES, Candidate, is_trusted, is_young

VIEW = GroupView("plans", 3, "m-1", ())


def status(member="m-2", role="replica", term=3, age_ms=0):
    position = Position(3, 7)
    return MemberStatus(
        member, role, term, position, position, "m-1", (), age_ms
    )


class FreshnessTest(TestCase):
    def test_whom_to_believe(self):
        """A primary that was replaced comes back and still thinks it
        leads. By its own words its data is fresh; a caller would read
        last week's plan.
        """
        table = [
            (status(), True),
            (status("m-1", "primary"), True),
            (status("m-2", "primary", term=2), False),
            (status("m-2", "primary"), False),
            (status(term=2), False),
            (status(term=4), True),
        ]
        for said, expected in table:
            with self.subTest(said=said):
                self.assertIs(is_trusted(said, VIEW), expected)

    def test_age_counts_from_the_question(self):
        table = [(100, 0.0, True), (100, 0.5, False), (600, 0.0, False)]
        for age_ms, known_for_s, expected in table:
            with self.subTest(age_ms=age_ms, known_for_s=known_for_s):
                young = is_young(status(age_ms=age_ms), known_for_s, 500)
                self.assertIs(young, expected)


class Members:
    """Three members of five slots, one slow, seen by several proxies."""

    def __init__(self, service_s, proxies=6):
        self.service_s = service_s
        self.ends = [[] for _ in service_s]
        self.outstanding = [[0] * len(service_s) for _ in range(proxies)]
        self.known_s = [[0.02] * len(service_s) for _ in range(proxies)]
        self.finishing = []

    def settle(self, now):
        for entry in [e for e in self.finishing if e[0] <= now]:
            self.finishing.remove(entry)
            _, proxy, member, took = entry
            self.outstanding[proxy][member] -= 1
            known = self.known_s[proxy][member]
            self.known_s[proxy][member] += 0.1 * (took - known)

    def send(self, policy, proxy, now, random):
        candidates = [
            Candidate(
                str(m), self.outstanding[proxy][m], 2, known, 0.0005 * m, True
            )
            for m, known in enumerate(self.known_s[proxy])
        ]
        member = int(policy(candidates, random).member)
        busy = sorted(end for end in self.ends[member] if end > now)
        start = busy[-5] if len(busy) >= 5 else now
        end = start + self.service_s[member]
        self.ends[member] = [*busy, end]
        self.outstanding[proxy][member] += 1
        self.finishing.append((end, proxy, member, self.service_s[member]))
        return end - now


def p99_ms(name, service_s, per_second=450.0, seconds=10.0):
    """Return the 99th percentile of a policy's answers."""
    random = Random(7)
    members, policy = Members(service_s), POLICIES.get(name)
    now, took = 0.0, []
    while now < seconds:
        now += random.expovariate(per_second)
        members.settle(now)
        proxy = random.randrange(6)
        took.append(members.send(policy, proxy, now, random))
    return 1000 * sorted(took)[int(0.99 * len(took))]


class PoliciesTest(TestCase):
    def test_against_a_fixed_order(self):
        """Six proxies share three members at 60% of their slots. In a
        fixed order the first member takes all and its queue has no end.
        """
        equal = (0.02, 0.02, 0.02)
        naive = p99_ms("first", equal)
        for name in set(POLICIES.names()) - {"first"}:
            with self.subTest(name=name):
                self.assertLess(p99_ms(name, equal), naive / 10)

    def test_expected_time_avoids_a_slow_member(self):
        """One member needs five times as long for each read. Counting
        requests only, a proxy still sends it a good part.
        """
        slow = (0.1, 0.02, 0.02)
        best = p99_ms("expected-time", slow)
        self.assertLess(best, p99_ms("least-outstanding", slow))
        self.assertLess(best, p99_ms("affinity-load", slow))
