"""Control connections to the members, shared by polls and confirmations.

Status polls and waits for confirmations take no slot at a member, but
each uses one of its 32 or 50 connections. Two connections per member
serve both: most waits are answered within a round trip, and a longer one
leaves the other connection to the polls.
"""

from asyncio import Semaphore
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from redwingpost.admission.connections import PROXY_CONTROL_CONNECTIONS
from redwingpost.core import MemberAddress
from redwingpost.ports import TargetDialler

T = TypeVar("T")

#: Seconds to open a control connection.
DIAL_TIMEOUT_S = 1.0


class _Pool:
    """The control connections to one member."""

    def __init__(self) -> None:
        self.free = Semaphore(PROXY_CONTROL_CONNECTIONS)
        self.idle: deque[Any] = deque()


class ControlConnections:
    """Control connections by member.

    Parameters
    ----------
    dialler : TargetDialler
        Opens them.
    """

    def __init__(self, dialler: TargetDialler) -> None:
        self._dialler = dialler
        self._pools_by_address: dict[MemberAddress, _Pool] = {}

    async def call(
        self,
        address: MemberAddress,
        operation: Callable[[Any], Awaitable[T]],
    ) -> T:
        """Run an operation on an exclusive connection to a member.

        Parameters
        ----------
        address : MemberAddress
            The member.
        operation : callable
            Given the connection, returns what to await.

        Raises
        ------
        TargetLost, TargetError
            Raised by the operation. The connection is then closed,
            because a late answer would be read as the answer to the next
            operation.
        """
        pool = self._pools_by_address.setdefault(address, _Pool())
        async with pool.free:
            connection = await self._acquire(pool, address)
            try:
                answer = await operation(connection)
            except BaseException:
                await connection.close()
                raise
            pool.idle.append(connection)
            return answer

    async def _acquire(self, pool: _Pool, address: MemberAddress) -> Any:
        while pool.idle:
            connection = pool.idle.pop()
            if connection.usable:
                return connection
        return await self._dialler.dial(address, DIAL_TIMEOUT_S)

    async def close_idle(self, address: MemberAddress) -> None:
        """Close the idle connections to a member that isn't polled."""
        pool = self._pools_by_address.get(address)
        while pool is not None and pool.idle:
            await pool.idle.pop().close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in self._pools_by_address:
            await self.close_idle(address)
