"""Give statements a slot and a connection at a member, fairly.

Which statement starts, waits or is refused is decided by
``redwingpost.admission.controller.AdmissionController``, one per member;
here are the futures of those who wait, and the warm connections.
"""

from asyncio import Future, get_running_loop, wait_for
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

from redwingpost.admission.connections import data_connections
from redwingpost.admission.controller import (
    AdmissionController,
    Arrival,
    MemberLoad,
)
from redwingpost.core import (
    Code,
    MemberAddress,
    Refusal,
    Request,
    StatementKind,
)
from redwingpost.ports import (
    Clock,
    TargetConnection,
    TargetDialler,
    TargetError,
    TargetLost,
)
from redwingpost.proxy.directory import Directory
from redwingpost.scheduling.fair import Flow
from redwingpost.scheduling.long_jobs import JobLengths

#: Seconds to open a connection; one takes about 12 ms on a calm day.
DIAL_TIMEOUT_S = 1.0

#: When a caller may come back whose deadline passed in the queue.
_EXPIRED_RETRY_MS = 100


class AdmissionRefused(Exception):
    """A request that gets no slot; nothing was sent.

    Parameters
    ----------
    refusal : Refusal
        What to tell the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.describe())
        self.refusal = refusal


class _Counter:
    """One member's admission controller and connections."""

    def __init__(self, address: MemberAddress, connections: int) -> None:
        self.address = address
        self.connections = connections
        self.admission = AdmissionController(connections)
        self.idle: deque[TargetConnection] = deque()
        self.used: set[Any] = set()
        self.pin_waiters: deque[Future] = deque()


class _Use(NamedTuple):
    """What a connection that is out is used for."""

    counter: _Counter
    ticket: int
    shape: str
    started_at: float
    pinned: bool


class Targets:
    """Slots and connections at all members.

    Parameters
    ----------
    directory : Directory
        Groups, kinds and organisations.
    dialler : TargetDialler
        Opens connections.
    clock : Clock
        Source of time.
    count_vms : callable
        Returns how many VMs serve a group.
    """

    def __init__(
        self,
        directory: Directory,
        dialler: TargetDialler,
        clock: Clock,
        count_vms: Callable[[str], int],
    ) -> None:
        self._directory = directory
        self._dialler = dialler
        self._clock = clock
        self._count_vms = count_vms
        self._counters_by_address: dict[MemberAddress, _Counter] = {}
        self._uses_by_connection: dict[Any, _Use] = {}
        self._futures_by_ticket: dict[int, Future] = {}
        self._tickets = count(1)
        self.lengths = JobLengths()

    def load(self, address: MemberAddress) -> MemberLoad:
        """Return how busy a member is."""
        return self._counter(address).admission.load(self._clock.now())

    def warm_connections(self, address: MemberAddress) -> int:
        """Return how many connections to a member are idle."""
        return len(self._counter(address).idle)

    def take_probe(self, address: MemberAddress) -> bool:
        """Say whether a read may try a member that was left."""
        breaker = self._counter(address).admission.breaker
        return breaker.take_probe(self._clock.now())

    def is_long(self, request: Request, shape: str) -> bool:
        """Say whether a request counts as a long job."""
        kind = self._directory.configuration.kind(request.marks.kind)
        return kind.long or self.lengths.is_long(shape)

    async def acquire(
        self, address: MemberAddress, request: Request, shape: str = ""
    ) -> TargetConnection:
        """Return a connection with a slot, waiting for its turn.

        Parameters
        ----------
        address : MemberAddress
            The member.
        request : Request
            Whose turn it is to be.
        shape : str, optional
            A read's shape, by which long jobs are learned; writes have
            none.

        Raises
        ------
        AdmissionRefused
            If the request can't be served in its time.
        TargetLost
            If no connection could be opened; nothing was sent.
        TargetError
            If the member refused the connection.
        """
        counter = self._counter(address)
        ticket = next(self._tickets)
        await self._take_turn(counter, ticket, request, shape)
        try:
            connection = await self._connect(counter)
        except (TargetError, TargetLost):
            self._wake(counter.admission.fail(self._clock.now(), ticket))
            raise
        except BaseException:
            self._wake(counter.admission.abandon(self._clock.now(), ticket))
            raise
        counter.used.add(connection)
        self._uses_by_connection[connection] = _Use(
            counter, ticket, shape, self._clock.now(), pinned=False
        )
        return connection

    def pin(self, connection: TargetConnection) -> None:
        """Keep a connection for a transaction, without its slot."""
        use = self._uses_by_connection[connection]
        self._uses_by_connection[connection] = use._replace(pinned=True)
        self._wake(use.counter.admission.pin(self._clock.now(), use.ticket))

    async def wait_to_pin(
        self, address: MemberAddress, request: Request
    ) -> None:
        """Wait until one more transaction may be open at a member.

        Raises
        ------
        AdmissionRefused
            If none ended before the request's deadline.
        """
        counter = self._counter(address)
        while not counter.admission.may_pin:
            left = request.deadline_at - self._clock.now()
            ended = get_running_loop().create_future()
            counter.pin_waiters.append(ended)
            try:
                await wait_for(ended, max(0.0, left))
            except TimeoutError as late:
                refusal = Refusal(
                    Code.OVER_CAPACITY, retry_after_ms=_EXPIRED_RETRY_MS
                )
                raise AdmissionRefused(refusal) from late
            finally:
                if ended in counter.pin_waiters:
                    counter.pin_waiters.remove(ended)

    async def release(self, connection: TargetConnection, clean: bool) -> None:
        """Give slot and connection back.

        Parameters
        ----------
        clean : bool
            True if the connection holds no state of its last user.
            Otherwise it is reset, and closed where the reset isn't
            proven: a variable or an open transaction would leak into
            the next caller's work.
        """
        use = self._uses_by_connection.pop(connection, None)
        if use is None:
            await connection.close()
            return
        ended_at = self._clock.now()
        counter = use.counter
        try:
            over = len(counter.idle) + len(counter.used) > counter.connections
            if over or not (clean or await connection.reset()):
                await connection.close()
        finally:
            counter.used.discard(connection)
            if connection.usable:
                counter.idle.append(connection)
            self._end(use, ended_at)

    def _end(self, use: _Use, ended_at: float) -> None:
        admission = use.counter.admission
        if use.pinned:
            self._unpin(use.counter, ended_at)
            return
        if use.shape:
            seconds = ended_at - use.started_at
            self.lengths.observe(
                use.shape, seconds, admission.service_times.average_s
            )
        group = use.counter.address.group
        started = admission.finish(
            ended_at, use.ticket, lambda key: self._best(group, key)
        )
        self._wake(started)

    async def drop(self, connection: TargetConnection) -> None:
        """Close a connection whose member didn't answer."""
        use = self._uses_by_connection.pop(connection, None)
        await connection.close()
        if use is None:
            return
        use.counter.used.discard(connection)
        admission, now = use.counter.admission, self._clock.now()
        self._wake(admission.fail(now, use.ticket))
        if use.pinned:
            self._unpin(use.counter, now)

    def give_up(self, address: MemberAddress) -> None:
        """Send all who wait for a member elsewhere; nothing was sent.

        A primary that was replaced answers nobody; its queue would
        otherwise be refused one by one as the deadlines pass.
        """
        for ticket in self._counter(address).admission.clear():
            lost = TargetLost(sent=False, reason="replaced")
            self._resolve(ticket, lost)

    async def close(self) -> None:
        """Close every connection."""
        for counter in self._counters_by_address.values():
            for connection in (*counter.idle, *counter.used):
                await connection.close()
            counter.idle.clear()
            counter.used.clear()

    def _counter(self, address: MemberAddress) -> _Counter:
        group = self._directory.group(address.group)
        limit = group.connections if group else 1
        wanted = data_connections(limit, self._count_vms(address.group))
        counter = self._counters_by_address.get(address)
        if counter is None:
            counter = _Counter(address, wanted)
            self._counters_by_address[address] = counter
        counter.connections = wanted
        counter.admission.set_connections(wanted)
        return counter

    async def _take_turn(
        self, counter: _Counter, ticket: int, request: Request, shape: str
    ) -> None:
        now = self._clock.now()
        decision = counter.admission.arrive(
            now,
            Arrival(
                ticket=ticket,
                flow=self._flow(request),
                key=_key(request),
                cost=request.cost,
                is_long=self.is_long(request, shape),
                deadline_at=request.deadline_at,
            ),
        )
        if decision.evicted is not None:
            evicted, refusal = decision.evicted
            self._resolve(evicted, AdmissionRefused(refusal))
        if decision.refusal is not None:
            raise AdmissionRefused(decision.refusal)
        if not decision.starts:
            await self._wait(counter, ticket, request.deadline_at - now)

    async def _wait(
        self, counter: _Counter, ticket: int, seconds: float
    ) -> None:
        future = get_running_loop().create_future()
        self._futures_by_ticket[ticket] = future
        try:
            await wait_for(future, seconds)
        except TimeoutError as late:
            self._wake(counter.admission.abandon(self._clock.now(), ticket))
            refusal = Refusal(
                Code.DEADLINE_PASSED, retry_after_ms=_EXPIRED_RETRY_MS
            )
            raise AdmissionRefused(refusal) from late
        except (AdmissionRefused, TargetLost):
            raise
        except BaseException:
            # The turn may have come in the same moment; the
            # controller forgets the ticket in either state, or a slot
            # would be lost.
            self._wake(counter.admission.abandon(self._clock.now(), ticket))
            raise
        finally:
            self._futures_by_ticket.pop(ticket, None)

    def _resolve(self, ticket: int, error: Exception | None) -> None:
        future = self._futures_by_ticket.get(ticket)
        if future is None or future.done():
            return
        if error is None:
            future.set_result(None)
        else:
            future.set_exception(error)

    def _wake(self, tickets: tuple[int, ...]) -> None:
        for ticket in tickets:
            self._resolve(ticket, None)

    def _flow(self, request: Request) -> Flow:
        configuration = self._directory.configuration
        known = configuration.organisations_by_name.get(request.organisation)
        return Flow(
            organisation=request.organisation,
            kind=request.marks.kind,
            organisation_weight=known.weight if known else 1.0,
            kind_weight=configuration.kind(request.marks.kind).weight,
        )

    async def _connect(self, counter: _Counter) -> TargetConnection:
        while counter.idle:
            connection = counter.idle.pop()
            if connection.usable:
                return connection
        return await self._dialler.dial(counter.address, DIAL_TIMEOUT_S)

    def _unpin(self, counter: _Counter, now: float) -> None:
        self._wake(counter.admission.unpin(now))
        if counter.pin_waiters and not counter.pin_waiters[0].done():
            counter.pin_waiters.popleft().set_result(None)

    def _best(self, group: str, key: str) -> float | None:
        times = (
            counter.admission.limit.typical(key)
            for address, counter in self._counters_by_address.items()
            if address.group == group
        )
        known = [seconds for seconds in times if seconds is not None]
        return min(known, default=None)


def _key(request: Request) -> str:
    """Return the kind of statement whose times can be compared."""
    if request.statement_class is StatementKind.READ:
        return f"read {request.marks.kind}"
    keyed = "keyed" if request.marks.idempotency_key else "plain"
    return f"write {keyed} {request.marks.kind}"
