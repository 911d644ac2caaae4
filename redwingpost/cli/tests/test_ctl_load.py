"""Tests of ``redwingctl load`` against metrics pages on real sockets."""

from asyncio import to_thread
from collections.abc import Callable
from json import loads
from types import SimpleNamespace
from typing import Any
from unittest import IsolatedAsyncioTestCase

from typer.testing import CliRunner

from redwingpost.adapters.http_pages import Page, PageServer
from redwingpost.cli.ctl import app
from redwingpost.cli.ctl_common import EXIT_REFUSED
from redwingpost.node.load_metrics import LoadCollector
from redwingpost.node.member_admission import MemberLoad, RefusalKey
from redwingpost.node.metrics import NodeMetrics
from redwingpost.ports.clock import VirtualClock

_IP = "127.0.76.1"

#: Nothing listens there: port 1 is reserved.
_DEAF = f"{_IP}:1"


class FakeNode:
    """A node's metrics; statements are refused before each reading."""

    def __init__(self, load: MemberLoad) -> None:
        client = SimpleNamespace(
            load=lambda now: load,
            admission=SimpleNamespace(
                waiting_by_organisation=lambda: {"parish": load.waiting}
            ),
        )
        self._group = SimpleNamespace(
            member_by_name={"m1": client}, refusals={}
        )
        self._metrics = NodeMetrics()
        self._metrics.collect_from(
            LoadCollector({"g": self._group}, VirtualClock())
        )
        self.readings = 0

    def page(self) -> Page:
        """Refuse a statement, place another and return the page."""
        self.readings += 1
        key = RefusalKey("m1", "parish", "over-capacity")
        self._group.refusals[key] = self.readings
        self._metrics.note_placement("g", "spread")
        self._metrics.note_cold_refused("g", "m1")
        self._metrics.note_withheld({"parish": 2.5})
        return Page(200, self._metrics.render())

    def page_once(self) -> Page:
        """Return the page at the first reading only."""
        return self.page() if self.readings == 0 else Page(503)


class CtlLoadTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.first = FakeNode(MemberLoad(3, 5, 4, 6, 7, 0.1))
        self.second = FakeNode(MemberLoad(1, 2, 4, 2, 7, 0.1))

    async def serve(self, page: Callable[[], Page]) -> str:
        """Serve a metrics page and return its address."""
        server = PageServer(_IP, 0, {"/metrics": page})
        await server.start()
        self.addAsyncCleanup(server.stop)
        return f"{_IP}:{server.port}"

    async def run_load(self, *nodes: str, options=("--json",)) -> Any:
        """Run the command on nodes."""
        arguments = [*options, "load", "--seconds", "0.01"]
        for node in nodes:
            arguments += ["--node", node]
        return await to_thread(CliRunner().invoke, app, arguments)

    async def test_sums_over_vms_as_json(self) -> None:
        """Guards against metrics that the nodes name otherwise.

        The pages are those that a node renders. Two readings are made of
        each, and only what is counted between them is shown.
        """
        nodes = [await self.serve(n.page) for n in (self.first, self.second)]
        result = await self.run_load(*nodes, nodes[0])
        self.assertEqual(0, result.exit_code, result.output)
        shown = loads(result.stdout)
        refused = {"over-capacity": 2}
        self.assertEqual(
            {
                "seconds": 0.01,
                "nodes": nodes,
                "unread": {},
                "members": [
                    {
                        "group": "g",
                        "member": "m1",
                        "vms": 2,
                        "use": {
                            "running": 4,
                            "waiting": 7,
                            "limit": 8,
                            "connections_open": 8,
                            "connections_allowed": 14,
                        },
                        "refused_by_reason": refused,
                        "cold_refused": 2,
                    }
                ],
                "organisations": [
                    {
                        "group": "g",
                        "organisation": "parish",
                        "waiting": 7,
                        "refused_by_reason": refused,
                    }
                ],
                "placements": [
                    {"group": "g", "statements_by_choice": {"spread": 2}}
                ],
                "withheld_by_organisation": {"parish": 2.5},
            },
            shown,
        )

    async def test_tables(self) -> None:
        """Guards against tables that lack what the JSON has.

        Words were cut off in a terminal of 80 columns.
        """
        node = await self.serve(self.first.page)
        result = await self.run_load(node, _DEAF, options=())
        self.assertEqual(0, result.exit_code, result.output)
        for text in (
            "3 of 4",
            "6 of 7",
            "over-capacity 1",
            "parish",
            "spread 1",
            "2.5",
            "1 VMs read",
            f"not read, left out: {_DEAF}",
        ):
            with self.subTest(text):
                self.assertIn(text, result.stdout)

    async def test_a_vm_that_cannot_be_read_is_left_out(self) -> None:
        """Guards against no answer at all while one VM of many is down."""
        node = await self.serve(self.first.page)
        cases = (
            ("not listening", _DEAF),
            ("no such page", await self.serve(lambda: Page(404))),
            ("no metrics", await self.serve(lambda: Page(200, b"<html>"))),
            ("not text", await self.serve(lambda: Page(200, b"\xff"))),
            ("lost meanwhile", await self.serve(self.second.page_once)),
        )
        for name, lost in cases:
            with self.subTest(name):
                result = await self.run_load(node, lost)
                self.assertEqual(0, result.exit_code, result.output)
                shown = loads(result.stdout)
                self.assertEqual([node], shown["nodes"])
                self.assertEqual([lost], list(shown["unread"]))
                self.assertEqual(3, shown["members"][0]["use"]["running"])

    async def test_fails_if_no_vm_can_be_read(self) -> None:
        """Guards against an empty table that looks like an idle fleet."""
        lost = await self.serve(self.second.page_once)
        for nodes in ((_DEAF,), (_DEAF, lost)):
            with self.subTest(nodes=nodes):
                result = await self.run_load(*nodes)
                self.assertEqual(EXIT_REFUSED, result.exit_code)
                for node in nodes:
                    self.assertIn(node, result.output)

    async def test_a_wrong_address(self) -> None:
        result = await self.run_load("vm-1")
        self.assertEqual(2, result.exit_code)
