"""Connections to members, kept warm and given to one user at a time."""

from collections import deque

from redwingpost.core import MemberAddress
from redwingpost.ports import TargetConnection, TargetDialler

#: Seconds to open a connection; one takes about 12 ms on a calm day.
DIAL_TIMEOUT_S = 1.0

#: Idle connections kept per member. A member works on five statements at
#: a time, so more warm connections than that are never all in use.
MAX_IDLE = 5


class ConnectionPool:
    """Idle connections by member.

    Parameters
    ----------
    dialler : TargetDialler
        Opens connections where none is idle.
    """

    def __init__(self, dialler: TargetDialler) -> None:
        self._dialler = dialler
        self._idle_by_member: dict[str, deque[TargetConnection]] = {}

    async def acquire(self, address: MemberAddress) -> TargetConnection:
        """Return a connection that nobody else uses.

        Raises
        ------
        TargetLost
            If none could be opened; nothing was sent then.
        TargetError
            If the member refused the connection.
        """
        idle = self._idle_by_member.setdefault(address.member, deque())
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
        return await self._dialler.dial(address, DIAL_TIMEOUT_S)

    async def release(self, connection: TargetConnection, clean: bool) -> None:
        """Take a connection back.

        Parameters
        ----------
        clean : bool
            True if it holds no state of its last user. Otherwise it is
            reset, and closed where the reset isn't proven: a variable or
            an open transaction would leak into the next caller's work.
        """
        if not clean and not await connection.reset():
            await connection.close()
            return
        idle = self._idle_by_member.setdefault(connection.member, deque())
        if not connection.usable or len(idle) >= MAX_IDLE:
            await connection.close()
            return
        idle.append(connection)

    async def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle_by_member.values():
            while idle:
                await idle.pop().close()
