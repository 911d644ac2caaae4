"""Run autocommit writes on the primary; acknowledge confirmed ones."""

from asyncio import create_task
from random import Random
from time import time
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from redwingpost.core import (
    Code,
    GroupView,
    MemberAddress,
    MemberError,
    Outcome,
    Position,
    Refusal,
    Request,
    StatementKind,
)
from redwingpost.ports import (
    Clock,
    StatementResult,
    TargetConnection,
    TargetError,
    TargetLost,
)
from redwingpost.promotion import (
    CONFIRM_TIMEOUT_S,
    Decision,
    UnconfirmedPolicy,
    WriteOutcome,
    resolve_write,
)
from redwingpost.proxy.attempts import (
    Committed,
    Failed,
    KeyedWrite,
    failed_from_error,
    run_keyed,
    run_unkeyed,
)
from redwingpost.proxy.confirm import Confirmer
from redwingpost.proxy.directory import Directory
from redwingpost.proxy.targets import AdmissionRefused, TargetPool
from redwingpost.proxy.view_watch import ViewWatch
from redwingpost.retries.budget import RetryBudget
from redwingpost.retries.idempotency import (
    MAX_KEY_CHARS,
    PurgeCounter,
    purge_sql,
)
from redwingpost.retries.table import (
    Action,
    Failure,
    RequestClass,
    may_have_run,
    next_step,
)

#: Pauses before a failed member is tried again while no other primary is
#: known; they grow from the first to the longest (seconds). A restart
#: takes longer than the first, and a promotion ends the pause early.
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.4

#: Retry delay for a caller whose group had no primary: a promotion takes
#: about a second.
RETRY_AFTER_MS = 500

_DDL = frozenset({"CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME"})

#: Failures whose retries need no budget: the attempt put no load on a
#: member.
_UNBUDGETED_FAILURES = {Failure.NOT_SENT, Failure.READ_ONLY}


class WriteAnswer(NamedTuple):
    """Result of a write and the position of its commit."""

    result: StatementResult
    position: Position


Answer = Result[WriteAnswer, Refusal | MemberError]


class _Progress:
    """State of one request across its attempts."""

    def __init__(self, request: Request, sql: str) -> None:
        self.request = request
        self.sql = sql
        self.may_have_run = False
        self.attempts = 0

    @property
    def is_keyed(self) -> bool:
        """Whether the write has a key, so that it can be sent again."""
        return bool(self.request.marks.idempotency_key)

    @property
    def request_class(self) -> RequestClass:
        """The request's class in the retry table."""
        if self.is_keyed:
            return RequestClass.KEYED_WRITE
        return RequestClass.UNKEYED_WRITE


class Writer:
    """Runs autocommit writes.

    Parameters
    ----------
    directory, pool, confirmer, clock, views
        Shared components of the proxy.
    random : Random, optional
        Source of jitter.
    """

    def __init__(
        self,
        directory: Directory,
        pool: TargetPool,
        confirmer: Confirmer,
        clock: Clock,
        views: ViewWatch,
        random: Random | None = None,
    ) -> None:
        self._directory = directory
        self._pool = pool
        self._confirmer = confirmer
        self._clock = clock
        self._views = views
        self._random = random or Random()
        self._budgets_by_group: dict[str, RetryBudget] = {}
        self._purges = PurgeCounter()
        self._tasks: set[Any] = set()

    async def write(self, request: Request, sql: str) -> Answer:
        """Run one autocommit write, with retries, and answer it."""
        refusal = _check_key(request, sql)
        if refusal is not None:
            return Error(refusal)
        self._budget(request.group).earn()
        progress = _Progress(request, sql)
        while True:
            term = self._views.term(request.group)
            try:
                outcome = await self._attempt(progress)
            except AdmissionRefused as refused:
                return Error(_admission_refusal(progress, refused))
            if isinstance(outcome, Committed):
                outcome = await self._acknowledge(progress, outcome)
            if isinstance(outcome, Committed):
                return Ok(WriteAnswer(outcome.result, outcome.position))
            if isinstance(outcome, Refusal):
                return Error(outcome)
            answer = await self._handle_failure(progress, outcome, term)
            if answer is not None:
                return Error(answer)

    async def open_transaction(
        self, request: Request, sql: str
    ) -> Result[tuple[Any, int], Refusal | MemberError]:
        """Open a transaction on the primary.

        Returns
        -------
        Result of (TargetConnection, int)
            The connection and the primary's term.
        """
        self._budget(request.group).earn()
        progress = _Progress(request, sql)
        while True:
            term = self._views.term(request.group)
            try:
                opened = await self._try_open(progress)
            except AdmissionRefused as refused:
                return Error(refused.refusal)
            if not isinstance(opened, Failed):
                return Ok((opened, term))
            answer = await self._handle_failure(progress, opened, term)
            if answer is not None:
                return Error(answer)

    async def _try_open(self, progress: _Progress) -> Any:
        primary = self._directory.primary(progress.request.group)
        if primary is None:
            return Failed(Failure.NOT_SENT)
        try:
            connection = await self._acquire(primary, progress)
        except TargetError as error:
            return failed_from_error(error)
        except TargetLost:
            return Failed(Failure.NOT_SENT)
        progress.attempts += 1
        timeout = self._remaining(progress.request)
        try:
            await connection.execute(progress.sql, timeout)
        except TargetError as error:
            await self._pool.release(connection, clean=False)
            return failed_from_error(error)
        except TargetLost:
            await self._pool.drop(connection)
            return Failed(Failure.COMMIT_NOT_SENT)
        self._pool.pin(connection)
        return connection

    async def _acquire(
        self, primary: MemberAddress, progress: _Progress
    ) -> TargetConnection:
        request = progress.request
        if request.statement_class is StatementKind.BEGIN:
            await self._pool.wait_to_pin(primary, request)
        return await self._pool.acquire(primary, request)

    async def acknowledge_commit(
        self, request: Request, committed: Committed
    ) -> Answer:
        """Confirm a transaction's commit and return the answer for it."""
        progress = _Progress(request, "COMMIT")
        outcome = await self._acknowledge(progress, committed)
        if isinstance(outcome, Committed):
            return Ok(WriteAnswer(outcome.result, outcome.position))
        step = next_step(RequestClass.COMMIT, outcome.failure, False)
        return Error(Refusal(step.code))

    def _budget(self, group: str) -> RetryBudget:
        return self._budgets_by_group.setdefault(group, RetryBudget())

    def _remaining(self, request: Request) -> float:
        return max(0.0, request.deadline_at - self._clock.now())

    async def _attempt(
        self, progress: _Progress
    ) -> Committed | Failed | Refusal:
        request = progress.request
        primary = self._directory.primary(request.group)
        view = self._directory.view(request.group)
        if primary is None:
            return Failed(Failure.NOT_SENT)
        try:
            connection = await self._acquire(primary, progress)
        except TargetError as error:
            return failed_from_error(error)
        except TargetLost:
            return Failed(Failure.NOT_SENT)
        progress.attempts += 1
        with self._views.guard(connection, request.group, view.term):
            outcome = await self._run(progress, connection)
        # An autocommit statement that succeeded left no state behind.
        clean = isinstance(outcome, Committed)
        await self._pool.release(connection, clean=clean)
        if progress.is_keyed and clean and self._purges.due():
            self._start_task(self._purge(primary, request))
        return outcome

    async def _run(
        self, progress: _Progress, connection: Any
    ) -> Committed | Failed | Refusal:
        timeout = self._remaining(progress.request)
        if not progress.is_keyed:
            return await run_unkeyed(connection, progress.sql, timeout)
        write = KeyedWrite(
            progress.request.organisation,
            progress.request.marks.idempotency_key,
            progress.sql,
            int(time()),
        )
        try:
            return await run_keyed(connection, write, timeout)
        except TargetError as error:
            return failed_from_error(error)
        except TargetLost:
            return Failed(Failure.COMMIT_NOT_SENT)

    async def _acknowledge(
        self, progress: _Progress, committed: Committed
    ) -> Committed | Failed:
        """Confirm the write, or find out whether a promotion kept it."""
        request = progress.request
        policy = self._unconfirmed_policy(request)
        bound_s = min(CONFIRM_TIMEOUT_S, self._remaining(request))
        decision = await self._confirmer.decide(
            request.group, committed.position, bound_s, policy
        )
        if decision is Decision.ACKNOWLEDGED:
            return committed
        write_outcome = await self._resolve_unconfirmed(
            request, committed.position
        )
        if write_outcome is WriteOutcome.SURVIVED:
            return committed
        if write_outcome is WriteOutcome.DROPPED:
            return Failed(Failure.DROPPED)
        return Failed(Failure.NOT_CONFIRMED, position=committed.position)

    def _unconfirmed_policy(self, request: Request) -> UnconfirmedPolicy:
        kind = self._directory.configuration.kind(request.marks.kind)
        return UnconfirmedPolicy(kind.unconfirmed)

    async def _resolve_unconfirmed(
        self, request: Request, position: Position
    ) -> WriteOutcome:
        """Wait for the next term and look the write up in its history."""
        has_later_term = await self._views.wait_for_later_term(
            request.group, position.term, self._remaining(request)
        )
        if not has_later_term:
            # Still the same term: a replica may have caught up by now.
            return await self._confirm_in_same_term(request, position)
        view: GroupView = self._directory.view(request.group)
        if not view.history:
            return WriteOutcome.UNDECIDED
        first = view.history[-1]
        if not await self._confirmer.confirm(
            request.group, first, self._remaining(request)
        ):
            return WriteOutcome.UNDECIDED
        return resolve_write(position, view.history, first)

    async def _confirm_in_same_term(
        self, request: Request, position: Position
    ) -> WriteOutcome:
        confirmed = await self._confirmer.confirm(
            request.group, position, self._remaining(request)
        )
        return WriteOutcome.SURVIVED if confirmed else WriteOutcome.UNDECIDED

    async def _handle_failure(
        self, progress: _Progress, failed: Failed, term: int
    ) -> Refusal | MemberError | None:
        """Return the final answer, or None after the pause for a retry."""
        request, failure = progress.request, failed.failure
        can_retry = self._remaining(request) > 0 and (
            failure in _UNBUDGETED_FAILURES
            or self._budget(request.group).spend()
        )
        step = next_step(
            progress.request_class, failure, can_retry, progress.may_have_run
        )
        if may_have_run(failure):
            progress.may_have_run = True
        if failure is Failure.DROPPED:
            progress.may_have_run = False
        if step.action in (Action.RETRY, Action.RETRY_WITH_KEY):
            await self._pause(progress, failure, term)
            return None
        if failed.key_in_use:
            return Refusal(Code.STILL_RUNNING, retry_after_ms=RETRY_AFTER_MS)
        if step.action is Action.PASS_ERROR and failed.error is not None:
            return failed.error
        code = step.code or Code.OUTCOME_UNKNOWN
        not_run = code.outcome is Outcome.NOT_RUN
        return Refusal(code, retry_after_ms=RETRY_AFTER_MS * not_run)

    async def _pause(
        self, progress: _Progress, failure: Failure, term: int
    ) -> None:
        """Wait for another primary, but not longer than a pause.

        A member that refused with error 1290 has promised a later term
        and takes no more writes in this one. That failure therefore waits
        for a later term, until the request's deadline.
        """
        left = self._remaining(progress.request)
        if failure is Failure.READ_ONLY:
            await self._views.wait_for_later_term(
                progress.request.group, term, left
            )
            return
        pause = FIRST_PAUSE_S * 2 ** min(progress.attempts, 3)
        pause = min(pause, LONGEST_PAUSE_S) * (0.5 + self._random.random())
        await self._views.wait_for_later_term(
            progress.request.group, term, min(pause, left)
        )

    def _start_task(self, work: Any) -> None:
        task = create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _purge(self, primary: MemberAddress, request: Request) -> None:
        """Delete a batch of expired records; failures are ignored.

        The next purge deletes what this one left.
        """
        try:
            connection = await self._pool.acquire(primary, request)
        except (TargetError, TargetLost, AdmissionRefused):
            return
        outcome = await run_unkeyed(connection, purge_sql(int(time())), 1.0)
        clean = isinstance(outcome, Committed)
        await self._pool.release(connection, clean=clean)


def _admission_refusal(
    progress: _Progress, refused: AdmissionRefused
) -> Refusal:
    # This attempt sent nothing, but an earlier one may have run, so "not
    # run" could be false.
    if progress.may_have_run:
        return Refusal(Code.OUTCOME_UNKNOWN)
    return refused.refusal


def _check_key(request: Request, sql: str) -> Refusal | None:
    key = request.marks.idempotency_key
    if not key:
        return None
    if len(key) > MAX_KEY_CHARS:
        return Refusal(Code.BAD_MARK, "the idempotency key is too long")
    words = sql.split(None, 1)
    if words and words[0].upper() in _DDL:
        # DDL commits implicitly before it runs. That would commit the
        # record of a statement that may then fail.
        return Refusal(Code.BAD_MARK, "DDL takes no idempotency key")
    return None
