"""Admission of statements at one member's client.

Load pattern: more callers than a member has connections. Without admission
a statement waits for a connection until its route's time-out ends, in the
order of priorities alone, and is refused only then.

The decisions are those of ``redwingpost.admission.controller``; this module
wakes the statements that it starts, and refuses those that it refuses.

The decision modules are imported where a configuration makes admission
active: elsewhere a node starts sooner without them.
"""

from __future__ import annotations

from asyncio import Future, get_running_loop, wait
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import random
from typing import TYPE_CHECKING, NamedTuple

from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import LinkLost

if TYPE_CHECKING:
    from redwingpost.admission.controller import AdmissionController, Arrival
    from redwingpost.admission.transactions import TransactionPlaces
    from redwingpost.scheduling.priorities import OrganisationWeights

#: Seconds after which a waiting statement checks whether its member has
#: stalled: no answer wakes it then.
STALL_CHECK_S = 0.1

#: Why a statement no longer waits whose ``may_wait`` has returned False.
WAIT_ENDED = "it may wait no longer"


def always() -> bool:
    """Return True: a statement may wait until its deadline."""
    return True


#: Statements that an organisation may run before its turn where it has an
#: idle connection. A new connection occupies a slot for 12 ms, longer than
#: most statements, so that strict turns would halve the member's capacity.
CONNECTION_USES = 8.0

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


class MemberRules(NamedTuple):
    """What the configuration says about admission at a member.

    ``idle_transaction_s`` is how long a transaction may rest while others
    wait (seconds).
    """

    weights: OrganisationWeights
    idle_transaction_s: float


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
    """A statement that waits; ``future`` ends its wait."""

    future: Future
    arrival: Arrival


class MemberAdmission:
    """Tickets of the statements that run at, or wait for, one member.

    Inactive until ``follow`` gives it weights: until then ``enter`` returns
    at once, without a ticket. Refusals are counted in ``refusals``.
    """

    def __init__(
        self,
        member: str,
        clock: Clock,
        refusals: Counter[RefusalKey],
        has_connection: Callable[[str], bool],
    ) -> None:
        self._has_connection = has_connection
        self._member = member
        self._refusals = refusals
        self._clock = clock
        self._rules: MemberRules | None = None
        self._controller: AdmissionController | None = None
        self._places: TransactionPlaces | None = None
        self._evict_by_ticket: dict[int, Callable[[float], None]] = {}
        self._tickets = count(1)
        self._waiter_by_ticket: dict[int, _Waiter] = {}

    @property
    def controller(self) -> AdmissionController | None:
        """The controller; None while admission is inactive."""
        return self._controller

    @property
    def places(self) -> TransactionPlaces | None:
        """The places of transactions; None while admission is inactive."""
        return self._places

    def follow(
        self, rules: MemberRules | None, slots: int, connections: int
    ) -> None:
        """Take over the configuration in force.

        Parameters
        ----------
        rules : MemberRules or None
            The configuration; None ends admission, and what waits starts.
        slots : int
            Statements that the member runs at once.
        connections : int
            Connections that this VM may hold to the member.
        """
        self._rules = rules
        if rules is None:
            self._deactivate()
        elif self._controller is None:
            from redwingpost.admission.controller import AdmissionController
            from redwingpost.admission.home_policy import home_policy
            from redwingpost.admission.transactions import TransactionPlaces
            from redwingpost.scheduling.fair import Preference

            policy = home_policy(slots, random)
            self._controller = AdmissionController(
                connections,
                policy,
                Preference(self._has_connection, CONNECTION_USES),
            )
            self._places = TransactionPlaces(connections, policy)
        else:
            now = self._clock.now()
            self._controller.set_connections(connections)
            self._places.set_connections(connections)
            self._wake(self._places.start_waiting(now))
            self._wake(self._controller.start_waiting(now))
            self._evict_if_pressed()

    async def enter(
        self,
        organisation: str,
        priority: int,
        deadline: float,
        is_transaction: bool = False,
        may_wait: Callable[[], bool] = always,
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
        is_transaction : bool, optional
            Whether it begins a transaction, which needs a place, too.
        may_wait : callable, optional
            Whether it may still wait; asked every ``STALL_CHECK_S``.

        Raises
        ------
        AdmissionRefused
            If it can't be served in time.
        LinkLost
            If the member was removed, or the statement may wait no longer.
        """
        if self._rules is None:
            return None
        from redwingpost.admission.controller import Arrival

        ticket = next(self._tickets)
        flow = self._rules.weights.flow(priority, organisation)
        arrival = Arrival(
            ticket, flow, flow.organisation, 1.0, False, deadline
        )
        try:
            if is_transaction:
                await self._pass(self._places, arrival, may_wait)
            # Admission may have ended meanwhile.
            if self._controller is not None:
                await self._pass(self._controller, arrival, may_wait)
        except BaseException:
            # It may have been started and cancelled at the same time.
            self.leave(ticket, None)
            raise
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
        self._evict_by_ticket.pop(ticket, None)
        self._wake(self._places.leave(now, ticket))
        if ran_s is None:
            self._wake(controller.abandon(now, ticket))
        else:
            self._wake(controller.finish(now, ticket, _no_best, ran_s))

    def rest(self, ticket: int | None, evict: Callable[[float], None]) -> None:
        """Free a transaction's slot until its next statement.

        Parameters
        ----------
        ticket : int or None
            The transaction's ticket.
        evict : callable
            Ends the transaction; called with how long it has rested
            (seconds).
        """
        if self._controller is None or ticket is None:
            return
        now = self._clock.now()
        self._evict_by_ticket[ticket] = evict
        self._places.rest(now, ticket)
        self._wake(self._controller.rest(now, ticket))

    def resume(self, ticket: int | None) -> None:
        """Take a slot for a transaction's next statement, without waiting."""
        if self._controller is None or ticket is None:
            return
        self._evict_by_ticket.pop(ticket, None)
        self._places.resume(ticket)
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
        for ticket in (*self._places.clear(), *self._controller.clear()):
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
            for gate in (self._places, self._controller)
            for arrival in gate.waiting_arrivals()
        )

    def wait_s(self, now: float) -> float:
        """Return how long a usual statement would wait (seconds).

        0 while admission is inactive.
        """
        if self._controller is None:
            return 0.0
        flow = self._rules.weights.flow(LOAD_PRIORITY, "")
        return self._controller.wait_s(now, flow)

    def _deactivate(self) -> None:
        if self._controller is None:
            return
        tickets = (*self._places.clear(), *self._controller.clear())
        self._controller = self._places = None
        self._evict_by_ticket.clear()
        self._wake(tickets)

    async def _pass(
        self,
        gate: AdmissionController | TransactionPlaces,
        arrival: Arrival,
        may_wait: Callable[[], bool],
    ) -> None:
        """Wait until a gate lets a statement start."""
        decision = gate.arrive(self._clock.now(), arrival)
        if decision.refusal is not None:
            raise self._refused(
                gate, arrival, decision.refusal, decision.wait_s
            )
        if decision.starts:
            return
        future = get_running_loop().create_future()
        ticket = arrival.ticket
        self._waiter_by_ticket[ticket] = _Waiter(future, arrival)
        if decision.evicted is not None:
            self._refuse_evicted(gate, *decision.evicted, decision.wait_s)
        try:
            await self._await_start(gate, arrival, future, may_wait)
        finally:
            del self._waiter_by_ticket[ticket]

    async def _await_start(
        self,
        gate: AdmissionController | TransactionPlaces,
        arrival: Arrival,
        future: Future,
        may_wait: Callable[[], bool],
    ) -> None:
        while not future.done():
            self._evict_if_pressed()
            remaining_s = gate.latest_start(arrival) - self._clock.now()
            # Not zero: the timer might fire early again and again.
            pause_s = min(max(remaining_s, 0.001), STALL_CHECK_S)
            await wait({future}, timeout=pause_s)
            if future.done():
                break
            if not may_wait():
                raise LinkLost(WAIT_ENDED, sent=False)
            refused = gate.refuse_waiting(self._clock.now(), arrival.ticket)
            if refused is not None:
                raise self._refused(gate, arrival, *refused)
        future.result()

    def _evict_if_pressed(self) -> None:
        """End the longest resting transaction if others wait for it."""
        if self._controller is None or self._rules is None:
            return
        now = self._clock.now()
        resting = self._places.to_evict(
            now,
            self._rules.idle_transaction_s,
            is_pressed=self._controller.waiting > 0,
        )
        if resting is None:
            return
        evict = self._evict_by_ticket.pop(resting.ticket, None)
        if evict is not None:
            evict(now - resting.since)

    def _refused(
        self,
        gate: AdmissionController | TransactionPlaces,
        arrival: Arrival,
        refusal: Refusal,
        wait_s: float,
    ) -> AdmissionRefused:
        if refusal.code.name == Code.DEADLINE_PASSED.name:
            from redwingpost.admission.queue import MIN_RETRY_MS

            # It came too late already; callers may retry like after the
            # other refusals.
            retry_ms = max(MIN_RETRY_MS, int(wait_s * 1000))
            refusal = Refusal(Code.DEADLINE_TOO_SHORT, "", retry_ms)
        organisation = arrival.flow.kind
        key = RefusalKey(self._member, organisation, refusal.code.name)
        self._refusals[key] += 1
        inputs = RefusalInputs(
            wait_s,
            arrival.deadline_at - self._clock.now(),
            gate.max_running,
            gate.waiting,
        )
        return AdmissionRefused(refusal, inputs)

    def _refuse_evicted(
        self,
        gate: AdmissionController | TransactionPlaces,
        ticket: int,
        refusal: Refusal,
        wait_s: float,
    ) -> None:
        waiter = self._waiter_by_ticket.get(ticket)
        if waiter is None:
            return
        refused = self._refused(gate, waiter.arrival, refusal, wait_s)
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
