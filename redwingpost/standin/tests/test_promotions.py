"""Random claims, promotions, crashes and writes against one group.

Terms change while writes run, members die and come back with their
promises, pulls are under way throughout. Whatever the order, two logs
that hold the same (term, index) must hold the same entries up to it, and
a member's data must be what its log says.
"""

from asyncio import sleep
from logging import CRITICAL, getLogger
from random import Random
from unittest import IsolatedAsyncioTestCase

from redwingpost.standin import GroupStandin
from redwingpost.standin.mysql_errors import MemberError
from redwingpost.standin.tests.support import quick_settings
from redwingpost.standin.transactions import Transaction

CREATE = "CREATE TABLE seats (n INTEGER PRIMARY KEY, holder TEXT)"

#: Promotions in the test; the stand-in was also run with 1,000.
PROMOTIONS = 60


class Chaos:
    """Drives a group by a seeded random source and checks its logs."""

    def __init__(self, group, seed):
        self.group = group
        self.members = list(group.members_by_name.values())
        self.random = Random(seed)
        self.term = 1
        self.written = 0
        self.primaries_by_term = {1: "a"}
        self.promoted = 0
        self.set_aside = 0

    async def write(self):
        """Let some member that believes it leads commit one row."""
        leaders = [m for m in self.members if m.book.is_primary and m.is_alive]
        if not leaders:
            return
        member = self.random.choice(leaders)
        transaction = Transaction(member)
        try:
            await transaction.lock()
            self.written += 1
            holder = f"{member.name}-{member.book.promise.term}"
            transaction.execute(
                "INSERT OR REPLACE INTO seats VALUES (?, ?)",
                (self.written % 97, holder),
            )
            transaction.commit()
        except MemberError:
            pass
        finally:
            transaction.close()

    async def promote(self):
        """Claim a new term at a majority and promote its best member."""
        alive = [m for m in self.members if m.is_alive]
        if len(alive) < 2:
            return
        self.term += self.random.randint(1, 2)
        claimed = self.random.sample(alive, self.random.randint(2, len(alive)))
        claimed = [m for m in claimed if m.claim(self.term, "vm-1")]
        if len(claimed) < 2:
            return
        best = max(claimed, key=lambda m: m.replica.log.head)
        if not await best.promote(self.term, "vm-1"):
            return
        assert self.primaries_by_term.get(self.term, best.name) == best.name
        self.primaries_by_term[self.term] = best.name
        self.promoted += 1
        for member in alive:
            if member is not best and self.random.random() < 0.8:
                member.follow(self.term, best.name, "", 0)

    async def crash(self):
        """Kill a member, or bring the dead ones back."""
        dead = [m for m in self.members if not m.is_alive]
        if dead:
            await dead[0].restart()
            return
        await self.random.choice(self.members).die()

    async def rival(self):
        """Let another claimant raise the promise of one member."""
        member = self.random.choice(self.members)
        if member.is_alive and self.random.random() < 0.3:
            self.term += 1
            member.claim(self.term, "vm-2")

    async def pace(self):
        """Change a member's lag and let pulls run."""
        member = self.random.choice(self.members)
        member.replica.lag_s = self.random.choice((0.0, 0.0, 0.05))
        await sleep(self.random.choice((0.0, 0.001, 0.003)))

    async def run(self, promotions):
        """Go on until so many promotions have come about."""
        weighted = [self.write] * 6 + [self.promote] * 2
        weighted += [self.crash, self.rival, self.pace, self.pace]
        while self.promoted < promotions:
            await self.random.choice(weighted)()
            self.check_logs()
        await self.settle()

    def check_logs(self):
        """Assert the log matching property for every pair."""
        for member in self.members:
            log = member.replica.log
            assert member.replica.applied <= len(log)
            for other in self.members:
                self.check_pair(log, other.replica.log)

    def check_pair(self, first, second):
        length = min(len(first), len(second))
        for index in range(length, 0, -1):
            if first.position_at(index) == second.position_at(index):
                start = max(1, index - 50)
                for place in range(start, index + 1):
                    assert first.entry(place) == second.entry(place), place
                return

    async def settle(self):
        """Bring everyone back under one primary and compare all."""
        for member in self.members:
            await member.restart()
            member.replica.lag_s = 0.0
        self.term = max(m.book.promise.term for m in self.members) + 1
        for member in self.members:
            assert member.claim(self.term, "vm-1")
        best = max(self.members, key=lambda m: m.replica.log.head)
        assert await best.promote(self.term, "vm-1")
        for member in self.members:
            if member is not best:
                assert member.follow(self.term, best.name, "", 0)
        head = best.replica.log.head
        for member in self.members:
            held = await member.wait_position(
                self.term,
                10.0,
                lambda m=member: m.replica.applied_position == head,
            )
            assert held, member.name
        logs = [m.replica.log.after(0, head.index) for m in self.members]
        assert logs[0] == logs[1] == logs[2]
        dumps = [m.store.dump() for m in self.members]
        assert dumps[0] == dumps[1] == dumps[2]
        self.set_aside = sum(len(m.replica.set_aside) for m in self.members)


async def run_chaos(seed, promotions):
    """Run one seeded history; return what it went through."""
    getLogger("mysql_mimic").setLevel(CRITICAL)
    group = GroupStandin(quick_settings(pull_hold_ms=2))
    await group.start()
    try:
        first = group.members_by_name["a"]
        transaction = Transaction(first)
        await transaction.lock()
        transaction.execute(CREATE, ())
        transaction.commit()
        transaction.close()
        for member in group.members_by_name.values():
            # A promotion must not drop the table itself.
            await member.wait_position(
                1, 10.0, lambda m=member: m.replica.applied == 2
            )
        chaos = Chaos(group, seed)
        await chaos.run(promotions)
        return chaos
    finally:
        await group.stop()


class PromotionsTest(IsolatedAsyncioTestCase):
    async def test_logs_match_through_random_promotions(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                chaos = await run_chaos(seed, PROMOTIONS)
                self.assertGreater(chaos.set_aside, 0)
