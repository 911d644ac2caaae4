"""Poll the status of every member.

A read may go to a replica only if the replica is proven to hold what the
session saw. A status request before each read would double the messages;
one poll per member proves the position for all reads.
"""

from asyncio import sleep
from collections.abc import Callable
from typing import Any, NamedTuple

from mode import Service

from redwingpost.core import MemberAddress, Position, ZERO_POSITION
from redwingpost.ports import (
    Clock,
    MemberStatus,
    TargetError,
    TargetLost,
)
from redwingpost.proxy.control_connections import ControlConnections
from redwingpost.proxy.directory import Directory

#: Seconds between polls of a member. Replicas lag by some 100 ms in the
#: sites' workload; a poll every 50 ms adds at most half of that to the
#: age of the status, and costs 20 short answers a second and member.
POLL_INTERVAL_S = 0.05

#: Seconds between polls while no caller uses the group.
IDLE_POLL_INTERVAL_S = 0.5

#: Seconds after its last request for which a group counts as active.
ACTIVE_S = 2.0

#: Timeout of a poll (seconds); after it a new connection is opened.
POLL_TIMEOUT_S = 1.0


class ObservedStatus(NamedTuple):
    """A status and the time of its request (seconds, process's clock).

    ``status.applied`` covers everything that a read saw on the member if
    the read ended before ``requested_at``.
    """

    status: MemberStatus
    requested_at: float


def _serves_every_group(_group: str) -> bool:
    return True


class StatusPoller(Service):
    """Polls the members and keeps the last status of each.

    Parameters
    ----------
    directory : Directory
        Members to poll; primaries in the answers are stored in it.
    control_connections : ControlConnections
        Connections for the polls.
    clock : Clock
        Source of time.
    serves : callable, optional
        Returns whether this VM serves a group; members of other groups
        aren't polled, since a poll uses one of the member's connections.
    """

    def __init__(
        self,
        directory: Directory,
        control_connections: ControlConnections,
        clock: Clock,
        serves: Callable[[str], bool] = _serves_every_group,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._serves = serves
        self._directory = directory
        self._control_connections = control_connections
        self._clock = clock
        self._observed_by_member: dict[str, ObservedStatus] = {}
        self._last_used_at_by_group: dict[str, float] = {}
        self._polled: set[str] = set()

    @property
    def polled(self) -> frozenset[str]:
        """Return the members that are polled."""
        return frozenset(self._polled)

    def mark_active(self, group: str) -> None:
        """Record that callers are using the group now."""
        self._last_used_at_by_group[group] = self._clock.now()

    def latest(self, member: str) -> ObservedStatus | None:
        """Return the member's last status, however old."""
        return self._observed_by_member.get(member)

    def applied(self, member: str) -> Position:
        """Return the position that the member is proven to have applied."""
        observed = self._observed_by_member.get(member)
        return observed.status.applied if observed else ZERO_POSITION

    def applied_since(self, member: str, moment: float) -> Position | None:
        """Return a position that covers what a read saw by ``moment``."""
        observed = self._observed_by_member.get(member)
        if observed is None or observed.requested_at < moment:
            return None
        return observed.status.applied

    @Service.task
    async def _start_polls(self) -> None:
        while not self.should_stop:
            for member, address in self._directory.addresses_by_member.items():
                is_served = self._serves(address.group)
                if is_served and member not in self._polled:
                    self._polled.add(member)
                    self.add_future(self._poll_member(address))
            await self.sleep(IDLE_POLL_INTERVAL_S)

    async def _poll_member(self, address: MemberAddress) -> None:
        while not self.should_stop and self._should_poll(address):
            try:
                await self._control_connections.call(
                    address,
                    lambda connection: self._update_status(
                        address, connection
                    ),
                )
            except (TargetError, TargetLost):
                pass
            await sleep(self._interval(address.group))
        self._polled.discard(address.member)
        await self._control_connections.close_idle(address)

    def _should_poll(self, address: MemberAddress) -> bool:
        known = self._directory.address(address.member)
        return known == address and self._serves(address.group)

    async def _update_status(
        self, address: MemberAddress, connection: Any
    ) -> None:
        requested_at = self._clock.now()
        status = await connection.status(POLL_TIMEOUT_S)
        self._observed_by_member[address.member] = ObservedStatus(
            status, requested_at
        )
        self._directory.observe_status(address.group, status)

    def _interval(self, group: str) -> float:
        requested_at = self._last_used_at_by_group.get(group, float("-inf"))
        active = self._clock.now() - requested_at < ACTIVE_S
        return POLL_INTERVAL_S if active else IDLE_POLL_INTERVAL_S
