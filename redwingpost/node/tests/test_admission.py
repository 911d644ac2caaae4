"""Admission reports admitted operations to the other VMs."""

from unittest import TestCase
from unittest.mock import patch

from redwingpost.configuration.routes import NO_RULES, OrganisationRule
from redwingpost.membership.heartbeat import Heartbeat, VmAddress
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.metrics import NodeMetrics
from redwingpost.node.request.admission import Admission
from redwingpost.ports.clock import VirtualClock
from redwingpost.rates.usage import (
    INITIAL_BURST_FRACTION,
    REPORT_AFTER_ADMISSIONS,
    UsageLedger,
)

_RULE = OrganisationRule("parish", frozenset(), 1.0, 400.0, 1)


class AdmissionTest(TestCase):
    def setUp(self) -> None:
        clock = VirtualClock()
        self.ledger = UsageLedger(0.0)
        vms = VmTable("vm-1", clock.now())
        vms.set_listed(())
        self.admission = Admission(vms, self.ledger, clock)

    def test_many_admissions_are_reported_between_heartbeats(self) -> None:
        """Many operations of one organisation arrive at once.

        All VMs share its token bucket. If the others learn of the admitted
        operations only from the next heartbeat, they admit as many again.
        """
        reported = []

        def report_if_due(organisation: str) -> None:
            if self.ledger.is_report_due(organisation):
                reported.extend(self.ledger.take_report(False, 0.0))

        self.admission.on_admitted = report_if_due
        for _ in range(3 * REPORT_AFTER_ADMISSIONS):
            self.assertIsNone(self.admission.spend(_RULE, "r1"))
        self.assertEqual(3, len(reported))
        self.assertEqual(3 * REPORT_AFTER_ADMISSIONS, reported[-1].admitted)

    def test_refused_operations_are_not_reported(self) -> None:
        reported = []
        self.admission.on_admitted = reported.append
        admitted = int(_RULE.burst * INITIAL_BURST_FRACTION)
        for _ in range(admitted + 5):
            self.admission.spend(_RULE, "r1")
        self.assertEqual(admitted, len(reported))

    def test_where_admission_at_members_is_active(self) -> None:
        """Guards against a change of deployments that it isn't meant for.

        It is active where a member has fewer connections than there are
        organisations, from the configuration in force on.
        """
        names = ("parish", "chapel", "hermitage")
        rules = NO_RULES._replace(
            version=1,
            organisations_by_name={
                name: _RULE._replace(name=name, rate=rate)
                for name, rate in zip(
                    names, (10.0, 30.0, float("inf")), strict=True
                )
            },
        )
        cases = ((2, True), (3, False), (32, False))
        for max_connections, expected in cases:
            with self.subTest(max_connections=max_connections):
                self.assertIsNone(self.admission.member_rules(max_connections))
                self.admission.take_rules(rules)
                found = self.admission.member_rules(max_connections)
                self.assertEqual(expected, found is not None)
                if found is not None:
                    self.assertEqual(
                        [10.0, 30.0, 20.0, 20.0],
                        [
                            found.weights.of_organisation(name)
                            for name in (*names, "public")
                        ],
                    )
                self.setUp()


class PartitionTest(TestCase):
    """What an operator sees of a partition."""

    def setUp(self) -> None:
        self.clock = VirtualClock()
        self.ledger = UsageLedger(self.clock.now())
        self.vms = VmTable("vm-1", self.clock.now())
        self.vms.set_listed(
            (VmAddress("vm-1", "ip1", 1), VmAddress("vm-2", "ip2", 1))
        )
        self.admission = Admission(self.vms, self.ledger, self.clock)
        self.metrics = NodeMetrics()

    def _run(self, seconds: float, is_heard: bool) -> None:
        for _ in range(round(seconds / 0.1)):
            now = self.clock.now()
            if is_heard:
                heartbeat = Heartbeat("vm-2", 1, "ip2", 7, {}, 5, None, ())
                self.vms.note(heartbeat, now)
            self.admission.follow_fleet()
            self.metrics.note_withheld(
                self.admission.withheld_by_organisation()
            )
            self.clock.advance(0.1)

    def test_what_is_withheld_is_shown_and_logged(self) -> None:
        """Callers are refused in a partition, and an operator asks why.

        Without the metric and the line nobody sees that half of the rate
        was kept for the other VM.
        """
        rule = _RULE._replace(rate=20.0, burst=40.0)
        self._run(4.0, is_heard=True)
        self.admission.spend(rule, "r1")
        self._run(6.0, is_heard=False)
        line = b'redwing_rate_withheld{organisation="parish"}'
        self.assertIn(line, self.metrics.render())
        with patch("redwingpost.node.request.admission.log_event") as log:
            self._run(3.0, is_heard=True)
        self.assertEqual(1, log.call_count)
        self.assertEqual(("rate-withheld",), log.call_args.args)
        fields = log.call_args.kwargs
        self.assertEqual("parish", fields["organisation"])
        self.assertEqual(0.5, fields["part"])
        # Half of the refill of five seconds, after the timeout.
        self.assertGreaterEqual(fields["withheld"], 50.0)
        self.assertNotIn(line, self.metrics.render())
