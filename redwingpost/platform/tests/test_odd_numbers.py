"""Odd numbers of other writers and members, up to where they are used."""

from base64 import b64encode
from typing import Any
from unittest import TestCase
from unittest.mock import patch

from redwingpost.configuration.routes import ServiceRules
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement, StatementKind
from redwingpost.groups.evidence import GroupEvidence
from redwingpost.membership.heartbeat import Digest, SharedSample
from redwingpost.membership.vm_table import VmTable
from redwingpost.node.fleet.registry import RulesReader
from redwingpost.node.forwarding.messages import Action, Done, Work
from redwingpost.node.places import Places
from redwingpost.node.request.admission import Admission
from redwingpost.node.tests.odd_rows import odd_configurations
from redwingpost.observability.trace import RunParts
from redwingpost.platform.entries import PLACES_FORMAT
from redwingpost.platform.lines import parse_status
from redwingpost.platform.store import _decode_row
from redwingpost.ports.clock import VirtualClock
from redwingpost.ports.database import MemberEntry, StatusReport
from redwingpost.rates.counters import NO_USAGES
from redwingpost.rates.usage import UsageLedger
from redwingpost.takeover.plan import (
    Survey,
    choose_replica,
    may_promote,
    pause_term,
)
from redwingpost.takeover.status import (
    MemberStatus,
    current_primary,
    describe_status,
    newest_term,
)
from redwingpost.wire.heartbeat import pack_digest
from redwingpost.wire.heartbeat import unpack as unpack_datagram
from redwingpost.wire.work import pack_done, pack_work, unpack

_PARTS = RunParts("", 0, 0.0, 0.0, False)


class ConfigurationTest(TestCase):
    """Guards against a field that breaks what is computed from it later.

    An odd field costs its entry, or the configuration, and nothing more.
    """

    def test_odd_fields_in_use(self) -> None:
        for row in odd_configurations(7):
            with (
                self.subTest(row.text),
                patch("redwingpost.observability.journal.logger"),
            ):
                self._use(row.text.encode())

    def _use(self, text: bytes) -> None:
        clock = VirtualClock(100.0)
        vms = VmTable("vm-1", 0.0)
        admission = Admission(vms, UsageLedger(0.0), clock)
        places = Places(
            "vm-1",
            lambda group, now: ("vm-1", "vm-2"),
            lambda group, member: None,
            clock,
        )
        reader = RulesReader(
            admission,
            PLACES_FORMAT,
            lambda: places.take_rules(admission.rules),
        )
        item = {
            "table": "op",
            "key": "config",
            "ver": 5,
            "value": b64encode(text).decode(),
        }
        reader.on_rows((_decode_row(item, 0),))
        if not admission.has_rules:
            return
        self._check_types(admission.rules)
        for database, key in (("strict", "key-1"), ("own", "key-3")):
            admitted = admission.check(database, key)
            if isinstance(admitted, Refusal):
                continue
            self._send(admitted, places)
            for _ in range(1200):
                refused = admission.spend(admitted.organisation, "r")
                clock.advance(0.0001)
                if refused is not None:
                    done = Done(1, refused, Position(1, 1), True, _PARTS)
                    self.assertEqual(done, unpack(pack_done(done)))
                    break
            admission.follow_fleet()
        for limit in (1, 32):
            rules = admission.member_rules(limit)
            if rules is not None:
                rules.weights.flow(1, "parish")

    def _check_types(self, rules: ServiceRules) -> None:
        for route in rules.routes_by_database.values():
            self.assertIs(int, type(route.priority))
            self.assertIs(float, type(route.timeout_s))
        for group in rules.groups_by_name.values():
            self.assertIs(int, type(group.sync_replicas))
        for organisation in rules.organisations_by_name.values():
            self.assertIs(int, type(organisation.priority))
            self.assertGreaterEqual(organisation.rate, 0.0)
        self.assertIn("g1", rules.groups_by_name)
        keys = rules.organisations_by_key.keys()
        self.assertLessEqual(keys, {"key-1", "key-2", "key-3"})

    def _send(self, admitted: Any, places: Places) -> None:
        places.losses(admitted.route.group, "dc-a")
        places._find_share(admitted.route.group)
        work = Work(
            1,
            Action.RUN,
            0,
            admitted.organisation.name,
            admitted.route,
            admitted.sync_replicas,
            Statement("1", StatementKind.READ, "READ a"),
            None,
            None,
            {},
            Position(1, 1),
            0.25,
        )
        self.assertEqual(work, unpack(pack_work(work)))


class StatusTest(TestCase):
    """Guards against a member's answer that breaks what follows from it."""

    def test_odd_statuses_in_use(self) -> None:
        largest = "9" * 18
        rows = [
            " ".join(fields)
            for role in ("primary", "replica")
            for head in (f"{largest}.{largest}", f"0.{largest}", "0.0")
            for number in ("0", largest)
            for fields in [(role, number, head, *[number] * 4)]
        ]
        for row in rows:
            with self.subTest(row):
                report = parse_status(row)
                self._decide(report)
                self._share(report)

    def test_statuses_that_cannot_be_read(self) -> None:
        good = ["replica", "3", "3.7", "0", "12", "2", "17"]
        odd = ("9" * 19, "-1", "0.5", "1e9", "\u00b2", "", "-", "inf", "0x1")
        for place in range(1, 7):
            for text in odd:
                fields = [*good[:place], text, *good[place + 1 :]]
                if (place, text) == (2, "0.5"):
                    # A position.
                    continue
                with self.subTest(fields=fields):
                    self.assertIsNone(parse_status(" ".join(fields)))

    def _decide(self, report: StatusReport) -> None:
        entry = MemberEntry("m1", "g", "10.0.0.1", 80, "a", False, True)
        other = entry._replace(member="m2")
        usual = StatusReport(False, 3, Position(3, 7), 0, 0, 0, 0)
        statuses = (MemberStatus(entry, report), MemberStatus(other, usual))
        term = pause_term(statuses)
        self.assertGreater(term, newest_term(statuses))
        leader = current_primary(statuses, 3)
        choose_replica(statuses, leader, None)
        survey = Survey(statuses, None, term, 1, Position(0, 0), True)
        for item in statuses:
            describe_status(item)
            may_promote(item, survey)

    def _share(self, report: StatusReport) -> None:
        evidence = GroupEvidence()
        evidence.note_report("m1", report, 1.0)
        evidence.note_shared("m1", report.received, 1.0)
        evidence.derive_proof(1.0)
        sample = SharedSample("m1", report.received, 5)
        digest = Digest(
            "v", 9, True, (), {}, False, (sample,), 8, {}, NO_USAGES
        )
        received = unpack_datagram(pack_digest(digest), "10.0.0.2")
        self.assertEqual((sample,), received.samples)
        done = Done(1, Answer(("a",), "p"), report.received, False, _PARTS)
        self.assertEqual(done, unpack(pack_done(done)))
