"""Admission of statements at one member's client.

Load pattern: more callers than a member has connections. Without admission
a statement waits for a connection until its route's time-out ends, in the
order of priorities alone, and is refused only then.

The decisions are those of ``redwingpost.admission.controller``; this module
wakes the statements that it starts, and refuses those that it refuses.
"""

from asyncio import Future, get_running_loop, wait
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import random
from typing import NamedTuple

from redwingpost.admission.controller import AdmissionController, Arrival
from redwingpost.admission.home_policy import home_policy
from redwingpost.core.requests import Refusal
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import LinkLost
from redwingpost.scheduling.priorities import OrganisationWeights

#: Seconds after which a waiting statement checks whether its member has
#: stalled: no answer wakes it then.
STALL_CHECK_S = 0.1

#: Priority whose wait stands for a member's load: the highest one hardly
#: waits even where others are refused.
LOAD_PRIORITY = 1


class RefusalInputs(NamedTuple):
    """What a refusal was decided from, for its log line.

    ``wait_s`` and ``remaining_s`` are the estimated wait and the time that
    was left (seconds), ``limit`` and ``waiting`` are statements.
    """

    wait_s: float
    remaining_s: float
    limit: int
    waiting: int


class RefusalKey(NamedTuple):
    """What refusals are counted by; ``reason`` is a result code's name."""

    member: str
    organisation: str
    reason: str


class MemberLoad(NamedTuple):
    """Load of a member as this VM sees it.

    ``running``, ``waiting`` and ``limit`` are statements,
    ``connections_open`` and ``connections_allowed`` this VM's connections
    for statements. ``wait_s`` is how long a statement of ``LOAD_PRIORITY``
    would wait, of an organisation of usual weight that has nothing queued
    (seconds).
    """

    running: int
    waiting: int
    limit: int
    connections_open: int
    connections_allowed: int
    wait_s: float


class AdmissionRefused(Exception):
    """The statement can't be served in time; it was not sent."""

    def __init__(self, refusal: Refusal, inputs: RefusalInputs) -> None:
        super().__init__(refusal.describe())
        self.refusal = refusal
        self.inputs = inputs


class _Waiter(NamedTuple):
    """A statement that waits; ``deadline`` is in seconds."""

    future: Future
    organisation: str
    deadline: float


class MemberAdmission:
    """Tickets of the statements that run at, or wait for, one member.

    Inactive until ``follow`` gives it weights: until then ``enter`` returns
    at once, without a ticket. Refusals are counted in ``refusals``.
    """

    def __init__(
        self, member: str, clock: Clock, refusals: Counter[RefusalKey]
    ) -> None:
        self._member = member
        self._refusals = refusals
        self._clock = clock
        self._weights: OrganisationWeights | None = None
        self._controller: AdmissionController | None = None
        self._tickets = count(1)
        self._waiter_by_ticket: dict[int, _Waiter] = {}

    @property
    def controller(self) -> AdmissionController | None:
        """The controller; None while admission is inactive."""
        return self._controller

    def follow(
        self,
        weights: OrganisationWeights | None,
        slots: int,
        connections: int,
    ) -> None:
        """Take over the configuration in force.

        Parameters
        ----------
        weights : OrganisationWeights or None
            The organisations' weights; None ends admission, and what waits
            starts.
        slots : int
            Statements that the member runs at once.
        connections : int
            Connections that this VM may hold to the member.
        """
        self._weights = weights
        if weights is None:
            self._deactivate()
        elif self._controller is None:
            policy = home_policy(slots, random)
            self._controller = AdmissionController(connections, policy)
        else:
            self.set_connections(connections)

    def set_connections(self, connections: int) -> None:
        """Set how many connections this VM may hold; start what they allow."""
        if self._controller is not None:
            self._controller.set_connections(connections)
            self._wake(self._controller.start_waiting(self._clock.now()))

    async def enter(
        self, organisation: str, priority: int, deadline: float
    ) -> int | None:
        """Wait for a slot; return its ticket, or None if none is needed.

        Parameters
        ----------
        organisation : str
            The statement's organisation.
        priority : int
            Of its route; 0 is the highest.
        deadline : float
            When its time ends (seconds).

        Raises
        ------
        AdmissionRefused
            If it can't be served in time.
        LinkLost
            If the member was removed meanwhile.
        """
        controller = self._controller
        if controller is None:
            return None
        now = self._clock.now()
        ticket = next(self._tickets)
        flow = self._weights.flow(priority, organisation)
        decision = controller.arrive(
            now,
            Arrival(ticket, flow, flow.organisation, 1.0, False, deadline),
        )
        if decision.refusal is not None:
            raise self._refused(
                organisation, decision.refusal, decision.wait_s, deadline
            )
        if decision.starts:
            return ticket
        future = get_running_loop().create_future()
        waiter = _Waiter(future, organisation, deadline)
        self._waiter_by_ticket[ticket] = waiter
        if decision.evicted is not None:
            self._evict(*decision.evicted, decision.wait_s)
        await self._await_start(ticket, waiter)
        return ticket

    def leave(self, ticket: int | None, ran_s: float | None) -> None:
        """Return a ticket.

        Parameters
        ----------
        ticket : int or None
            The ticket; None if the statement needed none.
        ran_s : float or None
            How long the statement took until its answer (seconds); None if
            it wasn't run or wasn't answered.
        """
        controller = self._controller
        if controller is None or ticket is None:
            return
        now = self._clock.now()
        if ran_s is None:
            self._wake(controller.abandon(now, ticket))
        else:
            self._wake(controller.finish(now, ticket, _no_best, ran_s))

    def rest(self, ticket: int | None) -> None:
        """Free a transaction's slot until its next statement."""
        if self._controller is not None and ticket is not None:
            self._wake(self._controller.rest(self._clock.now(), ticket))

    def resume(self, ticket: int | None) -> None:
        """Take a slot for a transaction's next statement, without waiting."""
        if self._controller is not None and ticket is not None:
            self._controller.resume(self._clock.now(), ticket)

    def note_answer(self) -> None:
        """Record that the member answered a statement."""
        if self._controller is not None:
            self._controller.note_answer(self._clock.now())

    def note_full(self) -> None:
        """Record that the member refused a statement as its queue is full."""
        if self._controller is not None:
            self._controller.note_full(self._clock.now())

    def fail_waiting(self, reason: str) -> None:
        """Fail all waiting statements as not sent."""
        if self._controller is None:
            return
        for ticket in self._controller.clear():
            self._resolve(
                ticket,
                lambda future: future.set_exception(
                    LinkLost(reason, sent=False)
                ),
            )

    def waiting_by_organisation(self) -> Counter[str]:
        """Return how many statements of each organisation wait."""
        if self._controller is None:
            return Counter()
        return Counter(
            arrival.flow.kind
            for arrival in self._controller.waiting_arrivals()
        )

    def wait_s(self, now: float) -> float:
        """Return how long a usual statement would wait (seconds).

        0 while admission is inactive.
        """
        if self._controller is None:
            return 0.0
        flow = self._weights.flow(LOAD_PRIORITY, "")
        return self._controller.wait_s(now, flow)

    def _deactivate(self) -> None:
        if self._controller is None:
            return
        tickets = self._controller.clear()
        self._controller = None
        self._wake(tickets)

    async def _await_start(self, ticket: int, waiter: _Waiter) -> None:
        future = waiter.future
        try:
            while not future.done():
                remaining_s = waiter.deadline - self._clock.now()
                # Not zero: the timer might fire early again and again.
                pause_s = min(max(remaining_s, 0.001), STALL_CHECK_S)
                await wait({future}, timeout=pause_s)
                if not future.done():
                    self._refuse_if_late(ticket, waiter)
            future.result()
        except BaseException:
            # It may have been started and cancelled at the same time.
            self.leave(ticket, None)
            raise
        finally:
            del self._waiter_by_ticket[ticket]

    def _refuse_if_late(self, ticket: int, waiter: _Waiter) -> None:
        if self._controller is None:
            return
        refused = self._controller.refuse_waiting(self._clock.now(), ticket)
        if refused is not None:
            raise self._refused(waiter.organisation, *refused, waiter.deadline)

    def _refused(
        self,
        organisation: str,
        refusal: Refusal,
        wait_s: float,
        deadline: float,
    ) -> AdmissionRefused:
        reason = refusal.code.name
        self._refusals[RefusalKey(self._member, organisation, reason)] += 1
        inputs = RefusalInputs(
            wait_s,
            deadline - self._clock.now(),
            self._controller.max_running,
            self._controller.waiting,
        )
        return AdmissionRefused(refusal, inputs)

    def _evict(self, ticket: int, refusal: Refusal, wait_s: float) -> None:
        waiter = self._waiter_by_ticket.get(ticket)
        if waiter is None:
            return
        refused = self._refused(
            waiter.organisation, refusal, wait_s, waiter.deadline
        )
        self._resolve(ticket, lambda future: future.set_exception(refused))

    def _wake(self, tickets: tuple[int, ...]) -> None:
        for ticket in tickets:
            self._resolve(ticket, lambda future: future.set_result(None))

    def _resolve(self, ticket: int, settle: Callable[[Future], None]) -> None:
        waiter = self._waiter_by_ticket.get(ticket)
        if waiter is not None and not waiter.future.done():
            settle(waiter.future)


def _no_best(key: str) -> None:
    """Return no time of a better member: the breaker isn't used here."""
