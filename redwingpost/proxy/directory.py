"""Configuration, members and primaries of the groups, as the proxy has it.

Views come from the VM's agent and from the members' own status; the one
with the highest term applies, whatever its source.
"""

from collections.abc import Callable

from redwingpost.configuration.model import Configuration, Group
from redwingpost.core import GroupView, MemberAddress
from redwingpost.ports import MemberStatus


class Directory:
    """Groups, their members and their newest views."""

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.version = 0
        self.views_by_group: dict[str, GroupView] = {}
        #: Called with each view that changed the directory.
        self.view_listeners: list[Callable[[GroupView], None]] = []
        self._addresses_by_member: dict[str, MemberAddress] = {}

    def configure(self, configuration: Configuration, version: int) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        self.version = version
        self._addresses_by_member = {
            name: address
            for group in configuration.groups_by_name.values()
            for name, address in group.members_by_name.items()
        }

    def group(self, name: str) -> Group | None:
        """Return a group of the configuration."""
        if self.configuration is None:
            return None
        return self.configuration.groups_by_name.get(name)

    def address(self, member: str) -> MemberAddress | None:
        """Return the address that a member listens on."""
        return self._addresses_by_member.get(member)

    @property
    def addresses_by_member(self) -> dict[str, MemberAddress]:
        """Return every member's address."""
        return self._addresses_by_member

    def is_draining(self, member: str) -> bool:
        """Return whether a member is draining and gets no new work."""
        return (
            self.configuration is not None
            and member in self.configuration.draining_members
        )

    def observe(self, view: GroupView) -> bool:
        """Store a view; return whether it changed anything.

        A view with a lower term is outdated: applying it would send
        writes to a primary that has been replaced.
        """
        known = self.views_by_group.get(view.group)
        if known is not None and not _is_newer(view, known):
            return False
        self.views_by_group[view.group] = view
        for listener in self.view_listeners:
            listener(view)
        return True

    def observe_status(self, group: str, status: MemberStatus) -> bool:
        """Store the view that a primary's own status implies."""
        if status.role != "primary":
            return False
        view = GroupView(
            group=group,
            term=status.promised_term,
            primary=status.member,
            history=status.history,
        )
        return self.observe(view)

    def view(self, group: str) -> GroupView | None:
        """Return the newest view of a group."""
        return self.views_by_group.get(group)

    def primary(self, group: str) -> MemberAddress | None:
        """Return the group's primary, or None while none is known."""
        view = self.views_by_group.get(group)
        if view is None or not view.primary:
            return None
        return self.address(view.primary)

    def replicas(self, group: str) -> tuple[MemberAddress, ...]:
        """Return the members of a group except its primary."""
        found = self.group(group)
        if found is None:
            return ()
        primary = self.primary(group)
        return tuple(
            address
            for address in found.members_by_name.values()
            if address != primary
        )


def _is_newer(view: GroupView, known: GroupView) -> bool:
    if view.term != known.term:
        return view.term > known.term
    return bool(view.primary) and view != known and not known.primary
