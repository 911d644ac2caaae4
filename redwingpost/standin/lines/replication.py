"""A group whose members replicate one by one and may be unreachable."""

from collections.abc import Callable
from random import Random
from asyncio import sleep, wait_for
from time import monotonic, time
from typing import NamedTuple

from redwingpost.core.positions import Position
from redwingpost.standin.lines.group import (
    SYNC_TIMEOUT_S,
    LineGroup,
    LineMember,
    LogEntry,
)

#: Seconds until a replica receives a commit.
MAX_RECEIVE_DELAY_S = 0.006

#: Seconds for which an old primary must have reached the new one to follow.
STALE_LEAD_S = 1.0


class Promotion(NamedTuple):
    """A promotion that took effect, with the Unix time (seconds).

    ``missing`` are the acknowledged entries that the member's log lacks.
    """

    at: float
    member: str
    term: int
    head: Position
    missing: tuple[LogEntry, ...]


class ReplicatedGroup(LineGroup):
    """A group whose replicas receive the log of a primary that they reach.

    A commit is acknowledged once one replica has received it; the others
    receive it with the next ``replicate``. A replica's log is always the
    beginning of the log of a primary of its term. ``acknowledged_by`` has the
    Unix time (seconds) and the member of each acknowledgement.

    Parameters
    ----------
    name : str
        Name of the group.
    members : tuple of str
        Names of the members; the first is the primary.
    random : Random
        Chooses the replica that receives a commit first.
    """

    def __init__(
        self, name: str, members: tuple[str, ...], random: Random
    ) -> None:
        super().__init__(name, members)
        self.promotions: list[Promotion] = []
        self.acknowledged_by: dict[Position, tuple[float, str]] = {}
        self.on_promotion: list[Callable[[Promotion], None]] = []
        self._random = random
        self._reached_since: dict[str, float] = {}

    async def commit(self, member: LineMember, writes: dict) -> bool:
        """Commit at a member; wait until a replica has received the entry.

        Returns
        -------
        bool
            False if the member isn't the primary: nothing was written.

        Raises
        ------
        TimeoutError
            If no replica receives the entry in time, or the member stops
            being the primary of its term. The entry stays in its log.
        """
        if not member.is_primary:
            return False
        term = member.term
        entry = LogEntry(Position(term, member.head.index + 1), writes)
        member.log.append(entry)
        member.applied = len(member.log)
        await sleep(self._random.uniform(0.0, MAX_RECEIVE_DELAY_S))
        while member.is_primary and member.term == term:
            if self._confirm(member):
                self.acknowledged.append(entry)
                now = time()
                self.acknowledged_by[entry.position] = now, member.name
                return True
            await wait_for(self._changed.wait(), SYNC_TIMEOUT_S)
        raise TimeoutError("no longer the primary")

    def promote(self, name: str) -> None:
        """Make a member the primary of a new term with its current log."""
        chosen = self.member_by_name[name]
        if chosen.is_primary and chosen is self.last_primary:
            return
        chosen.term = 1 + max(m.term for m in self.member_by_name.values())
        chosen.is_primary = True
        chosen.paused_for = 0
        chosen.applied = len(chosen.log)
        self.last_primary = chosen
        held = {entry.position for entry in chosen.log}
        missing = [e for e in self.acknowledged if e.position not in held]
        self.lost.extend(missing)
        self.acknowledged = [
            entry for entry in self.acknowledged if entry.position in held
        ]
        for member in self.member_by_name.values():
            if not member.is_primary and self._reach(member, chosen):
                member.paused_for = 0
        promotion = Promotion(
            time(), name, chosen.term, chosen.head, tuple(missing)
        )
        self.promotions.append(promotion)
        self.replicate()
        for notify in tuple(self.on_promotion):
            notify(promotion)

    def pause(self, member: LineMember, term: int) -> None:
        """Let a replica receive no entries of terms below ``term``."""
        if not member.is_primary and term > member.term:
            member.paused_for = max(member.paused_for, term)

    def resume(self, member: LineMember) -> None:
        """End a replica's pause."""
        member.paused_for = 0
        self.replicate()

    def step_down(self, member: LineMember, term: int) -> None:
        """Make a primary of a term below ``term`` a replica."""
        if member.is_primary and member.term < term:
            member.is_primary = False
        self.replicate()

    def restart(self, member: LineMember) -> None:
        """Start a member again with its log; it forgets its pause."""
        member.paused_for = 0
        if member is not self.last_primary:
            member.is_primary = False

    def join(self, name: str) -> LineMember | None:
        """Add a replica with the newest primary's log, if one is reached."""
        member = LineMember(name, False)
        leader = self._leader_of(member)
        if leader is None:
            return None
        self.member_by_name[name] = member
        self.replicate()
        return member

    def replicate(self) -> None:
        """Let replicas receive, and old primaries follow a newer one."""
        for member in tuple(self.member_by_name.values()):
            if member.is_primary:
                self._follow_newer(member)
            if not member.is_primary:
                leader = self._leader_of(member)
                if leader is not None:
                    self._receive_log(member, leader)
        self.wake()

    def _confirm(self, primary: LineMember) -> bool:
        """Let one replica receive a primary's log; return whether one did."""
        replicas = list(self.member_by_name.values())
        self._random.shuffle(replicas)
        for replica in replicas:
            if self._may_receive(replica, primary):
                self._receive_log(replica, primary)
                return True
        return False

    def _leader_of(self, replica: LineMember) -> LineMember | None:
        leaders = [
            member
            for member in self.member_by_name.values()
            if self._may_receive(replica, member)
        ]
        return max(leaders, key=lambda member: member.term, default=None)

    def _may_receive(self, replica: LineMember, primary: LineMember) -> bool:
        return (
            primary.is_primary
            and not replica.is_primary
            and self._reach(replica, primary)
            and replica.term <= primary.term
            and replica.paused_for <= primary.term
        )

    def _reach(self, one: LineMember, other: LineMember) -> bool:
        """Return whether two members exchange messages."""
        return not any(
            member.is_unresponsive or member.is_cut_off
            for member in (one, other)
        )

    def _receive_log(self, replica: LineMember, primary: LineMember) -> None:
        if replica.term < primary.term:
            replica.term = primary.term
            replica.paused_for = 0
            replica.log = list(primary.log)
            replica.applied = min(replica.applied, len(replica.log))
        else:
            received = len(replica.log)
            if (
                replica.log
                and replica.log[-1] is not primary.log[received - 1]
            ):
                raise AssertionError(f"{replica.name} has another log")
            replica.log.extend(primary.log[received:])
        replica.catch_up()

    def _follow_newer(self, member: LineMember) -> None:
        """Make a primary a replica once it has reached a newer one."""
        is_replaced = any(
            other.is_primary
            and other.term > member.term
            and self._reach(member, other)
            for other in self.member_by_name.values()
        )
        if not is_replaced:
            self._reached_since.pop(member.name, None)
            return
        since = self._reached_since.setdefault(member.name, monotonic())
        if monotonic() - since >= STALE_LEAD_S:
            del self._reached_since[member.name]
            member.is_primary = False
