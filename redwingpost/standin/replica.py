"""A member's following: pulling the primary's log and applying it."""

from asyncio import (
    Task,
    create_task,
    get_running_loop,
    sleep,
)
from collections import deque
from typing import NamedTuple

from redwingpost.core import Position
from redwingpost.standin.promises import PromiseBook
from redwingpost.standin.replication import Pull, PullAnswer, PullChannel
from redwingpost.standin.replication_log import LogEntry, ReplicationLog
from redwingpost.standin.signals import Signal
from redwingpost.standin.store import Store

#: Pause before a pull is tried again after it failed, seconds.
RETRY_S = 0.05

#: Entries applied before other work on the loop gets its turn.
APPLY_BATCH = 100


class SetAside(NamedTuple):
    """A transaction that the primary didn't hold, undone here."""

    term: int
    index: int
    statement: str


class Replica:
    """The log of one member, received and applied.

    Parameters
    ----------
    book : PromiseBook
        What the member has promised; entries are taken only from the
        primary of the promised term.
    store : Store
        Where entries are applied.
    own_ip : str
        Address that pulls are sent from.
    lag_s : float
        How long a received entry waits before it is applied.
    """

    def __init__(
        self, book: PromiseBook, store: Store, own_ip: str, lag_s: float
    ) -> None:
        self.book = book
        self.store = store
        self.log = ReplicationLog()
        self.applied = 0
        self.lag_s = lag_s
        self.set_aside: list[SetAside] = []
        self.changed = Signal()
        self._own_ip = own_ip
        self._arrivals: deque[tuple[int, float]] = deque()
        self._heads: deque[tuple[int, float]] = deque()
        self._fresh_at = 0.0
        self._tasks: list[Task] = []

    @property
    def applied_position(self) -> Position:
        """Position of the last transaction that a read here sees."""
        return self.log.position_at(self.applied)

    def age_s(self) -> float:
        """Return how old the data may be at most, on the own clock."""
        if self.book.is_primary:
            return 0.0
        return get_running_loop().time() - self._fresh_at

    def commit(self, entry: LogEntry) -> Position:
        """Take in a transaction that the store has committed here."""
        position = self.log.append(entry)
        self.applied = position.index
        self.changed.notify()
        return position

    def start(self, gate, address: tuple[str, int] | None) -> None:
        """Begin to apply and, where ``address`` is given, to pull."""
        self.stop()
        self._tasks = [create_task(self._apply_forever(gate))]
        if address is not None:
            pulling = self._pull_forever(gate, address)
            self._tasks.append(create_task(pulling))

    def stop(self) -> list[Task]:
        """End pulling and applying; what is received stays.

        Returns the tasks that are ending.
        """
        ending, self._tasks = self._tasks, []
        for task in ending:
            task.cancel()
        return ending

    async def _pull_forever(self, gate, address: tuple[str, int]) -> None:
        channel = PullChannel(self._own_ip, *address)
        try:
            while self.book.is_following:
                await gate()
                try:
                    await self._pull_once(channel, gate)
                except (OSError, EOFError, TimeoutError):
                    await sleep(RETRY_S)
        finally:
            channel.close()

    async def _pull_once(self, channel: PullChannel, gate) -> None:
        term = self.book.follows_term
        asked_at = get_running_loop().time()
        pull = Pull(
            self.book.member,
            term,
            len(self.log),
            self.applied,
            self.log.history,
        )
        answer = await channel.ask(pull)
        await gate()
        if not self.book.is_following or self.book.follows_term != term:
            # The promise moved on while the answer was on its way: an
            # entry taken now would come from a replaced primary.
            return
        if answer.refused or answer.term != term:
            await sleep(RETRY_S)
            return
        if len(self.log) != pull.length:
            # The log grew while the answer was on its way; taken now,
            # the answer would look like a divergence.
            return
        self._take(answer, asked_at)

    def _take(self, answer: PullAnswer, asked_at: float) -> None:
        if answer.keep < len(self.log):
            self._undo(answer.keep)
        for entry in answer.entries:
            self.log.append(entry)
        now = get_running_loop().time()
        if answer.image:
            self.store.restore(answer.image)
            self.applied = len(self.log)
            self._arrivals.clear()
        elif answer.entries:
            self._arrivals.append((len(self.log), now))
        self._heads.append((answer.head, asked_at))
        self._note_freshness()
        self.changed.notify()

    def _undo(self, keep: int) -> None:
        """Set the entries beyond ``keep`` aside."""
        for place, entry in enumerate(self.log.truncate(keep), keep + 1):
            self.set_aside.extend(
                SetAside(entry.term, place, statement.sql)
                for statement in entry.statements
            )
        self._arrivals.clear()
        self._heads.clear()

    def _note_freshness(self) -> None:
        while self._heads and self._heads[0][0] <= self.applied:
            self._fresh_at = self._heads.popleft()[1]

    async def _apply_forever(self, gate) -> None:
        while True:
            await gate()
            wait = self._apply_due(APPLY_BATCH)
            if wait > 0:
                await self.changed.wait(min(wait, 0.5))
            else:
                await sleep(0)

    def _apply_due(self, limit: int) -> float:
        """Apply what is due; return the seconds until there is more."""
        now = get_running_loop().time()
        count = 0
        while self._arrivals and count < limit:
            last, arrived_at = self._arrivals[0]
            due_in = arrived_at + self.lag_s - now
            if due_in > 0:
                return due_in
            count += self._apply_to(min(last, self.applied + limit - count))
            if self.applied >= last:
                self._arrivals.popleft()
        return 0.0 if self._arrivals else 0.5

    def _apply_to(self, index: int) -> int:
        """Apply the entries up to ``index``; return how many."""
        before = self.applied
        while self.applied < index:
            self.store.apply(self.log.entry(self.applied + 1))
            self.applied += 1
        if self.applied > before:
            self._note_freshness()
            self.changed.notify()
        return self.applied - before

    async def apply_all(self) -> None:
        """Apply the whole relay log now, whatever the lag."""
        while self.applied < len(self.log):
            self._apply_to(min(len(self.log), self.applied + APPLY_BATCH))
            await sleep(0)
        self._arrivals.clear()
