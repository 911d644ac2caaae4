"""Measures computed from small histories."""

from unittest import TestCase

from redwingpost.bench.history import (
    Attempt,
    AttemptResult,
    Contents,
    Grant,
    Operation,
    Run,
)
from redwingpost.bench.measures import Counts, failover_gap, measure
from redwingpost.bench.oracle import find_violations
from redwingpost.bench.service import (
    OrganisationService,
    fair_shares,
    measure_by_organisation,
    request_outcomes,
    worst_fair_share_ratio,
)
from redwingpost.bench.sites import SITES
from redwingpost.core import Code

ANSWERED = 0
OVER_RATE = Code.OVER_RATE.number
UNKNOWN = Code.OUTCOME_UNKNOWN.number


def attempt(request, at, code=ANSWERED, operation=Operation.READ_OWN, **more):
    return Attempt(
        request=request,
        number=1,
        organisation="a",
        credential="current",
        session="s",
        group="g",
        proxy="vm-1",
        operation=operation,
        kind="lesson",
        document="",
        revision=0,
        max_staleness_ms=0,
        due_at=at,
        sent_at=at,
        received_at=at + 0.010,
        verdict=AttemptResult.REFUSED if code else AttemptResult.ANSWERED,
        code=code,
    )._replace(**more)


def make_run(attempts, rate=10.0, burst=5.0):
    grant = Grant(rate, burst, frozenset({"g"}))
    return Run(tuple(attempts), {"g": Contents((), ())}, {"a": grant}, {})


class ServiceTest(TestCase):
    def test_wrongful_refusals(self):
        within_rate = [attempt(f"r{n}", n / 10.0) for n in range(20)]
        above_rate = [attempt(f"r{n}", 0.0, OVER_RATE) for n in range(40)]
        table = [
            ("all served", within_rate, 0),
            (
                "one refused within the rate",
                within_rate[:-1] + [attempt("x", 1.9, OVER_RATE)],
                1,
            ),
            (
                "unknown is not refused",
                within_rate[:-1] + [attempt("x", 1.9, UNKNOWN)],
                0,
            ),
            ("above the rate, burst not served", above_rate, 5),
            (
                "above the rate, burst served",
                above_rate[:35] + [attempt(f"y{n}", 0.0) for n in range(5)],
                0,
            ),
        ]
        for name, attempts, expected in table:
            with self.subTest(name):
                run = make_run(attempts)
                services = measure_by_organisation(
                    request_outcomes(run.attempts),
                    run.grants_by_organisation,
                    {},
                )
                self.assertEqual(services["a"].wrongful, expected)

    def test_weights_by_kind(self):
        attempts = [
            attempt("r1", 0.0),
            attempt("r2", 0.1, OVER_RATE, kind="order"),
        ]
        run = make_run(attempts)
        services = measure_by_organisation(
            request_outcomes(run.attempts),
            run.grants_by_organisation,
            {"order": 3.0},
        )
        self.assertEqual(services["a"].ratio, 0.25)

    def test_a_retry_makes_one_request(self):
        attempts = (
            attempt("r1", 0.0, UNKNOWN),
            attempt("r1", 0.0, number=2),
        )
        (outcome,) = request_outcomes(attempts)
        self.assertTrue(outcome.answered)


class FairShareTest(TestCase):
    def test_table(self):
        table = [
            ({"a": 5.0, "b": 5.0}, {"a": 1.0, "b": 1.0}, 20.0, [5.0, 5.0]),
            ({"a": 9.0, "b": 9.0}, {"a": 1.0, "b": 2.0}, 9.0, [3.0, 6.0]),
            ({"a": 9.0, "b": 1.0}, {"a": 1.0, "b": 2.0}, 9.0, [8.0, 1.0]),
        ]
        for demand, weight, capacity, expected in table:
            with self.subTest(demand=demand, weight=weight):
                shares = fair_shares(demand, weight, capacity)
                self.assertEqual([shares["a"], shares["b"]], expected)

    def test_worst(self):
        def served(name, entitled, answered):
            return OrganisationService(
                name, entitled, entitled, answered, 0, 1.0, 1.0
            )

        services = {"a": served("a", 10, 10), "b": served("b", 90, 40)}
        self.assertEqual(worst_fair_share_ratio(services, {}), 1.0)
        services = {"a": served("a", 50, 10), "b": served("b", 90, 40)}
        self.assertEqual(worst_fair_share_ratio(services, {}), 0.4)


class MeasureTest(TestCase):
    def test_failover_gap_ignores_writes_sent_before(self):
        order = Operation.ORDER
        run = make_run(
            [
                attempt("r1", 0.995, operation=order),
                attempt("r2", 1.2, Code.NO_PRIMARY.number, operation=order),
                attempt("r3", 1.5, operation=order),
            ]
        )
        self.assertAlmostEqual(failover_gap(run, "g", 1.0), 0.51)
        self.assertIsNone(failover_gap(run, "g", 2.0))

    def test_names_and_values(self):
        run = make_run([attempt("r1", 0.0), attempt("r2", 0.1, OVER_RATE)])
        counts = Counts(duration_s=2.0, reads=4, replica_reads=3, cpu_s=0.001)
        measures = measure(
            "steady",
            SITES.get("yuelan"),
            7,
            "naive",
            run,
            find_violations(run),
            counts,
        )
        expected = {
            "requests": 2,
            "answered": 1,
            "violations": [],
            "replica_read_share": 0.75,
            "replica_read_share_tolerant": None,
            "failover_gap_s": None,
            "wrongful_refusals": 1,
            "wrongful_refusal_share": 0.5,
            "refusals_by_code": {"20201": 1},
            "cpu_s_per_1000_statements": 1.0,
        }
        for name, value in expected.items():
            with self.subTest(name):
                self.assertEqual(measures[name], value)
        self.assertAlmostEqual(measures["latency_ms"]["p50"], 10.0, places=1)
