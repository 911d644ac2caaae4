"""Placement of statements between homes that fail or are full."""

from contextlib import contextmanager
from unittest.mock import patch

from redwingpost.core.codes import Code, Outcome
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer
from redwingpost.node.forwarding.forwarder import Forwarder
from redwingpost.node.forwarding.load_reports import REPORT_VALID_S
from redwingpost.node.forwarding.local_loads import LocalLoads
from redwingpost.node.forwarding.messages import Load
from redwingpost.node.forwarding import placer
from redwingpost.node.forwarding.placer import UNABLE_GRACE_S
from redwingpost.node.metrics import NodeMetrics
from redwingpost.node.tests.test_forwarding import ForwardingCase
from redwingpost.node.tests.test_forwarding import read, write
from redwingpost.retries.budget import RetryBudget

_INF = float("inf")


class PlacementTest(ForwardingCase):
    """Two homes and a VM that forwards to them."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.offset_s = 0.0
        now = self.clock.now
        patched = patch.object(
            type(self.clock), "now", lambda clock: now() + self.offset_s
        )
        patched.start()
        self.addCleanup(patched.stop)

    def _report(self, home: int, read_s: float, primary_s: float) -> None:
        """Record a report of a home's load."""
        loads = (Load("g", read_s, primary_s),)
        vm = f"home-{home}"
        self.channels.reports.note(vm, loads, self.clock.now())

    @contextmanager
    def _without_primary(self, *homes: int):
        """Let homes know no primary that accepts work."""
        groups = [self.groups[home] for home in homes]
        for group in groups:
            group.accepts_work = lambda client: False
        yield
        for group in groups:
            del group.accepts_work

    async def test_a_home_that_reaches_no_primary_is_passed_over(self) -> None:
        """A home can't reach the primary, and another can.

        Guards against statements that each wait there for half a second.
        """
        cases = (
            ("write", lambda: self._alone(write("w"))),
            ("read", lambda: self._alone(read("r"))),
            ("transaction", lambda: self.transaction().run(write("t"))),
        )
        with self._without_primary(0):
            for name, run in cases:
                with self.subTest(name):
                    self.assertIsInstance(await run(), Answer)
        self.assertEqual(["first", "reach", "reach"], self.choices)
        self.assertEqual([], self.homes.suspected)
        self.assertEqual(["w", "r", "b", "t"], self.members.ran)
        self.offset_s += REPORT_VALID_S + 0.01
        self.assertIsInstance(await self._alone(write("w")), Answer)
        self.assertEqual("first", self.choices[-1])

    async def test_a_transaction_begins_at_the_second_home(self) -> None:
        """Guards against "no primary" while another home reaches it."""
        with self._without_primary(0):
            result = await self.transaction().run(write("t"))
        self.assertIsInstance(result, Answer)
        self.assertEqual(["b", "t"], self.members.ran)

    async def test_a_home_dies(self) -> None:
        await self.servers[0].stop()
        for choice in ("first", "reach"):
            with self.subTest(choice):
                result = await self._alone(write("w"))
                self.assertIsInstance(result, Answer)
                self.assertEqual(choice, self.choices[-1])
        self.assertEqual(["home-0"], self.homes.suspected)
        now = self.clock.now() + REPORT_VALID_S
        reports = self.channels.reports
        self.assertIsNone(reports.wait_s("home-0", "g", True, now))

    async def test_late_and_lost_reports_change_nothing(self) -> None:
        """Guards against a choice by loads of long ago."""
        self._report(0, 0.9, 0.9)
        self._report(1, 0.0, 0.0)
        self.offset_s += REPORT_VALID_S + 0.01
        self.assertIsInstance(await self._alone(read("r")), Answer)
        self.assertEqual(["first"], self.choices)

    async def test_homes_report_with_their_answers(self) -> None:
        self.assertIsInstance(await self._alone(read("r")), Answer)
        now = self.clock.now()
        wait_s = self.channels.reports.wait_s("home-0", "g", True, now)
        self.assertEqual(0.0, wait_s)
        self.offset_s += REPORT_VALID_S - 0.1
        await self.until(
            lambda: self.channels.reports.wait_s(
                "home-0", "g", True, self.clock.now() + 0.2
            )
            == 0.0
        )

    async def test_a_loaded_home_is_passed_over(self) -> None:
        for _ in range(20):
            self._report(0, 0.9, 0.9)
            self._report(1, 0.0, 0.0)
            self.assertIsInstance(await self._alone(read("r")), Answer)
        self.assertGreaterEqual(self.choices.count("spread"), 10)

    async def test_what_operators_see(self) -> None:
        """Guards against a log line for each statement of an overload."""
        metrics = NodeMetrics()
        forwarder = Forwarder(
            self.homes,
            self.channels,
            self.clock,
            LocalLoads({}, self.clock, lambda group: True),
            metrics.note_placement,
        )
        with patch.object(placer, "log_event") as logged:
            for _ in range(3):
                self._report(0, 5.0, 5.0)
                self._report(1, 0.0, 0.0)
                await forwarder.run_alone(self.task(read("r")))
            logged.assert_called_once_with(
                "home-passed-over",
                group="g",
                home="home-0",
                wait_ms=5000,
                choice="reach",
            )
        expected = 'redwing_placements_total{choice="reach",group="g"} 3.0'
        self.assertIn(expected, metrics.render().decode())

    async def test_all_homes_are_full(self) -> None:
        """Guards against statements that wait only to be refused."""
        cases = (
            ("write", lambda: self._alone(write("w"))),
            ("read", lambda: self._alone(read("r"))),
            ("transaction", lambda: self.transaction().run(write("t"))),
        )
        for name, run in cases:
            with self.subTest(name):
                self._report(0, 5.0, 5.0)
                self._report(1, 3.0, 3.0)
                refusal = await run()
                self._assert_unrun(refusal, Code.OVER_CAPACITY)
                self.assertAlmostEqual(2000, refusal.retry_after_ms, delta=100)
        self.assertEqual(["refused"] * 3, self.choices)

    async def test_no_home_reaches_the_primary(self) -> None:
        """One side of a partition, from which no primary is reached.

        A home on the other side can't be reached at all. Statements are
        refused at once, but not while a change of primary may be going on.
        """
        await self.servers[0].stop()
        with self._without_primary(1):
            started_at = self.clock.now()
            refusal = await self._alone(write("w"))
            self._assert_unrun(refusal, Code.NO_PRIMARY)
            self.assertGreater(self.clock.now() - started_at, 0.4)
            for _ in range(3):
                self.offset_s += UNABLE_GRACE_S / 2.0
                self.channels.reports.note_unreachable(
                    "home-0", self.clock.now()
                )
                self._report(1, 0.0, _INF)
                started_at = self.clock.now()
                refusal = await self._alone(write("w"))
                self._assert_unrun(refusal, Code.NO_PRIMARY)
        self.assertEqual("refused", self.choices[-1])
        self.assertLess(self.clock.now() - started_at, 0.2)
        self.assertIsInstance(await self._alone(read("r")), Refusal)

    async def test_second_homes_take_the_retry_budget(self) -> None:
        """Guards against retries that multiply an overload."""
        with self._without_primary(0):
            with patch.object(RetryBudget, "spend", return_value=False):
                refusal = await self._alone(write("w"))
                self._assert_unrun(refusal, Code.NO_PRIMARY)
                self.offset_s += REPORT_VALID_S + 0.01
                refusal = await self.transaction().run(write("t"))
                self._assert_unrun(refusal, Code.NO_PRIMARY)

    async def test_a_vm_that_is_a_home_takes_part_in_the_order(self) -> None:
        """Guards against a home that keeps statements it can't run."""
        self.homes.vm = "home-0"
        loads = LocalLoads(
            {"g": self.groups[0]}, self.clock, lambda group: True
        )
        self.forwarder = Forwarder(
            self.homes, self.channels, self.clock, loads
        )
        self.assertIsNone(await self._alone(write("w")))
        with self._without_primary(0):
            self.assertIsInstance(await self._alone(write("w")), Answer)
        self.homes.addresses = self.homes.addresses[::-1]
        with self._without_primary(1):
            self.assertIsNone(await self._alone(write("w")))
            self.assertIsNone(await self._alone(write("w")))

    async def test_a_home_that_became_able_gets_statements_at_once(
        self,
    ) -> None:
        """Guards against a second of refusals after each takeover."""
        reports = self.channels.reports
        self._report(0, 0.0, _INF)
        reports.note_unable("home-0", "g", True, self.clock.now())
        self._report(0, 0.0, 0.0)
        self.assertIsInstance(await self._alone(write("w")), Answer)
        reports.note_unable("home-0", "g", True, self.clock.now())
        self.assertIsInstance(await self._alone(write("w")), Answer)
        self.assertEqual(["first", "reach"], self.choices)

    async def _alone(self, statement):
        return await self.forwarder.run_alone(self.task(statement))

    def _assert_unrun(self, refusal, code) -> None:
        self.assertEqual(code.name, refusal.code.name)
        self.assertIs(Outcome.NOT_RUN, refusal.code.outcome)
        self.assertEqual([], self.members.ran)
        self.assertFalse(self.state.trace.may_have_run)
        self.assertEqual(Position(0, 0), self.state.written_in("g"))
