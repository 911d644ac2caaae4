"""The page of promises and failures must refer to existing tests."""

from pathlib import Path
from re import MULTILINE, findall
from unittest import TestCase, defaultTestLoader

import redwingpost

PAGE = Path(redwingpost.__path__[0]).parent / "docs" / "PARTITIONS.md"


class PartitionsPageTest(TestCase):
    def test_every_test_it_names_exists(self):
        # A test was renamed or removed, and the page still cites it as
        # the proof of a promise.
        names = findall(r"^\d+\. `([\w.]+)`$", PAGE.read_text(), MULTILINE)
        self.assertGreater(len(names), 20)
        for name in names:
            with self.subTest(name=name):
                loader = type(defaultTestLoader)()
                loader.loadTestsFromName(f"redwingpost.{name}")
                self.assertEqual(loader.errors, [])

    def test_every_cell_names_a_test(self):
        rows = [
            line
            for line in PAGE.read_text().splitlines()
            if line.startswith("| ") and "promise" not in line
        ]
        for row in rows:
            if set(row) <= set("| -"):
                continue
            with self.subTest(row=row):
                self.assertRegex(row, r"\| \d+(, \d+)* \|$")
