"""Admission reports admitted operations to the other VMs."""

from unittest import TestCase

from redwingpost.configuration.routes import NO_RULES, OrganisationRule
from redwingpost.membership.vm_table import VmTable
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
