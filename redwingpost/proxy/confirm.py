"""Prove to a caller that a primary still led and a second member holds.

See ``docs/design/fencing.md`` for the rule.
"""

from asyncio import FIRST_COMPLETED, Lock, create_task, gather, wait

from redwingpost.core import MemberAddress, Position
from redwingpost.ports import TargetDialler, TargetError, TargetLost
from redwingpost.proxy.directory import Directory

#: Seconds to open a control connection.
_DIAL_TIMEOUT_S = 1.0


class _ReplicaLine:
    """One control connection to a replica, used by one wait at a time."""

    def __init__(self, address: MemberAddress) -> None:
        self.address = address
        self.lock = Lock()
        self.connection = None


class Confirmer:
    """Waits for one replica to hold a position in the same term.

    Parameters
    ----------
    directory : Directory
        Tells the replicas of a group.
    dialler : TargetDialler
        Opens control connections.
    """

    def __init__(self, directory: Directory, dialler: TargetDialler) -> None:
        self._directory = directory
        self._dialler = dialler
        self._lines_by_member: dict[str, _ReplicaLine] = {}

    async def confirm(
        self, group: str, position: Position, wait_s: float
    ) -> bool:
        """Say whether a replica proved the position within ``wait_s``."""
        replicas = self._directory.replicas(group)
        tasks = {
            create_task(self._ask(replica, position, wait_s))
            for replica in replicas
        }
        try:
            return await _first_true(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await gather(*tasks, return_exceptions=True)

    async def _ask(
        self, address: MemberAddress, position: Position, wait_s: float
    ) -> bool:
        line = self._lines_by_member.setdefault(
            address.member, _ReplicaLine(address)
        )
        async with line.lock:
            try:
                if line.connection is None or not line.connection.usable:
                    line.connection = await self._dialler.dial(
                        address, _DIAL_TIMEOUT_S
                    )
                answer = await line.connection.wait_received(position, wait_s)
            except (TargetError, TargetLost):
                line.connection = None
                return False
        return answer.ok

    async def close(self) -> None:
        """Close the control connections."""
        for line in self._lines_by_member.values():
            if line.connection is not None:
                await line.connection.close()


async def _first_true(tasks: set) -> bool:
    pending = set(tasks)
    while pending:
        done, pending = await wait(pending, return_when=FIRST_COMPLETED)
        if any(task.result() for task in done):
            return True
    return False
