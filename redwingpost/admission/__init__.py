"""What a target takes: limits, queues, early refusal, connections."""

from redwingpost.admission.breaker import State, TargetBreaker
from redwingpost.admission.connections import (
    CONTROL_LINES,
    data_connections,
)
from redwingpost.admission.desk import (
    Arrival,
    Desk,
    MemberLoad,
    Verdict,
)
from redwingpost.admission.limits import ConcurrencyLimit
from redwingpost.admission.queue import (
    MAX_QUEUED,
    Backlog,
    DrainRate,
    ServiceTimes,
    estimate_wait,
    judge_arrival,
    refuse_full,
)

__all__ = [
    "Arrival",
    "Desk",
    "DrainRate",
    "MemberLoad",
    "Verdict",
    "Backlog",
    "CONTROL_LINES",
    "ConcurrencyLimit",
    "MAX_QUEUED",
    "ServiceTimes",
    "State",
    "TargetBreaker",
    "data_connections",
    "estimate_wait",
    "judge_arrival",
    "refuse_full",
]
