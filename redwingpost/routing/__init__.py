"""Choice of the member for a read, and when to wait for a replica."""

from redwingpost.routing.choose import may_wait
from redwingpost.routing.freshness import (
    holds,
    is_recent_enough,
    is_trusted,
)
from redwingpost.routing.policies import POLICIES, Candidate

__all__ = [
    "Candidate",
    "POLICIES",
    "holds",
    "is_recent_enough",
    "is_trusted",
    "may_wait",
]
