"""Run reads on a replica that is fresh enough, or on the primary."""

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
    is_dropped,
)
from redwingpost.ports import (
    Clock,
    StatementResult,
    TargetConnection,
    TargetError,
    TargetLost,
)
from redwingpost.proxy.attempts import Failed, failed_from_error
from redwingpost.proxy.confirm import Confirmer
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.replica_choice import ReplicaChoice
from redwingpost.proxy.targets import AdmissionRefused, TargetPool
from redwingpost.proxy.status_poller import StatusPoller
from redwingpost.proxy.view_watch import ViewWatch
from redwingpost.retries.budget import RetryBudget
from redwingpost.retries.table import Action, Failure, RequestClass, next_step
from redwingpost.scheduling.long_jobs import shape_of

#: Timeout for a replica's proof that the primary is current (seconds).
_CONFIRM_S = 1.0

#: Pauses before a read is tried again while no other primary is known
#: (seconds); ``redwingpost.proxy.writes`` gives the reasons.
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.4


class ReadAnswer(NamedTuple):
    """Result of a read, its member and the time it ended (seconds).

    ``follows`` is a position that the result is known to include.
    """

    result: StatementResult
    member: str
    until: float
    follows: Position


class Reader:
    """Chooses a member for each read and runs the read there.

    Parameters
    ----------
    directory, status_poller, pool, confirmer, clock, views
        Shared components of the proxy.
    data_centre : str
        This VM's data centre.
    """

    def __init__(
        self,
        directory: Directory,
        status_poller: StatusPoller,
        pool: TargetPool,
        confirmer: Confirmer,
        clock: Clock,
        views: ViewWatch,
        data_centre: str = "",
    ) -> None:
        self._choice = ReplicaChoice(
            directory, status_poller, pool, clock, data_centre
        )
        self._budget = RetryBudget()
        self._directory = directory
        self._views = views
        self._status_poller = status_poller
        self._pool = pool
        self._confirmer = confirmer
        self._clock = clock

    async def read(
        self, request: Request, sql: str, sticky_member: str = ""
    ) -> Result[ReadAnswer, Refusal | MemberError]:
        """Run a read on a member that is proven fresh enough.

        If a member is lost, full or replaced, the read goes to another
        one or waits for the next primary, until its deadline.

        Parameters
        ----------
        request : Request
            The read.
        sql : str
            The statement's text.
        sticky_member : str
            See `ReplicaChoice.choose`.
        """
        self._budget.earn()
        attempts = 0
        while True:
            term = self._views.term(request.group)
            view = self._directory.view(request.group)
            if view is not None and _is_position_lost(request, view.history):
                return Error(Refusal(Code.POSITION_LOST))
            try:
                outcome = await self._attempt(request, sql, sticky_member)
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
            await self._views.wait_for_later_term(request.group, term, pause)
            attempts += 1

    async def _attempt(
        self, request: Request, sql: str, sticky_member: str
    ) -> ReadAnswer | Failed:
        tried_members: set[str] = set()
        while True:
            address = await self._choice.choose(
                request, tried_members, sticky_member
            )
            if address is None:
                return await self._read_primary(request, sql)
            outcome = await self._run(address, request, sql)
            if _is_final(outcome) or not self._may_retry(outcome):
                return outcome
            tried_members.add(address.member)

    def _may_retry(self, failed: Failed) -> bool:
        # Without a budget, the loss of a member would double the load of
        # the others just when they take over its share. A read that
        # wasn't sent caused no load.
        return failed.failure is Failure.NOT_SENT or self._budget.spend()

    async def _read_primary(
        self, request: Request, sql: str
    ) -> ReadAnswer | Failed:
        primary = self._directory.primary(request.group)
        if primary is None:
            return Failed(Failure.NOT_SENT)
        # A primary that was cut off and replaced still answers reads, and
        # a session whose position is unknown would miss its newest writes
        # there. A replica that confirms the same term proves that there
        # was no other primary meanwhile.
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
        """Run a read on a member; ``term`` is set for the primary."""
        known_position = self._status_poller.applied(address.member)
        try:
            connection = await self._pool.acquire(
                address, request, shape_of(sql)
            )
        except TargetError as error:
            return failed_from_error(error)
        except TargetLost:
            return Failed(Failure.NOT_SENT)
        # It may have waited for the connection for seconds.
        remaining = request.deadline_at - self._clock.now()
        is_draining = self._directory.is_draining(address.member)
        if remaining <= 0.0 or (is_draining and term is None):
            await self._pool.release(connection, clean=True)
            return Failed(Failure.NOT_SENT)
        abort_guard = nullcontext()
        if term is not None:
            abort_guard = self._views.guard(connection, request.group, term)
        try:
            with abort_guard:
                result = await self._execute(connection, sql, remaining)
        except TargetLost as lost:
            return Failed(Failure.NO_ANSWER if lost.sent else Failure.NOT_SENT)
        except TargetError as error:
            return failed_from_error(error)
        follows = max(known_position, request.after or ZERO_POSITION)
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


def _is_position_lost(request: Request, history: History) -> bool:
    return bool(request.after) and is_dropped(request.after, history)


def _is_final(outcome: ReadAnswer | Failed) -> bool:
    """Return whether no other member could give a better answer."""
    if isinstance(outcome, ReadAnswer):
        return True
    return outcome.failure is Failure.OTHER_ERROR
