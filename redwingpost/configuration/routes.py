"""Rules for routes, database groups and organisations.

A database name that callers use is a route to a database group, with the
consistency that its reads require.
"""

from enum import Enum
from typing import NamedTuple


class Consistency(Enum):
    """The commits that a read must see.

    ``PRIMARY``: every commit acknowledged before the read began.
    ``STATED_AGE``: every commit older than the route's
    ``max_staleness_s``.
    ``READ_YOUR_WRITES``: as ``STATED_AGE``, and every commit of the
    read's own session.
    """

    PRIMARY = "primary"
    STATED_AGE = "stated-age"
    READ_YOUR_WRITES = "read-your-writes"


class RouteRule(NamedTuple):
    """The route of one database name; times are seconds.

    ``priority`` 0 is the highest. ``timeout_s`` limits one statement;
    ``target_latency_s`` is the intended duration of a whole operation.
    Statements go only to members and homes in ``regions``; None allows all.
    """

    database: str
    group: str
    consistency: Consistency
    timeout_s: float
    target_latency_s: float
    priority: int
    max_staleness_s: float
    is_public: bool
    regions: frozenset[str] | None = None


class GroupRule(NamedTuple):
    """One database group.

    ``max_connections`` limits the connections of all callers to each
    member. A commit is acknowledged once ``sync_replicas`` replicas have
    it. All VMs together send a cold member at most ``cold_rate`` statements
    per second (None: no limit). A member that doesn't state how long it
    remains cold is cold for ``cold_s`` seconds after a restart.
    """

    group: str
    max_connections: int
    sync_replicas: int
    cold_rate: float | None = None
    cold_s: float = 0.0


class OrganisationRule(NamedTuple):
    """One organisation; ``rate`` is operations/s, ``burst`` operations.

    ``regions`` restricts its statements as that of a route does; if both
    restrict, a member's region must be in both.
    """

    name: str
    keys: frozenset[str]
    rate: float
    burst: float
    priority: int
    regions: frozenset[str] | None = None


class ServiceRules(NamedTuple):
    """All rules of one configuration version, indexed for look-up."""

    version: int
    routes_by_database: dict[str, RouteRule]
    groups_by_name: dict[str, GroupRule]
    organisations_by_name: dict[str, OrganisationRule]
    organisations_by_key: dict[str, OrganisationRule]
    idle_transaction_s: float

    def has_few_connections(self, max_connections: int) -> bool:
        """Return whether organisations outnumber a member's connections.

        Not each of them can then have a connection of its own, and
        statements compete for what the others leave.
        """
        return max_connections < len(self.organisations_by_name)

    def organisation_of(self, key: str) -> OrganisationRule | None:
        """Return the organisation that a key is granted to, if any."""
        return self.organisations_by_key.get(key)


NO_RULES = ServiceRules(0, {}, {}, {}, {}, 3.0)
