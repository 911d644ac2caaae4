"""Serve reads: a replica proven fresh, else the primary, confirmed."""

from contextlib import nullcontext
from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import (
    Code,
    History,
    MemberAddress,
    MemberError,
    Position,
    Refusal,
    Request,
    ZERO_POSITION,
    lost_by,
)
from redwingpost.ports import (
    Clock,
    StatementResult,
    TargetConnection,
    TargetError,
    TargetLost,
)
from redwingpost.proxy.attempts import Failed, failed_by
from redwingpost.proxy.confirm import Confirmer
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.targets import AdmissionRefused, Targets
from redwingpost.proxy.status_board import StatusBoard
from redwingpost.proxy.view_watch import ViewWatch
from redwingpost.retries import Action, Failure, RequestClass, next_step
from redwingpost.scheduling import shape_of

#: Seconds to wait for a replica's proof that a primary still leads.
_CONFIRM_S = 1.0

#: Seconds without a status after which a replica gets no reads: one and
#: a half of the slowest poll.
SILENT_S = 0.75

#: Pauses before a read is tried again while no other primary is known;
#: see ``redwingpost.proxy.writes`` for the grounds (seconds).
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.4


class ReadAnswer(NamedTuple):
    """A read's result, who served it and until when (seconds).

    ``follows`` is a position the answer is known to include.
    """

    result: StatementResult
    member: str
    until: float
    follows: Position


class Reader:
    """Chooses a member for a read and runs it there.

    Parameters
    ----------
    directory, board, pool, confirmer, clock, views
        The proxy's parts.
    """

    def __init__(
        self,
        directory: Directory,
        board: StatusBoard,
        pool: Targets,
        confirmer: Confirmer,
        clock: Clock,
        views: ViewWatch,
    ) -> None:
        self._directory = directory
        self._views = views
        self._board = board
        self._pool = pool
        self._confirmer = confirmer
        self._clock = clock

    async def read(
        self, request: Request, sql: str
    ) -> Result[ReadAnswer, Refusal | MemberError]:
        """Run a read where its freshness is proven.

        A read that met a member that is lost, full or replaced goes to
        another one, or waits for the next primary, until its deadline.
        """
        attempts = 0
        while True:
            term = self._views.term(request.group)
            view = self._directory.view(request.group)
            if view is not None and _is_lost(request, view.history):
                return Error(Refusal(Code.POSITION_LOST))
            try:
                outcome = await self._attempt(request, sql)
            except AdmissionRefused as refused:
                return Error(refused.refusal)
            if isinstance(outcome, ReadAnswer):
                return Ok(outcome)
            left = request.deadline_at - self._clock.now()
            step = next_step(RequestClass.READ, outcome.failure, left > 0)
            if step.action is Action.PASS_ERROR:
                return Error(outcome.error)
            if step.action is Action.ANSWER:
                return Error(Refusal(step.code, retry_after_ms=200))
            pause = min(FIRST_PAUSE_S * 2**attempts, LONGEST_PAUSE_S, left)
            await self._views.wait_beyond(request.group, term, pause)
            attempts += 1

    async def _attempt(
        self, request: Request, sql: str
    ) -> ReadAnswer | Failed:
        for address in self._fresh_replicas(request):
            outcome = await self._run(address, request, sql)
            if _is_final(outcome):
                return outcome
        return await self._read_primary(request, sql)

    def _fresh_replicas(self, request: Request) -> list[MemberAddress]:
        fresh = [
            address
            for address in self._directory.replicas(request.group)
            if not self._directory.is_draining(address.member)
            and self._is_fresh(address, request)
        ]
        return sorted(fresh, key=self._expected_time)

    def _expected_time(self, address: MemberAddress) -> float:
        load = self._pool.load(address)
        if load.share <= 0.0:
            return 0.0 if self._pool.take_probe(address) else float("inf")
        waiting = load.in_flight + load.queued_cost
        return (waiting / load.limit + 1.0) * load.service_s / load.share

    def _is_fresh(self, address: MemberAddress, request: Request) -> bool:
        observed = self._board.latest(address.member)
        if observed is None:
            return False
        # A member that was cut off stays as fresh as it was last seen:
        # reads sent there would hang until their deadlines.
        if self._clock.now() - observed.asked_at > SILENT_S:
            return False
        if request.marks.max_staleness_ms:
            known_for = self._clock.now() - observed.asked_at
            age_ms = observed.status.age_ms + known_for * 1000
            return age_ms <= request.marks.max_staleness_ms
        if request.after is None:
            return False
        return observed.status.applied >= request.after

    async def _read_primary(
        self, request: Request, sql: str
    ) -> ReadAnswer | Failed:
        primary = self._directory.primary(request.group)
        if primary is None:
            return Failed(Failure.NOT_SENT)
        # A primary that was cut off and replaced still answers reads; a
        # session of unknown position would miss its newest writes there.
        # A replica of the same term proves that no other led meanwhile.
        term = self._views.term(request.group)
        outcome = await self._run(primary, request, sql, term)
        if isinstance(outcome, Failed):
            return outcome
        proof = Position(term, 0)
        if not await self._confirmer.confirm(request.group, proof, _CONFIRM_S):
            return Failed(Failure.NOT_CONFIRMED)
        return outcome

    async def _run(
        self,
        address: MemberAddress,
        request: Request,
        sql: str,
        term: int | None = None,
    ) -> ReadAnswer | Failed:
        """Read on a member; ``term`` is given for the primary."""
        known = self._board.applied(address.member)
        remaining = request.deadline_at - self._clock.now()
        try:
            connection = await self._pool.acquire(
                address, request, shape_of(sql)
            )
        except TargetError as error:
            return failed_by(error)
        except TargetLost:
            return Failed(Failure.NOT_SENT)
        guarded = nullcontext()
        if term is not None:
            guarded = self._views.guard(connection, request.group, term)
        try:
            with guarded:
                result = await self._execute(connection, sql, remaining)
        except TargetLost as lost:
            return Failed(Failure.NO_ANSWER if lost.sent else Failure.NOT_SENT)
        except TargetError as error:
            return failed_by(error)
        follows = max(known, request.after or ZERO_POSITION)
        return ReadAnswer(result, address.member, self._clock.now(), follows)

    async def _execute(
        self, connection: TargetConnection, sql: str, timeout: float
    ) -> StatementResult:
        clean = False
        try:
            result = await connection.execute(sql, timeout)
            clean = True
            return result
        finally:
            await self._pool.release(connection, clean)


def _is_lost(request: Request, history: History) -> bool:
    return bool(request.after) and lost_by(request.after, history)


def _is_final(outcome: ReadAnswer | Failed) -> bool:
    """Say whether another member would answer no better."""
    if isinstance(outcome, ReadAnswer):
        return True
    return outcome.failure is Failure.OTHER_ERROR
