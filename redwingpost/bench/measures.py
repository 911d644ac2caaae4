"""The measures of a run, as the JSON that ``--json`` writes.

Rates, refusals and latencies come from what callers received. What
callers can't see (which member served a read, processor time, control
bytes) is counted outside the proxies and handed in as `Counts`.
"""

from collections import Counter
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

from redwingpost.bench.checks import CHECKS, over_rate_by_organisation
from redwingpost.bench.history import Attempt, Operation, Run, Verdict
from redwingpost.bench.oracle import Violation
from redwingpost.bench.service import (
    measure_by_organisation,
    request_outcomes,
    worst_fair_share_ratio,
)
from redwingpost.bench.sites import Site

#: Histogram range: 1 microsecond to 60 s with three digits.
_MIN_US, _MAX_US, _DIGITS = 1, 60_000_000, 3


class Counts(NamedTuple):
    """What was counted beside the history; None where it was not.

    Reads are those that members served; ``control_bytes`` are the
    bytes that agents and proxies exchanged among themselves and with
    the platform, over all VMs.
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
    """Milliseconds from the time a request was due to its answer."""

    p50: float
    p99: float
    p999: float


class Measures(TypedDict):
    """One run's measures; see docs/design/bench.md for each."""

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
    """Return seconds from the loss to the first acknowledged write.

    Only writes sent after the loss count: one that was under way may
    have been answered by the primary that is gone.
    """
    acknowledged = [
        attempt.received_at
        for attempt in run.attempts
        if attempt.group == group
        and attempt.operation.writes
        and attempt.verdict is Verdict.ANSWERED
        and attempt.sent_at >= lost_at
    ]
    return min(acknowledged) - lost_at if acknowledged else None


def _under_valid_keys(run: Run) -> tuple[Attempt, ...]:
    """Leave out callers whose key was withdrawn: refusing them is right."""
    return tuple(
        attempt
        for attempt in run.attempts
        if (attempt.organisation, attempt.credential) not in run.withdrawn_at
    )


def withdrawal_in_force(run: Run) -> float | None:
    """Return seconds until withdrawn keys served nothing any more.

    Counted from the acceptance to the sending of the last request that
    was still answered; None where no key was withdrawn.
    """
    if not run.withdrawn_at:
        return None
    late = [
        attempt.sent_at - run.withdrawn_at[name]
        for attempt in run.attempts
        if (name := (attempt.organisation, attempt.credential))
        in run.withdrawn_at
        and attempt.verdict is Verdict.ANSWERED
    ]
    return round(max([0.0, *late]), 3)


def latency_ms(run: Run) -> Latency:
    """Return quantiles over the answered attempts, long jobs apart."""
    histogram = HdrHistogram(_MIN_US, _MAX_US, _DIGITS)
    for attempt in run.attempts:
        if attempt.verdict is not Verdict.ANSWERED:
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
        "lost" if attempt.verdict is Verdict.LOST else str(attempt.code)
        for attempt in run.attempts
        if attempt.verdict is not Verdict.ANSWERED
    )
    return dict(sorted(codes.items()))


def _share(part: int, whole: int) -> float | None:
    return round(part / whole, 4) if whole else None


def _per(amount: float | None, units: float) -> float | None:
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
    """Work out every measure of a finished run.

    Parameters
    ----------
    scenario, seed, policy : str, int, str
        Names of the run.
    site : Site
        Its weights by request kind apply.
    run : Run
        The history with the targets' final contents.
    violations : list of Violation
        What the oracle found in it.
    counts : Counts
        What callers can't see.

    Returns
    -------
    Measures
        Ready to be written as JSON.
    """
    requests = request_outcomes(_under_valid_keys(run))
    services = measure_by_organisation(
        requests, run.grants_by_organisation, site.weights_by_kind
    )
    weights = {o.name: o.weight for o in site.organisations}
    ratios = [service.ratio for service in services.values()]
    wrongful = sum(service.wrongful for service in services.values())
    entitled = sum(service.entitled for service in services.values())
    statements = sum(a.verdict is Verdict.ANSWERED for a in run.attempts)
    gap = None
    if counts.lost_at is not None:
        gap = failover_gap(run, counts.lost_group, counts.lost_at)
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
        failover_gap_s=None if gap is None else round(gap, 3),
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
        cpu_s_per_1000_statements=_per(counts.cpu_s, statements / 1000.0),
        control_bytes_per_s_per_vm=_per(
            counts.control_bytes, counts.duration_s * counts.vms
        ),
    )
