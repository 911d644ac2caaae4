"""Whom a full target serves next: organisations, kinds, long jobs."""

from redwingpost.scheduling.fair import FairQueue, Flow
from redwingpost.scheduling.long_jobs import (
    LONG_HOMES,
    LONG_S,
    JobLengths,
    shape_of,
)

__all__ = [
    "FairQueue",
    "Flow",
    "JobLengths",
    "LONG_HOMES",
    "LONG_S",
    "shape_of",
]
