"""Node processes run against stand-ins that fail."""

from asyncio import create_task, gather, sleep
from time import monotonic
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_caller import LineCaller
from redwingpost.node.tests.line_site import (
    NodeSite,
    configuration,
    until,
    until_in_force,
)

#: Seconds for which members aren't listed: shorter than the time after
#: which a member whose entry has lapsed counts as removed.
LAPSED_S = 0.5

#: What the platform's rules allow beyond a rate and its burst.
OVERAGE = 0.1
SLACK = 20

_NOT_KEPT = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MAXCONN"}


class FailureTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=2)
        self.node = self.site.nodes[0]
        self.group = self.site.standins.group_by_name["g1"]

    async def test_primary_losing_power_is_replaced_without_loss(
        self,
    ) -> None:
        """The primary's VM loses power; statements sent to it hang.

        Callers get errors until a replica leads. Every acknowledged write
        must be in the new primary's log, and no write that was refused as
        not kept may be in it.
        """
        code_by_item = await self._write_through(self._silence_primary)
        self._check(code_by_item)
        new = self.site.standins.primary_of("g1")
        self.assertNotEqual("g1-m1", new)
        fences = [order.fence for order in self.site.standins.orders]
        self.assertEqual(sorted(fences), fences)

    async def test_draining_primary_is_replaced_before_it_exits(
        self,
    ) -> None:
        """The primary announces that it will stop, and drains.

        Before it exits, another member must lead, with every acknowledged
        write; few callers should get errors.
        """
        code_by_item = await self._write_through(self._drain_primary)
        self._check(code_by_item)
        self.assertNotEqual("g1-m1", self.site.standins.primary_of("g1"))

    async def test_a_node_starts_while_a_member_drains(self) -> None:
        """A node starts while a member is draining.

        The node can't know how long the member has been draining. New work
        sent to it would be cut off when the member exits.
        """
        self.site.standins.register("g1-m2", state="draining")
        node = await self.site.add_node()
        await until(node.is_ready)
        caller = await node.caller("stated")
        sent = [f"new-{number}" for number in range(20)]
        for request in sent:
            answer = await caller.run_as(request, "READ x")
            self.assertEqual("", answer.code)
        leaving = self.site.standins.find("g1-m2")
        self.assertEqual([], [run for run in leaving.runs if run[0] in sent])

    async def test_a_primary_without_replicas_is_replaced(self) -> None:
        """The primary is partitioned from its replicas, not from the nodes.

        It answers probes and accepts writes, but acknowledges none of them.
        Callers' writes hang.
        """
        code_by_item = await self._write_through(self._partition_primary)
        self._check(code_by_item)
        self.assertNotEqual("g1-m1", self.site.standins.primary_of("g1"))

    async def test_a_lost_answer_to_a_write(self) -> None:
        """The member runs a write, and its answer is lost.

        If it were sent again, it would run twice; the caller must get the
        code for an unknown outcome.
        """
        caller = await self.node.caller("own")
        await caller.run("READ x")
        primary = self.site.standins.find("g1-m1")
        primary.lose_answers = 1
        answer = await caller.run_as("only-once", "WRITE x 1")
        self.assertEqual("INDOUBT", answer.code)
        runs = [run for run in primary.runs if run[0] == "only-once"]
        self.assertEqual(1, len(runs))

    async def test_a_lost_answer_to_a_read(self) -> None:
        """The answer to a read is lost; another member answers instead.

        Without a second attempt the caller would wait for the timeout.
        """
        writer = await self.node.caller("own")
        await writer.run("WRITE y 1")
        reader = await self.node.caller("stated")
        for server in self.site.standins.server_by_member.values():
            server.member.lose_answers = 0
        for name in ("g1-m2", "g1-m3"):
            with self.subTest(name):
                self.site.standins.find(name).lose_answers = 1
                answer = await reader.run("READ y")
                self.assertEqual(("1",), answer.rows)

    async def test_replicas_that_lag(self) -> None:
        """Replicas receive commits but apply none of them.

        A session that has just written must not read from them.
        """
        for name in ("g1-m2", "g1-m3"):
            self.site.standins.find(name).lags = True
        caller = await self.node.caller("own")
        for number in range(5):
            await caller.run(f"WRITE z {number}")
            answer = await caller.run("READ z")
            self.assertEqual((str(number),), answer.rows)

    async def test_a_replaced_primary_serves_no_read(self) -> None:
        """A promotion that this node doesn't know of has taken effect.

        The old primary still answers. A read there would miss the commits
        that the new primary has acknowledged.
        """
        caller = await self.node.caller("strict")
        await caller.run("WRITE w old")
        old = self.site.standins.find("g1-m1")
        self.group.promote("g1-m2")
        new = self.site.standins.find("g1-m2")
        await self.group.commit(new, {"w": "new"})
        self.assertTrue(old.is_primary)

        async def reads_new() -> bool:
            answer = await caller.run("READ w")
            self.assertNotEqual(("old",), answer.rows)
            return answer.rows == ("new",)

        await until(reads_new)

    async def test_the_rate_holds_over_two_nodes(self) -> None:
        """An organisation exceeds its rate limit many times on two nodes.

        Together they may serve no more than its rate and burst, for the time
        that the calls take, and what the platform's rules allow beyond them.
        """
        changed = configuration(2)
        changed["tenants"][1].update(ratePerS=10, burst=10)
        self.site.standins.configure(changed)
        callers = [
            await node.caller("stated", "key-3")
            for node in self.site.nodes
            for _ in range(3)
        ]
        for node in self.site.nodes:
            await until_in_force(node, 2)
        await until(lambda: self._is_limited(callers[0]))
        began_at = monotonic()
        counts = await gather(*(self._count(item, 40) for item in callers))
        took_s = monotonic() - began_at
        allowed = (10 * took_s + 10) * (1.0 + OVERAGE) + SLACK
        self.assertLessEqual(sum(counts), allowed, f"{counts}, {took_s} s")

    async def test_the_store_is_unavailable(self) -> None:
        """The platform's store is down.

        Nodes that have their configuration must still serve.
        """
        self.site.standins.store.faults.is_down = True
        caller = await self.node.caller("own")
        answer = await caller.run("WRITE s 1")
        self.assertEqual("", answer.code)

    async def test_entries_that_expire_together_fail_no_read(self) -> None:
        """Guards against groups without members after a store's outage."""
        caller = await self.node.caller("strict")
        self.assertEqual("", (await caller.run("READ a")).code)
        members = tuple(self.site.standins.server_by_member)
        for member in members:
            self.site.standins.remove_entry(member)
        answers = await self._read_for(caller, LAPSED_S)
        for member in members:
            self.site.standins.register(member)
        answers += await self._read_for(caller, LAPSED_S)
        self.assertEqual({""}, {item.code for item in answers})

    async def test_broken_input(self) -> None:
        """Malformed messages, or one message hidden inside another.

        The node answers with an error or closes the connection, and still
        serves others.
        """
        cases = (
            "HELLO",
            "QUERY",
            "STARTUP own key-1\nQUERY 1 READ a",
            "STARTUP own key-1\0",
        )
        for line in cases:
            with self.subTest(line):
                caller = await LineCaller.connect(
                    self.node.ip, self.node.ports["callers"]
                )
                caller.send(line)
                self.assertTrue((await caller.line()).startswith("ERROR"))
        self.assertTrue(await self.node.is_ready())

    # Helpers -----------------------------------------------------------

    async def _write_through(self, fault) -> dict[str, str]:
        """Write continually before, during and after a fault."""
        code_by_item: dict[str, str] = {}
        workers = [
            create_task(self._write(node, f"n{number}", code_by_item))
            for number, node in enumerate(self.site.nodes)
        ]
        await until(lambda: len(code_by_item) > 20)
        await fault()
        await until(
            lambda: self.site.standins.primary_of("g1") != "g1-m1",
            "another primary",
        )
        seen = len(code_by_item)
        await until(
            lambda: any(
                code == "" for code in list(code_by_item.values())[seen + 5 :]
            ),
            "a write to succeed at the new primary",
        )
        for worker in workers:
            worker.cancel()
        await gather(*workers, return_exceptions=True)
        return code_by_item

    async def _read_for(self, caller: LineCaller, seconds: float) -> list:
        """Read repeatedly and return all answers."""
        deadline = monotonic() + seconds
        answers = []
        while monotonic() < deadline:
            answers.append(await caller.run("READ a"))
            await sleep(0.02)
        return answers

    async def _write(self, node, prefix: str, code_by_item: dict) -> None:
        caller = await node.caller("own")
        number = 0
        while True:
            number += 1
            item = f"{prefix}-{number}"
            answer = await caller.run(f"WRITE {item} 1")
            code_by_item[item] = answer.code
            await sleep(0.01)

    def _check(self, code_by_item: dict[str, str]) -> None:
        leader = self.site.standins.find(self.site.standins.primary_of("g1"))
        kept = {item for entry in leader.log for item in entry.writes}
        for item, code in code_by_item.items():
            if code == "":
                self.assertIn(item, kept, "acknowledged, but lost")
            elif code in _NOT_KEPT:
                self.assertNotIn(item, kept, "refused, but kept")

    async def _silence_primary(self) -> None:
        self.site.standins.find("g1-m1").is_unresponsive = True

    async def _drain_primary(self) -> None:
        self.site.standins.register("g1-m1", state="draining")

    async def _partition_primary(self) -> None:
        self.site.standins.find("g1-m1").is_cut_off = True

    async def _is_limited(self, caller: LineCaller) -> bool:
        return (await caller.run("READ r")).code == "BUSY"

    async def _count(self, caller: LineCaller, times: int) -> int:
        answers = [await caller.run("READ r") for _ in range(times)]
        return sum(item.code == "" for item in answers)
