"""Node processes beside entries that no member has written."""

from asyncio import sleep
from itertools import chain, count
from os import environ
from random import Random
from signal import SIGKILL
from typing import Any
from unittest import IsolatedAsyncioTestCase

from redwingpost.node.tests.line_site import (
    NodeProcess,
    NodeSite,
    configuration,
    until,
)
from redwingpost.node.tests.odd_rows import (
    OddRow,
    odd_configurations,
    odd_duties,
    odd_entries_of,
    odd_members,
    odd_orders,
    odd_rosters,
    odd_vms,
)

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

    async def test_an_entry_at_an_address_where_nobody_listens(self) -> None:
        """Guards against a lost primary that is never replaced."""
        self._put("odd", {**_ENTRY, "address": "127.77.77.77:1"})
        await sleep(_ROSTERS_S)
        self.standins.store.remove("servers", "odd")
        await sleep(_ROSTERS_S)
        await self._replace_primary()

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


#: Rounds with rows of all tables, and the seed of their choice; the suite
#: runs one.
_ROUNDS = int(environ.get("REDWING_ODD_ROUNDS", "1"))
_SEED = int(environ.get("REDWING_ODD_SEED", "1"))

#: Seconds for nodes to read what has been written.
_READ_S = 0.4


class OddRowsTest(IsolatedAsyncioTestCase):
    """Guards against a row that costs more than itself."""

    async def asyncSetUp(self) -> None:
        self.site = NodeSite()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start(nodes=1)
        self.site.settings = {"contracts": ["places"]}
        await until((await self.site.add_node()).is_ready)
        self.standins = self.site.standins
        self.store = self.standins.store
        self.random = Random(_SEED)
        self.versions = count(10)
        self.written = self.put = 0

    async def test_rows_of_all_tables(self) -> None:
        for number in range(_ROUNDS):
            await self._run_round()
            if _ROUNDS > 1:
                print(
                    f"round {number}: {self.put} rows, {self.written} writes"
                )
        for node in self.site.nodes:
            await self._check_process(node)

    async def _run_round(self) -> None:
        await sleep(_ROSTERS_S)
        await self._put_lists()
        await self._write_everywhere("beside rows that come")
        self._put_configurations()
        await sleep(_READ_S)
        await self._write_everywhere("with another configuration")
        self._put_singles()
        replaced = await self._replace_primary()
        await self._write_everywhere("at another primary")
        for node in self.site.nodes:
            await node.end(SIGKILL)
        self._put_singles()
        for node in self.site.nodes:
            await self.site.start_again(node)
        for node in self.site.nodes:
            await until(node.is_ready, "a start beside odd rows")
        await self._write_everywhere("after starts")
        await self._put_lists()
        await self._write_everywhere("beside rows that change")
        await self._bring_back(replaced)

    async def _put_lists(self) -> None:
        """Put rows of members and VMs, and remove some of them."""
        for row in chain(odd_members(), odd_vms()):
            self._put(row)
            if self.random.random() < 0.3:
                self.store.remove(row.table, row.key)
        for text in self._sample(odd_entries_of(self._entry("g1-m3")), 5):
            self._put(OddRow("servers", "g1-m3", text))
            await sleep(0.02)
        await sleep(_READ_S)
        self.standins.register("g1-m3")

    def _put_configurations(self) -> None:
        for row in self._sample(list(odd_configurations(10)), 20):
            version = next(self.versions)
            self._put(row._replace(text=_with_version(row.text, version)))
        self.standins.configure(configuration(next(self.versions)))

    def _put_singles(self) -> None:
        for rows in (odd_rosters(), odd_orders(), odd_duties()):
            for row in self._sample(list(rows), 5):
                self._put(row)

    def _sample(self, items: list, number: int) -> list:
        return self.random.sample(items, number)

    def _entry(self, member: str) -> dict[str, Any]:
        return dict(self.standins._entry_by_member[member])

    def _put(self, row: OddRow) -> None:
        row.put(self.store)
        self.put += 1

    async def _write_everywhere(self, when: str) -> None:
        for node in self.site.nodes:
            self.assertIsNone(node.process.returncode, when)
            caller = await node.caller("own")

            async def is_written() -> bool:
                return (await caller.run(f"WRITE a {when}")).code == ""

            await until(is_written, f"a write {when}")
            self.written += 1
            caller.close()

    async def _replace_primary(self) -> str:
        first = self.standins.primary_of("g1")
        await self.standins.end_process(first)
        await until(
            lambda: self.standins.primary_of("g1") != first,
            "the promotion of another member",
        )
        return first

    async def _bring_back(self, member: str) -> None:
        await self.standins.start_process(member)
        self.standins.report(member)
        await sleep(_READ_S)

    async def _check_process(self, node: NodeProcess) -> None:
        """Check that the process runs, and that nothing failed in it."""
        self.assertIsNone(node.process.returncode)
        await node.end(SIGKILL)
        self.assertEqual(b"", await node.process.stderr.read())
        failed = [
            line for line in node.log_lines() if line["kind"] == "step-failed"
        ]
        self.assertEqual([], failed)


def _with_version(text: str, version: int) -> str:
    """Return a configuration's text with another version."""
    head, _, rest = text.partition(",")
    return f'{{"configVersion": {version},{rest}' if rest else head
