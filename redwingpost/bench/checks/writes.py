"""Checks of what the targets hold against what callers were told."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from redwingpost.bench.checks.registry import CHECKS, answered
from redwingpost.bench.history import (
    Attempt,
    Operation,
    OrderRow,
    Run,
    said_not_run,
)


def _stored_orders(run: Run) -> Counter[OrderRow]:
    return Counter(
        row
        for contents in run.contents_by_group.values()
        for row in contents.orders
    )


@CHECKS.register("at-most-once")
def check_at_most_once(run: Run) -> Iterator[str]:
    """An order, keyed or not, stands in the targets at most once."""
    for row, times in _stored_orders(run).items():
        if times > 1:
            yield (
                f"{row.request} part {row.part} of {row.organisation} "
                f"is stored {times} times"
            )


def _parts(attempt: Attempt) -> tuple[int, ...]:
    return (1, 2) if attempt.operation is Operation.PAIR else (1,)


def _stored_requests(run: Run) -> set[tuple[str, str]]:
    """Return organisation and request of everything that is stored."""
    stored = {(r.organisation, r.request) for r in _stored_orders(run)}
    for contents in run.contents_by_group.values():
        stored.update((e.organisation, e.request) for e in contents.edits)
    return stored


@CHECKS.register("acknowledged-is-kept")
def check_acknowledged(run: Run) -> Iterator[str]:
    """What was acknowledged is in the targets at the end, whole."""
    orders = _stored_orders(run)
    stored = _stored_requests(run)
    for attempt in answered(run):
        if not attempt.operation.writes:
            continue
        name = (attempt.organisation, attempt.request)
        kept = name in stored
        if attempt.operation.orders:
            kept = all(
                OrderRow(*name, part) in orders for part in _parts(attempt)
            )
        if not kept:
            yield (
                f"{attempt.request} ({attempt.operation.value}, "
                f"{attempt.group}) was acknowledged and is not stored"
            )


@CHECKS.register("not-run-is-true")
def check_not_run(run: Run) -> Iterator[str]:
    """What every answer called "not run" is nowhere in the targets."""
    stored = _stored_requests(run)
    attempts_by_request = defaultdict(list)
    for attempt in run.attempts:
        if attempt.operation.writes:
            name = (attempt.organisation, attempt.request)
            attempts_by_request[name].append(attempt)
    for name, attempts in attempts_by_request.items():
        if name in stored and all(said_not_run(a) for a in attempts):
            codes = sorted({a.code for a in attempts})
            yield f"{name[1]} of {name[0]} is stored after codes {codes}"


@CHECKS.register("whole-transactions")
def check_whole_transactions(run: Run) -> Iterator[str]:
    """Both parts of a transaction are stored, or none."""
    orders = _stored_orders(run)
    pairs = {
        (a.organisation, a.request)
        for a in run.attempts
        if a.operation is Operation.PAIR
    }
    for name in sorted(pairs):
        parts = [p for p in (1, 2) if OrderRow(*name, p) in orders]
        if len(parts) == 1:
            yield f"{name[1]} of {name[0]} has only part {parts[0]}"
