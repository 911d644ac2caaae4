"""Data centres that the operator has ordered to be evacuated.

From the order until it is withdrawn no member there may get statements. A
replica stops getting them at once, since other members serve its reads. A
primary goes on until another member leads, at most for ``work_s``: callers
would be refused meanwhile although the order allows a few seconds.
"""

from collections.abc import Iterable

#: Fraction of the time that an order allows in which this VM goes on sending
#: statements to a primary: the rest is left for the delays of the feed and
#: of statements that wait for a connection.
EVACUATION_WORK_FRACTION = 0.5

#: Seconds after an outage of the store in which an order that arrives may
#: have been in force for long.
STALE_ORDER_S = 1.0


class Evacuations:
    """The data centres with an order in force, and since when.

    Parameters
    ----------
    work_s : float
        Seconds from an order's arrival in which a primary still gets
        statements.

    Examples
    --------
    >>> evacuations = Evacuations(work_s=2.5)
    >>> evacuations.replace(frozenset(), now=1.0)
    >>> evacuations.put("dc-a", now=7.0)
    >>> evacuations.is_ordered("dc-a"), evacuations.work_ends_at("dc-a")
    (True, 9.5)
    >>> evacuations.withdraw("dc-a")
    >>> evacuations.work_ends_at("dc-a")
    inf
    """

    def __init__(self, work_s: float = 2.5) -> None:
        self._work_s = work_s
        self._since_by_data_centre: dict[str, float] = {}
        self._outage_at = float("-inf")
        self._has_read = False

    @property
    def data_centres(self) -> frozenset[str]:
        """The data centres with an order in force."""
        return frozenset(self._since_by_data_centre)

    def note_outage(self, now: float) -> None:
        """Record that the store is, or was until now, unavailable."""
        self._outage_at = now

    def put(self, data_centre: str, now: float) -> None:
        """Apply an order; one that may be old allows no further work."""
        is_fresh = self._has_read and now >= self._outage_at + STALE_ORDER_S
        since = now if is_fresh else float("-inf")
        self._since_by_data_centre.setdefault(data_centre, since)

    def withdraw(self, data_centre: str) -> None:
        """Apply the withdrawal of an order."""
        self._since_by_data_centre.pop(data_centre, None)

    def replace(self, data_centres: Iterable[str], now: float) -> None:
        """Replace all orders by those in force."""
        present = frozenset(data_centres)
        for data_centre in self.data_centres - present:
            self.withdraw(data_centre)
        for data_centre in present:
            self.put(data_centre, now)
        self._has_read = True

    def is_ordered(self, data_centre: str) -> bool:
        """Return whether an order for a data centre is in force."""
        return data_centre in self._since_by_data_centre

    def work_ends_at(self, data_centre: str) -> float:
        """Return when members there get no more statements (seconds).

        Infinite without an order.
        """
        since = self._since_by_data_centre.get(data_centre)
        return float("inf") if since is None else since + self._work_s
