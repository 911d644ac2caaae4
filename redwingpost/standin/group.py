"""A database group: members in one process, each with its own port."""

from asyncio import gather
from pathlib import Path
from tempfile import TemporaryDirectory

from mode import Service

from redwingpost.standin.faults import FaultServer
from redwingpost.standin.group_faults import GROUP_FAULTS
from redwingpost.standin.member import Address, Member
from redwingpost.standin.replication_log import LogEntry
from redwingpost.standin.settings import GroupSettings

#: Term of the first primary.
FIRST_TERM = 1


class GroupStandin(Service):
    """The members of one database group.

    Parameters
    ----------
    settings : GroupSettings
        Members, limits and durations.
    """

    def __init__(self, settings: GroupSettings) -> None:
        super().__init__()
        self.settings = settings
        self.members_by_name: dict[str, Member] = {}
        self._directory: TemporaryDirectory | None = None
        self._faults = FaultServer(
            GROUP_FAULTS, self, settings.faults, settings.link_faults
        )

    @property
    def fault_address(self) -> Address:
        """Address of the fault port."""
        return self._faults.address

    async def on_start(self) -> None:
        """Start the members and make one the primary of the first term."""
        self._directory = TemporaryDirectory(prefix="redwing-group-")
        for name, endpoint in self.settings.members.items():
            path = Path(self._directory.name) / f"{name}.db"
            member = Member(
                name, endpoint, self.settings, path, self._find_peer
            )
            self.members_by_name[name] = member
            await member.start()
        self._appoint_primary(self.settings.first_primary)
        await self._faults.start()

    def _appoint_primary(self, primary: str) -> None:
        leader = self.members_by_name[primary]
        leader.claim(FIRST_TERM, "")
        leader.term_state.lead(FIRST_TERM)
        leader.replica.commit(LogEntry(FIRST_TERM))
        for name, member in self.members_by_name.items():
            if name != primary:
                member.follow(FIRST_TERM, primary, "", 0)

    def _find_peer(self, name: str) -> Address | None:
        member = self.members_by_name.get(name)
        if member is None:
            return None
        return member.endpoint.ip, member.replication_port

    async def on_stop(self) -> None:
        """Stop the members and delete their data."""
        await self._faults.stop()
        for member in self.members_by_name.values():
            # Replication stops first: a replica would otherwise connect
            # to a member that is being closed.
            await gather(*member.replica.stop(), return_exceptions=True)
        for member in self.members_by_name.values():
            await member.stop()
        if self._directory is not None:
            self._directory.cleanup()
