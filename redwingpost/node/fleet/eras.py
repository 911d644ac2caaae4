"""Tells the writers of rows that the fleet's store has begun a new era."""

from collections.abc import Callable

from redwingpost.observability.journal import log_event
from redwingpost.ports.fleet_store import era_of


class StoreEras:
    """The newest era of the store that this VM has seen.

    A restore from an older copy begins an era. Rows that this VM has written
    since that copy are gone, so whoever writes rows registers here and
    writes again what is missing. A VM that has just started learns of an
    era without having seen the one before; what depends on that must stand
    in the rows themselves.

    Examples
    --------
    >>> eras = StoreEras()
    >>> eras.listen(lambda: print("new era"))
    >>> eras.note(5)
    >>> eras.note(1 << 48)
    new era
    >>> eras.newest
    1
    """

    def __init__(self) -> None:
        self.newest = 0
        self._listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a listener at the beginning of each later era."""
        self._listeners.append(listener)

    def note(self, version: int) -> None:
        """Note a version (``redwingpost.ports.fleet_store``) of any table."""
        era = era_of(version)
        if era <= self.newest:
            return
        before, self.newest = self.newest, era
        log_event("store-era", era=era, before=before)
        for listener in self._listeners:
            listener()
