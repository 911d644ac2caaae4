"""Log positions that a session has seen, per database group.

A caller may write through one VM and read through another, or read from
a lagging replica. To let it see its own writes, a read goes only to a
member that is proven to hold the session's position.
"""

from collections.abc import Mapping

from redwingpost.core import ZERO_POSITION, Position


class SessionPositions:
    """Highest position that a session wrote or read, by group.

    Parameters
    ----------
    positions_by_group : Mapping of str to Position
        Positions from a token.
    whole : bool
        True if the session never used the groups that aren't listed;
        False if nothing is known about them.

    Examples
    --------
    >>> positions = SessionPositions()
    >>> positions.advance("catalogue-1", Position(1, 7))
    >>> positions.advance("catalogue-1", Position(1, 5))
    >>> positions.after("catalogue-1")
    Position(term=1, index=7)
    >>> positions.after("catalogue-2") is None
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
        """The current positions."""
        return self._positions_by_group

    @property
    def whole(self) -> bool:
        """Whether groups that aren't listed are known to be unused."""
        return self._whole

    def after(self, group: str) -> Position | None:
        """Return the position that a read of ``group`` must reach.

        Returns
        -------
        Position or None
            None if nothing is known; the read must then go to the
            primary.
        """
        unlisted = ZERO_POSITION if self._whole else None
        return self._positions_by_group.get(group, unlisted)

    def advance(self, group: str, position: Position) -> None:
        """Record the position of a write or a read.

        A position lower than the recorded one is ignored.
        """
        recorded = self._positions_by_group.get(group, ZERO_POSITION)
        self._positions_by_group[group] = max(recorded, position)

    def merge(
        self, positions_by_group: Mapping[str, Position], whole: bool
    ) -> None:
        """Merge the positions of a token into the recorded ones."""
        for group, position in positions_by_group.items():
            self.advance(group, position)
        self._whole = self._whole or whole
