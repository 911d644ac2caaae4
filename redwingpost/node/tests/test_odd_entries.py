"""Node processes beside entries that no member has written."""

from asyncio import sleep
from typing import Any
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_site import NodeSite, until

#: Seconds after which the rosters hold what the registry lists.
_ROSTERS_S = 2.5

#: Well-formed but for its address, which is added.
_ENTRY = {
    "service": "g1",
    "zone": "dc-a",
    "configVersion": "v1",
    "slots": 5,
    "state": "ready",
    "coldLeftMs": 0,
    "dbRole": "replica",
    "seq": 1,
    "born": 1,
}


class OddMemberTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=1)
        self.node = self.site.nodes[0]
        self.standins = self.site.standins

    async def test_an_entry_with_an_address_of_no_host(self) -> None:
        """Guards against a lost primary that is never replaced."""
        addresses = ("0.0.0.0:1", "224.0.0.1:80", "255.255.255.255:80")
        for number, address in enumerate(addresses):
            self._put(f"odd-{number}", {**_ENTRY, "address": address})
        await sleep(_ROSTERS_S)
        page = await self.node.metrics()
        keys = self._keys("member-unreadable")
        await self._replace_primary()
        expected = [f"odd-{number}" for number in range(len(addresses))]
        self.assertEqual(expected, keys)
        self.assertIn('redwing_unreadable_total{kind="member"} 3.0', page)

    def _put(self, member: str, entry: Any) -> None:
        self.standins.store.put("servers", member, entry)

    def _keys(self, kind: str) -> list[str]:
        lines = self.node.log_lines()
        return [line["key"] for line in lines if line["kind"] == kind]

    async def _replace_primary(self) -> None:
        """End the primary; check that another member serves in its place."""
        first = self.standins.primary_of("g1")
        await self.standins.end_process(first)
        await until(
            lambda: self.standins.primary_of("g1") != first,
            "the promotion of another member",
        )
        caller = await self.node.caller("own")
        self.addCleanup(caller.close)

        async def is_written() -> bool:
            return (await caller.run("WRITE a 1")).code == ""

        await until(is_written, "a write at the new primary")
