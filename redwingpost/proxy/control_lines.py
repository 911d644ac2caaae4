"""The few control connections to each member, shared by all who ask.

Status polls and waits for proofs take no slot at a member, but each
holds one of its 32 or 50 connections. Two lines per member serve both: a
wait is mostly answered within a round trip, and one that isn't leaves
the other line to the polls.
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


class _Lines:
    """The lines to one member."""

    def __init__(self) -> None:
        self.free = Semaphore(PROXY_CONTROL_CONNECTIONS)
        self.idle: deque[Any] = deque()


class ControlLines:
    """Control connections by member.

    Parameters
    ----------
    dialler : TargetDialler
        Opens them.
    """

    def __init__(self, dialler: TargetDialler) -> None:
        self._dialler = dialler
        self._lines_by_address: dict[MemberAddress, _Lines] = {}

    async def ask(
        self,
        address: MemberAddress,
        question: Callable[[Any], Awaitable[T]],
    ) -> T:
        """Put a question to a member over a line of its own.

        Parameters
        ----------
        address : MemberAddress
            Whom to ask.
        question : callable
            Given the connection, returns what to await.

        Raises
        ------
        TargetLost, TargetError
            As the connection does; it is closed then, since an answer
            that comes late would be taken for the next one's.
        """
        lines = self._lines_by_address.setdefault(address, _Lines())
        async with lines.free:
            connection = await self._take(lines, address)
            try:
                answer = await question(connection)
            except BaseException:
                await connection.close()
                raise
            lines.idle.append(connection)
            return answer

    async def _take(self, lines: _Lines, address: MemberAddress) -> Any:
        while lines.idle:
            connection = lines.idle.pop()
            if connection.usable:
                return connection
        return await self._dialler.dial(address, DIAL_TIMEOUT_S)

    async def close_to(self, address: MemberAddress) -> None:
        """Close the idle lines to a member that isn't asked any more."""
        lines = self._lines_by_address.get(address)
        while lines is not None and lines.idle:
            await lines.idle.pop().close()

    async def close(self) -> None:
        """Close all idle lines."""
        for address in self._lines_by_address:
            await self.close_to(address)
