"""Where reads go, and when to wait for a replica."""

from redwingpost.routing.choose import may_wait
from redwingpost.routing.freshness import holds, is_trusted, is_young
from redwingpost.routing.policies import POLICIES, Candidate

__all__ = [
    "Candidate",
    "POLICIES",
    "holds",
    "is_trusted",
    "is_young",
    "may_wait",
]
