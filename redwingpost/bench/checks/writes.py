"""Checks of the targets' final contents against the answers."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from redwingpost.bench.checks.registry import CHECKS, answered_attempts
from redwingpost.bench.history import (
    Attempt,
    Operation,
    OrderRow,
    Run,
    reported_not_run,
)


def _stored_orders(run: Run) -> Counter[OrderRow]:
    return Counter(
        row
        for contents in run.contents_by_group.values()
        for row in contents.orders
    )


@CHECKS.register("at-most-once")
def check_at_most_once(run: Run) -> Iterator[str]:
    """An order, with or without a key, is stored at most once."""
    for row, times in _stored_orders(run).items():
        if times > 1:
            yield (
                f"{row.request} part {row.part} of {row.organisation} "
                f"is stored {times} times"
            )


def _parts(attempt: Attempt) -> tuple[int, ...]:
    return (1, 2) if attempt.operation is Operation.PAIR else (1,)


def _stored_request_names(run: Run) -> set[tuple[str, str]]:
    """Return organisation and request of every stored row."""
    stored = {(r.organisation, r.request) for r in _stored_orders(run)}
    for contents in run.contents_by_group.values():
        stored.update((e.organisation, e.request) for e in contents.edits)
    return stored


@CHECKS.register("acknowledged-is-kept")
def check_acknowledged(run: Run) -> Iterator[str]:
    """Acknowledged writes are completely stored at the end."""
    orders = _stored_orders(run)
    stored = _stored_request_names(run)
    for attempt in answered_attempts(run):
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
    """A write is not stored if all its attempts ended as "not run"."""
    stored = _stored_request_names(run)
    attempts_by_request = defaultdict(list)
    for attempt in run.attempts:
        if attempt.operation.writes:
            name = (attempt.organisation, attempt.request)
            attempts_by_request[name].append(attempt)
    for name, attempts in attempts_by_request.items():
        if name in stored and all(reported_not_run(a) for a in attempts):
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
