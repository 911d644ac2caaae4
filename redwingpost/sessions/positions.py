"""What one session has seen of each database group's log.

Answers a caller that writes through one VM and reads through another, or
from a replica that lags: a read may only go to a member proven to hold
the session's position. Without it the caller misses its own write.
"""

from collections.abc import Mapping

from redwingpost.core import ZERO_POSITION, Position


class SessionPositions:
    """The highest position that a session wrote or read, by group.

    Parameters
    ----------
    positions_by_group : Mapping of str to Position
        What a token brought along.
    whole : bool
        True if groups that aren't listed were never touched by the
        session; False if nothing is known of them.

    Examples
    --------
    >>> seen = SessionPositions()
    >>> seen.advance("catalogue-1", Position(1, 7))
    >>> seen.advance("catalogue-1", Position(1, 5))
    >>> seen.after("catalogue-1")
    Position(term=1, index=7)
    >>> seen.after("catalogue-2") is None
    True
    """

    def __init__(
        self,
        positions_by_group: Mapping[str, Position] | None = None,
        whole: bool = False,
    ) -> None:
        self._positions_by_group = dict(positions_by_group or {})
        self._whole = whole

    @property
    def by_group(self) -> Mapping[str, Position]:
        """The positions as they stand."""
        return self._positions_by_group

    @property
    def whole(self) -> bool:
        """Whether groups that aren't listed are known to be untouched."""
        return self._whole

    def after(self, group: str) -> Position | None:
        """Return the position a read of ``group`` must follow.

        Returns
        -------
        Position or None
            None where nothing is known: only the primary will do.
        """
        unlisted = ZERO_POSITION if self._whole else None
        return self._positions_by_group.get(group, unlisted)

    def advance(self, group: str, position: Position) -> None:
        """Note a write's or a read's position; never goes back."""
        known = self._positions_by_group.get(group, ZERO_POSITION)
        self._positions_by_group[group] = max(known, position)

    def merge(
        self, positions_by_group: Mapping[str, Position], whole: bool
    ) -> None:
        """Take in what a token holds besides what is known."""
        for group, position in positions_by_group.items():
            self.advance(group, position)
        self._whole = self._whole or whole
