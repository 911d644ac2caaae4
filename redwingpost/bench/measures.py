"""The measures of a run, as written by ``--json``.

Rates, refusals and latencies are computed from what callers received.
What callers don't receive (which member served a read, processor time,
control bytes) is counted outside the proxies and passed as `Counts`.
"""

from collections import Counter
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

from redwingpost.bench.checks import CHECKS, over_rate_by_organisation
from redwingpost.bench.history import Attempt, AttemptResult, Operation, Run
from redwingpost.bench.oracle import Violation
from redwingpost.bench.service import (
    measure_by_organisation,
    request_outcomes,
    worst_fair_share_ratio,
)
from redwingpost.bench.sites import Site

#: Histogram range, 1 µs to 60 s, and its significant digits.
_MIN_US, _MAX_US, _DIGITS = 1, 60_000_000, 3


class Counts(NamedTuple):
    """Counts that the history lacks; None where nothing was counted.

    Reads are those that members served. ``lost_at`` is when the primary
    of ``lost_group`` was lost. ``control_bytes`` are the bytes that
    agents and proxies exchanged among themselves and with the platform,
    over all VMs.
    """

    duration_s: float = 0.0
    reads: int = 0
    replica_reads: int = 0
    tolerant_reads: int = 0
    tolerant_replica_reads: int = 0
    lost_at: float | None = None
    lost_group: str = ""
    config_in_force_s: float | None = None
    withdrawal_in_force_s: float | None = None
    unfinished_on_stop: int = 0
    cpu_s: float | None = None
    control_bytes: float | None = None
    vms: int = 6


class Latency(TypedDict):
    """Milliseconds from a request's due time to its answer."""

    p50: float
    p99: float
    p999: float


class Measures(TypedDict):
    """The measures of one run; docs/design/bench.md defines them."""

    scenario: str
    site: str
    seed: int
    policy: str
    duration_s: float
    requests: int
    answered: int
    violations: list[dict[str, str]]
    replica_read_share: float | None
    replica_read_share_tolerant: float | None
    failover_gap_s: float | None
    worst_organisation_ratio: float
    worst_fair_share_ratio: float
    wrongful_refusals: int
    wrongful_refusal_share: float
    unknown_outcomes: int
    refusals_by_code: dict[str, int]
    latency_ms: Latency
    config_in_force_s: float | None
    withdrawal_in_force_s: float | None
    over_rate_grants: int
    double_runs: int
    false_not_run: int
    lost_acknowledged: int
    unfinished_on_stop: int
    cpu_s_per_1000_statements: float | None
    control_bytes_per_s_per_vm: float | None


def failover_gap(run: Run, group: str, lost_at: float) -> float | None:
    """Return seconds from a primary's loss to the next acknowledged write.

    Only writes sent after the loss count: an earlier one may have been
    answered by the lost primary.
    """
    acknowledged = [
        attempt.received_at
        for attempt in run.attempts
        if attempt.group == group
        and attempt.operation.writes
        and attempt.verdict is AttemptResult.ANSWERED
        and attempt.sent_at >= lost_at
    ]
    return min(acknowledged) - lost_at if acknowledged else None


def _attempts_with_valid_keys(run: Run) -> tuple[Attempt, ...]:
    """Return the attempts whose key was valid throughout the run.

    Refusing a withdrawn key is correct and no wrongful refusal.
    """
    return tuple(
        attempt
        for attempt in run.attempts
        if (attempt.organisation, attempt.credential) not in run.withdrawn_at
    )


def withdrawal_in_force(run: Run) -> float | None:
    """Return seconds until all proxies refused the withdrawn keys.

    The time runs from the acceptance of a withdrawal to the sending of the
    last request that was answered; None if no key was withdrawn.
    """
    if not run.withdrawn_at:
        return None
    delays_s = [
        attempt.sent_at - run.withdrawn_at[name]
        for attempt in run.attempts
        if (name := (attempt.organisation, attempt.credential))
        in run.withdrawn_at
        and attempt.verdict is AttemptResult.ANSWERED
    ]
    return round(max([0.0, *delays_s]), 3)


def latency_ms(run: Run) -> Latency:
    """Return quantiles over the answered attempts except long jobs."""
    histogram = HdrHistogram(_MIN_US, _MAX_US, _DIGITS)
    for attempt in run.attempts:
        if attempt.verdict is not AttemptResult.ANSWERED:
            continue
        if attempt.operation is Operation.JOB:
            continue
        micros = int((attempt.received_at - attempt.due_at) * 1e6)
        histogram.record_value(max(_MIN_US, min(_MAX_US, micros)))
    p50, p99, p999 = (
        round(histogram.get_value_at_percentile(p) / 1000.0, 3)
        for p in (50.0, 99.0, 99.9)
    )
    return Latency(p50=p50, p99=p99, p999=p999)


def refusals_by_code(run: Run) -> dict[str, int]:
    """Count the attempts without an answer by code, or as ``lost``."""
    codes = Counter(
        "lost" if attempt.verdict is AttemptResult.LOST else str(attempt.code)
        for attempt in run.attempts
        if attempt.verdict is not AttemptResult.ANSWERED
    )
    return dict(sorted(codes.items()))


def _share(part: int, whole: int) -> float | None:
    return round(part / whole, 4) if whole else None


def _divide(amount: float | None, units: float) -> float | None:
    if amount is None or not units:
        return None
    return round(amount / units, 4)


def _count(violations: list[Violation], promise: str) -> int:
    CHECKS.get(promise)
    return sum(violation.promise == promise for violation in violations)


def measure(
    scenario: str,
    site: Site,
    seed: int,
    policy: str,
    run: Run,
    violations: list[Violation],
    counts: Counts,
) -> Measures:
    """Compute all measures of a finished run.

    Parameters
    ----------
    scenario, seed, policy : str, int, str
        Identify the run.
    site : Site
        The site of the run, with its weights by request kind.
    run : Run
        The history with the targets' final contents.
    violations : list of Violation
        The violations that the oracle found.
    counts : Counts
        Counts that the history lacks.

    Returns
    -------
    Measures
        Ready to be written as JSON.
    """
    requests = request_outcomes(_attempts_with_valid_keys(run))
    services = measure_by_organisation(
        requests, run.grants_by_organisation, site.weights_by_kind
    )
    weights = {o.name: o.weight for o in site.organisations}
    ratios = [service.ratio for service in services.values()]
    wrongful = sum(service.wrongful for service in services.values())
    entitled = sum(service.entitled for service in services.values())
    statements = sum(a.verdict is AttemptResult.ANSWERED for a in run.attempts)
    gap_s = None
    if counts.lost_at is not None:
        gap_s = failover_gap(run, counts.lost_group, counts.lost_at)
    return Measures(
        scenario=scenario,
        site=site.name,
        seed=seed,
        policy=policy,
        duration_s=round(counts.duration_s, 3),
        requests=len(requests),
        answered=sum(request.answered for request in requests),
        violations=[violation._asdict() for violation in violations],
        replica_read_share=_share(counts.replica_reads, counts.reads),
        replica_read_share_tolerant=_share(
            counts.tolerant_replica_reads, counts.tolerant_reads
        ),
        failover_gap_s=None if gap_s is None else round(gap_s, 3),
        worst_organisation_ratio=round(min(ratios, default=1.0), 4),
        worst_fair_share_ratio=round(
            worst_fair_share_ratio(services, weights), 4
        ),
        wrongful_refusals=wrongful,
        wrongful_refusal_share=_share(wrongful, entitled) or 0.0,
        unknown_outcomes=sum(
            not r.answered and not r.refused for r in requests
        ),
        refusals_by_code=refusals_by_code(run),
        latency_ms=latency_ms(run),
        config_in_force_s=counts.config_in_force_s,
        withdrawal_in_force_s=counts.withdrawal_in_force_s,
        over_rate_grants=sum(over_rate_by_organisation(run).values()),
        double_runs=_count(violations, "at-most-once"),
        false_not_run=_count(violations, "not-run-is-true"),
        lost_acknowledged=_count(violations, "acknowledged-is-kept"),
        unfinished_on_stop=counts.unfinished_on_stop,
        cpu_s_per_1000_statements=_divide(counts.cpu_s, statements / 1000.0),
        control_bytes_per_s_per_vm=_divide(
            counts.control_bytes, counts.duration_s * counts.vms
        ),
    )
