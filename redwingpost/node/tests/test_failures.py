"""Nodes as processes against stand-ins that fail."""

from asyncio import create_task, gather, sleep
from time import monotonic
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_caller import LineCaller
from redwingpost.node.tests.line_site import NodeSite, configuration, until

#: Seconds for which members are off the list; they are back sooner than
#: a member whose entry has lapsed counts as gone.
LAPSED_S = 0.5

_NOT_KEPT = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MAXCONN"}


class FailureTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=2)
        self.node = self.site.nodes[0]
        self.group = self.site.outside.group_by_name["g1"]

    async def test_a_dark_primary_is_replaced_and_nothing_is_lost(
        self,
    ) -> None:
        """The primary's machine loses power.

        It never says so: statements sent to it hang. Callers meet errors
        until a replica leads. Every write that was acknowledged must be
        in the new primary's log, and no write that was refused as not
        kept may be.
        """
        told_by_item = await self._write_through(self._darken_primary)
        self._check(told_by_item)
        new = self.site.outside.primary_of("g1")
        self.assertNotEqual("g1-m1", new)
        fences = [order.fence for order in self.site.outside.orders]
        self.assertEqual(sorted(fences), fences)

    async def test_a_leaving_primary_is_replaced_before_it_goes(
        self,
    ) -> None:
        """The primary announces that it will stop.

        It goes on serving for a while. Another must lead before, with
        everything that was acknowledged; callers should notice little.
        """
        told_by_item = await self._write_through(self._announce_leave)
        self._check(told_by_item)
        self.assertNotEqual("g1-m1", self.site.outside.primary_of("g1"))

    async def test_a_node_starts_while_a_member_leaves(self) -> None:
        """A member leaves, and a node is started again meanwhile.

        The node can't know for how long the member has been leaving. New
        work there would be cut when the member exits.
        """
        self.site.outside.register("g1-m2", state="draining")
        node = await self.site.add_node()
        await until(node.is_ready)
        caller = await node.caller("stated")
        sent = [f"new-{number}" for number in range(20)]
        for request in sent:
            told = await caller.run_as(request, "READ x")
            self.assertEqual("", told.code)
        leaving = self.site.outside.find("g1-m2")
        self.assertEqual([], [run for run in leaving.runs if run[0] in sent])

    async def test_a_primary_without_replicas_is_replaced(self) -> None:
        """The primary is cut off from its replicas, not from the nodes.

        It answers questions and takes writes, but no write is ever
        acknowledged. Callers see writes hang.
        """
        told_by_item = await self._write_through(self._cut_primary)
        self._check(told_by_item)
        self.assertNotEqual("g1-m1", self.site.outside.primary_of("g1"))

    async def test_a_lost_answer_to_a_write(self) -> None:
        """The member runs a write, and its answer is lost.

        Sent again it would be stored twice; the caller must be told that
        nobody knows.
        """
        caller = await self.node.caller("own")
        await caller.run("READ x")
        primary = self.site.outside.find("g1-m1")
        primary.lose_answers = 1
        told = await caller.run_as("only-once", "WRITE x 1")
        self.assertEqual("INDOUBT", told.code)
        runs = [run for run in primary.runs if run[0] == "only-once"]
        self.assertEqual(1, len(runs))

    async def test_a_lost_answer_to_a_read(self) -> None:
        """The answer to a read is lost; another member answers instead.

        Without a second try the caller would wait for the whole timeout.
        """
        writer = await self.node.caller("own")
        await writer.run("WRITE y 1")
        reader = await self.node.caller("stated")
        for server in self.site.outside.server_by_member.values():
            server.member.lose_answers = 0
        for name in ("g1-m2", "g1-m3"):
            with self.subTest(name):
                self.site.outside.find(name).lose_answers = 1
                told = await reader.run("READ y")
                self.assertEqual(("1",), told.rows)

    async def test_replicas_that_lag(self) -> None:
        """Replicas receive commits but apply none of them.

        A session that has just written must not read from them.
        """
        for name in ("g1-m2", "g1-m3"):
            self.site.outside.find(name).lags = True
        caller = await self.node.caller("own")
        for number in range(5):
            await caller.run(f"WRITE z {number}")
            told = await caller.run("READ z")
            self.assertEqual((str(number),), told.rows)

    async def test_a_replaced_primary_serves_no_read(self) -> None:
        """A promotion that this node hasn't heard of has taken effect.

        The old primary goes on answering. A read there would miss what
        the new primary acknowledges.
        """
        caller = await self.node.caller("strict")
        await caller.run("WRITE w old")
        old = self.site.outside.find("g1-m1")
        self.group.promote("g1-m2")
        new = self.site.outside.find("g1-m2")
        await self.group.commit(new, {"w": "new"})
        self.assertTrue(old.is_primary)

        async def reads_new() -> bool:
            told = await caller.run("READ w")
            self.assertNotEqual(("old",), told.rows)
            return told.rows == ("new",)

        await until(reads_new)

    async def test_the_rate_holds_over_two_nodes(self) -> None:
        """An organisation sends far more than its rate through two nodes.

        Together they may serve its rate and burst, no more.
        """
        changed = configuration(2)
        changed["tenants"][1].update(ratePerS=10, burst=10)
        self.site.outside.configure(changed)
        callers = [
            await node.caller("stated", "key-3")
            for node in self.site.nodes
            for _ in range(3)
        ]
        await until(lambda: self._is_limited(callers[0]))
        # The burst, and what refills while both nodes are asked.
        counts = await gather(*(self._count(item, 40) for item in callers))
        served = sum(counts)
        self.assertLess(served, 6 * 40 / 2)

    async def test_the_store_is_away(self) -> None:
        """The platform's store is down.

        Nodes that have their configuration go on serving.
        """
        self.site.outside.store.faults.is_down = True
        caller = await self.node.caller("own")
        told = await caller.run("WRITE s 1")
        self.assertEqual("", told.code)

    async def test_entries_that_lapse_together_cost_no_read(self) -> None:
        """Guards against groups without members after a store's outage."""
        caller = await self.node.caller("strict")
        self.assertEqual("", (await caller.run("READ a")).code)
        members = tuple(self.site.outside.server_by_member)
        for member in members:
            self.site.outside.remove_entry(member)
        told = await self._read_for(caller, LAPSED_S)
        for member in members:
            self.site.outside.register(member)
        told += await self._read_for(caller, LAPSED_S)
        self.assertEqual({""}, {item.code for item in told})

    async def test_broken_input(self) -> None:
        """Bytes that are no message, or hide one inside another.

        The node answers with an error or closes, and serves on.
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

    # What the tests share ----------------------------------------------

    async def _write_through(self, fault) -> dict[str, str]:
        """Write all the time, before, during and after a fault."""
        told_by_item: dict[str, str] = {}
        workers = [
            create_task(self._write(node, f"n{number}", told_by_item))
            for number, node in enumerate(self.site.nodes)
        ]
        await until(lambda: len(told_by_item) > 20)
        await fault()
        await until(
            lambda: self.site.outside.primary_of("g1") != "g1-m1",
            "another primary",
        )
        seen = len(told_by_item)
        await until(
            lambda: any(
                told == "" for told in list(told_by_item.values())[seen + 5 :]
            ),
            "a write at the new primary",
        )
        for worker in workers:
            worker.cancel()
        await gather(*workers, return_exceptions=True)
        return told_by_item

    async def _read_for(self, caller: LineCaller, seconds: float) -> list:
        """Read again and again; return all answers."""
        until = monotonic() + seconds
        told = []
        while monotonic() < until:
            told.append(await caller.run("READ a"))
            await sleep(0.02)
        return told

    async def _write(self, node, prefix: str, told_by_item: dict) -> None:
        caller = await node.caller("own")
        number = 0
        while True:
            number += 1
            item = f"{prefix}-{number}"
            told = await caller.run(f"WRITE {item} 1")
            told_by_item[item] = told.code
            await sleep(0.01)

    def _check(self, told_by_item: dict[str, str]) -> None:
        leader = self.site.outside.find(self.site.outside.primary_of("g1"))
        kept = {item for entry in leader.log for item in entry.writes}
        for item, code in told_by_item.items():
            if code == "":
                self.assertIn(item, kept, "acknowledged, but lost")
            elif code in _NOT_KEPT:
                self.assertNotIn(item, kept, "refused, but kept")

    async def _darken_primary(self) -> None:
        self.site.outside.find("g1-m1").is_unresponsive = True

    async def _announce_leave(self) -> None:
        self.site.outside.register("g1-m1", state="draining")

    async def _cut_primary(self) -> None:
        self.site.outside.find("g1-m1").is_cut_off = True

    async def _is_limited(self, caller: LineCaller) -> bool:
        return (await caller.run("READ r")).code == "BUSY"

    async def _count(self, caller: LineCaller, times: int) -> int:
        told = [await caller.run("READ r") for _ in range(times)]
        return sum(item.code == "" for item in told)
