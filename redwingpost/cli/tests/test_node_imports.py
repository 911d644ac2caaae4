"""Tests of the modules that the node's program loads at start."""

from subprocess import run
from sys import executable
from unittest import TestCase

_PROGRAM = "import sys, redwingpost.cli.node_program; print(*sys.modules)"

#: Modules that a node doesn't use; each costs start-up time or memory.
_UNWANTED = (
    "aiohttp",
    "asyncmy",
    "cryptography",
    "matplotlib",
    "mysql_mimic",
    "redwingpost.admission.controller",
    "redwingpost.configuration.acceptance",
    "redwingpost.membership.beats",
    "redwingpost.proxy",
    "redwingpost.rates.ledger",
    "redwingpost.retries.table",
    "redwingpost.scheduling.fair",
    "redwingpost.settings",
    "redwingpost.wire.schema",
    "rich",
    "sqlglot",
    "typer",
)


class NodeImportsTest(TestCase):
    def test_the_node_loads_only_what_it_uses(self) -> None:
        """All VMs lose power and restart.

        Callers are refused until the programs have loaded; each 0.1 s is
        twenty operations that no VM serves.
        """
        done = run(
            [executable, "-c", _PROGRAM],
            capture_output=True,
            text=True,
            check=True,
        )
        loaded = set(done.stdout.split())
        self.assertIn("redwingpost.node.service", loaded)
        for name in _UNWANTED:
            with self.subTest(name):
                self.assertNotIn(name, loaded)
