"""Tests of ``redwingctl usage`` against a metrics page on a real socket."""

from asyncio import to_thread
from functools import partial
from json import loads
from unittest import IsolatedAsyncioTestCase

from typer.testing import CliRunner

from redwingpost.adapters.http_pages import Page, PageServer
from redwingpost.cli.ctl import app
from redwingpost.cli.ctl_common import EXIT_REFUSED
from redwingpost.node.metrics import GRANTED, NodeMetrics

_IP = "127.0.76.2"


def _same(page: Page) -> Page:
    return page


class CtlUsageTest(IsolatedAsyncioTestCase):
    async def test_usage_of_a_node(self) -> None:
        """Guards against an empty table of a page that isn't a node's."""
        metrics = NodeMetrics()
        metrics.note_operation("parish", "g", GRANTED)
        metrics.note_operation("parish", "g", "over-rate")
        cases = (
            ("a node", Page(200, metrics.render()), 0),
            ("no metrics page", Page(404), EXIT_REFUSED),
        )
        for name, page, status in cases:
            with self.subTest(name):
                server = PageServer(_IP, 0, {"/metrics": partial(_same, page)})
                await server.start()
                self.addAsyncCleanup(server.stop)
                node = f"{_IP}:{server.port}"
                arguments = ["--json", "usage", "--seconds", "0"]
                arguments += ["--node", node]
                result = await to_thread(CliRunner().invoke, app, arguments)
                self.assertEqual(status, result.exit_code, result.output)
                if status:
                    continue
                line = loads(result.stdout)["lines"][0]
                self.assertEqual((2, 1), (line["offered"], line["granted"]))
