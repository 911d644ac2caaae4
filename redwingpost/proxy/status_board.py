"""Keep every member's status fresh, over one connection per member.

A read may go to a replica only once the replica is proven to hold what
the session saw. Asking before each read would double the messages; one
poll per member, shared by all reads, proves positions for all of them.
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
from redwingpost.proxy.control_lines import ControlLines
from redwingpost.proxy.directory import Directory

#: Seconds between polls of a member. Replicas lag by some 100 ms in the
#: sites' mix; a poll every 50 ms adds at most half of that to the age of
#: what is known, and costs 20 short answers a second and member.
POLL_INTERVAL_S = 0.05

#: Seconds between polls while no caller has asked for the group.
IDLE_POLL_INTERVAL_S = 0.5

#: Seconds after its last request for which a group counts as active.
ACTIVE_S = 2.0

#: Seconds a member has to answer; beyond it the connection is made anew.
POLL_TIMEOUT_S = 1.0


class Observed(NamedTuple):
    """A status and when it was asked for (seconds, process's clock).

    Whatever a read that ended before ``asked_at`` saw on the member is
    covered by ``status.applied``.
    """

    status: MemberStatus
    asked_at: float


def _always(_group: str) -> bool:
    return True


class StatusBoard(Service):
    """Polls members and shows what they said last.

    Parameters
    ----------
    directory : Directory
        Members to poll; learns primaries from the answers.
    lines : ControlLines
        The control connections.
    clock : Clock
        Source of time.
    serves : callable, optional
        Says whether this VM serves a group; members of others aren't
        polled, since each poll holds one of the member's connections.
    """

    def __init__(
        self,
        directory: Directory,
        lines: ControlLines,
        clock: Clock,
        serves: Callable[[str], bool] = _always,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self._serves = serves
        self._directory = directory
        self._lines = lines
        self._clock = clock
        self._observed_by_member: dict[str, Observed] = {}
        self._asked_at_by_group: dict[str, float] = {}
        self._polled: set[str] = set()

    @property
    def polled(self) -> frozenset[str]:
        """Return the members that are polled."""
        return frozenset(self._polled)

    def touch(self, group: str) -> None:
        """Note that callers use the group just now."""
        self._asked_at_by_group[group] = self._clock.now()

    def latest(self, member: str) -> Observed | None:
        """Return the member's last status, however old."""
        return self._observed_by_member.get(member)

    def applied(self, member: str) -> Position:
        """Return what the member is proven to have applied."""
        observed = self._observed_by_member.get(member)
        return observed.status.applied if observed else ZERO_POSITION

    def applied_since(self, member: str, moment: float) -> Position | None:
        """Return a position that covers what a read saw by ``moment``."""
        observed = self._observed_by_member.get(member)
        if observed is None or observed.asked_at < moment:
            return None
        return observed.status.applied

    @Service.task
    async def _keep_polling(self) -> None:
        while not self.should_stop:
            for member, address in self._directory.addresses_by_member.items():
                wanted = self._serves(address.group)
                if wanted and member not in self._polled:
                    self._polled.add(member)
                    self.add_future(self._poll_member(address))
            await self.sleep(IDLE_POLL_INTERVAL_S)

    async def _poll_member(self, address: MemberAddress) -> None:
        while not self.should_stop and self._is_wanted(address):
            try:
                await self._lines.ask(
                    address, lambda line: self._ask(address, line)
                )
            except (TargetError, TargetLost):
                pass
            await sleep(self._interval(address.group))
        self._polled.discard(address.member)
        await self._lines.close_to(address)

    def _is_wanted(self, address: MemberAddress) -> bool:
        known = self._directory.address(address.member)
        return known == address and self._serves(address.group)

    async def _ask(self, address: MemberAddress, line: Any) -> None:
        asked_at = self._clock.now()
        status = await line.status(POLL_TIMEOUT_S)
        self._observed_by_member[address.member] = Observed(status, asked_at)
        self._directory.observe_status(address.group, status)

    def _interval(self, group: str) -> float:
        asked_at = self._asked_at_by_group.get(group, float("-inf"))
        active = self._clock.now() - asked_at < ACTIVE_S
        return POLL_INTERVAL_S if active else IDLE_POLL_INTERVAL_S
