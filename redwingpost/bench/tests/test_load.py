"""Sites, schedules, statements, retries and the load balancer."""

from random import Random
from unittest import TestCase

from redwingpost.bench.balancer import Balancer
from redwingpost.bench.callers import (
    CONNECT_FAILED,
    Outcome,
    ProxyEndpoint,
)
from redwingpost.bench.history import Operation, AttemptResult
from redwingpost.bench.load import _should_retry
from redwingpost.bench.schedule import draw_arrivals, site_streams
from redwingpost.bench.sites import SITES
from redwingpost.bench.statements import (
    StatementValues,
    parse_answer,
    render,
    render_marks,
)
from redwingpost.core import Code
from redwingpost.core.registry import Registry


class SitesTest(TestCase):
    def test_shares_and_rates_add_up(self):
        self.assertIsInstance(SITES, Registry)
        for name, site in SITES.items():
            with self.subTest(name):
                shares = sum(entry.share for entry in site.mix)
                rates = sum(o.rate for o in site.organisations)
                self.assertAlmostEqual(shares, 1.0)
                self.assertAlmostEqual(rates / site.capacity, 0.9, places=2)
                self.assertEqual(len(site.organisations), 8)


class ScheduleTest(TestCase):
    def test_same_seed_same_schedule(self):
        streams = site_streams(SITES.get("yuelan"), 0.5, 4.0)
        self.assertEqual(draw_arrivals(streams, 3), draw_arrivals(streams, 3))
        self.assertNotEqual(
            draw_arrivals(streams, 3), draw_arrivals(streams, 4)
        )

    def test_rate_and_names(self):
        site = SITES.get("semilla-andina")
        arrivals = draw_arrivals(site_streams(site, 0.5, 10.0), 1)
        expected = 0.5 * sum(o.rate for o in site.organisations) * 10.0
        self.assertAlmostEqual(len(arrivals) / expected, 1.0, places=1)
        self.assertEqual(len({a.request for a in arrivals}), len(arrivals))
        self.assertEqual(arrivals, sorted(arrivals))


class StatementsTest(TestCase):
    def test_every_operation_names_its_request(self):
        values = StatementValues("r1", "diocese", "plan", 2)
        for operation in Operation:
            with self.subTest(operation):
                statements = render(operation, values)
                naming = [s for s in statements if "'r1'" in s]
                parts = 2 if operation is Operation.PAIR else 1
                self.assertEqual(len(naming), parts)

    def test_marks(self):
        marks = render_marks(
            "stock", Operation.READ_TOLERANT, "r1", 1000, "abc"
        )
        self.assertIn("max_staleness_ms=1000, token=abc */", marks)
        keyed = render_marks("order", Operation.KEYED_ORDER, "r1")
        self.assertIn("idempotency_key=r1", keyed)

    def test_answer(self):
        answer = parse_answer(("r1", "catalogue-1-a", "d", "3", "body"))
        self.assertEqual(answer.member, "catalogue-1-a")
        self.assertEqual(answer.seen.revision, 3)


class ShouldRetryTest(TestCase):
    def test_table(self):
        def refusal(number):
            return Outcome(AttemptResult.REFUSED, number)

        lost = Outcome(AttemptResult.LOST)
        unknown = refusal(Code.OUTCOME_UNKNOWN.number)
        draining = refusal(Code.DRAINING.number)
        order, keyed = Operation.ORDER, Operation.KEYED_ORDER
        table = [
            (order, lost, 1, False),
            (keyed, lost, 1, True),
            (keyed, unknown, 2, True),
            (keyed, unknown, 3, False),
            (order, unknown, 1, False),
            (order, draining, 1, True),
            (order, refusal(CONNECT_FAILED), 1, True),
            (keyed, refusal(Code.OVER_RATE.number), 1, False),
            (keyed, Outcome(AttemptResult.ANSWERED), 1, False),
        ]
        for operation, outcome, number, expected in table:
            with self.subTest(operation=operation, outcome=outcome):
                self.assertEqual(
                    _should_retry(operation, outcome, number), expected
                )


class BalancerTest(TestCase):
    def test_choice(self):
        names = ("vm-1", "vm-2", "vm-3")
        balancer = Balancer(
            {vm: ProxyEndpoint(vm, "127.1.1.1", 1, 2) for vm in names}
        )
        balancer.ready = {"vm-1", "vm-2"}
        table = [
            ("keeps the previous VM", (), "vm-1", 0.0, {"vm-1"}),
            (
                "moves from a VM that is not ready",
                (),
                "vm-3",
                0.0,
                {"vm-1", "vm-2"},
            ),
            ("only allowed VMs", ("vm-2",), "vm-1", 0.0, {"vm-2"}),
            ("no allowed VM is ready", ("vm-3",), "", 0.0, {"vm-3"}),
        ]
        for name, allowed, previous_vm, switch_probability, expected in table:
            with self.subTest(name):
                random = Random(1)
                chosen = {
                    balancer.choose(
                        random, allowed, previous_vm, switch_probability
                    ).vm
                    for _ in range(50)
                }
                self.assertEqual(chosen, expected)
