"""Leases on rows of the table service: who may act, and until when."""

from redwingpost.leases.keeper import LeaseKeeper, LeaseStep
from redwingpost.leases.lease import (
    CLOCK_RATE_ERROR,
    LeaseRow,
    holder_valid_until,
    others_wait_until,
)

__all__ = [
    "CLOCK_RATE_ERROR",
    "LeaseKeeper",
    "LeaseRow",
    "LeaseStep",
    "holder_valid_until",
    "others_wait_until",
]
