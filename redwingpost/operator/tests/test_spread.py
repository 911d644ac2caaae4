"""Tests of how late a configuration was in force, from log lines."""

from json import dumps, loads
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from typer.testing import CliRunner

from redwingpost.cli.ctl import app
from redwingpost.operator.spread import Lag, find_lags


def _line(at: float, kind: str, **fields) -> str:
    return dumps({"at": at, "kind": kind, **fields})


def _rules(at: float, version: int) -> str:
    return _line(at, "rules-in-force", version=version)


class SpreadTest(TestCase):
    def test_which_vms_were_late(self) -> None:
        lost = _line(11.0, "store-lost", table="op")
        cases = (
            ("on time", [_rules(10.0, 5)], None),
            (
                "late",
                [lost, _rules(13.0, 5)],
                Lag(3.0, 5, "b", 10.0, "store-lost op", False),
            ),
            (
                "with a later version",
                [lost, _rules(12.0, 8)],
                Lag(2.0, 5, "b", 10.0, "store-lost op", False),
            ),
            (
                "never",
                [lost, _line(16.0, "statement-late")],
                Lag(6.0, 5, "b", 10.0, "store-lost op", True),
            ),
            (
                "started meanwhile",
                [_line(14.0, "started"), _rules(15.5, 5)],
                Lag(1.5, 5, "b", 10.0, "started", False),
            ),
        )
        for name, lines, expected in cases:
            with self.subTest(name):
                log = [("a", _rules(10.0, 5))]
                log.extend(("b", line) for line in lines)
                lags = find_lags(log, 1.0)
                late = [lag for lag in lags if lag.version == 5]
                self.assertEqual([expected] if expected else [], late)

    def test_the_command_reads_files_of_one_vm_and_of_many(self) -> None:
        with TemporaryDirectory() as folder:
            one = Path(folder) / "vm-1.log"
            one.write_text(_rules(1.0, 2) + "\n")
            many = Path(folder) / "all.log"
            many.write_text(f"3.5 vm-2 {_rules(3.5, 2)}\nno object\n")
            command = ["--json", "spread", str(one), str(many)]
            result = CliRunner().invoke(app, command)
        (lag,) = loads(result.stdout)["lags"]
        self.assertEqual(("vm-2", 2.5), (lag["vm"], lag["seconds"]))
