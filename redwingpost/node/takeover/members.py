"""The members that a takeover asks, and those that join while it runs."""

from asyncio import timeout

from redwingpost.groups.directory import Directory
from redwingpost.node.group import GroupClient
from redwingpost.node.member import MemberClient
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import LinkFactory, MemberEntry
from redwingpost.ports.registry import MemberRegistry
from redwingpost.takeover.joining import is_late_enough
from redwingpost.takeover.roster import Roster

#: Seconds for one reading of the registry's list: above the duration at a
#: registry that is sixty times as slow as usual. The group may have no
#: primary meanwhile.
READING_TIMEOUT_S = 0.7


class TakeoverMembers:
    """Clients of all members whose logs may hold acknowledged commits.

    Parameters
    ----------
    group : GroupClient
        The group; its clients are used where it has one.
    roster : Roster
        The members as recorded in the fleet's store.
    directory : Directory
        This VM's copy of the registry's list.
    registry : MemberRegistry
        The registry itself, for what the copy lacks.
    links, clock : LinkFactory, Clock
        For clients of members that the group doesn't list.
    """

    def __init__(
        self,
        group: GroupClient,
        roster: Roster,
        directory: Directory,
        registry: MemberRegistry,
        links: LinkFactory,
        clock: Clock,
    ) -> None:
        self._group = group
        self._directory = directory
        self._registry = registry
        self._links = links
        self._clock = clock
        self._roster = roster
        self.clients: dict[str, MemberClient] = dict(group.member_by_name)
        self._add(tuple(roster.member_by_name.values()))
        self._add(directory.recently_removed(group.name))
        self.follow_directory()

    def close(self) -> None:
        """Close the connections that were opened for this takeover."""
        for name, client in self.clients.items():
            if client is not self._group.member_by_name.get(name):
                client.close()

    @property
    def rostered(self) -> dict[str, MemberEntry]:
        """Return the members whose answer is needed, by name.

        Others are considered only if they answer.
        """
        return self._roster.member_by_name

    def replaced(self) -> frozenset[str]:
        """Return members off the list at whose address another one is."""
        listed = self._directory.members_of(self._group.name)
        addresses = {(entry.ip, entry.port) for entry in listed}
        entries = (client.entry for client in self.clients.values())
        return frozenset(
            entry.member
            for entry in entries
            if self._directory.get(entry.member) is None
            and (entry.ip, entry.port) in addresses
        )

    def follow_directory(self) -> None:
        """Add members that have joined according to this VM's copy."""
        self._add_listed(self._directory.members_of(self._group.name))

    async def read_registry(self, stopped_at: float | None = None) -> bool:
        """Add the members that the registry itself lists.

        Parameters
        ----------
        stopped_at : float, optional
            When the primary was stopped (seconds), if it was.

        Returns
        -------
        bool
            Whether all members are known that joined before the stop, or
            before this call if nothing was stopped.
        """
        began_at = self._clock.now()
        entries = None
        try:
            async with timeout(READING_TIMEOUT_S):
                entries = await self._registry.members_of(self._group.name)
        except TimeoutError:
            pass
        if entries is None:
            log_event("takeover-registry-unknown", group=self._group.name)
            return False
        self._add_listed(entries)
        if stopped_at is None:
            return True
        return is_late_enough(stopped_at, began_at, self._clock.now())

    def _add_listed(self, entries: tuple[MemberEntry, ...]) -> None:
        self._roster = self._roster.with_listed(entries)
        self._add(entries)

    def _add(self, entries: tuple[MemberEntry, ...]) -> None:
        for entry in entries:
            name = entry.member
            if name not in self.clients:
                self.clients[name] = self._group.member_by_name.get(
                    name
                ) or MemberClient(entry, self._links, self._clock)
