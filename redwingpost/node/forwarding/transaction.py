"""Transactions of this VM's callers that run at a home."""

from collections.abc import Callable

from redwingpost.configuration.routes import RouteRule
from redwingpost.core.codes import Code
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement
from redwingpost.node.forwarding.channel import HomeChannel, HomeLost
from redwingpost.node.forwarding.forwarder import Forwarder, ForwardedStatement
from redwingpost.node.forwarding.messages import Action
from redwingpost.node.request.attempt import Caller
from redwingpost.node.request.reads import Result
from redwingpost.node.request.transaction import Transaction
from redwingpost.ports.clock import Clock


class ForwardedTransaction:
    """An open transaction of one session, at a home or on this VM.

    ``begin_here`` begins a transaction on this VM if no home takes it.
    """

    def __init__(
        self,
        begin: Statement,
        caller: Caller,
        route: RouteRule,
        sync_replicas: int,
        forwarder: Forwarder,
        begin_here: Callable[[], Transaction],
        clock: Clock,
    ) -> None:
        self._begin = begin
        self._caller = caller
        self._route = route
        self._sync_replicas = sync_replicas
        self._forwarder = forwarder
        self._begin_here = begin_here
        self._clock = clock
        self._number = forwarder.next_transaction()
        self._channel: HomeChannel | None = None
        self._local: Transaction | None = None
        self._last: ForwardedStatement | None = None
        self._has_written = False
        self._is_over = False

    @property
    def has_written(self) -> bool:
        """Whether a write of the transaction has succeeded."""
        return self._has_written

    @property
    def is_over(self) -> bool:
        """Whether the transaction has ended."""
        if self._local is not None:
            return self._local.is_over
        return self._is_over

    async def run(self, statement: Statement) -> Result:
        """Run a read or a write inside the transaction."""
        result = await self._run(statement, Action.RUN)
        if isinstance(result, Answer) and self._caller.state.writes(statement):
            self._has_written = True
        return result

    async def commit(self, statement: Statement) -> Result:
        """Commit; the transaction is over whatever the result."""
        return await self._run(statement, Action.COMMIT)

    async def roll_back(self) -> None:
        """Roll the transaction back."""
        if self._local is not None:
            await self._local.roll_back()
        elif self._channel is not None and not self._is_over:
            self._forwarder.roll_back(self._channel, self._last, self._number)
        self._is_over = True

    async def _run(self, statement: Statement, action: Action) -> Result:
        if self._local is not None:
            return await self._run_locally(self._local, statement, action)
        task = self._last = ForwardedStatement(
            statement,
            self._caller,
            self._route,
            self._sync_replicas,
            self._clock.now(),
        )
        try:
            if self._channel is None:
                return await self._open(task, action)
            done = await self._forwarder.continue_transaction(
                self._channel, task, action, self._number
            )
        except HomeLost as lost:
            return self._refuse_lost(action, lost)
        self._is_over = done.is_over
        return done.result

    async def _open(self, task: ForwardedStatement, action: Action) -> Result:
        opened = await self._forwarder.open_transaction(
            task, self._begin, action, self._number
        )
        if opened is None:
            self._local = self._begin_here()
            return await self._run_locally(self._local, task.statement, action)
        if isinstance(opened, Refusal):
            self._is_over = True
            return opened
        self._channel, done = opened
        self._is_over = done.is_over
        return done.result

    async def _run_locally(
        self, transaction: Transaction, statement: Statement, action: Action
    ) -> Result:
        if action is Action.COMMIT:
            return await transaction.commit(statement)
        return await transaction.run(statement)

    def _refuse_lost(self, action: Action, lost: HomeLost) -> Refusal:
        """Return the refusal for a transaction whose home doesn't answer."""
        if self._channel is not None and self._last is not None:
            self._forwarder.roll_back(self._channel, self._last, self._number)
        self._is_over = True
        may_commit = action is Action.COMMIT and self._has_written
        if lost.sent:
            deadline = self._last.deadline
            self._caller.state.note_in_doubt(deadline, may_commit)
        if may_commit and lost.sent:
            return Refusal(Code.COMMIT_UNKNOWN, lost.detail)
        return Refusal(Code.TRANSACTION_ROLLED_BACK, lost.detail, 50)
