"""Tables, comparison, plots and the report, from example measures."""

from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from rich.console import Console
from typer.testing import CliRunner

from redwingpost.bench.compare import compare, render
from redwingpost.bench.measures import Counts, measure
from redwingpost.bench.oracle import Violation, find_violations
from redwingpost.bench.report import write_report
from redwingpost.bench.scenario import SCENARIOS
from redwingpost.bench.sites import SITES
from redwingpost.bench.sweep import plan, spread
from redwingpost.bench.tables import (
    make_detail_table,
    make_side_by_side,
    make_table,
)
from redwingpost.bench.tests.test_measures import make_run, attempt
from redwingpost.cli.bench import app

SCENARIO_NAMES = (
    "steady burst hot-organisation slow-target long-jobs overload "
    "primary-loss cut-primary split-data-centre store-outage "
    "lost-store-answer paused-holder key-withdrawal drain "
    "config-conflict proxy-death rolling-replace replica-lag"
).split()

MEASURE_NAMES = (
    "scenario site seed policy duration_s requests answered violations "
    "replica_read_share replica_read_share_tolerant failover_gap_s "
    "worst_organisation_ratio wrongful_refusals wrongful_refusal_share "
    "refusals_by_code latency_ms config_in_force_s "
    "withdrawal_in_force_s over_rate_grants double_runs false_not_run "
    "lost_acknowledged unfinished_on_stop cpu_s_per_1000_statements "
    "control_bytes_per_s_per_vm"
).split()


def measures(policy="redwingpost", violations=(), **counts):
    run = make_run([attempt("r1", 0.0)])
    found = find_violations(run) + list(violations)
    given = {"duration_s": 1.0, "reads": 4, "replica_reads": 3, **counts}
    site = SITES.get("yuelan")
    return measure("steady", site, 1, policy, run, found, Counts(**given))


class ContractTest(TestCase):
    def test_every_measure_is_there(self):
        self.assertEqual(set(MEASURE_NAMES) - set(measures()), set())

    def test_every_scenario_is_there(self):
        self.assertEqual(set(SCENARIOS.names()), set(SCENARIO_NAMES))


class PagesTest(TestCase):
    def test_report_shows_violations_and_failures(self):
        injected = Violation("at-most-once", "r1 is stored <twice>")
        runs = [measures(), measures("naive", [injected])]
        with TemporaryDirectory() as directory:
            pages = write_report(runs, ["steady: broke"], Path(directory))
            html = pages.html.read_text()
            markdown = pages.markdown.read_text()
        for text in ("at-most-once", "steady: broke", "0.750"):
            with self.subTest(text):
                self.assertIn(text, html)
                self.assertIn(text, markdown)
        self.assertIn("&lt;twice&gt;", html)

    def test_terminal_tables(self):
        injected = Violation("at-most-once", "r1 is stored twice")
        output = StringIO()
        console = Console(file=output, width=200)
        console.print(make_table([measures()], "title"))
        console.print(make_side_by_side([measures()], "title"))
        console.print(make_detail_table(measures("naive", [injected])))
        self.assertIn("0.750", output.getvalue())
        self.assertIn("r1 is stored twice", output.getvalue())

    def test_compare(self):
        before, after = measures(), measures(reads=10, replica_reads=9)
        lines = render(compare(before, after)).splitlines()
        (share,) = [x for x in lines if x.startswith("replica_read_share ")]
        self.assertEqual(share.split()[1:], ["0.75", "0.9", "+0.15"])

    def test_spread_shows_the_worst_seed(self):
        runs = [measures(), measures(reads=10, replica_reads=2)]
        cells = spread(runs)
        self.assertEqual(cells[:2], ("2", "0.200"))

    def test_plan(self):
        specs = list(plan(["a"], ["x", "y"], range(1, 3), ["naive"]))
        self.assertEqual(
            [(spec.site, spec.seed) for spec in specs],
            [("x", 1), ("x", 2), ("y", 1), ("y", 2)],
        )


class CommandLineTest(TestCase):
    def test_list(self):
        result = CliRunner().invoke(app, ["list"])
        self.assertEqual(result.exit_code, 0)
        self.assertIn("primary-loss", result.output)

    def test_unknown_names_are_refused(self):
        table = [
            ["run", "steadyy"],
            ["run", "steady", "--site", "lima"],
            ["run", "steady", "--policy", "clever"],
            ["sweep", "--scenarios", "steady,nothing"],
        ]
        for arguments in table:
            with self.subTest(arguments=arguments):
                result = CliRunner().invoke(app, arguments)
                self.assertEqual(result.exit_code, 2)
                self.assertIn("known:", result.output)
