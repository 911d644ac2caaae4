"""Node processes and stand-ins while data centres are evacuated."""

from asyncio import create_task, gather, sleep
from unittest import IsolatedAsyncioTestCase

from redwingpost.core.codes import Code
from redwingpost.node.tests.line_caller import LineCaller
from redwingpost.node.tests.line_site import NodeProcess, NodeSite, until

_DATA_CENTRE_BY_MEMBER = {"g1-m1": "dc-a", "g1-m2": "dc-b", "g1-m3": "dc-c"}


class EvacuationTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=2)
        self.node = self.site.nodes[0]
        self.standins = self.site.standins
        self.acknowledged: set[str] = set()
        for member, data_centre in _DATA_CENTRE_BY_MEMBER.items():
            self.standins.register(member, zone=data_centre)

    async def test_a_primary_is_moved_without_loss(self) -> None:
        """Guards against statements at a member of an evacuated centre."""
        writers = [create_task(self._write(item)) for item in self.site.nodes]
        await sleep(0.3)
        await self._order("dc-a")
        await until(lambda: self.standins.primary_of("g1") != "g1-m1")
        await until(lambda: self._is_closed_to_work("g1-m1"))
        runs_before = len(self._runs("g1-m1"))
        await sleep(1.0)
        self.assertEqual(runs_before, len(self._runs("g1-m1")))
        for writer in writers:
            writer.cancel()
        await gather(*writers, return_exceptions=True)
        self.assertTrue(self.acknowledged)
        leader = self.standins.find(self.standins.primary_of("g1"))
        kept = {item for entry in leader.log for item in entry.writes}
        self.assertLessEqual(self.acknowledged, kept)

    async def test_reads_leave_a_replica_at_once(self) -> None:
        await self._order("dc-b")
        reader = await self.node.caller("stated")
        await self._read(reader, 30)
        self.assertEqual([], self._runs("g1-m2"))
        self.standins.store.remove("op", "evacuate/dc-b")
        await until(lambda: self._has_logged("evacuation-withdrawn"))
        await self._order("dc-c")
        readers = [await self.node.caller("stated") for _ in range(8)]
        await gather(*(self._read(item, 10) for item in readers))
        self.assertTrue(self._runs("g1-m2"))

    async def test_what_only_an_evacuated_primary_can_run(self) -> None:
        """Guards against a wait until the deadline without any hope.

        All members are in evacuated data centres: writes and reads are
        refused at once, and nothing of them runs.
        """
        caller = await self.node.caller("own")
        await caller.run("WRITE a 1")
        transaction = await self.node.caller("own")
        await transaction.run("BEGIN")
        await transaction.run("WRITE b 1")
        for data_centre in reversed(_DATA_CENTRE_BY_MEMBER.values()):
            await self._order(data_centre)
        await until(lambda: self._is_refused(caller))
        codes = [
            (await caller.run_as(f"late-{number}", text)).code
            for number, text in enumerate(("WRITE a 2", "READ a"))
        ]
        self.assertEqual(["BUSY", "BUSY"], codes)
        log = self.node.log_lines()
        refused = {
            line["code"]
            for line in log
            if str(line.get("request", "")).startswith("late-")
        }
        self.assertEqual({Code.EVACUATED.name}, refused)
        ended = await transaction.run_as("late-commit", "COMMIT")
        self.assertEqual("ABORTED", ended.code)
        for member in _DATA_CENTRE_BY_MEMBER:
            late = [run for run in self._runs(member) if "late-" in run[0]]
            self.assertEqual([], late)
        self.assertEqual([], self.standins.orders)

    async def test_a_node_starts_during_an_evacuation(self) -> None:
        """Guards against a restart that forgets an order."""
        await self._order("dc-b")
        node = await self.site.add_node()
        await until(node.is_ready)
        await self._read(await node.caller("stated"), 20)
        self.assertEqual([], self._runs("g1-m2"))

    async def test_an_order_for_an_unknown_data_centre(self) -> None:
        await self._order("nowhere")
        line = next(
            item
            for item in self.node.log_lines()
            if item["kind"] == "evacuation-ordered"
        )
        self.assertFalse(line["is_known"])
        caller = await self.node.caller("own")
        self.assertEqual("", (await caller.run("WRITE a 1")).code)

    # Helpers -----------------------------------------------------------

    async def _order(self, data_centre: str) -> None:
        """Order an evacuation and wait until all nodes have it."""
        count = len(self._evacuation_lines(self.node))
        self.standins.store.put("op", f"evacuate/{data_centre}", {})
        for node in self.site.nodes:
            await until(
                lambda node=node: len(self._evacuation_lines(node)) > count
            )

    def _evacuation_lines(self, node: NodeProcess) -> list[dict]:
        return [
            line
            for line in node.log_lines()
            if line["kind"] == "evacuation-ordered"
        ]

    def _has_logged(self, kind: str) -> bool:
        return any(line["kind"] == kind for line in self.node.log_lines())

    def _runs(self, member: str) -> list:
        return self.standins.find(member).runs

    def _is_closed_to_work(self, member: str) -> bool:
        return not self.standins.find(member).is_primary

    async def _is_refused(self, caller: LineCaller) -> bool:
        return (await caller.run("WRITE a 1")).code == "BUSY"

    async def _read(self, caller: LineCaller, times: int) -> None:
        for _ in range(times):
            self.assertEqual("", (await caller.run("READ x")).code)

    async def _write(self, node: NodeProcess) -> None:
        """Write new items until cancelled; record the acknowledged ones."""
        caller = await node.caller("own")
        number = 0
        while True:
            number += 1
            item = f"{node.ports['callers']}-{number}"
            if (await caller.run(f"WRITE {item} 1")).code == "":
                self.acknowledged.add(item)
            await sleep(0.01)
