"""Replica side of replication: pulls the primary's log, applies it."""

from asyncio import (
    Task,
    create_task,
    get_running_loop,
    sleep,
)
from collections import deque
from typing import NamedTuple

from redwingpost.core import Position
from redwingpost.standin.promises import TermState
from redwingpost.standin.replication import Pull, PullAnswer, PullChannel
from redwingpost.standin.replication_log import LogEntry, ReplicationLog
from redwingpost.standin.signals import Signal
from redwingpost.standin.store import Store

#: Seconds between a failed pull and the next.
RETRY_DELAY_S = 0.05

#: Entries applied before the loop runs other tasks.
MAX_APPLY_ENTRIES = 100


class DivergedStatement(NamedTuple):
    """A statement of a transaction that the primary's log lacked.

    The transaction was undone here.
    """

    term: int
    index: int
    statement: str


class Replica:
    """A member's received log and how much of it is applied.

    Parameters
    ----------
    term_state : TermState
        Promises of the member; entries are accepted only from the primary
        of the promised term.
    store : Store
        Store that entries are applied to.
    own_ip : str
        Address from which pulls are sent.
    lag_s : float
        Seconds from an entry's arrival until it is applied.
    """

    def __init__(
        self, term_state: TermState, store: Store, own_ip: str, lag_s: float
    ) -> None:
        self.term_state = term_state
        self.store = store
        self.log = ReplicationLog()
        self.applied = 0
        self.lag_s = lag_s
        self.diverged: list[DivergedStatement] = []
        self.changed = Signal()
        self._own_ip = own_ip
        self._arrivals: deque[tuple[int, float]] = deque()
        self._pending_heads: deque[tuple[int, float]] = deque()
        self._up_to_date_at = 0.0
        self._tasks: list[Task] = []

    @property
    def applied_position(self) -> Position:
        """Position of the last applied entry."""
        return self.log.position_at(self.applied)

    def age_s(self) -> float:
        """Return the maximum age of the data in s, by this member's clock."""
        if self.term_state.is_primary:
            return 0.0
        return get_running_loop().time() - self._up_to_date_at

    def commit(self, entry: LogEntry) -> Position:
        """Append a transaction that this member's store has committed."""
        position = self.log.append(entry)
        self.applied = position.index
        self.changed.notify()
        return position

    def start(
        self, wait_while_paused, address: tuple[str, int] | None
    ) -> None:
        """Start to apply entries and, if ``address`` is given, to pull."""
        self.stop()
        self._tasks = [create_task(self._apply_forever(wait_while_paused))]
        if address is not None:
            pulling = self._pull_forever(wait_while_paused, address)
            self._tasks.append(create_task(pulling))

    def stop(self) -> list[Task]:
        """Stop pulling and applying; received entries are kept.

        Returns the cancelled tasks, which may not have ended yet.
        """
        ending, self._tasks = self._tasks, []
        for task in ending:
            task.cancel()
        return ending

    async def _pull_forever(
        self, wait_while_paused, address: tuple[str, int]
    ) -> None:
        channel = PullChannel(self._own_ip, *address)
        try:
            while self.term_state.is_following:
                await wait_while_paused()
                try:
                    await self._pull_once(channel, wait_while_paused)
                except (OSError, EOFError, TimeoutError):
                    await sleep(RETRY_DELAY_S)
        finally:
            channel.close()

    async def _pull_once(
        self, channel: PullChannel, wait_while_paused
    ) -> None:
        term = self.term_state.follows_term
        sent_at = get_running_loop().time()
        pull = Pull(
            self.term_state.member,
            term,
            len(self.log),
            self.applied,
            self.log.history,
        )
        answer = await channel.request(pull)
        await wait_while_paused()
        if (
            not self.term_state.is_following
            or self.term_state.follows_term != term
        ):
            # A higher term was promised while the pull was in flight: the
            # entries come from a primary that has been replaced.
            return
        if answer.refused or answer.term != term:
            await sleep(RETRY_DELAY_S)
            return
        if len(self.log) != pull.length:
            # The log grew while the pull was in flight; the entries
            # beyond the answer would be undone as diverged.
            return
        self._handle_answer(answer, sent_at)

    def _handle_answer(self, answer: PullAnswer, sent_at: float) -> None:
        if answer.keep < len(self.log):
            self._truncate_diverged(answer.keep)
        for entry in answer.entries:
            self.log.append(entry)
        now = get_running_loop().time()
        if answer.image:
            self.store.restore(answer.image)
            self.applied = len(self.log)
            self._arrivals.clear()
        elif answer.entries:
            self._arrivals.append((len(self.log), now))
        self._pending_heads.append((answer.head, sent_at))
        self._update_freshness()
        self.changed.notify()

    def _truncate_diverged(self, keep: int) -> None:
        """Remove the entries after ``keep`` and record their statements."""
        for index, entry in enumerate(self.log.truncate(keep), keep + 1):
            self.diverged.extend(
                DivergedStatement(entry.term, index, statement.sql)
                for statement in entry.statements
            )
        self._arrivals.clear()
        self._pending_heads.clear()

    def _update_freshness(self) -> None:
        while (
            self._pending_heads and self._pending_heads[0][0] <= self.applied
        ):
            self._up_to_date_at = self._pending_heads.popleft()[1]

    async def _apply_forever(self, wait_while_paused) -> None:
        while True:
            await wait_while_paused()
            wait_s = self._apply_due(MAX_APPLY_ENTRIES)
            if wait_s > 0:
                await self.changed.wait(min(wait_s, 0.5))
            else:
                await sleep(0)

    def _apply_due(self, limit: int) -> float:
        """Apply at most ``limit`` due entries.

        Returns the seconds until the next call.
        """
        now = get_running_loop().time()
        count = 0
        while self._arrivals and count < limit:
            last, arrived_at = self._arrivals[0]
            due_in_s = arrived_at + self.lag_s - now
            if due_in_s > 0:
                return due_in_s
            count += self._apply_to(min(last, self.applied + limit - count))
            if self.applied >= last:
                self._arrivals.popleft()
        return 0.0 if self._arrivals else 0.5

    def _apply_to(self, index: int) -> int:
        """Apply the entries up to ``index`` and return their number."""
        before = self.applied
        while self.applied < index:
            self.store.apply(self.log.entry(self.applied + 1))
            self.applied += 1
        if self.applied > before:
            self._update_freshness()
            self.changed.notify()
        return self.applied - before

    async def apply_all(self) -> None:
        """Apply the whole relay log at once, without the lag."""
        while self.applied < len(self.log):
            self._apply_to(
                min(len(self.log), self.applied + MAX_APPLY_ENTRIES)
            )
            await sleep(0)
        self._arrivals.clear()
