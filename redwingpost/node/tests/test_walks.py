"""From a failed request's id to its cause, with logs and metrics only.

The steps are those of docs/OPERATIONS.md.
"""

from asyncio import create_task, gather, sleep
from typing import Any
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_site import NodeSite, configuration, until
from redwingpost.operator.usage import (
    UsageLine,
    count_increase,
    read_counts,
    summarise,
)


class WalkTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=2)

    async def test_refused_for_the_rate(self) -> None:
        """An organisation sends many times its rate; a caller complains.

        The walk must end at the organisation's own demand, and at who
        offered most to the group.
        """
        request = await self._be_refused_for_the_rate()

        # Step 1: the id.
        line = self._line_of("over-rate", request)
        # Step 2: what decided.
        self.assertEqual("diocese", line["organisation"])
        self.assertEqual(2.0, line["rate"])
        self.assertLess(line["tokens"], 1.0)
        self.assertGreater(line["demand_per_s"], line["rate"])
        self.assertEqual(2, line["version"])
        # Step 3: who offered how much to the group.
        loudest = (await self._usage())[0]
        self.assertEqual("diocese", loudest.organisation)
        self.assertGreater(loudest.refused_by_reason["over-rate"], 0)
        self.assertLess(loudest.granted, loudest.offered)

    async def test_in_doubt_through_a_change_of_primary(self) -> None:
        """The primary goes dark while it runs a write.

        The caller hears that nobody knows. The walk must end at the
        takeover that replaced the member that was asked.
        """
        request = await self._be_left_in_doubt()

        # Step 1: the id.
        line = self._line_of("write-unknown", request)
        # Step 2: the member that was asked and the term it led.
        self.assertEqual("g1-m1", line["member"])
        # Step 3: what happened to the group after that.
        group = line["group"]
        done = self._lines_of_group("takeover", group, "outcome", "done")
        self.assertIn(done["reason"], ("silent", "stalled"))
        later = [
            item
            for item in self._lines("primary-known")
            if item["group"] == group and item["term"] > line["term"]
        ]
        self.assertNotIn(line["member"], {item["member"] for item in later})
        self.assertNotEqual([], later)

    async def test_late_in_a_full_queue(self) -> None:
        """The members' slots are taken; statements wait for a connection.

        The caller's statement succeeds, late. The walk must end at the
        wait for a place at the member, not at the member's work.
        """
        request = await self._be_late()

        # Step 1: the id.
        line = self._line_of("statement-late", request)
        # Step 2: where the time went.
        self.assertGreater(line["waited_s"], line["seconds"] / 2.0)
        # Step 3: the places at that member.
        waits = [
            item
            for item in self._lines("waited-for-connection")
            if item["member"] == line["member"]
        ]
        self.assertTrue(
            any(item["in_use"] >= item["allowed"] for item in waits)
        )

    # Failures ----------------------------------------------------------

    async def _be_refused_for_the_rate(self) -> str:
        changed = configuration(2)
        changed["tenants"][1].update(ratePerS=2, burst=4)
        self.site.outside.configure(changed)
        node = self.site.nodes[0]
        caller = await node.caller("stated", "key-3")
        await until(lambda: self._is_in_force(2))
        told_by_request = {}
        for number in range(30):
            request = f"rate-{number}"
            told = await caller.run_as(request, "READ r")
            told_by_request[request] = told.code
        refused = [
            request
            for request, code in told_by_request.items()
            if code == "BUSY"
        ]
        self.assertNotEqual([], refused)
        return refused[-1]

    async def _be_left_in_doubt(self) -> str:
        primary = self.site.outside.find("g1-m1")
        node = self.site.nodes[0]
        calm = await node.caller("own")
        self.assertEqual("", (await calm.run("WRITE a 1")).code)
        caller = await node.caller("own")
        primary.lose_answers = 1000
        told = await caller.run_as("doubt-1", "WRITE b 1")
        self.assertEqual("INDOUBT", told.code)
        primary.is_unresponsive = True
        await until(
            lambda: self.site.outside.primary_of("g1") != "g1-m1",
            "another primary",
        )
        await until(
            lambda: any(
                item.get("outcome") == "done"
                for item in self._lines("takeover")
            ),
            "the end of the takeover",
        )
        return "doubt-1"

    async def _be_late(self) -> str:
        scarce = configuration(2)
        # A third of six places, less one for control, is one a node.
        scarce["services"][0]["maxConns"] = 4
        self.site.outside.configure(scarce)
        node = self.site.nodes[0]
        await until(lambda: self._is_in_force(2))
        callers = [await node.caller("own") for _ in range(6)]
        for number, caller in enumerate(callers):
            told = await caller.run(f"WRITE warm-{number} 1")
            self.assertEqual("", told.code)
        server = self.site.outside.server_by_member["g1-m1"]
        for _ in range(5):
            await server.slots.acquire()
        writes = [
            create_task(caller.run_as(f"late-{number}", f"WRITE l{number} 1"))
            for number, caller in enumerate(callers)
        ]
        await sleep(0.4)
        for _ in range(5):
            server.slots.release()
        told = await gather(*writes)
        self.assertEqual({""}, {item.code for item in told})
        waited = [
            item["request"]
            for item in self._lines("statement-late")
            if item["waited_s"] > item["ran_s"]
        ]
        self.assertNotEqual([], waited)
        return waited[0]

    # Logs and metrics --------------------------------------------------

    def _lines(self, kind: str) -> list[dict[str, Any]]:
        return [
            line
            for node in self.site.nodes
            for line in node.log_lines()
            if line["kind"] == kind
        ]

    def _line_of(self, kind: str, request: str) -> dict[str, Any]:
        found = [
            line for line in self._lines(kind) if line["request"] == request
        ]
        self.assertEqual(1, len(found), f"{kind} of {request}")
        return found[0]

    def _lines_of_group(
        self, kind: str, group: str, field: str, value: str
    ) -> dict[str, Any]:
        found = [
            line
            for line in self._lines(kind)
            if line["group"] == group and line[field] == value
        ]
        self.assertNotEqual([], found, f"{kind} of {group}")
        return found[0]

    def _is_in_force(self, version: int) -> bool:
        versions = [line["version"] for line in self._lines("rules-in-force")]
        return versions.count(version) == len(self.site.nodes)

    async def _usage(self) -> tuple[UsageLine, ...]:
        pages = [await node.metrics() for node in self.site.nodes]
        return summarise(
            count_increase({}, read_counts(page)) for page in pages
        )
