"""What admission does besides deciding."""

from unittest import TestCase

from redwingpost.configuration.routes import OrganisationRule
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

    def test_the_other_vms_are_told_while_much_is_admitted(self) -> None:
        """Many operations of one organisation arrive at once.

        The other VMs hold the same bucket; if they hear of it with the
        next heartbeat only, they give it away as well.
        """
        told = []

        def report_if_due(organisation: str) -> None:
            if self.ledger.is_report_due(organisation):
                told.extend(self.ledger.take_report(False, 0.0))

        self.admission.on_admitted = report_if_due
        for _ in range(3 * REPORT_AFTER_ADMISSIONS):
            self.assertIsNone(self.admission.spend(_RULE, "r1"))
        self.assertEqual(3, len(told))
        self.assertEqual(3 * REPORT_AFTER_ADMISSIONS, told[-1].admitted)

    def test_what_is_refused_is_not_told(self) -> None:
        told = []
        self.admission.on_admitted = told.append
        admitted = int(_RULE.burst * INITIAL_BURST_FRACTION)
        for _ in range(admitted + 5):
            self.admission.spend(_RULE, "r1")
        self.assertEqual(admitted, len(told))
