"""Tests of reading the list of known failures."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from redwingpost.testing import read_known_plays, read_known_red

_LIST = """# comment
play | a command --seed 1 | what was seen | issue 1
package.Test.test_fault | cause | issue 2
"""


class KnownRedTest(TestCase):
    def test_what_the_list_holds(self) -> None:
        """Guards against known failures that are neither run nor printed."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "list"
            path.write_text(_LIST)
            cases = (
                ("tests", read_known_red, {"package.Test.test_fault"}),
                ("plays", read_known_plays, {_LIST.splitlines()[1]}),
            )
            for name, read, expected in cases:
                with self.subTest(name):
                    self.assertEqual(expected, set(read(path)))

    def test_no_list(self) -> None:
        missing = Path("/nowhere/list")
        self.assertEqual(frozenset(), read_known_red(missing))
        self.assertEqual((), read_known_plays(missing))
