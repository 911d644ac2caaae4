"""The checks find each kind of injected violation, and no other."""

from unittest import TestCase

from redwingpost.bench.history import (
    Attempt,
    AttemptResult,
    Contents,
    EditRow,
    Grant,
    Operation,
    OrderRow,
    ReadRow,
    Run,
    from_record,
    make_body,
    to_record,
)
from redwingpost.bench.oracle import find_violations
from redwingpost.core import Code

BASE = Attempt(
    request="r1",
    number=1,
    organisation="diocese",
    credential="current",
    session="s1",
    group="catalogue-1",
    proxy="vm-1",
    operation=Operation.ORDER,
    kind="order",
    document="",
    revision=0,
    max_staleness_ms=0,
    due_at=1.0,
    sent_at=1.0,
    received_at=1.1,
    verdict=AttemptResult.ANSWERED,
)


def refused(attempt, code):
    return attempt._replace(verdict=AttemptResult.REFUSED, code=code.number)


def edit(revision, at, **changes):
    return BASE._replace(
        request=f"e{revision}",
        operation=Operation.EDIT,
        document="plan",
        revision=revision,
        sent_at=at,
        received_at=at + 0.1,
    )._replace(**changes)


def read(request, revision, at, operation=Operation.READ_OWN, **changes):
    body = make_body(f"e{revision}", revision) if revision else ""
    organisation = BASE.organisation if revision else ""
    return BASE._replace(
        request=request,
        operation=operation,
        document="plan",
        sent_at=at,
        received_at=at + 0.1,
        seen=ReadRow(request, organisation, revision, body),
    )._replace(**changes)


def run(attempts, orders=(), edits=(), **changes):
    grant = Grant(100.0, 10.0, frozenset({"catalogue-1"}))
    stored_orders = [OrderRow("diocese", *order) for order in orders]
    stored_edits = [EditRow("diocese", "plan", n, f"e{n}") for n in edits]
    return Run(
        attempts=tuple(attempts),
        contents_by_group={
            "catalogue-1": Contents(tuple(stored_orders), tuple(stored_edits))
        },
        grants_by_organisation={"diocese": grant},
        withdrawn_at={},
    )._replace(**changes)


TOLERANT = Operation.READ_TOLERANT
NOT_RUN = refused(BASE, Code.TARGET_LOST)
UNKNOWN = refused(BASE, Code.OUTCOME_UNKNOWN)
PAIR = BASE._replace(operation=Operation.PAIR)
POSITION_LOST = refused(read("r3", 0, 3.0), Code.POSITION_LOST)
TOLERANT_MARK = {"max_staleness_ms": 1000}

VALID_RUNS = {
    "order stored": run([BASE], orders=[("r1", 1)]),
    "unknown and stored": run([UNKNOWN], orders=[("r1", 1)]),
    "unknown and not stored": run([UNKNOWN]),
    "not run and not stored": run([NOT_RUN]),
    "first try unknown, second not run": run(
        [UNKNOWN, NOT_RUN._replace(number=2)], orders=[("r1", 1)]
    ),
    "read shows the edit": run([edit(1, 1.0), read("r2", 1, 2.0)], edits=[1]),
    "read overlaps the edit": run(
        [edit(1, 1.0), read("r2", 0, 1.05)], edits=[1]
    ),
    "another session's edit": run(
        [edit(1, 1.0, session="s2"), read("r2", 0, 2.0)], edits=[1]
    ),
    "read after a lost position": run(
        [read("r2", 5, 2.0), POSITION_LOST, read("r4", 4, 4.0)]
    ),
    "tolerant read of the stated age": run(
        [edit(1, 1.0), read("r2", 0, 2.0, TOLERANT, **TOLERANT_MARK)],
        edits=[1],
    ),
    "burst and rate": run(
        [BASE._replace(received_at=1.5, kind=str(n)) for n in range(60)],
        orders=[("r1", 1)],
    ),
    "key used before its withdrawal": run(
        [BASE],
        orders=[("r1", 1)],
        withdrawn_at={("diocese", "current"): 0.5},
    ),
}

INJECTED_VIOLATIONS = [
    ("at-most-once", run([BASE], orders=[("r1", 1)] * 2)),
    ("acknowledged-is-kept", run([BASE])),
    ("acknowledged-is-kept", run([edit(1, 1.0)])),
    ("not-run-is-true", run([NOT_RUN], orders=[("r1", 1)])),
    (
        "not-run-is-true",
        run([refused(edit(1, 1.0), Code.OVER_RATE)], edits=[1]),
    ),
    (
        "not-run-is-true",
        run(
            [BASE._replace(verdict=AttemptResult.REFUSED, code=1290)],
            [("r1", 1)],
        ),
    ),
    (
        "whole-transactions",
        run([refused(PAIR, Code.COMMIT_UNKNOWN)], [("r1", 2)]),
    ),
    ("read-your-writes", run([edit(1, 1.0), read("r2", 0, 2.0)], edits=[1])),
    ("monotone-reads", run([read("r2", 5, 2.0), read("r3", 4, 3.0)])),
    (
        "monotone-reads",
        run(
            [
                read("r2", 5, 2.0),
                POSITION_LOST,
                read("r4", 5, 4.0),
                read("r5", 4, 5.0),
            ]
        ),
    ),
    (
        "stated-age",
        run(
            [edit(1, 1.0), read("r2", 0, 3.0, TOLERANT, **TOLERANT_MARK)],
            edits=[1],
        ),
    ),
    (
        "right-caller",
        run([read("r2", 1, 2.0, seen=ReadRow("r9", "diocese", 0, ""))]),
    ),
    (
        "right-caller",
        run([read("r2", 1, 2.0, seen=ReadRow("r2", "parish", 0, ""))]),
    ),
    (
        "right-caller",
        run([read("r2", 1, 2.0, seen=ReadRow("r2", "diocese", 1, "0000"))]),
    ),
    ("isolation", run([read("r2", 0, 2.0, group="schedule-1")])),
    (
        "withdrawn-keys",
        run([read("r2", 0, 9.0)], withdrawn_at={("diocese", "current"): 6.0}),
    ),
    ("rate-and-burst", run([read("r2", 0, 1.0)] * 30)),
]


class ChecksTest(TestCase):
    def test_valid_runs_have_no_violation(self):
        for name, valid_run in VALID_RUNS.items():
            with self.subTest(name):
                self.assertEqual(find_violations(valid_run), [])

    def test_injected_violations_are_found(self):
        for promise, run_with_violation in INJECTED_VIOLATIONS:
            with self.subTest(promise):
                found = {
                    v.promise for v in find_violations(run_with_violation)
                }
                self.assertEqual(found, {promise})


class RecordTest(TestCase):
    def test_round_trip(self):
        for attempt in (BASE, read("r2", 3, 2.0), POSITION_LOST):
            with self.subTest(attempt.request):
                self.assertEqual(from_record(to_record(attempt)), attempt)
