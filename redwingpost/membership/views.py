"""Views of database groups: the newest known term and primary of each.

Announcements may arrive late, relayed or out of order, so the view of the
higher term wins. If the last to arrive won, a late one would send writes
to a primary that has been replaced.
"""

from collections.abc import Iterable, Mapping
from hashlib import sha256

from redwingpost.core import GroupView


def is_newer(view: GroupView, known: GroupView | None) -> bool:
    """Return whether a view replaces the one that is known.

    Examples
    --------
    >>> running = GroupView("g", 2, "", ())
    >>> is_newer(GroupView("g", 2, "g-a", ()), running)
    True
    >>> is_newer(running, GroupView("g", 2, "g-a", ()))
    False
    """
    if known is None:
        return True
    if view.term != known.term:
        return view.term > known.term
    return bool(view.primary) and not known.primary


class GroupViewTable:
    """The newest view of each group."""

    def __init__(self) -> None:
        self._views_by_group: dict[str, GroupView] = {}

    @property
    def by_group(self) -> Mapping[str, GroupView]:
        """The newest views, by name of their group."""
        return self._views_by_group

    @property
    def mark(self) -> int:
        """A 32-bit checksum of the views, compared between VMs."""
        total = 0
        for view in self._views_by_group.values():
            text = f"{view.group}|{view.term}|{view.primary}"
            digest = sha256(text.encode()).digest()
            total += int.from_bytes(digest[:4])
        return total % 2**32

    def observe(self, views: Iterable[GroupView]) -> tuple[GroupView, ...]:
        """Merge views and return those that were new."""
        new = []
        for view in views:
            if is_newer(view, self._views_by_group.get(view.group)):
                self._views_by_group[view.group] = view
                new.append(view)
        return tuple(new)
