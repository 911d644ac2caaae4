"""The group of the line protocol whose members replicate one by one."""

from asyncio import create_task, sleep
from collections.abc import Callable
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from redwingpost.standin.lines import replication
from redwingpost.standin.lines.replication import ReplicatedGroup

_MEMBERS = ("a", "b", "c")


def _group() -> ReplicatedGroup:
    return ReplicatedGroup("g", _MEMBERS, Random(1))


async def _write(group: ReplicatedGroup, member: str, item: str) -> None:
    chosen = group.member_by_name[member]
    assert await group.commit(chosen, {item: item})
    group.replicate()


class ReplicationTest(IsolatedAsyncioTestCase):
    async def test_which_member_receives(self) -> None:
        """Guards against replicas that receive what they can't."""

        def cut(group: ReplicatedGroup) -> None:
            group.member_by_name["c"].is_cut_off = True

        def silence(group: ReplicatedGroup) -> None:
            group.member_by_name["c"].is_unresponsive = True

        def pause(*terms: int) -> Callable:
            def apply(group: ReplicatedGroup) -> None:
                for term in terms:
                    group.pause(group.member_by_name["c"], term)

            return apply

        def pause_and(method: str) -> Callable:
            def apply(group: ReplicatedGroup) -> None:
                pause(2)(group)
                getattr(group, method)(group.member_by_name["c"])

            return apply

        cases = (
            ("nothing", lambda group: None, 1),
            ("cut off", cut, 0),
            ("silent", silence, 0),
            ("paused", pause(2), 0),
            ("paused for its own term", pause(1), 1),
            ("paused for less later", pause(3, 2, 1), 0),
            ("paused and resumed", pause_and("resume"), 1),
            ("paused and restarted", pause_and("restart"), 1),
        )
        for name, apply, received in cases:
            with self.subTest(name):
                group = _group()
                apply(group)
                await _write(group, "a", "x")
                self.assertEqual(1, len(group.member_by_name["b"].log))
                log = group.member_by_name["c"].log
                self.assertEqual(received, len(log))

    async def test_a_promotion(self) -> None:
        """Guards against gaps in the logs of replicas that return."""
        group = _group()
        a, b, c = group.member_by_name.values()
        await _write(group, "a", "first")
        c.is_cut_off = True
        await _write(group, "a", "second")
        group.promote("c")
        self.assertEqual(2, c.term)
        (promotion,) = group.promotions
        self.assertEqual(
            [{"second": "second"}], [e.writes for e in promotion.missing]
        )
        await _write(group, "a", "third")
        self.assertTrue(a.is_primary)
        c.is_cut_off = False
        with patch.object(replication, "STALE_LEAD_S", 0.0):
            group.replicate()
        await _write(group, "c", "fourth")
        self.assertEqual([2, 2, 2], [m.term for m in (a, b, c)])
        for member in (a, b):
            self.assertFalse(member.is_primary)
            self.assertEqual(c.log, member.log)
        items = [item for entry in c.log for item in entry.writes]
        self.assertEqual(["first", "fourth"], items)

    async def test_a_member_that_starts_again(self) -> None:
        """Guards against a primary that returns beside the one after it."""
        for promoted, is_primary in ((None, True), ("b", False)):
            with self.subTest(promoted=promoted):
                group = _group()
                a = group.member_by_name["a"]
                await _write(group, "a", "first")
                a.is_unresponsive = True
                if promoted:
                    group.promote(promoted)
                a.is_unresponsive = False
                group.restart(a)
                group.replicate()
                self.assertEqual(is_primary, a.is_primary)
                self.assertEqual(1, len(a.log))

    async def test_a_commit_that_no_replica_receives(self) -> None:
        """Guards against acknowledgements by a primary alone."""
        group = _group()
        a = group.member_by_name["a"]
        a.is_cut_off = True
        committing = create_task(group.commit(a, {"x": "x"}))
        await sleep(2 * replication.MAX_RECEIVE_DELAY_S)
        self.assertFalse(committing.done())
        group.step_down(a, 2)
        with self.assertRaises(TimeoutError):
            await committing
        self.assertEqual([], group.acknowledged)

    async def test_a_member_that_joins(self) -> None:
        """Guards against a new member without the primary's log."""
        group = _group()
        await _write(group, "a", "first")
        member = group.join("d")
        self.assertEqual(group.member_by_name["a"].log, member.log)
        group.member_by_name["a"].is_unresponsive = True
        self.assertIsNone(group.join("e"))
