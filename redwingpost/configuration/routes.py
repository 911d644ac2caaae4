"""Routes, groups and organisations as the node decides by them.

A database name that callers ask for is a route to a group of members,
with the consistency that its reads need.
"""

from enum import Enum
from typing import NamedTuple


class Consistency(Enum):
    """What a read must see.

    ``PRIMARY``: every commit acknowledged before it began.
    ``STATED_AGE``: every commit older than the route's stated age.
    ``READ_YOUR_WRITES``: that, and every commit of its own session.
    """

    PRIMARY = "primary"
    STATED_AGE = "stated-age"
    READ_YOUR_WRITES = "read-your-writes"


class RouteRule(NamedTuple):
    """One database name; times are seconds.

    ``priority`` 0 goes first. ``timeout_s`` limits one statement;
    ``target_latency_s`` is what a whole operation should take.
    """

    database: str
    group: str
    consistency: Consistency
    timeout_s: float
    target_latency_s: float
    priority: int
    max_staleness_s: float
    is_public: bool


class GroupRule(NamedTuple):
    """One group of members.

    ``max_connections`` counts at each member, over all callers;
    ``sync_replicas`` replicas hold a commit before it is acknowledged.
    """

    group: str
    max_connections: int
    sync_replicas: int


class OrganisationRule(NamedTuple):
    """One organisation: its keys, operations a second, and burst."""

    name: str
    keys: frozenset[str]
    rate: float
    burst: float
    priority: int


class ServiceRules(NamedTuple):
    """One whole version of the configuration, ready for look-ups."""

    version: int
    routes_by_database: dict[str, RouteRule]
    groups_by_name: dict[str, GroupRule]
    organisations_by_name: dict[str, OrganisationRule]
    organisations_by_key: dict[str, OrganisationRule]
    idle_transaction_s: float

    def organisation_of(self, key: str) -> OrganisationRule | None:
        """Return the organisation that holds a key now."""
        return self.organisations_by_key.get(key)


NO_RULES = ServiceRules(0, {}, {}, {}, {}, 3.0)
