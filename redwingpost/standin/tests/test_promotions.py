"""Random claims, promotions, crashes and writes against one group.

Terms change during writes, and members crash and restart with their promises
while replicas pull. In any order of events, two logs that hold the same
(term, index) must hold the same entries up to it, and a member's data must
result from its log.
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

#: Promotions in each run of the test.
PROMOTIONS = 60


class RandomEvents:
    """Applies seeded random events to a group and checks its logs."""

    def __init__(self, group, seed):
        self.group = group
        self.members = list(group.members_by_name.values())
        self.random = Random(seed)
        self.term = 1
        self.written = 0
        self.primaries_by_term = {1: "a"}
        self.promoted = 0
        self.diverged = 0

    async def write(self):
        """Commit one row at a random member that is primary by its state."""
        leaders = [
            m for m in self.members if m.term_state.is_primary and m.is_alive
        ]
        if not leaders:
            return
        member = self.random.choice(leaders)
        transaction = Transaction(member)
        try:
            await transaction.lock()
            self.written += 1
            holder = f"{member.name}-{member.term_state.promise.term}"
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
        """Claim a new term at a majority; promote the newest log's member."""
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
        """Crash a random member, or restart a crashed one."""
        crashed = [m for m in self.members if not m.is_alive]
        if crashed:
            await crashed[0].restart()
            return
        await self.random.choice(self.members).die()

    async def claim_for_rival(self):
        """Claim a new term at one member for another claimant."""
        member = self.random.choice(self.members)
        if member.is_alive and self.random.random() < 0.3:
            self.term += 1
            member.claim(self.term, "vm-2")

    async def change_lag(self):
        """Change a member's lag and give pulls time to run."""
        member = self.random.choice(self.members)
        member.replica.lag_s = self.random.choice((0.0, 0.0, 0.05))
        await sleep(self.random.choice((0.0, 0.001, 0.003)))

    async def run(self, promotions):
        """Run random events until there were ``promotions`` promotions."""
        weighted = [self.write] * 6 + [self.promote] * 2
        weighted += [
            self.crash,
            self.claim_for_rival,
            self.change_lag,
            self.change_lag,
        ]
        while self.promoted < promotions:
            await self.random.choice(weighted)()
            self.check_logs()
        await self.check_convergence()

    def check_logs(self):
        """Assert the log matching property for each pair of members."""
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
                for checked in range(start, index + 1):
                    assert first.entry(checked) == second.entry(
                        checked
                    ), checked
                return

    async def check_convergence(self):
        """Make all members follow one primary and compare their data."""
        for member in self.members:
            await member.restart()
            member.replica.lag_s = 0.0
        self.term = max(m.term_state.promise.term for m in self.members) + 1
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
        self.diverged = sum(len(m.replica.diverged) for m in self.members)


async def run_random_events(seed, promotions):
    """Run random events on a group; return the `RandomEvents` object."""
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
            # Otherwise a promotion could discard the table's creation.
            await member.wait_position(
                1, 10.0, lambda m=member: m.replica.applied == 2
            )
        events = RandomEvents(group, seed)
        await events.run(promotions)
        return events
    finally:
        await group.stop()


class PromotionsTest(IsolatedAsyncioTestCase):
    async def test_logs_match_through_random_promotions(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                events = await run_random_events(seed, PROMOTIONS)
                self.assertGreater(events.diverged, 0)
