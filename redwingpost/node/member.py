"""One member as this node uses it: pool, control connection, health."""

from asyncio import (
    CancelledError,
    Future,
    Lock,
    get_running_loop,
    wait_for,
)
from heapq import heappop, heappush
from itertools import count

from redwingpost.core.statements import Shape
from redwingpost.groups.latency import LatencyTracker
from redwingpost.membership.centres import MemberHealth
from redwingpost.observability.journal import log_event
from redwingpost.pools.pool import (
    Busy,
    ConnectionBudget,
    MemberPool,
    Open,
    PooledLink,
)
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import (
    DatabaseLink,
    FailureKind,
    LinkFactory,
    LinkLost,
    MemberEntry,
    MemberFailure,
    Reply,
    StatusReport,
)
from redwingpost.statements.session import SessionState
from redwingpost.statements.setup import setup_steps

#: Seconds for a new connection: a handshake waits its turn for a slot.
CONNECT_S = 0.6

#: Seconds for a control command. Answers come within milliseconds; a
#: member that takes longer is as good as silent to whoever decides.
CONTROL_S = 0.4

#: Seconds before a connection is tried again at a member that has no
#: place left, unless one of this VM's own comes free.
FULL_PAUSE_S = 0.03

#: Seconds without a command after which the control connection closes:
#: of a primary's connections it would take a sixth without any use.
CONTROL_REST_S = 3.0

#: Seconds for a connection that are worth a line in the log.
LONG_WAIT_S = 0.05

#: Seconds for a control command to a member that has kept this VM waiting
#: for ``SILENT_S``: it will hardly answer, and a takeover waits for the
#: slowest of those it asks, which is the lost primary.
SILENT_CONTROL_S = 0.12
SILENT_S = 0.5

#: Seconds after which a statement that waits for a place looks again: a
#: place may be free that nobody gave back, once the member takes more.
BUSY_PAUSE_S = 0.1

#: Name under which control connections are opened.
CONTROL_NAME = "redwing-control"


class MemberRefused(Exception):
    """The member took no connection, or no set-up step."""

    def __init__(self, failure: MemberFailure) -> None:
        super().__init__(failure.word)
        self.failure = failure


class NoConnectionFree(Exception):
    """No connection came free in time."""


class MemberClient:
    """Connections of this node to one member."""

    def __init__(
        self, entry: MemberEntry, links: LinkFactory, clock: Clock
    ) -> None:
        self.entry = entry
        self.budget = ConnectionBudget()
        self.pool = MemberPool(self.budget)
        self.latency = LatencyTracker()
        self.statements_in_flight = 0
        self.behind_until = float("-inf")
        self.answered_at = clock.now()
        self.failed_at = float("-inf")
        self.asked_at = float("-inf")
        self._awaited = 0
        self._sent_at = float("-inf")
        self._links = links
        self._clock = clock
        self._control: DatabaseLink | None = None
        self._control_lock = Lock()
        self._waiting: list[tuple[int, int, Future]] = []
        self._order = count()

    @property
    def is_failing(self) -> bool:
        """Whether something failed there since its last answer."""
        return self.failed_at > self.answered_at

    @property
    def failing_s(self) -> float:
        """Return for how long everything has failed there (seconds).

        A member that was simply not asked counts as answering.
        """
        return self.silent_s if self.is_failing else 0.0

    @property
    def silent_s(self) -> float:
        """Return for how long nothing has been heard (seconds)."""
        return self._clock.now() - self.answered_at

    @property
    def waiting_s(self) -> float:
        """Return for how long statements have waited without any answer.

        Zero where none waits.
        """
        if self._awaited == 0:
            return 0.0
        return self._clock.now() - max(self._sent_at, self.answered_at)

    @property
    def awaits_answer(self) -> bool:
        """Whether anything sent there has had no answer yet."""
        return self._awaited > 0 or self.asked_at > self.answered_at

    @property
    def awaited_s(self) -> float:
        """Return for how long anything sent there has waited in vain."""
        asked_s = 0.0
        if self.asked_at > self.answered_at:
            asked_s = self._clock.now() - self.asked_at
        return max(self.waiting_s, asked_s, self.failing_s)

    def health(self) -> MemberHealth:
        """Return what the member's answers say of its data centre."""
        return MemberHealth(
            self.entry.data_centre, self.silent_s, self.awaited_s
        )

    def may_read(self, now: float) -> bool:
        """Say whether a read may be sent here.

        One that failed since it last answered is left until a question
        is answered again.
        """
        return now >= self.behind_until and not self.is_failing

    def note_answer(self) -> None:
        """Note that the member has just answered something."""
        self.answered_at = self._clock.now()

    def note_sent(self) -> None:
        """Note that a statement was sent there."""
        if self._awaited == 0:
            self._sent_at = self._clock.now()
        self._awaited += 1

    def note_ended(self) -> None:
        """Note that a statement has its answer, or never will."""
        self._awaited -= 1

    async def acquire(
        self,
        organisation: str,
        values_by_name: dict[str, str],
        shape: Shape | None,
        priority: int,
        until: float,
    ) -> PooledLink:
        """Claim a connection for one organisation.

        Parameters
        ----------
        organisation : str
            Whose statement is to run.
        values_by_name : dict
            The session's values.
        shape : Shape or None
            The prepared statement that is about to run.
        priority : int
            Lower goes first where many wait.
        until : float
            When to give up (seconds).

        Raises
        ------
        NoPlace, MemberRefused, LinkLost
        """
        asked_at = self._clock.now()
        while True:
            now = self._clock.now()
            taken = self.pool.take(organisation, values_by_name, shape, now)
            if isinstance(taken, PooledLink):
                if taken.link.is_open:
                    self._note_wait(organisation, now - asked_at)
                    return taken
                self.discard(taken)
            elif isinstance(taken, Open):
                opened = await self._open(taken, organisation, until)
                if opened is not None:
                    waited_s = self._clock.now() - asked_at
                    self._note_wait(organisation, waited_s)
                    return opened
                await self._wait(priority, until, FULL_PAUSE_S)
            elif isinstance(taken, Busy):
                await self._wait(priority, until, BUSY_PAUSE_S)

    async def make_ready(self, item: PooledLink, state: SessionState) -> None:
        """Give a connection the values of a session.

        All steps travel together: one by one they were as many round
        trips as statements, 1 to 3 ms each. The statement itself waits
        for their answers, since it must not run with other values.
        """
        steps = setup_steps(item.contents, state.values_by_name)
        if not steps:
            return
        replies = await item.link.set_up(steps)
        for step, reply in zip(steps, replies, strict=True):
            if reply.failure is not None:
                raise MemberRefused(reply.failure)
            item.contents.apply(step)

    def release(self, item: PooledLink) -> None:
        """Give a connection back; a broken one is dropped."""
        if not item.link.is_open:
            self.discard(item)
            return
        self.pool.give_back(item, self._clock.now())
        self._wake()

    def discard(self, item: PooledLink) -> None:
        """Close a claimed connection whose state is in doubt."""
        if item.is_dropped:
            return
        item.is_dropped = True
        item.link.close()
        self._drop()

    async def ask(self, command: str, *arguments: int) -> StatusReport | None:
        """Send a control command; None where no report came."""
        is_silent = self.awaited_s >= SILENT_S
        self.asked_at = self._clock.now()
        try:
            return await wait_for(
                self._ask_in_turn(command, arguments),
                SILENT_CONTROL_S if is_silent else CONTROL_S,
            )
        except MemberRefused as refused:
            if refused.failure.kind is not FailureKind.TOO_MANY_CONNECTIONS:
                self.failed_at = self._clock.now()
            return None
        except (LinkLost, TimeoutError):
            # The wait may have ended before its turn came; the command
            # that is under way is closed by its own cancellation.
            self.failed_at = self._clock.now()
            return None

    def close_idle(self, all_of_them: bool) -> None:
        """Close connections that rest for no use."""
        now = self._clock.now()
        if now - self.asked_at > CONTROL_REST_S:
            self._close_control()
        for item in self.pool.close_idle(now, all_of_them):
            item.link.close()

    def close(self) -> None:
        """Close what rests, when the member is gone."""
        self.close_idle(all_of_them=True)
        self._close_control()

    def _close_control(self) -> None:
        if self._control is not None and not self._control_lock.locked():
            self._control.close()
            self._control = None

    async def _ask_in_turn(
        self, command: str, arguments: tuple[int, ...]
    ) -> StatusReport | None:
        async with self._control_lock:
            if self._control is None or not self._control.is_open:
                self._control = await self._connect(CONTROL_NAME, CONNECT_S)
            report = await getattr(self._control, command)(*arguments)
            self.note_answer()
            return report

    async def _open(
        self, taken: Open, organisation: str, until: float
    ) -> PooledLink | None:
        """Open a connection; None where the member takes no more."""
        if taken.evicted is not None:
            taken.evicted.link.close()
        patience = min(CONNECT_S, until - self._clock.now())
        try:
            link = await self._connect(organisation, max(patience, 0.01))
        except MemberRefused as refused:
            self._drop()
            if refused.failure.kind is FailureKind.TOO_MANY_CONNECTIONS:
                return None
            raise
        except BaseException:
            self._drop()
            raise
        return PooledLink(link, organisation)

    async def _connect(self, organisation: str, patience: float):
        try:
            opened = await self._links.open(self.entry, organisation, patience)
        except LinkLost as lost:
            self.failed_at = self._clock.now()
            log_event(
                "connection-failed",
                member=self.entry.member,
                organisation=organisation,
                detail=lost.detail,
            )
            raise
        if isinstance(opened, MemberFailure):
            log_event(
                "connection-refused",
                member=self.entry.member,
                organisation=organisation,
                word=opened.word,
            )
            if opened.kind is FailureKind.TOO_MANY_CONNECTIONS:
                # A member that is full lives. Taken for lost, it would be
                # asked by all VMs, over more connections.
                self.note_answer()
                self.budget.note_refused(self._clock.now())
            raise MemberRefused(opened)
        return opened

    async def _wait(
        self, priority: int, until: float, at_most_s: float = float("inf")
    ) -> None:
        """Wait for a place; return early after ``at_most_s``."""
        left_s = until - self._clock.now()
        if left_s <= 0.0:
            raise NoConnectionFree()
        patience = min(left_s, at_most_s)
        future = get_running_loop().create_future()
        heappush(self._waiting, (priority, next(self._order), future))
        try:
            await wait_for(future, patience)
        except TimeoutError as error:
            if patience == left_s:
                raise NoConnectionFree() from error
        except CancelledError:
            # Woken and cancelled at once: the place goes to the next, who
            # would otherwise wait although it is free.
            if future.done() and not future.cancelled():
                self._wake()
            raise

    def _note_wait(self, organisation: str, waited_s: float) -> None:
        if waited_s < LONG_WAIT_S:
            return
        log_event(
            "waited-for-connection",
            member=self.entry.member,
            organisation=organisation,
            seconds=round(waited_s, 4),
            in_use=self.pool.in_use,
            allowed=self.budget.allowed(self._clock.now()),
        )

    def _drop(self) -> None:
        self.pool.drop()
        self._wake()

    def _wake(self) -> None:
        while self._waiting:
            _, _, future = heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return


def is_proven_success(reply: Reply) -> bool:
    """Say whether a reply is a success with the member's proof."""
    return reply.failure is None and reply.proof not in ("", "-")
