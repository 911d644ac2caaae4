"""Tests that the documentation matches the code: codes, promises, commands.

A page that names a removed test, module or command misleads an operator
during a failure.
"""

from importlib import import_module
from pathlib import Path
from re import DOTALL, findall
from unittest import TestCase

from redwingpost.bench import scenarios
from redwingpost.bench.scenario import SCENARIOS
from redwingpost.core import render_code_table
from redwingpost.node.load_metrics import LoadCollector
from redwingpost.node.metrics import NodeMetrics
from redwingpost.ports.clock import VirtualClock

ROOT = Path(__file__).resolve().parents[3]
DOCS = ROOT / "docs"


def promise_rows():
    """Return the cells of each row of the promises' table."""
    lines = (DOCS / "PROMISES.md").read_text().splitlines()
    rows = [line for line in lines if line.startswith("| ")]
    return [
        [cell.strip() for cell in row.strip("|").split("|")]
        for row in rows[2:]
    ]


def quoted(cell):
    """Return the names in backticks of a cell."""
    return findall(r"`([^`]+)`", cell)


class ResultCodesTest(TestCase):
    def test_page_contains_the_registered_codes(self):
        page = (DOCS / "RESULT-CODES.md").read_text()
        self.assertIn(render_code_table(), page)


class PromisesTest(TestCase):
    def test_fifteen_promises(self):
        self.assertEqual(len(promise_rows()), 15)

    def test_code_exists(self):
        for promise, code, _, _ in promise_rows():
            for name in quoted(code):
                with self.subTest(promise=promise, name=name):
                    path = ROOT / "redwingpost" / name
                    self.assertTrue(path.exists())

    def test_tests_exist(self):
        for promise, _, tests, _ in promise_rows():
            for name in quoted(tests):
                with self.subTest(promise=promise, name=name):
                    module, case, test = name.rsplit(".", 2)
                    found = import_module(f"redwingpost.{module}")
                    self.assertTrue(hasattr(getattr(found, case), test))

    def test_scenarios_exist(self):
        self.assertTrue(scenarios.__all__)
        for promise, _, _, scenario in promise_rows():
            for name in quoted(scenario):
                with self.subTest(promise=promise, name=name):
                    self.assertIn(name, SCENARIOS.names())


class WhenItIsFullTest(TestCase):
    """The walk from a refusal names lines and metrics that nodes write."""

    def setUp(self) -> None:
        page = (DOCS / "operating" / "when-it-is-full.md").read_text()
        self.walk, _, _ = page.partition("\n## The MySQL proxies\n")

    def test_metrics_exist(self):
        metrics = NodeMetrics()
        metrics.collect_from(LoadCollector({}, VirtualClock()))
        rendered = metrics.render().decode()
        names = set(findall(r"`(redwing_\w+)`", self.walk))
        self.assertTrue(names)
        for name in names:
            with self.subTest(name):
                self.assertIn(f"# TYPE {name} ", rendered)

    def test_kinds_of_lines_and_details_exist(self):
        """Guards against a step that searches for what is never written."""
        sources = "\n".join(
            path.read_text()
            for path in (ROOT / "redwingpost").rglob("*.py")
            if "tests" not in path.parts
        )
        kinds = findall(r"`([a-z]+-[a-z-]+)`", self.walk)
        details = findall(r"`([a-z-]+ [a-z -]+)`", self.walk)
        names = {
            name
            for name in (*kinds, *details)
            if not name.startswith(("redwing-", "redwingctl "))
        }
        self.assertTrue(names)
        unknown = {name for name in names if f'"{name}"' not in sources}
        self.assertEqual(set(), unknown)


class LinksTest(TestCase):
    def test_pages_link_to_pages_that_exist(self):
        pages = [ROOT / "README.md", *DOCS.rglob("*.md")]
        for page in pages:
            for target in findall(r"\]\(([^)#:]+)\)", page.read_text()):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())


class MakeTest(TestCase):
    def test_readme_names_targets_that_exist(self):
        makefile = (ROOT / "Makefile").read_text()
        blocks = findall(
            r"```sh\n(.*?)```", (ROOT / "README.md").read_text(), DOTALL
        )
        targets = findall(r"^make (\w+)", "\n".join(blocks), 8)
        self.assertEqual(targets, ["demo", "test"])
        for target in targets:
            with self.subTest(target=target):
                self.assertIn(f"\n{target}: ", makefile)
