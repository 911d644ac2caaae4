"""Checks of a finished run, registered by the promise they verify."""

from redwingpost.bench.checks.grants import (
    WITHDRAWAL_GRACE_S,
    over_rate_by_organisation,
    token_cost,
)
from redwingpost.bench.checks.reads import check_read_your_writes
from redwingpost.bench.checks.registry import CHECKS, CLOCK_TOLERANCE_S
from redwingpost.bench.checks.writes import check_at_most_once

__all__ = [
    "CHECKS",
    "CLOCK_TOLERANCE_S",
    "WITHDRAWAL_GRACE_S",
    "check_at_most_once",
    "check_read_your_writes",
    "over_rate_by_organisation",
    "token_cost",
]
