"""Views of groups: who leads each database group, as far as is known.

Answers announcements that arrive late, over detours or out of order: the
view of the higher term wins. Followed by order of arrival, a late one
would send writes to a primary that has been replaced.
"""

from collections.abc import Iterable, Mapping
from hashlib import sha256

from redwingpost.core import GroupView


def is_newer(view: GroupView, known: GroupView | None) -> bool:
    """Say whether a view replaces the one that is known.

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


class ViewBoard:
    """The newest view of each group."""

    def __init__(self) -> None:
        self._views_by_group: dict[str, GroupView] = {}

    @property
    def by_group(self) -> Mapping[str, GroupView]:
        """The views, by group."""
        return self._views_by_group

    @property
    def mark(self) -> int:
        """A 32-bit sum that tells two sets of views apart."""
        total = 0
        for view in self._views_by_group.values():
            text = f"{view.group}|{view.term}|{view.primary}"
            digest = sha256(text.encode()).digest()
            total += int.from_bytes(digest[:4])
        return total % 2**32

    def observe(self, views: Iterable[GroupView]) -> tuple[GroupView, ...]:
        """Take views in and return those that were news."""
        new = []
        for view in views:
            if is_newer(view, self._views_by_group.get(view.group)):
                self._views_by_group[view.group] = view
                new.append(view)
        return tuple(new)
