"""Which connection to one member serves which organisation next.

A connection is opened for one organisation and costs the member a slot
for about 12 ms; a member takes a few dozen in all. Load pattern: eight
organisations of very different size at a VM that may hold four
connections. With a fixed part each, the large ones wait while those of
the small ones rest. Here any organisation may take any place: an idle
connection of its own, else a free place, else the place of whoever has
used theirs least lately.
"""

from collections import OrderedDict
from typing import NamedTuple

from redwingpost.admission.connections import data_connections
from redwingpost.core.statements import Shape
from redwingpost.ports.database import DatabaseLink
from redwingpost.statements.setup import LinkContents, setup_count

#: Control connections of one VM to one member: status and takeover.
CONTROL_LINKS = 1

#: How far a VM may go beyond its equal part while no member refuses:
#: traffic per VM is uneven, and the equal part of most VMs rests.
OVERSHOOT = 1.25

#: Seconds for which a VM keeps to its equal part after a member refused
#: a connection: long enough for others to give theirs back.
KEEP_TO_SHARE_S = 2.0

#: Seconds between tries at a member that has just refused one.
REFUSED_PAUSE_S = 0.05

#: Seconds after which an idle connection closes. A VM that loses power
#: leaves its connections behind, and a member counts them for seconds
#: more. With full pools, a fleet that starts again after it lost power
#: finds hardly a place and refuses callers until the rest time out. The
#: price is more new connections on a calm day.
IDLE_S = 1.5

#: The same at a home: few VMs share a member's connections, and an
#: organisation that comes back finds its own.
HOME_IDLE_S = 10.0


class PooledLink:
    """A connection and what it holds.

    ``last_used`` is seconds. ``is_dropped`` is set once its place has
    been given up, so that nobody gives it up twice. Compared by identity.
    """

    def __init__(self, link: DatabaseLink, organisation: str) -> None:
        self.link = link
        self.organisation = organisation
        self.contents = LinkContents()
        self.last_used = 0.0
        self.is_dropped = False


class Open(NamedTuple):
    """Open a connection, after closing ``instead_of`` if given."""

    instead_of: PooledLink | None


class Busy(NamedTuple):
    """All places are in use; wait until one is given back."""


class ConnectionBudget:
    """How many connections this VM may hold to one member.

    Examples
    --------
    >>> budget = ConnectionBudget()
    >>> budget.set_terms(max_connections=32, vms=6)
    >>> budget.allowed(now=1.0)
    5
    >>> budget.note_refused(now=1.0)
    >>> budget.allowed(now=1.5), budget.allowed(now=4.0)
    (4, 5)
    """

    def __init__(self) -> None:
        self.share = 1
        self.idle_s = IDLE_S
        self._refused_at = float("-inf")

    def set_terms(
        self, max_connections: int, vms: int, idle_s: float = IDLE_S
    ) -> None:
        """Take the member's limit and how many VMs share it.

        ``idle_s`` is after how long an idle connection closes (seconds).
        """
        self.idle_s = idle_s
        self.share = data_connections(max_connections, vms, CONTROL_LINKS)

    def note_refused(self, now: float) -> None:
        """Note that the member took no further connection."""
        self._refused_at = now

    def may_open(self, now: float) -> bool:
        """Say whether a new connection is worth a try.

        Without a pause each of the statements that wait would try for
        itself: 4,500 refused connections in a day of one minute.
        """
        return now - self._refused_at >= REFUSED_PAUSE_S

    def allowed(self, now: float) -> int:
        """Return how many connections may stand at ``now`` (seconds)."""
        if now - self._refused_at < KEEP_TO_SHARE_S:
            return self.share
        return max(self.share, int(self.share * OVERSHOOT))


class MemberPool:
    """The connections of this VM to one member."""

    def __init__(self, budget: ConnectionBudget) -> None:
        self._budget = budget
        self._idle: OrderedDict[PooledLink, None] = OrderedDict()
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Return the connections that run or await a statement."""
        return self._in_use

    def has_idle(self, organisation: str) -> bool:
        """Say whether an organisation finds a connection at once."""
        return any(item.organisation == organisation for item in self._idle)

    def take(
        self,
        organisation: str,
        values_by_name: dict[str, str],
        shape: Shape | None,
        now: float,
    ) -> PooledLink | Open | Busy:
        """Claim a place for one organisation's statement.

        Parameters
        ----------
        organisation : str
            Whose statement it is.
        values_by_name : dict
            The session's values: a connection that holds them already
            needs no set-up.
        shape : Shape or None
            The prepared statement that is about to run.
        now : float
            Seconds.
        """
        found = self._best_idle(organisation, values_by_name, shape)
        if found is not None:
            del self._idle[found]
            self._in_use += 1
            return found
        in_all = self._in_use + len(self._idle)
        if in_all < self._budget.allowed(now) and self._budget.may_open(now):
            self._in_use += 1
            return Open(None)
        if self._idle:
            oldest, _ = self._idle.popitem(last=False)
            self._in_use += 1
            return Open(oldest)
        return Busy()

    def give_back(self, item: PooledLink, now: float) -> None:
        """Return a connection that can serve again."""
        self._in_use -= 1
        item.last_used = now
        self._idle[item] = None

    def drop(self) -> None:
        """Give up a claimed place whose connection is no more."""
        self._in_use -= 1

    def close_idle(self, now: float, all_of_them: bool) -> list[PooledLink]:
        """Remove idle connections that should close; return them.

        Parameters
        ----------
        now : float
            Seconds.
        all_of_them : bool
            True where the member gets no new work.
        """
        closing = []
        for item in tuple(self._idle):
            is_old = now - item.last_used > self._budget.idle_s
            if all_of_them or is_old or not item.link.is_open:
                del self._idle[item]
                closing.append(item)
        return closing

    def _best_idle(
        self,
        organisation: str,
        values_by_name: dict[str, str],
        shape: Shape | None,
    ) -> PooledLink | None:
        """Return the connection that lacks least, of equals the last used.

        Whatever it lacks costs the member and this VM an exchange.
        """
        own = [
            item
            for item in reversed(self._idle)
            if item.organisation == organisation and item.link.is_open
        ]

        def lacks(item: PooledLink) -> int:
            return setup_count(item.contents, values_by_name, shape)

        return min(own, key=lacks, default=None)
