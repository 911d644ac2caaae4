"""Which operations of a caller count against the organisation's rate."""

from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from redwingpost.configuration.routes import (
    Consistency,
    GroupRule,
    OrganisationRule,
    RouteRule,
    ServiceRules,
)
from redwingpost.core.codes import Outcome
from redwingpost.core.positions import Position
from redwingpost.core.statements import Statement, StatementKind
from redwingpost.groups.directory import Directory
from redwingpost.groups.evidence import RECENT_RESTART_S
from redwingpost.membership.centres import CentreWatch
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.group import GroupClient
from redwingpost.node.metrics import NodeMetrics
from redwingpost.node.request.admission import Admission
from redwingpost.node.request.reads import ReadRunner
from redwingpost.node.request.session import NodeSession, Services
from redwingpost.node.request.writes import WriteRunner
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import MemberEntry, Reply, StatusReport
from redwingpost.rates.usage import UsageLedger

#: Length of the window in which operations are counted (seconds).
WINDOW_S = 5.0

#: Seconds between two attempts of a caller that is refused.
RETRY_S = 0.02

_PARISH = OrganisationRule("parish", frozenset({"key"}), 4.0, 4.0, 1)

_RULES = ServiceRules(
    1,
    {
        "strict": RouteRule(
            "strict", "g", Consistency.PRIMARY, 1.0, 0.4, 1, 0.0, False
        )
    },
    {"g": GroupRule("g", 32, 1)},
    {"parish": _PARISH},
    {"key": _PARISH},
    3.0,
)


class PausedReplicas:
    """Opens links to a working primary and to paused replicas."""

    def __init__(self) -> None:
        self.run_requests: list[str] = []

    async def open(
        self, entry: MemberEntry, organisation: str, timeout_s: float
    ) -> SimpleNamespace:
        """Open a link to a member."""
        is_primary = entry.claims_primary
        report = StatusReport(
            is_primary, 1, Position(1, 9), 0 if is_primary else 2, 0, 0, 1
        )

        async def status() -> StatusReport:
            return report

        async def run(statement: Statement, *rest: object) -> Reply:
            self.run_requests.append(statement.request)
            return Reply(("1",), "1.p")

        return SimpleNamespace(
            is_open=True, status=status, run=run, close=lambda: None
        )


class QuotaTest(IsolatedAsyncioTestCase):
    """One VM and a group of three members whose replicas are paused."""

    async def asyncSetUp(self) -> None:
        self.clock = VirtualClock()
        self.members = PausedReplicas()
        self.directory = directory = Directory()
        for member in ("m1", "m2", "m3"):
            is_primary = member == "m1"
            entry = MemberEntry(member, "g", "ip", 1, "a", False, is_primary)
            directory.put(entry, 0.0)
        vms = VmTable("vm-1", 0.0)
        vms.set_listed(())
        self.group = GroupClient(
            "g",
            directory,
            self.members,
            self.clock,
            "a",
            7.0,
            vms,
            CentreWatch("a"),
        )
        self.group.follow_directory(32, 1)
        await self.group.run_round()
        admission = Admission(vms, UsageLedger(0.0), self.clock)
        admission.take_rules(_RULES)
        self.services = Services(
            admission,
            {"g": self.group},
            ReadRunner(self.clock),
            WriteRunner(self.clock),
            NodeMetrics(),
            self.clock,
        )

    async def _read_for(self, seconds: float) -> None:
        """Read repeatedly, as callers do that retry soon when refused."""
        session = NodeSession(self.services, "strict", "key")
        until = self.clock.now() + seconds
        number = 0
        while self.clock.now() < until:
            number += 1
            read = Statement(str(number), StatementKind.READ, "READ a")
            await session.run(read)
            self.clock.advance(RETRY_S)

    async def test_a_refused_read_that_a_member_ran_is_charged(
        self,
    ) -> None:
        """Guards against tokens refunded for operations that members ran."""
        await self._read_for(WINDOW_S)
        ran = set(self.members.run_requests)
        granted = _PARISH.rate * WINDOW_S + _PARISH.burst
        self.assertLessEqual(len(ran), granted)

    async def test_reads_that_cannot_be_proven_are_not_sent(self) -> None:
        """Guards against members loaded with reads that can't be confirmed."""
        for member in ("m2", "m3"):
            entry = MemberEntry(member, "g", "ip", 1, "a", False, False, 9)
            self.directory.put(entry, self.clock.now())
        session = NodeSession(self.services, "strict", "key")
        for number, kind in enumerate(
            (StatementKind.READ, StatementKind.WRITE)
        ):
            with self.subTest(kind):
                self.clock.advance(1.0)
                statement = Statement(str(number), kind, "READ a")
                answer = await session.run(statement)
                self.assertIs(Outcome.NOT_RUN, answer.code.outcome)
                left_s = RECENT_RESTART_S - self.clock.now()
                self.assertAlmostEqual(left_s * 1000, answer.retry_after_ms)
        self.assertEqual([], self.members.run_requests)

    async def test_operations_that_reach_no_member_are_free(self) -> None:
        """Guards against over-rate refusals once a primary is back."""
        self.clock.advance(1.0)
        self.group.member_by_name["m1"].failed_at = self.clock.now()
        await self._read_for(WINDOW_S)
        self.assertEqual([], self.members.run_requests)
        admission = self.services.admission
        self.assertIsNone(admission.spend(_PARISH, "after"))
