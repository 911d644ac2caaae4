"""Pool of a VM's connections to one member, shared by organisations.

A connection is opened for one organisation; opening it occupies one of
the member's slots for about 12 ms, and a member accepts a few dozen
connections. Load pattern: eight organisations of very different size at a
VM that may hold four connections. With a fixed quota for each, statements
of the large ones would wait while connections of the small ones are idle.
Here a statement gets an idle connection of its organisation, else a new
connection while the budget allows one, else a new one in place of the
least recently used idle connection of any organisation.
"""

from collections import OrderedDict
from typing import NamedTuple

from redwingpost.admission.connections import data_connections
from redwingpost.core.statements import Shape
from redwingpost.ports.database import DatabaseLink
from redwingpost.statements.setup import LinkContents, count_setup_steps

#: Control connections of one VM to one member, for status and takeover
#: requests.
CONTROL_CONNECTIONS = 1

#: Multiple of its equal share that a VM may open while no member refuses
#: connections: traffic per VM is uneven, and most VMs don't use up their
#: equal share.
OVERSHOOT_FACTOR = 1.25

#: Seconds for which a VM keeps to its equal share after a member refused a
#: connection: long enough for other VMs to close theirs.
EQUAL_SHARE_AFTER_REFUSAL_S = 2.0

#: Seconds before a connection is tried again at a member that refused one.
RETRY_AFTER_REFUSAL_S = 0.05

#: Seconds after which an idle connection closes. When a VM loses power, the
#: member counts its connections for some more seconds. If all pools were
#: full, a fleet that restarts after a power loss could hardly connect and
#: would refuse callers until the old connections time out. The cost is more
#: new connections at low load.
IDLE_S = 1.5

#: The same at a home. Few VMs share the member's connections there, so a
#: returning organisation can find its own connection still open.
HOME_IDLE_S = 10.0


class PooledLink:
    """A connection to a member and its session state.

    ``last_used_at`` is in seconds. ``is_dropped`` is set once the pool no
    longer counts it, so that it isn't subtracted twice. ``ticket`` is the
    admission ticket of the statement that claimed it, ``ran_s`` how long
    that statement took until its answer (seconds). Compared by identity.
    """

    def __init__(self, link: DatabaseLink, organisation: str) -> None:
        self.link = link
        self.organisation = organisation
        self.contents = LinkContents()
        self.last_used_at = 0.0
        self.is_dropped = False
        self.ticket: int | None = None
        self.ran_s: float | None = None


class Open(NamedTuple):
    """Open a new connection; close ``evicted`` first if given."""

    evicted: PooledLink | None


class Busy(NamedTuple):
    """All allowed connections are in use; wait for one."""


class ConnectionBudget:
    """Number of connections that this VM may hold to one member.

    Examples
    --------
    >>> budget = ConnectionBudget()
    >>> budget.set_limits(max_connections=32, vms=6)
    >>> budget.allowed(now=1.0)
    5
    >>> budget.note_refused(now=1.0)
    >>> budget.allowed(now=1.5), budget.allowed(now=4.0)
    (4, 5)
    """

    def __init__(self) -> None:
        self.share = 1
        self.idle_s = IDLE_S
        #: Whether VMs that aren't heard share the member's connections. They
        #: use their shares, so nothing is left beyond this VM's.
        self.is_cut = False
        self._refused_at = float("-inf")

    def set_limits(
        self, max_connections: int, vms: int, idle_s: float = IDLE_S
    ) -> None:
        """Set the member's limit and the number of VMs that share it.

        Idle connections close after ``idle_s`` seconds.
        """
        self.idle_s = idle_s
        self.share = data_connections(
            max_connections, vms, CONTROL_CONNECTIONS
        )

    def note_refused(self, now: float) -> None:
        """Record that the member refused a connection."""
        self._refused_at = now

    def may_open(self, now: float) -> bool:
        """Return whether a new connection may be tried.

        Without a pause after a refusal every waiting statement would try
        to connect: 4,500 refused connections in a run of one minute.
        """
        return now - self._refused_at >= RETRY_AFTER_REFUSAL_S

    def allowed(self, now: float) -> int:
        """Return how many connections may be open at ``now`` (seconds)."""
        if self.is_cut or now - self._refused_at < EQUAL_SHARE_AFTER_REFUSAL_S:
            return self.share
        return max(self.share, int(self.share * OVERSHOOT_FACTOR))


class MemberPool:
    """The connections of this VM to one member."""

    def __init__(self, budget: ConnectionBudget) -> None:
        self._budget = budget
        self._idle: OrderedDict[PooledLink, None] = OrderedDict()
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Return how many connections are claimed by statements."""
        return self._in_use

    @property
    def open_connections(self) -> int:
        """Return how many connections are open or being opened."""
        return self._in_use + len(self._idle)

    @property
    def has_links(self) -> bool:
        """Whether a connection is idle or claimed."""
        return self.open_connections > 0

    def has_idle(self, organisation: str) -> bool:
        """Return whether an organisation has an idle connection."""
        return any(
            pooled.organisation == organisation for pooled in self._idle
        )

    def take(
        self,
        organisation: str,
        values_by_name: dict[str, str],
        shape: Shape | None,
        now: float,
    ) -> PooledLink | Open | Busy:
        """Claim a connection for one organisation's statement.

        Parameters
        ----------
        organisation : str
            The statement's organisation.
        values_by_name : dict
            The session's values; a connection that has them already
            needs no set-up.
        shape : Shape or None
            The prepared statement that is about to run.
        now : float
            Seconds.

        Returns
        -------
        PooledLink, Open or Busy
            An idle connection, permission to open a new one, or neither.
        """
        idle = self._best_idle(organisation, values_by_name, shape)
        if idle is not None:
            del self._idle[idle]
            self._in_use += 1
            return idle
        total = self._in_use + len(self._idle)
        if total < self._budget.allowed(now) and self._budget.may_open(now):
            self._in_use += 1
            return Open(None)
        if self._idle:
            oldest, _ = self._idle.popitem(last=False)
            self._in_use += 1
            return Open(oldest)
        return Busy()

    def give_back(self, pooled: PooledLink, now: float) -> None:
        """Return a claimed connection to the pool."""
        self._in_use -= 1
        pooled.last_used_at = now
        self._idle[pooled] = None

    def drop(self) -> None:
        """Stop counting a claimed connection that is closed."""
        self._in_use -= 1

    def close_idle(self, now: float, close_all: bool) -> list[PooledLink]:
        """Remove idle connections that should close; return them.

        In a cut these include those beyond this VM's share, the least
        recently used first.

        Parameters
        ----------
        now : float
            Seconds.
        close_all : bool
            True if the member gets no new work.
        """
        closing = []
        for pooled in tuple(self._idle):
            is_expired = now - pooled.last_used_at > self._budget.idle_s
            is_surplus = (
                self._budget.is_cut
                and self._in_use + len(self._idle) > self._budget.share
            )
            if (
                close_all
                or is_expired
                or is_surplus
                or not pooled.link.is_open
            ):
                del self._idle[pooled]
                closing.append(pooled)
        return closing

    def _best_idle(
        self,
        organisation: str,
        values_by_name: dict[str, str],
        shape: Shape | None,
    ) -> PooledLink | None:
        """Return the idle connection that needs the fewest set-up steps.

        Each step costs the member and this VM an exchange. Among equals
        the most recently used connection is chosen.
        """
        candidates = [
            pooled
            for pooled in reversed(self._idle)
            if pooled.organisation == organisation and pooled.link.is_open
        ]

        def missing_steps(pooled: PooledLink) -> int:
            return count_setup_steps(pooled.contents, values_by_name, shape)

        return min(candidates, key=missing_steps, default=None)
