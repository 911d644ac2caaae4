"""Tests of the causes of refusals, counted from log lines."""

from json import dumps, loads
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from typer.testing import CliRunner

from redwingpost.cli.ctl import app
from redwingpost.cli.ctl_common import EXIT_REFUSED

from redwingpost.operator.refusals import Cause, count_causes, find_cause


class CauseTest(TestCase):
    def test_which_lines_count_and_why(self) -> None:
        rate = {"kind": "over-rate", "rate": 10.0, "part": 1.0}
        late = {"kind": "statement-late", "tries": 1}
        cases = (
            (
                "above its rate",
                {**rate, "demand_per_s": 20.0},
                Cause("over-rate", "above the rate, whole fleet"),
            ),
            (
                "below its rate, behind a partition",
                {**rate, "demand_per_s": 5.0, "part": 0.4},
                Cause("over-rate", "below the rate, part of the fleet"),
            ),
            (
                "waited for a connection",
                {**late, "waited_s": 0.3, "ran_s": 0.1},
                Cause("late", "waited"),
            ),
            (
                "a slow member",
                {**late, "waited_s": 0.0, "ran_s": 0.3},
                Cause("late", "ran long"),
            ),
            (
                "tried twice",
                {**late, "tries": 2},
                Cause("late", "more than one try"),
            ),
            (
                "no primary",
                {"kind": "statement-refused", "code": "x", "detail": ""},
                Cause("x", ""),
            ),
            (
                "just started",
                {"kind": "session-refused", "code": "starting"},
                Cause("starting", "no session"),
            ),
            (
                "a member refused it",
                {
                    "kind": "statement-refused",
                    "code": "LAGGING",
                    "detail": "m1",
                    "member": "m1",
                },
                Cause("LAGGING", "a member's word"),
            ),
            ("another kind", {"kind": "started"}, None),
        )
        for name, fields, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, find_cause(fields))


class CommandTest(TestCase):
    def test_the_command_reads_logs(self) -> None:
        line = {"kind": "session-refused", "code": "starting", "at": 4.5}
        with TemporaryDirectory() as folder:
            log = Path(folder) / "all.log"
            log.write_text(dumps(line) + "\n")
            shown = CliRunner().invoke(app, ["--json", "refusals", str(log)])
            gone = CliRunner().invoke(app, ["refusals", f"{log}.gone"])
        self.assertEqual(0, shown.exit_code, shown.output)
        (cause,) = loads(shown.output)["causes"]
        self.assertEqual(("starting", 1), (cause["code"], cause["count"]))
        self.assertEqual(EXIT_REFUSED, gone.exit_code)


class CountTest(TestCase):
    def test_causes_by_span(self) -> None:
        """Lines of several VMs, some prefixed, some of other programs."""
        line = {"kind": "session-refused", "code": "starting"}
        lines = [
            dumps({**line, "at": 4.5}),
            "5.9 vm-2 " + dumps({**line, "at": 5.9}),
            dumps({**line, "at": 6.0, "left_out": 3}),
            dumps({"kind": "statement-refused", "code": "c", "at": 1.0}),
            "kernel: nothing to do with it {",
        ]
        first, second = count_causes(lines, span_s=2.0)
        self.assertEqual(Cause("starting", "no session"), first.cause)
        self.assertEqual({4.0: 2, 6.0: 4}, first.count_by_span)
        self.assertEqual(6, first.count)
        self.assertEqual(1, second.count)
