"""Up to what time this VM's list of withdrawn keys is confirmed complete.

Guards against a VM or data centre that is cut off: a withdrawal accepted
elsewhere can't reach it, and it would go on serving the key. The list is
confirmed by a read of the store, or by exchanges with a majority of the
data centres: a withdrawal is accepted by an agent of some data centre and
spreads from there to every data centre it can reach. Without the second
way a long outage of the store alone would stop the whole fleet.
"""

from collections.abc import Collection


class ConfirmationClock:
    """Tracks when withdrawals were last confirmed (seconds, own clock).

    Parameters
    ----------
    data_centre : str
        This VM's own, which always counts as reached.

    Examples
    --------
    >>> clock = ConfirmationClock("lima-1")
    >>> clock.note_exchange("lima-2", at=10.0)
    >>> clock.confirmed_at({"lima-1", "lima-2", "lima-3"}, now=12.0)
    10.0
    >>> clock.note_store_read(at=11.0)
    >>> clock.confirmed_at({"lima-1", "lima-2", "lima-3"}, now=12.0)
    11.0
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._confirmed_at = float("-inf")
        self._reached_at_by_data_centre: dict[str, float] = {}

    def note_store_read(self, at: float) -> None:
        """Note a read of the store that was sent at ``at``."""
        self._confirmed_at = max(self._confirmed_at, at)

    def note_relayed(self, at: float) -> None:
        """Note a confirmation at ``at`` that another VM passed on."""
        self._confirmed_at = max(self._confirmed_at, at)

    def note_exchange(self, data_centre: str, at: float) -> None:
        """Note an exchange with a data centre that began at ``at``."""
        before = self._reached_at_by_data_centre.get(data_centre, at)
        self._reached_at_by_data_centre[data_centre] = max(before, at)

    def confirmed_at(self, data_centres: Collection[str], now: float) -> float:
        """Return the time of the latest confirmation.

        Parameters
        ----------
        data_centres : collection of str
            All known data centres; a majority of them, with this VM's own
            counted, must have been reached.
        now : float
            Seconds; counts as the last exchange with its own data centre.
        """
        times = [
            self._reached_at(data_centre, now)
            for data_centre in {*data_centres, self._data_centre}
        ]
        times.sort(reverse=True)
        majority = len(times) // 2 + 1
        by_peers = times[majority - 1] if len(times) > 1 else float("-inf")
        return max(self._confirmed_at, by_peers)

    def _reached_at(self, data_centre: str, now: float) -> float:
        if data_centre == self._data_centre:
            return now
        return self._reached_at_by_data_centre.get(data_centre, float("-inf"))
