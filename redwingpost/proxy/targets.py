"""Admission and connection pools for the members.

One ``redwingpost.admission.controller.AdmissionController`` per member
decides which statement starts, waits or is refused. This module holds the
futures of the waiting statements and the idle connections.
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

#: Timeout for opening a connection (seconds); without load one takes
#: about 12 ms.
DIAL_TIMEOUT_S = 1.0

#: Retry delay for a caller whose deadline passed in the queue.
_EXPIRED_RETRY_MS = 100


def _refuse_nothing(request: Request) -> None:
    """Refuse no request."""


class AdmissionRefused(Exception):
    """A request was refused a slot; nothing was sent to a member.

    Parameters
    ----------
    refusal : Refusal
        The answer for the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.describe())
        self.refusal = refusal


class _MemberPool:
    """One member's admission controller and connections."""

    def __init__(self, address: MemberAddress, connections: int) -> None:
        self.address = address
        self.connections = connections
        self.admission = AdmissionController(connections)
        self.idle: deque[TargetConnection] = deque()
        self.in_use: set[Any] = set()
        self.pin_waiters: deque[Future] = deque()


class _Checkout(NamedTuple):
    """Use of a connection that is checked out of its pool."""

    member_pool: _MemberPool
    ticket: int
    shape: str
    started_at: float
    pinned: bool


class TargetPool:
    """Slots and pooled connections of all members.

    Parameters
    ----------
    directory : Directory
        Configuration of groups, request kinds and organisations.
    dialler : TargetDialler
        Opens connections.
    clock : Clock
        Source of time.
    count_vms : callable
        Returns how many VMs serve a group.
    refuse : callable, optional
        Returns why a request may not be sent any more, or None; called once
        it has a connection, for which it may have waited for seconds.
    """

    def __init__(
        self,
        directory: Directory,
        dialler: TargetDialler,
        clock: Clock,
        count_vms: Callable[[str], int],
        refuse: Callable[[Request], Refusal | None] = _refuse_nothing,
    ) -> None:
        self._refuse = refuse
        self._directory = directory
        self._dialler = dialler
        self._clock = clock
        self._count_vms = count_vms
        self._member_pools_by_address: dict[MemberAddress, _MemberPool] = {}
        self._checkouts_by_connection: dict[Any, _Checkout] = {}
        self._futures_by_ticket: dict[int, Future] = {}
        self._tickets = count(1)
        self.job_lengths = JobLengths()

    def load(self, address: MemberAddress) -> MemberLoad:
        """Return the load of a member."""
        return self._member_pool(address).admission.load(self._clock.now())

    def warm_connections(self, address: MemberAddress) -> int:
        """Return the number of idle connections to a member."""
        return len(self._member_pool(address).idle)

    def take_probe(self, address: MemberAddress) -> bool:
        """Return whether a read may probe a member with an open breaker."""
        breaker = self._member_pool(address).admission.breaker
        return breaker.take_probe(self._clock.now())

    def is_long(self, request: Request, shape: str) -> bool:
        """Return whether a request counts as a long job."""
        kind = self._directory.configuration.kind(request.marks.kind)
        return kind.long or self.job_lengths.is_long(shape)

    async def acquire(
        self, address: MemberAddress, request: Request, shape: str = ""
    ) -> TargetConnection:
        """Return a connection once a slot at the member is free.

        Parameters
        ----------
        address : MemberAddress
            The member.
        request : Request
            The request that needs the slot.
        shape : str, optional
            Shape of a read, under which its run time is recorded to
            detect long jobs; empty for writes.

        Raises
        ------
        AdmissionRefused
            If the request can't be served before its deadline, or may no
            longer be sent.
        TargetLost
            If no connection could be opened; nothing was sent.
        TargetError
            If the member refused the connection.
        """
        member_pool = self._member_pool(address)
        ticket = next(self._tickets)
        await self._admit(member_pool, ticket, request, shape)
        try:
            connection = await self._connect(member_pool)
        except (TargetError, TargetLost):
            self._wake(member_pool.admission.fail(self._clock.now(), ticket))
            raise
        except BaseException:
            self._wake(
                member_pool.admission.abandon(self._clock.now(), ticket)
            )
            raise
        member_pool.in_use.add(connection)
        self._checkouts_by_connection[connection] = _Checkout(
            member_pool, ticket, shape, self._clock.now(), pinned=False
        )
        refusal = self._refuse(request)
        if refusal is not None:
            await self.release(connection, clean=True)
            raise AdmissionRefused(refusal)
        return connection

    def pin(self, connection: TargetConnection) -> None:
        """Pin a connection to a transaction and free its slot."""
        checkout = self._checkouts_by_connection[connection]
        self._checkouts_by_connection[connection] = checkout._replace(
            pinned=True
        )
        self._wake(
            checkout.member_pool.admission.pin(
                self._clock.now(), checkout.ticket
            )
        )

    async def wait_to_pin(
        self, address: MemberAddress, request: Request
    ) -> None:
        """Wait until the member may have one more open transaction.

        Raises
        ------
        AdmissionRefused
            If no transaction ended before the request's deadline.
        """
        member_pool = self._member_pool(address)
        while not member_pool.admission.may_pin:
            left = request.deadline_at - self._clock.now()
            unpinned = get_running_loop().create_future()
            member_pool.pin_waiters.append(unpinned)
            try:
                await wait_for(unpinned, max(0.0, left))
            except TimeoutError as timed_out:
                refusal = Refusal(
                    Code.OVER_CAPACITY, retry_after_ms=_EXPIRED_RETRY_MS
                )
                raise AdmissionRefused(refusal) from timed_out
            finally:
                if unpinned in member_pool.pin_waiters:
                    member_pool.pin_waiters.remove(unpinned)

    async def release(self, connection: TargetConnection, clean: bool) -> None:
        """Release a connection and its slot.

        Parameters
        ----------
        clean : bool
            True if the connection holds no state of its last user.
            Otherwise it is reset, and closed unless the reset succeeds:
            a variable or an open transaction would leak into the next
            caller's work.
        """
        checkout = self._checkouts_by_connection.pop(connection, None)
        if checkout is None:
            await connection.close()
            return
        ended_at = self._clock.now()
        member_pool = checkout.member_pool
        try:
            is_surplus = (
                len(member_pool.idle) + len(member_pool.in_use)
                > member_pool.connections
            )
            if is_surplus or not (clean or await connection.reset()):
                await connection.close()
        finally:
            member_pool.in_use.discard(connection)
            if connection.usable:
                member_pool.idle.append(connection)
            self._finish(checkout, ended_at)

    def _finish(self, checkout: _Checkout, ended_at: float) -> None:
        admission = checkout.member_pool.admission
        if checkout.pinned:
            self._unpin(checkout.member_pool, ended_at)
            return
        if checkout.shape:
            seconds = ended_at - checkout.started_at
            self.job_lengths.observe(
                checkout.shape, seconds, admission.service_times.average_s
            )
        group = checkout.member_pool.address.group
        started = admission.finish(
            ended_at,
            checkout.ticket,
            lambda key: self._fastest_time_s(group, key),
        )
        self._wake(started)

    async def drop(self, connection: TargetConnection) -> None:
        """Close a connection whose member didn't answer."""
        checkout = self._checkouts_by_connection.pop(connection, None)
        await connection.close()
        if checkout is None:
            return
        checkout.member_pool.in_use.discard(connection)
        admission, now = checkout.member_pool.admission, self._clock.now()
        self._wake(admission.fail(now, checkout.ticket))
        if checkout.pinned:
            self._unpin(checkout.member_pool, now)

    def fail_waiting(self, address: MemberAddress) -> None:
        """Fail all statements queued for a member as not sent.

        They are then retried elsewhere. A replaced primary answers none
        of them; otherwise each would be refused at its deadline.
        """
        for ticket in self._member_pool(address).admission.clear():
            lost = TargetLost(sent=False, reason="replaced")
            self._resolve(ticket, lost)

    async def close(self) -> None:
        """Close every connection."""
        for member_pool in self._member_pools_by_address.values():
            for connection in (*member_pool.idle, *member_pool.in_use):
                await connection.close()
            member_pool.idle.clear()
            member_pool.in_use.clear()

    def _member_pool(self, address: MemberAddress) -> _MemberPool:
        group = self._directory.group(address.group)
        limit = group.connections if group else 1
        wanted = data_connections(limit, self._count_vms(address.group))
        member_pool = self._member_pools_by_address.get(address)
        if member_pool is None:
            member_pool = _MemberPool(address, wanted)
            self._member_pools_by_address[address] = member_pool
        member_pool.connections = wanted
        member_pool.admission.set_connections(wanted)
        return member_pool

    async def _admit(
        self,
        member_pool: _MemberPool,
        ticket: int,
        request: Request,
        shape: str,
    ) -> None:
        now = self._clock.now()
        decision = member_pool.admission.arrive(
            now,
            Arrival(
                ticket=ticket,
                flow=self._flow(request),
                key=_service_time_key(request),
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
            await self._wait_for_slot(
                member_pool, ticket, request.deadline_at - now
            )

    async def _wait_for_slot(
        self, member_pool: _MemberPool, ticket: int, seconds: float
    ) -> None:
        future = get_running_loop().create_future()
        self._futures_by_ticket[ticket] = future
        try:
            await wait_for(future, seconds)
        except TimeoutError as timed_out:
            self._wake(
                member_pool.admission.abandon(self._clock.now(), ticket)
            )
            refusal = Refusal(
                Code.DEADLINE_PASSED, retry_after_ms=_EXPIRED_RETRY_MS
            )
            raise AdmissionRefused(refusal) from timed_out
        except (AdmissionRefused, TargetLost):
            raise
        except BaseException:
            # The slot may have been granted at the same moment. abandon()
            # removes a waiting or a running ticket; without it the slot
            # would leak.
            self._wake(
                member_pool.admission.abandon(self._clock.now(), ticket)
            )
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
        organisation = configuration.organisations_by_name.get(
            request.organisation
        )
        return Flow(
            organisation=request.organisation,
            kind=request.marks.kind,
            organisation_weight=organisation.weight if organisation else 1.0,
            kind_weight=configuration.kind(request.marks.kind).weight,
        )

    async def _connect(self, member_pool: _MemberPool) -> TargetConnection:
        while member_pool.idle:
            connection = member_pool.idle.pop()
            if connection.usable:
                return connection
        return await self._dialler.dial(member_pool.address, DIAL_TIMEOUT_S)

    def _unpin(self, member_pool: _MemberPool, now: float) -> None:
        self._wake(member_pool.admission.unpin(now))
        if member_pool.pin_waiters and not member_pool.pin_waiters[0].done():
            member_pool.pin_waiters.popleft().set_result(None)

    def _fastest_time_s(self, group: str, key: str) -> float | None:
        times = (
            member_pool.admission.limit.typical(key)
            for address, member_pool in self._member_pools_by_address.items()
            if address.group == group
        )
        known = [seconds for seconds in times if seconds is not None]
        return min(known, default=None)


def _service_time_key(request: Request) -> str:
    """Return the key of statements with comparable service times."""
    if request.statement_class is StatementKind.READ:
        return f"read {request.marks.kind}"
    keyed = "keyed" if request.marks.idempotency_key else "plain"
    return f"write {keyed} {request.marks.kind}"
