"""Forwarding VM's side: send a group's statements to a home VM."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from redwingpost.adapters.peer import PeerAddress, PeerClients
from redwingpost.core import (
    MarkedStatement,
    MemberError,
    Position,
    Refusal,
    StatementKind,
    VmAddress,
)
from redwingpost.ports import Clock, StatementResult
from redwingpost.proxy.directory import Directory
from redwingpost.retries.table import (
    Action,
    Failure,
    NextStep,
    RequestClass,
    next_step,
)
from redwingpost.routing.homes import (
    ForwardTarget,
    choose_forward_targets,
    choose_homes,
)
from redwingpost.routing.peer_clock import PeerClock
from redwingpost.scheduling.long_jobs import LONG_JOB_HOMES
from redwingpost.wire.forwarding import (
    decode_answer,
    decode_positions,
    encode_marks,
    encode_positions,
)

#: Seconds beyond a request's deadline until a home counts as lost. A home
#: answers by the deadline itself.
ANSWER_GRACE_S = 1.0

#: Timeout for opening a forwarded connection (seconds); it takes two round
#: trips.
OPEN_TIMEOUT_S = 1.0


class ForwardOutcome(NamedTuple):
    """A home's answer and the session's positions after it.

    ``whole``: see ``redwingpost.sessions.positions.SessionPositions``.
    """

    answer: Result[StatementResult, Refusal | MemberError]
    in_transaction: bool
    positions_by_group: dict[str, Position]
    whole: bool


class ForwardedCall(NamedTuple):
    """A statement to forward, with the positions of its session.

    ``whole``: see ``redwingpost.sessions.positions.SessionPositions``.
    """

    marked: MarkedStatement
    statement_class: StatementKind
    autocommit: bool
    positions_by_group: dict[str, Position]
    whole: bool
    arrived_at: float
    deadline_at: float
    is_long: bool


class Homes:
    """Home VMs of each group.

    Parameters
    ----------
    own : VmAddress
        This VM.
    directory : Directory
        Groups and their members' data centres.
    limit : int
        Number of home VMs of a group.
    """

    def __init__(
        self, own: VmAddress, directory: Directory, limit: int
    ) -> None:
        self._own = own
        self._directory = directory
        self._limit = limit
        self._vms: tuple[VmAddress, ...] = (own,)
        self._homes_by_group: dict[str, tuple[VmAddress, ...]] = {}
        self._version = 0

    @property
    def own(self) -> VmAddress:
        """This VM."""
        return self._own

    def set_vms(self, others: tuple[VmAddress, ...]) -> None:
        """Replace the list of the other live VMs."""
        vms = tuple(sorted((self._own, *others)))
        if vms != self._vms:
            self._vms = vms
            self._homes_by_group.clear()

    def of(self, group: str) -> tuple[VmAddress, ...]:
        """Return a group's homes, best first."""
        if self._version != self._directory.version:
            self._version = self._directory.version
            self._homes_by_group.clear()
        homes = self._homes_by_group.get(group)
        if homes is None:
            homes = self._choose(group)
            self._homes_by_group[group] = homes
        return homes

    def _choose(self, group: str) -> tuple[VmAddress, ...]:
        found = self._directory.group(group)
        members = found.members_by_name.values() if found else ()
        centres = {member.data_centre for member in members}
        return choose_homes(group, centres, self._vms, self._limit)

    def is_home(self, group: str) -> bool:
        """Return whether this VM is a home of the group."""
        if len(self._vms) <= self._limit:
            return True
        return any(home.vm == self._own.vm for home in self.of(group))

    def runs_long_jobs(self, group: str) -> bool:
        """Return whether this VM runs the group's long jobs itself.

        The limit for long jobs is counted per VM. If all six homes ran one
        each, these would take all five slots of a member
        (``redwingpost.scheduling.long_jobs``).
        """
        return any(
            home.vm == self._own.vm for home in self.of(group)[:LONG_JOB_HOMES]
        )

    def targets(
        self, group: str, session: str, is_long: bool
    ) -> tuple[ForwardTarget, ...]:
        """Return the homes in the order in which to try them."""
        homes = self.of(group)[: LONG_JOB_HOMES if is_long else None]
        return choose_forward_targets(homes, self._own.data_centre, session)


class _OpenSession(NamedTuple):
    """An open forwarded connection: its home VM, group and capability.

    ``home_clock`` tells what the home's clock shows; None if the home sends
    no readings, as its version is an earlier one.
    """

    address: PeerAddress
    group: str
    session: Any
    home_clock: PeerClock | None


class Forwarder:
    """Forwards the statements of one caller's connection.

    Parameters
    ----------
    homes : Homes
        Home VMs of the groups.
    clients : PeerClients
        Connections to the homes. They carry no other calls, because a
        call that times out closes its connection.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, homes: Homes, clients: PeerClients, clock: Clock
    ) -> None:
        self._homes = homes
        self._clients = clients
        self._clock = clock
        self._open_session: _OpenSession | None = None
        self.in_transaction = False

    async def run(
        self,
        call: ForwardedCall,
        opening: dict[str, Any],
    ) -> ForwardOutcome:
        """Run a statement at a home of its group.

        Parameters
        ----------
        call : ForwardedCall
            The statement.
        opening : dict
            Arguments of ``Forward.open``.
        """
        may_have_run = False
        for address in self._addresses(opening, call.is_long):
            sent = await self._connect(address, opening)
            if sent.is_ok():
                outcome = await self._run_once(call)
                if outcome.is_ok():
                    return outcome.ok
                failure = Failure.NO_ANSWER
            else:
                failure = Failure.NOT_SENT
            step = self._next_step(call, failure, may_have_run)
            may_have_run = may_have_run or failure is Failure.NO_ANSWER
            self.in_transaction = False
            if step.action is Action.ANSWER:
                return _failed_outcome(
                    Refusal(step.code, "its home VM was lost")
                )
        step = self._next_step(call, Failure.NOT_SENT, may_have_run, False)
        return _failed_outcome(
            Refusal(step.code, "no home VM", retry_after_ms=500)
        )

    def _addresses(
        self, opening: dict[str, Any], is_long: bool
    ) -> list[PeerAddress]:
        if self.in_transaction and self._open_session is not None:
            return [self._open_session.address]
        spread_key = f"{opening['organisation']}/{opening['connection']}"
        targets = self._homes.targets(opening["group"], spread_key, is_long)
        return [PeerAddress(t.vm.ip, t.vm.proxy_port) for t in targets]

    def _next_step(
        self,
        call: ForwardedCall,
        failure: Failure,
        may_have_run: bool,
        can_retry: bool = True,
    ) -> NextStep:
        in_time = self._clock.now() < call.deadline_at
        return next_step(
            self._request_class(call),
            failure,
            can_retry and in_time,
            may_have_run,
        )

    def _request_class(self, call: ForwardedCall) -> RequestClass:
        if call.statement_class is StatementKind.COMMIT:
            return RequestClass.COMMIT
        if self.in_transaction:
            return RequestClass.IN_TRANSACTION
        if call.statement_class in (StatementKind.READ, StatementKind.BEGIN):
            return RequestClass.READ
        keyed = call.marked.marks.idempotency_key
        return (
            RequestClass.KEYED_WRITE if keyed else RequestClass.UNKEYED_WRITE
        )

    async def _connect(
        self, address: PeerAddress, opening: dict[str, Any]
    ) -> Result[None, Refusal]:
        wanted = (address, opening["group"])
        if self._open_session is not None and self._open_session[:2] == wanted:
            return await self._ensure_clock()
        await self.close()
        opened = await self._clients.call(
            address,
            lambda node: node.forward().forward.open(**opening),
            OPEN_TIMEOUT_S,
        )
        if opened.is_error():
            return Error(opened.error)
        home_clock = PeerClock() if opened.ok.clockS else None
        self._open_session = _OpenSession(
            address, opening["group"], opened.ok.session, home_clock
        )
        self._note_reading(opened.ok.clockS)
        return Ok(None)

    def _note_reading(self, reading: float) -> None:
        if self._open_session.home_clock is not None:
            now = self._clock.now()
            self._open_session.home_clock.note_reading(reading, now)

    async def _ensure_clock(self) -> Result[None, Refusal]:
        """Ask for a reading of the home's clock, unless one is recent."""
        home_clock = self._open_session.home_clock
        if home_clock is None or home_clock.is_known(self._clock.now()):
            return Ok(None)
        session = self._open_session.session
        answered = await self._clients.call(
            self._open_session.address,
            lambda _node: session.readClock(),
            OPEN_TIMEOUT_S,
        )
        if answered.is_error():
            self._open_session = None
            return Error(answered.error)
        self._note_reading(answered.ok.clockS)
        return Ok(None)

    async def _run_once(
        self, call: ForwardedCall
    ) -> Result[ForwardOutcome, Refusal]:
        now = self._clock.now()
        statement = {
            "sql": call.marked.sql.encode(errors="surrogateescape"),
            "marks": encode_marks(call.marked.marks),
            "autocommit": call.autocommit,
            "positions": encode_positions(call.positions_by_group),
            "whole": call.whole,
            "sentMs": int(max(0.0, now - call.arrived_at) * 1000),
        }
        if self._open_session.home_clock is not None:
            statement["expiresAt"] = self._open_session.home_clock.to_peer(
                call.deadline_at, now
            )
        session = self._open_session.session
        answered = await self._clients.call(
            self._open_session.address,
            lambda _node: session.run(statement=statement),
            call.deadline_at - now + ANSWER_GRACE_S,
        )
        if answered.is_error():
            self._open_session = None
            return Error(answered.error)
        reader = answered.ok.answer
        self._note_reading(reader.clockS)
        self.in_transaction = reader.inTransaction
        return Ok(
            ForwardOutcome(
                answer=decode_answer(reader),
                in_transaction=reader.inTransaction,
                positions_by_group=decode_positions(reader.positions),
                whole=reader.whole,
            )
        )

    async def close(self) -> None:
        """End the forwarded connection; the home VM rolls back."""
        if self._open_session is None:
            return
        opened, self._open_session = self._open_session, None
        self.in_transaction = False
        end: Callable[[Any], Awaitable] = lambda _node: opened.session.end()
        await self._clients.call(opened.address, end, OPEN_TIMEOUT_S)


def _failed_outcome(refusal: Refusal) -> ForwardOutcome:
    return ForwardOutcome(Error(refusal), False, {}, False)
