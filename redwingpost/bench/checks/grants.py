"""Checks of answers: the right caller, group, key and rate."""

from collections import defaultdict
from collections.abc import Iterator

from redwingpost.bench.checks.registry import (
    CHECKS,
    CLOCK_TOLERANCE_S,
    answered_attempts,
)
from redwingpost.bench.history import Attempt, Operation, Run, is_whole
from redwingpost.bench.token_bucket import Interval, count_over_rate

#: Seconds within which every proxy has to refuse a withdrawn key.
WITHDRAWAL_GRACE_S = 2.0


@CHECKS.register("right-caller")
def check_right_caller(run: Run) -> Iterator[str]:
    """Every answer is complete and belongs to its request."""
    for attempt in answered_attempts(run):
        seen = attempt.seen
        if seen is None:
            continue
        if seen.answers != attempt.request:
            yield f"{attempt.request} got the answer to {seen.answers}"
        elif seen.organisation not in ("", attempt.organisation):
            yield f"{attempt.request} got a row of {seen.organisation}"
        elif seen.revision and not is_whole(seen.body):
            yield f"{attempt.request} got a body that no edit stored"


@CHECKS.register("isolation")
def check_isolation(run: Run) -> Iterator[str]:
    """No organisation is answered from a group not granted to it."""
    for attempt in answered_attempts(run):
        grant = run.grants_by_organisation.get(attempt.organisation)
        if grant is None or attempt.group not in grant.groups:
            yield (
                f"{attempt.request} of {attempt.organisation} was "
                f"answered from {attempt.group}"
            )


@CHECKS.register("withdrawn-keys")
def check_withdrawn_keys(run: Run) -> Iterator[str]:
    """A withdrawn key stops working within ``WITHDRAWAL_GRACE_S``.

    A key that was never granted must not work at any time.
    """
    for attempt in answered_attempts(run):
        name = (attempt.organisation, attempt.credential)
        withdrawn_at = run.withdrawn_at.get(name)
        if withdrawn_at is None:
            continue
        delay_s = attempt.sent_at - withdrawn_at
        if delay_s > WITHDRAWAL_GRACE_S:
            yield f"{attempt.request} ran {delay_s:.2f} s after withdrawal"


@CHECKS.register("rate-and-burst")
def check_rates(run: Run) -> Iterator[str]:
    """No organisation exceeds its rate and burst over all VMs."""
    for organisation, over in over_rate_by_organisation(run).items():
        if over:
            yield f"{organisation} got {over} answers above its rate"


def token_cost(attempt: Attempt) -> int:
    """Return how many tokens an attempt costs (a commit costs none)."""
    return 2 if attempt.operation is Operation.PAIR else 1


def over_rate_by_organisation(run: Run) -> dict[str, int]:
    """Count the answers above rate and burst for each organisation."""
    intervals_by_organisation = defaultdict(list)
    for attempt in answered_attempts(run):
        interval = Interval(attempt.sent_at, attempt.received_at)
        tokens = [interval] * token_cost(attempt)
        intervals_by_organisation[attempt.organisation].extend(tokens)
    return {
        organisation: count_over_rate(
            intervals_by_organisation[organisation],
            grant.rate,
            grant.burst,
            CLOCK_TOLERANCE_S,
        )
        for organisation, grant in run.grants_by_organisation.items()
    }
