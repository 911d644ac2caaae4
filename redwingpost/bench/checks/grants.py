"""Checks of who was answered, from where, and how often."""

from collections import defaultdict
from collections.abc import Iterator

from redwingpost.bench.checks.registry import (
    CHECKS,
    CLOCK_TOLERANCE_S,
    answered,
)
from redwingpost.bench.history import Attempt, Operation, Run, is_whole
from redwingpost.bench.token_bucket import Interval, count_over_rate

#: Seconds within which a withdrawn key has to stop working everywhere.
WITHDRAWAL_GRACE_S = 2.0


@CHECKS.register("right-caller")
def check_right_caller(run: Run) -> Iterator[str]:
    """Every answer is whole and belongs to the request it answers."""
    for attempt in answered(run):
        seen = attempt.seen
        if seen is None:
            continue
        if seen.answers != attempt.request:
            yield f"{attempt.request} got the answer of {seen.answers}"
        elif seen.organisation not in ("", attempt.organisation):
            yield f"{attempt.request} got a row of {seen.organisation}"
        elif seen.revision and not is_whole(seen.body):
            yield f"{attempt.request} got a body that no edit stored"


@CHECKS.register("isolation")
def check_isolation(run: Run) -> Iterator[str]:
    """Nothing runs on a group that the organisation may not reach."""
    for attempt in answered(run):
        grant = run.grants_by_organisation.get(attempt.organisation)
        if grant is None or attempt.group not in grant.groups:
            yield (
                f"{attempt.request} of {attempt.organisation} was "
                f"answered from {attempt.group}"
            )


@CHECKS.register("withdrawn-keys")
def check_withdrawn_keys(run: Run) -> Iterator[str]:
    """A withdrawn or foreign key stops working within the grace."""
    for attempt in answered(run):
        name = (attempt.organisation, attempt.credential)
        withdrawn_at = run.withdrawn_at.get(name)
        if withdrawn_at is None:
            continue
        late_s = attempt.sent_at - withdrawn_at
        if late_s > WITHDRAWAL_GRACE_S:
            yield f"{attempt.request} ran {late_s:.2f} s after withdrawal"


@CHECKS.register("rate-and-burst")
def check_rates(run: Run) -> Iterator[str]:
    """No organisation got more than its rate and burst, over all VMs."""
    for organisation, over in over_rate_by_organisation(run).items():
        if over:
            yield f"{organisation} got {over} answers above its rate"


def statements_of(attempt: Attempt) -> int:
    """Return how many tokens an attempt costs (a commit is free)."""
    return 2 if attempt.operation is Operation.PAIR else 1


def over_rate_by_organisation(run: Run) -> dict[str, int]:
    """Count the answers above rate and burst by organisation."""
    intervals_by_organisation = defaultdict(list)
    for attempt in answered(run):
        interval = Interval(attempt.sent_at, attempt.received_at)
        spent = [interval] * statements_of(attempt)
        intervals_by_organisation[attempt.organisation].extend(spent)
    return {
        organisation: count_over_rate(
            intervals_by_organisation[organisation],
            grant.rate,
            grant.burst,
            CLOCK_TOLERANCE_S,
        )
        for organisation, grant in run.grants_by_organisation.items()
    }
