"""One VM's client of a member: pool, control connection and health."""

from asyncio import (
    CancelledError,
    Future,
    Lock,
    get_running_loop,
    timeout,
    wait_for,
)
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import ceil

from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Shape
from redwingpost.groups.choice import ASSUMED_SLOTS
from redwingpost.groups.latency import LatencyTracker
from redwingpost.membership.centres import MemberHealth
from redwingpost.node.member_admission import (
    WAIT_ENDED,
    MemberAdmission,
    MemberLoad,
    MemberRules,
    RefusalKey,
    always,
)
from redwingpost.node.places import ColdGuard
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

#: Seconds for a new connection: the handshake may wait for a free slot.
CONNECT_TIMEOUT_S = 0.6

#: Seconds for a control command. Answers normally take milliseconds; a
#: member that takes longer than this counts as silent.
CONTROL_TIMEOUT_S = 0.4

#: Seconds before another attempt to connect to a member that has no free
#: connection, unless one of this VM's own is released earlier.
FULL_RETRY_S = 0.03

#: Seconds without a command after which the control connection is closed:
#: unused control connections would take a sixth of a primary's connections.
CONTROL_IDLE_S = 3.0

#: Seconds of waiting for a connection above which the wait is logged.
LONG_WAIT_S = 0.05

#: Seconds for a control command to a member that has left this VM without
#: an answer for ``SILENT_S``: it probably won't answer, and a takeover
#: waits for the slowest member it queries, which is the lost primary.
SILENT_CONTROL_TIMEOUT_S = 0.12
SILENT_S = 0.5

#: Seconds after which a statement that waits for a connection checks
#: again: the limit may have risen, in which case no release wakes it.
BUSY_RECHECK_S = 0.1

#: Name under which control connections are opened.
CONTROL_NAME = "redwing-control"


class MemberRefused(Exception):
    """The member refused a connection or a set-up step."""

    def __init__(self, failure: MemberFailure) -> None:
        super().__init__(failure.keyword)
        self.failure = failure


class NoConnectionFree(Exception):
    """No connection was free before the deadline."""


class MemberClient:
    """This VM's connections to one member, and the member's health."""

    def __init__(
        self,
        entry: MemberEntry,
        links: LinkFactory,
        clock: Clock,
        refusals: Counter[RefusalKey] | None = None,
    ) -> None:
        self.entry = entry
        self.budget = ConnectionBudget()
        self.pool = MemberPool(self.budget)
        self.admission = MemberAdmission(
            entry.member,
            clock,
            Counter() if refusals is None else refusals,
            self.pool.has_idle,
        )
        self.latency = LatencyTracker()
        self.statements_in_flight = 0
        self.lagging_until = float("-inf")
        #: When statements may no longer be sent there (seconds).
        self.work_ends_at = float("inf")
        #: The same for statements that don't continue a transaction.
        self.new_work_ends_at = float("inf")
        #: Limits statements while the member is cold; None: no limit.
        self.cold_guard: ColdGuard | None = None
        self.answered_at = clock.now()
        self.failed_at = float("-inf")
        self.command_sent_at = float("-inf")
        self._unanswered = 0
        self._sent_at = float("-inf")
        self._links = links
        self._clock = clock
        self._control: DatabaseLink | None = None
        self._control_opened_at = float("inf")
        self._control_lock = Lock()
        self._waiting: list[tuple[int, int, Future]] = []
        self._sequence = count()

    @property
    def has_connections(self) -> bool:
        """Whether a connection to the member is open."""
        return self._control is not None or self.pool.has_links

    @property
    def control_open_s(self) -> float:
        """Return for how long the control connection has been open (s).

        0 if there is none. The member's process has run for that time.
        """
        if self._control is None or not self._control.is_open:
            return 0.0
        return self._clock.now() - self._control_opened_at

    @property
    def is_failing(self) -> bool:
        """Whether anything has failed there since its last answer."""
        return self.failed_at > self.answered_at

    @property
    def failing_s(self) -> float:
        """Return for how long everything has failed there (seconds).

        A member that nothing was sent to counts as answering.
        """
        return self.silent_s if self.is_failing else 0.0

    @property
    def silent_s(self) -> float:
        """Return the time since the member's last answer (seconds)."""
        return self._clock.now() - self.answered_at

    @property
    def waiting_s(self) -> float:
        """Return how long statements have waited without any answer.

        In seconds; 0 if none waits.
        """
        if self._unanswered == 0:
            return 0.0
        return self._clock.now() - max(self._sent_at, self.answered_at)

    @property
    def has_unanswered(self) -> bool:
        """Whether anything sent there has had no answer yet."""
        return self._unanswered > 0 or self.command_sent_at > self.answered_at

    @property
    def unanswered_s(self) -> float:
        """Return how long anything sent has been unanswered (seconds)."""
        command_unanswered_s = 0.0
        if self.command_sent_at > self.answered_at:
            command_unanswered_s = self._clock.now() - self.command_sent_at
        return max(self.waiting_s, command_unanswered_s, self.failing_s)

    def health(self) -> MemberHealth:
        """Return the member's health, for ``CentreWatch``."""
        return MemberHealth(
            self.entry.data_centre, self.silent_s, self.unanswered_s
        )

    @property
    def may_be_sent_work(self) -> bool:
        """Whether statements may be sent to the member now."""
        return self._clock.now() < self.work_ends_at

    @property
    def takes_new_work(self) -> bool:
        """Whether a statement may be sent that continues no transaction."""
        is_over = self._clock.now() >= self.new_work_ends_at
        return self.may_be_sent_work and not is_over

    def accepts_reads(self, now: float) -> bool:
        """Return whether a read may be sent to the member.

        If it failed since its last answer, it gets no reads until it has
        answered a probe.
        """
        return now >= self.lagging_until and not self.is_failing

    def follow_admission(self, rules: MemberRules | None) -> None:
        """Admit by these rules; None: statements only wait."""
        self.admission.follow(
            rules,
            self.entry.slots or ASSUMED_SLOTS,
            self.budget.allowed(self._clock.now()),
        )

    def load(self, now: float) -> MemberLoad:
        """Return the member's load at ``now`` (seconds)."""
        allowed = self.budget.allowed(now)
        opened = self.pool.open_connections
        controller = self.admission.controller
        if controller is not None:
            return MemberLoad(
                controller.running,
                controller.waiting + self.admission.places.waiting,
                controller.max_running,
                opened,
                allowed,
                self.wait_s(now),
            )
        return MemberLoad(
            self.pool.in_use,
            self._count_waiting(),
            allowed,
            opened,
            allowed,
            self.wait_s(now),
        )

    def wait_s(self, now: float) -> float:
        """Return how long a new statement would wait (seconds)."""
        if self.admission.controller is not None:
            return self.admission.wait_s(now)
        allowed = max(self.budget.allowed(now), 1)
        return self._count_waiting() * self.latency.smoothed_s / allowed

    def _count_waiting(self) -> int:
        return sum(not future.done() for _, _, future in self._waiting)

    def note_answer(self) -> None:
        """Record that the member has just answered a statement."""
        self._note_alive()
        self.admission.note_answer()

    def _note_alive(self) -> None:
        if self.cold_guard is not None:
            self.cold_guard.note_answer()
        self.answered_at = self._clock.now()

    def cold_wait_s(self, statements: int = 1) -> float:
        """Return how long the member may get no statement (seconds)."""
        if self.cold_guard is None:
            return 0.0
        return self.cold_guard.wait_s(statements)

    def refuse_cold(self, statements: int = 1) -> Refusal | None:
        """Refuse statements that a cold member may not get now."""
        wait_s = self.cold_wait_s(statements)
        if wait_s <= 0.0:
            return None
        self.cold_guard.note_refused()
        detail = f"{self.entry.member} is cold"
        return Refusal(Code.OVER_CAPACITY, detail, ceil(wait_s * 1000))

    def note_sent(self) -> None:
        """Record that a statement was sent to the member."""
        if self.cold_guard is not None:
            self.cold_guard.note_sent()
        if self._unanswered == 0:
            self._sent_at = self._clock.now()
        self._unanswered += 1

    def note_ended(self) -> None:
        """Record that a statement was answered or is no longer waited for."""
        self._unanswered -= 1

    async def acquire(
        self,
        organisation: str,
        values_by_name: dict[str, str],
        shape: Shape | None,
        priority: int,
        deadline: float,
        is_transaction: bool = False,
        may_wait: Callable[[], bool] = always,
    ) -> PooledLink:
        """Claim a connection for one organisation.

        Parameters
        ----------
        organisation : str
            The organisation of the statement.
        values_by_name : dict
            The session's values.
        shape : Shape or None
            Shape of the prepared statement to run, if it is one.
        priority : int
            Of several waiting statements, the lowest value goes first.
        deadline : float
            When to stop waiting (seconds).
        is_transaction : bool, optional
            Whether a transaction will hold the connection.
        may_wait : callable, optional
            Whether the statement may still wait.

        Raises
        ------
        AdmissionRefused
            If the statement can't be served before the deadline.
        NoConnectionFree
            If none was free before the deadline.
        MemberRefused
            If the member refused a new connection.
        LinkLost
            If a new connection could not be opened, or the statement may
            wait no longer.
        """
        ticket = await self.admission.enter(
            organisation, priority, deadline, is_transaction, may_wait
        )
        try:
            pooled = await self._claim(
                organisation,
                values_by_name,
                shape,
                priority,
                deadline,
                may_wait,
            )
        except BaseException:
            self.admission.leave(ticket, None)
            raise
        pooled.ticket = ticket
        pooled.ran_s = None
        return pooled

    async def _claim(
        self,
        organisation: str,
        values_by_name: dict[str, str],
        shape: Shape | None,
        priority: int,
        deadline: float,
        may_wait: Callable[[], bool],
    ) -> PooledLink:
        requested_at = self._clock.now()
        while True:
            if not may_wait():
                raise LinkLost(WAIT_ENDED, sent=False)
            now = self._clock.now()
            taken = self.pool.take(organisation, values_by_name, shape, now)
            if isinstance(taken, PooledLink):
                if taken.link.is_open:
                    self._log_long_wait(organisation, now - requested_at)
                    return taken
                self.discard(taken)
            elif isinstance(taken, Open):
                opened = await self._open(taken, organisation, deadline)
                if opened is not None:
                    waited_s = self._clock.now() - requested_at
                    self._log_long_wait(organisation, waited_s)
                    return opened
                await self._wait_for_connection(
                    priority, deadline, FULL_RETRY_S
                )
            elif isinstance(taken, Busy):
                await self._wait_for_connection(
                    priority, deadline, BUSY_RECHECK_S
                )

    async def make_ready(
        self, pooled: PooledLink, state: SessionState
    ) -> None:
        """Set a session's values on a connection.

        All steps are sent together: one by one, each would cost a round
        trip of 1 to 3 ms. The statement itself is sent only after their
        answers, since it must not run with other values.
        """
        steps = setup_steps(pooled.contents, state.values_by_name)
        if not steps:
            return
        replies = await pooled.link.set_up(steps)
        for step, reply in zip(steps, replies, strict=True):
            if reply.failure is not None:
                raise MemberRefused(reply.failure)
            pooled.contents.apply(step)

    def release(self, pooled: PooledLink) -> None:
        """Return a connection to the pool; discard a broken one."""
        if not pooled.link.is_open:
            self.discard(pooled)
            return
        self.pool.give_back(pooled, self._clock.now())
        self._wake_next()
        self._return_ticket(pooled)

    def discard(self, pooled: PooledLink) -> None:
        """Close a claimed connection whose state is unknown."""
        if pooled.is_dropped:
            return
        pooled.is_dropped = True
        pooled.link.close()
        self._drop_from_pool()
        self._return_ticket(pooled)

    def rest(self, pooled: PooledLink, evict: Callable[[float], None]) -> None:
        """Free a transaction's slot while its caller pauses.

        ``evict`` ends the transaction, if it rests too long while others
        wait; it is given the time rested (seconds).
        """
        self.admission.rest(pooled.ticket, evict)

    def resume(self, pooled: PooledLink) -> None:
        """Take a slot for a transaction's next statement at once."""
        self.admission.resume(pooled.ticket)

    def _return_ticket(self, pooled: PooledLink) -> None:
        ticket, pooled.ticket = pooled.ticket, None
        self.admission.leave(ticket, pooled.ran_s)

    async def send_command(
        self,
        command: str,
        *arguments: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> StatusReport | None:
        """Send a control command; return None if no report came.

        ``may_send`` is asked immediately before it is sent: a connection may
        have to be opened first.
        """
        is_silent = self.unanswered_s >= SILENT_S
        self.command_sent_at = self._clock.now()
        try:
            async with timeout(
                SILENT_CONTROL_TIMEOUT_S if is_silent else CONTROL_TIMEOUT_S
            ):
                return await self._send_in_turn(command, arguments, may_send)
        except MemberRefused as refused:
            if refused.failure.kind is not FailureKind.TOO_MANY_CONNECTIONS:
                self.failed_at = self._clock.now()
            return None
        except (LinkLost, TimeoutError):
            # The timeout may have ended the wait for the lock; a command
            # in progress is closed by its own cancellation.
            self.failed_at = self._clock.now()
            return None

    def close_idle(self, close_all: bool) -> None:
        """Close connections idle for too long, or all idle ones."""
        now = self._clock.now()
        if now - self.command_sent_at > CONTROL_IDLE_S:
            self._close_control()
        for pooled in self.pool.close_idle(now, close_all):
            pooled.link.close()

    def close(self) -> None:
        """Close all idle connections of a member that was removed."""
        self.new_work_ends_at = float("-inf")
        self.admission.fail_waiting("the member was removed")
        self.close_idle(close_all=True)
        self._close_control()

    def _close_control(self) -> None:
        if self._control is not None and not self._control_lock.locked():
            self._control.close()
            self._control = None

    async def _send_in_turn(
        self,
        command: str,
        arguments: tuple[int, ...],
        may_send: Callable[[], bool],
    ) -> StatusReport | None:
        async with self._control_lock:
            if self._control is None or not self._control.is_open:
                self._control = await self._connect(
                    CONTROL_NAME, CONNECT_TIMEOUT_S
                )
                self._control_opened_at = self._clock.now()
            if not may_send():
                return None
            report = await getattr(self._control, command)(*arguments)
            self._note_alive()
            return report

    async def _open(
        self, taken: Open, organisation: str, deadline: float
    ) -> PooledLink | None:
        """Open a connection; return None if the member accepts no more."""
        if taken.evicted is not None:
            taken.evicted.link.close()
        timeout_s = min(CONNECT_TIMEOUT_S, deadline - self._clock.now())
        try:
            link = await self._connect(organisation, max(timeout_s, 0.01))
        except MemberRefused as refused:
            self._drop_from_pool()
            if refused.failure.kind is FailureKind.TOO_MANY_CONNECTIONS:
                return None
            raise
        except BaseException:
            self._drop_from_pool()
            raise
        return PooledLink(link, organisation)

    async def _connect(self, organisation: str, timeout_s: float):
        try:
            opened = await self._links.open(
                self.entry, organisation, timeout_s
            )
        except LinkLost as lost:
            self.failed_at = self._clock.now()
            if lost.is_refused and self.cold_guard is not None:
                self.cold_guard.note_ended()
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
                word=opened.keyword,
            )
            if opened.kind is FailureKind.TOO_MANY_CONNECTIONS:
                # A member at its connection limit is alive. If it counted
                # as lost, all VMs would probe it over more connections.
                self._note_alive()
                self.budget.note_refused(self._clock.now())
            raise MemberRefused(opened)
        return opened

    async def _wait_for_connection(
        self, priority: int, deadline: float, at_most_s: float = float("inf")
    ) -> None:
        """Wait for a free connection, at most ``at_most_s`` seconds."""
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0.0:
            raise NoConnectionFree()
        timeout_s = min(remaining_s, at_most_s)
        future = get_running_loop().create_future()
        heappush(self._waiting, (priority, next(self._sequence), future))
        try:
            await wait_for(future, timeout_s)
        except TimeoutError as error:
            if timeout_s == remaining_s:
                raise NoConnectionFree() from error
        except CancelledError:
            # Woken and cancelled at the same time: wake the next, which
            # would otherwise wait although a connection is free.
            if future.done() and not future.cancelled():
                self._wake_next()
            raise

    def _log_long_wait(self, organisation: str, waited_s: float) -> None:
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

    def _drop_from_pool(self) -> None:
        self.pool.drop()
        self._wake_next()

    def _wake_next(self) -> None:
        while self._waiting:
            _, _, future = heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return


def is_proven_success(reply: Reply) -> bool:
    """Return whether a reply is a success with the member's proof."""
    return reply.failure is None and reply.proof not in ("", "-")
