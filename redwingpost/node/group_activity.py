"""The groups that need this VM's attention: those it is a home of or uses.

Load pattern: a VM of a fleet with 40 groups is a home of one or two, and has
callers for a few. If every step went through all groups, a VM without callers
would spend most of its time on groups that other VMs look after. So the steps
go through the *active* groups, whose members this VM contacts itself, and
through those that it has contacted and whose connections it must still close.
"""

from collections.abc import Callable, Mapping

from redwingpost.node.forwarding.homes import HomeView
from redwingpost.node.group import GroupClient


class GroupActivity:
    """Keeps the active groups.

    Parameters
    ----------
    group_by_name : mapping of str to GroupClient
        All groups that have, or had, members.
    homes : HomeView
        Selects the groups that this VM is a home of.
    on_attended : callable
        Called with each group that begins to need attention, to bring its
        members' limits up to date.
    """

    def __init__(
        self,
        group_by_name: Mapping[str, GroupClient],
        homes: HomeView,
        on_attended: Callable[[GroupClient], None],
    ) -> None:
        self._group_by_name = group_by_name
        self._homes = homes
        self._on_attended = on_attended
        self._contacted: dict[str, GroupClient] = {}
        self._own_names: frozenset[str] = frozenset()
        self._own: dict[str, GroupClient] = {}

    def note_contact(self, group: GroupClient) -> None:
        """Record that this VM is about to contact a group's members."""
        if group.name in self._contacted:
            return
        is_attended = group.name in self._own
        self._contacted[group.name] = group
        if not is_attended:
            self._on_attended(group)

    def active(self, now: float) -> tuple[GroupClient, ...]:
        """Return the groups whose members this VM contacts itself."""
        own = self._update_own(now)
        used = (
            group
            for name, group in self._contacted.items()
            if name not in own and group.is_active(now)
        )
        return (*own.values(), *used)

    def attended(self, now: float) -> tuple[GroupClient, ...]:
        """Return the active groups and those with open connections."""
        own = self._update_own(now)
        for name, group in tuple(self._contacted.items()):
            if not group.is_active(now) and not group.has_connections:
                del self._contacted[name]
        others = (
            group for name, group in self._contacted.items() if name not in own
        )
        return (*own.values(), *others)

    def _update_own(self, now: float) -> dict[str, GroupClient]:
        """Return the groups that this VM is a home of."""
        names = self._homes.own_groups(now)
        is_complete = len(self._own) == len(self._own_names)
        if names is self._own_names and is_complete:
            return self._own
        before = self._own
        self._own_names = names
        self._own = {
            name: self._group_by_name[name]
            for name in sorted(names)
            if name in self._group_by_name
        }
        for name, group in before.items():
            # Its connections stay open until they have been idle.
            if name not in self._own:
                self._contacted.setdefault(name, group)
        for name, group in self._own.items():
            if name not in before:
                group.note_activated(now)
                self._on_attended(group)
                group.probe_if_due()
        return self._own
