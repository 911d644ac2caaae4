"""State of a replicated group: terms, logs, pauses, promotions."""

from asyncio import Event, wait_for
from typing import NamedTuple

from redwingpost.core.positions import ZERO_POSITION, Position

#: Seconds that a primary waits for a replica before its commit fails.
SYNC_TIMEOUT_S = 5.0


class LogEntry(NamedTuple):
    """A committed transaction: its position and the items it wrote."""

    position: Position
    writes: dict[str, str]


class LineMember:
    """State of one member and the faults that a test has set.

    ``paused_for`` is a term: the member receives no entries of lower
    terms. ``runs`` lists the executed statements as (request, statement). The
    next ``lose_answers`` answers are not sent. An unresponsive member
    answers nothing and takes no part in replication; one that is cut off
    answers, but does not replicate; one that lags does not apply the
    entries that it receives. A cold member is slow until ``cold_until``
    (seconds of ``time.monotonic``). ``arrived_at`` has the times at which
    callers' statements arrived, on the same clock.
    """

    def __init__(self, name: str, is_primary: bool) -> None:
        self.name = name
        self.is_primary = is_primary
        self.term = 1
        self.log: list[LogEntry] = []
        self.applied = 0
        self.paused_for = 0
        self.is_unresponsive = False
        self.is_cut_off = False
        self.lags = False
        self.lose_answers = 0
        self.runs: list[tuple[str, str]] = []
        self.cold_until = float("-inf")
        self.arrived_at: list[float] = []

    @property
    def head(self) -> Position:
        """Position of the last received entry."""
        return self.log[-1].position if self.log else ZERO_POSITION

    @property
    def applied_head(self) -> Position:
        """Position of the last applied entry."""
        if not self.applied:
            return ZERO_POSITION
        return self.log[self.applied - 1].position

    def holds(self, position: Position) -> bool:
        """Return whether the entry at a position is in the log and applied."""
        if position == ZERO_POSITION:
            return True
        return any(
            entry.position == position for entry in self.log[: self.applied]
        )

    def log_values(self) -> dict[str, str]:
        """Return the last logged value of each item."""
        values: dict[str, str] = {}
        for entry in self.log:
            values.update(entry.writes)
        return values

    def read(self, item: str) -> str | None:
        """Return the last applied value of an item, or None."""
        for entry in reversed(self.log[: self.applied]):
            if item in entry.writes:
                return entry.writes[item]
        return None

    def receive(self, entry: LogEntry) -> bool:
        """Append an entry from a primary; return whether it was accepted.

        A member refuses it while it is unresponsive, cut off or paused
        for a higher term, and if its own term is higher.
        """
        term = entry.position.term
        if self.is_unresponsive or self.is_cut_off or self.paused_for > term:
            return False
        if self.term > term:
            return False
        self.term = term
        self.log.append(entry)
        self.catch_up()
        return True

    def catch_up(self) -> None:
        """Apply all received entries, unless the member lags."""
        if not self.lags:
            self.applied = len(self.log)


class LineGroup:
    """The members of one group and the commits they have acknowledged.

    Parameters
    ----------
    name : str
        Name of the group.
    members : tuple of str
        Names of the members; the first is the primary.
    """

    def __init__(self, name: str, members: tuple[str, ...]) -> None:
        self.name = name
        self.member_by_name = {
            member: LineMember(member, member == members[0])
            for member in members
        }
        self.last_primary = self.member_by_name[members[0]]
        self.acknowledged: list[LogEntry] = []
        self.lost: list[LogEntry] = []
        self._changed = Event()

    async def commit(self, member: LineMember, writes: dict) -> bool:
        """Commit at a member; wait until a replica has received the entry.

        Parameters
        ----------
        member : LineMember
            The member that commits.
        writes : dict
            Written values by item.

        Returns
        -------
        bool
            False if the member is not the primary, or stops being the
            primary of its term while it waits.

        Raises
        ------
        TimeoutError
            If no replica receives the entry in time.
        """
        if not member.is_primary:
            return False
        term = member.term
        entry = LogEntry(Position(term, member.head.index + 1), writes)
        member.log.append(entry)
        member.applied = len(member.log)
        while member.is_primary and member.term == term:
            if self._replicate(member, entry):
                break
            await wait_for(self._changed.wait(), SYNC_TIMEOUT_S)
        else:
            return False
        self.acknowledged.append(entry)
        return True

    def promote(self, name: str) -> None:
        """Make a member the primary of a new term with its current log.

        Acknowledged entries that its log lacks are recorded in ``lost``.
        """
        chosen = self.member_by_name[name]
        if chosen.is_primary:
            return
        chosen.term = 1 + max(m.term for m in self.member_by_name.values())
        chosen.is_primary = True
        self.last_primary = chosen
        chosen.paused_for = 0
        chosen.applied = len(chosen.log)
        held = {entry.position for entry in chosen.log}
        self.lost.extend(
            entry for entry in self.acknowledged if entry.position not in held
        )
        for member in self.member_by_name.values():
            if member is not chosen and not member.is_primary:
                self.follow(member, chosen)
        self.wake()

    def follow(self, member: LineMember, leader: LineMember) -> None:
        """Make a member a replica of ``leader`` with a copy of its log."""
        if member.is_unresponsive or member.is_cut_off:
            return
        member.is_primary = False
        member.term = leader.term
        member.paused_for = 0
        member.log = list(leader.log)
        member.applied = min(member.applied, len(member.log))
        member.catch_up()

    def pause(self, member: LineMember, term: int) -> None:
        """Let a member receive no entries of terms below ``term``."""
        member.paused_for = term

    def resume(self, member: LineMember) -> None:
        """End a member's pause; it receives what it has missed."""
        member.paused_for = 0
        leader = self.newest_primary()
        if leader is not None and leader is not member:
            self.follow(member, leader)
        self.wake()

    def step_down(self, member: LineMember, term: int) -> None:
        """Make a primary of a term below ``term`` a replica."""
        if member.is_primary and member.term < term:
            leader = self.newest_primary()
            member.is_primary = False
            if leader is not None:
                self.follow(member, leader)
        self.wake()

    def newest_primary(self) -> LineMember | None:
        """Return the primary of the highest term, or None."""
        leading = [m for m in self.member_by_name.values() if m.is_primary]
        return max(leading, key=lambda m: m.term, default=None)

    def wake(self) -> None:
        """Wake waiting commits so that they try to replicate again."""
        self._changed.set()
        self._changed = Event()

    def _replicate(self, primary: LineMember, entry: LogEntry) -> bool:
        if primary.is_unresponsive or primary.is_cut_off:
            return False
        received = False
        for member in self.member_by_name.values():
            if member is primary or member.is_primary:
                continue
            if entry in member.log or member.receive(entry):
                received = True
        return received
