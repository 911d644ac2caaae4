"""Finds the cause of a failed request by its id, from logs and metrics only.

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
        """An organisation sends many times its rate; a caller is refused.

        The steps must lead to the organisation's own demand, and to the
        organisation that sent most operations to the group.
        """
        request = await self._exceed_rate()

        # Step 1: the id.
        line = self._line_of("over-rate", request)
        # Step 2: the inputs of the decision.
        self.assertEqual("diocese", line["organisation"])
        self.assertEqual(2.0, line["rate"])
        self.assertLess(line["tokens"], 1.0)
        self.assertGreater(line["demand_per_s"], line["rate"])
        self.assertEqual(2, line["version"])
        # Step 3: the operations that each organisation sent to the group.
        largest = (await self._usage())[0]
        self.assertEqual("diocese", largest.organisation)
        self.assertGreater(largest.refused_by_reason["over-rate"], 0)
        self.assertLess(largest.granted, largest.offered)

    async def test_unknown_outcome_in_a_takeover(self) -> None:
        """The primary stops answering while it runs a write.

        The caller gets the code for an unknown outcome. The steps must lead
        to the takeover that replaced the member which got the write.
        """
        request = await self._get_unknown_outcome()

        # Step 1: the id.
        line = self._line_of("write-unknown", request)
        # Step 2: the member that got the write, and its term.
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

    async def test_late_answer_of_a_full_member(self) -> None:
        """The member's slots are taken; statements wait for a connection.

        The caller's statement succeeds, but late. The steps must lead to
        the wait for a connection to the member, not to the member's work.
        """
        request = await self._get_late_answer()

        # Step 1: the id.
        line = self._line_of("statement-late", request)
        # Step 2: most of the time was spent waiting.
        self.assertGreater(line["waited_s"], line["seconds"] / 2.0)
        # Step 3: all connections to that member were in use.
        waits = [
            item
            for item in self._lines("waited-for-connection")
            if item["member"] == line["member"]
        ]
        self.assertTrue(
            any(item["in_use"] >= item["allowed"] for item in waits)
        )

    # Failures ----------------------------------------------------------

    async def _exceed_rate(self) -> str:
        changed = configuration(2)
        changed["tenants"][1].update(ratePerS=2, burst=4)
        self.site.standins.configure(changed)
        node = self.site.nodes[0]
        caller = await node.caller("stated", "key-3")
        await until(lambda: self._is_in_force(2))
        code_by_request = {}
        for number in range(30):
            request = f"rate-{number}"
            answer = await caller.run_as(request, "READ r")
            code_by_request[request] = answer.code
        refused = [
            request
            for request, code in code_by_request.items()
            if code == "BUSY"
        ]
        self.assertNotEqual([], refused)
        return refused[-1]

    async def _get_unknown_outcome(self) -> str:
        primary = self.site.standins.find("g1-m1")
        node = self.site.nodes[0]
        first_caller = await node.caller("own")
        self.assertEqual("", (await first_caller.run("WRITE a 1")).code)
        caller = await node.caller("own")
        primary.lose_answers = 1000
        answer = await caller.run_as("doubt-1", "WRITE b 1")
        self.assertEqual("INDOUBT", answer.code)
        primary.is_unresponsive = True
        await until(
            lambda: self.site.standins.primary_of("g1") != "g1-m1",
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

    async def _get_late_answer(self) -> str:
        scarce = configuration(2)
        # A third of six connections, less one for control, is one per node.
        scarce["services"][0]["maxConns"] = 4
        self.site.standins.configure(scarce)
        node = self.site.nodes[0]
        await until(lambda: self._is_in_force(2))
        callers = [await node.caller("own") for _ in range(6)]
        for number, caller in enumerate(callers):
            answer = await caller.run(f"WRITE warm-{number} 1")
            self.assertEqual("", answer.code)
        server = self.site.standins.server_by_member["g1-m1"]
        for _ in range(5):
            await server.slots.acquire()
        writes = [
            create_task(caller.run_as(f"late-{number}", f"WRITE l{number} 1"))
            for number, caller in enumerate(callers)
        ]
        await sleep(0.4)
        for _ in range(5):
            server.slots.release()
        answers = await gather(*writes)
        self.assertEqual({""}, {item.code for item in answers})
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
