"""One caller's session: dispatches each statement to its handler."""

from asyncio import TimerHandle, create_task, get_running_loop, sleep
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from redwingpost.admission.stopping import StopGate
from redwingpost.core.codes import Code, Outcome
from redwingpost.core.positions import Position
from redwingpost.core.registry import Registry
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement, StatementKind
from redwingpost.node.forwarding.forwarder import Forwarder, ForwardedStatement
from redwingpost.node.forwarding.transaction import ForwardedTransaction
from redwingpost.node.group import GroupClient
from redwingpost.node.metrics import GRANTED, NodeMetrics
from redwingpost.node.request.admission import (
    PUBLIC_NAME,
    Admission,
    Admitted,
)
from redwingpost.node.request.attempt import Caller
from redwingpost.node.request.reads import ReadRequest, ReadRunner, Result
from redwingpost.node.request.transaction import Transaction
from redwingpost.node.request.writes import WriteRunner
from redwingpost.observability.journal import log_event
from redwingpost.observability.trace import StatementTrace
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import MemberFailure
from redwingpost.statements.session import Phase, SessionState

#: Seconds above which a statement is logged as late: the smallest latency
#: target in use.
LATE_STATEMENT_S = 0.2

Handler = Callable[["NodeSession", Statement], Awaitable[Result]]

#: Handlers of statements, by the value of the statement's kind.
HANDLERS: Registry[Handler] = Registry("statement kind")

_STOPPING = "this VM is stopping"
_DONE = Answer()
_TOO_MANY_NAMES = Refusal(
    Code.UNSUPPORTED, "too many or too large session values or names"
)
#: Statements that this VM answers itself; they can't be cut by a stop.
_ANSWERED_HERE = frozenset(
    {
        StatementKind.SET_VALUE,
        StatementKind.PREPARE,
        StatementKind.CLOSE,
        StatementKind.ROLLBACK,
    }
)

_NO_TRANSACTION = Refusal(Code.UNSUPPORTED, "no transaction is open")
_PASSED_ON = Refusal(Code.TARGET_LOST, "the key was passed on", 50)
_TRANSACTION_FAILED = Refusal(
    Code.UNSUPPORTED, "the transaction failed; roll it back"
)


class Services(NamedTuple):
    """Services shared by all sessions of one VM."""

    admission: Admission
    group_by_name: dict[str, GroupClient]
    reads: ReadRunner
    writes: WriteRunner
    metrics: NodeMetrics
    clock: Clock
    forwarder: Forwarder | None = None
    stop_gate: StopGate = StopGate()

    def has_home_elsewhere(self, admitted: Admitted) -> bool:
        """Return whether another VM should run an operation."""
        return self.forwarder is not None and (
            self.forwarder.has_home_elsewhere(
                admitted.route, admitted.organisation.name
            )
        )


class NodeSession:
    """Runs one caller's statements for the caller server."""

    def __init__(self, services: Services, database: str, key: str) -> None:
        self.state = SessionState()
        self.position: Position | None = None
        self.services = services
        self.transaction: Transaction | ForwardedTransaction | None = None
        self._database = database
        self._key = key
        self._idle_timer: TimerHandle | None = None
        self._organisation = ""

    @property
    def phase(self) -> Phase:
        """The session's transaction phase."""
        return self.state.phase

    async def run(self, statement: Statement) -> Result:
        """Run one statement and return its result."""
        self._stop_idle_timer()
        self.state.trace = StatementTrace()
        started_at = self.services.clock.now()
        await self._await_settled(statement)
        result = await self._refuse_if_stopping(statement)
        if result is None:
            handler = HANDLERS.get(statement.kind.value)
            result = await handler(self, statement)
        seconds = self.services.clock.now() - started_at
        self._record_result(statement, result, seconds)
        if self.transaction is not None:
            self._start_idle_timer()
        return result

    async def _await_settled(self, statement: Statement) -> None:
        """Wait while an earlier statement in doubt may still run."""
        until = self.state.waits_until(statement)
        wait_s = until - self.services.clock.now()
        if wait_s > 0.0:
            log_event(
                "statement-held",
                request=statement.request,
                seconds=round(wait_s, 4),
            )
            await sleep(wait_s)

    def interrupt(self, statement: Statement) -> Refusal:
        """Return what is known of a statement whose run was cancelled."""
        refusal = self._describe_interrupted(statement)
        log_event(
            "statement-interrupted",
            request=statement.request,
            database=self._database,
            code=refusal.code.name,
        )
        return refusal

    def _describe_interrupted(self, statement: Statement) -> Refusal:
        if self.transaction is None:
            if self.state.writes(statement):
                return Refusal(Code.OUTCOME_UNKNOWN, _STOPPING)
            return Refusal(Code.TIMED_OUT, _STOPPING)
        if statement.kind is not StatementKind.COMMIT:
            self.state.phase = Phase.FAILED
        elif self.transaction.has_written:
            self.state.phase = Phase.IDLE
            return Refusal(Code.COMMIT_UNKNOWN, _STOPPING)
        else:
            self.state.phase = Phase.IDLE
        return Refusal(Code.TRANSACTION_ROLLED_BACK, _STOPPING)

    async def close(self) -> None:
        """Roll back an open transaction."""
        self._stop_idle_timer()
        if self.transaction is not None:
            await self.transaction.roll_back()
            self.transaction = None

    def check(self) -> Admitted | Refusal:
        """Check key and route against the rules in force."""
        return self.services.admission.check(self._database, self._key)

    def admit(self, request: str) -> Admitted | Refusal:
        """Check one operation and take a token for it."""
        admitted = self.check()
        if isinstance(admitted, Refusal):
            return admitted
        organisation = admitted.organisation
        refused = self.services.admission.spend(organisation, request)
        outcome = GRANTED if refused is None else refused.code.name
        self.services.metrics.note_operation(
            organisation.name, admitted.route.group, outcome
        )
        return admitted if refused is None else refused

    def group_of(self, admitted: Admitted) -> GroupClient | None:
        """Return the client of a route's group."""
        return self.services.group_by_name.get(admitted.route.group)

    def caller(self, admitted: Admitted) -> Caller:
        """Return the caller's organisation, session state and priority."""
        name = admitted.organisation.name
        admission = self.services.admission
        return Caller(
            name,
            self.state,
            admitted.route.priority,
            lambda: admission.holder_of(self._key) == name,
            self._key,
            admission.rules.version,
        )

    def begin_transaction(
        self, transaction: Transaction | ForwardedTransaction, holder: str
    ) -> None:
        """Enter a transaction on behalf of the key's holder."""
        self.transaction = transaction
        self._organisation = holder
        self.state.phase = Phase.IN_TRANSACTION

    async def refuse_changed_key(self, phase: Phase) -> Refusal | None:
        """End the transaction if its caller's key was taken or passed on.

        A changed route applies from the next transaction on, a changed key
        at once, also where the route has gone with it.
        """
        holder = self.services.admission.holder_of(self._key)
        if holder == self._organisation:
            return None
        await self.transaction.roll_back()
        self.end_transaction(phase)
        is_unknown = holder == PUBLIC_NAME
        if is_unknown and isinstance(self.check(), Refusal):
            return Refusal(Code.WRONG_KEY)
        return Refusal(
            Code.TRANSACTION_ROLLED_BACK, "the key was passed on", 50
        )

    def end_transaction(self, phase: Phase) -> None:
        """Leave the transaction and set the session's phase."""
        self.transaction = None
        self.state.phase = phase

    async def _refuse_if_stopping(
        self, statement: Statement
    ) -> Refusal | None:
        """Refuse what couldn't end before this VM stops."""
        services = self.services
        if (
            not services.stop_gate.is_stopping
            or statement.kind in _ANSWERED_HERE
            or self.phase is Phase.FAILED
        ):
            return None
        route = services.admission.rules.routes_by_database.get(self._database)
        timeout_s = route.timeout_s if route else 0.0
        if services.stop_gate.takes(services.clock.now(), timeout_s):
            return None
        if self.transaction is None:
            return Refusal(Code.DRAINING)
        await self.transaction.roll_back()
        is_commit = statement.kind is StatementKind.COMMIT
        self.end_transaction(Phase.IDLE if is_commit else Phase.FAILED)
        return Refusal(Code.TRANSACTION_ROLLED_BACK, _STOPPING, 50)

    def _record_result(
        self, statement: Statement, result: Result, seconds: float
    ) -> None:
        if isinstance(result, Answer):
            self.services.metrics.note(statement.kind.value, "ok", seconds)
            if seconds > LATE_STATEMENT_S:
                self._log_statement(
                    "statement-late", statement, "ok", "", seconds
                )
            return
        is_refusal = isinstance(result, Refusal)
        code = result.code.name if is_refusal else result.keyword
        self.services.metrics.note(statement.kind.value, code, seconds)
        if code != Code.OVER_RATE.name:
            # Admission has logged that decision with its inputs.
            detail = result.detail
            self._log_statement(
                "statement-refused", statement, code, detail, seconds
            )

    def _log_statement(
        self,
        event: str,
        statement: Statement,
        code: str,
        detail: str,
        seconds: float,
    ) -> None:
        rules = self.services.admission.rules
        route = rules.routes_by_database.get(self._database)
        organisation = rules.organisation_of(self._key)
        log_event(
            event,
            request=statement.request,
            statement=statement.kind.value,
            database=self._database,
            group=route.group if route else "",
            organisation=organisation.name if organisation else "",
            code=code,
            detail=detail,
            seconds=round(seconds, 4),
            **self.state.trace.describe(),
            version=rules.version,
        )

    def _start_idle_timer(self) -> None:
        idle_s = self.services.admission.rules.idle_transaction_s
        loop = get_running_loop()
        self._idle_timer = loop.call_later(idle_s, self._roll_back_idle)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _roll_back_idle(self) -> None:
        """Roll back an idle transaction, which holds a connection."""
        if self.transaction is None:
            return
        log_event("transaction-idle", database=self._database)
        create_task(self.transaction.roll_back())
        self.end_transaction(Phase.FAILED)


@HANDLERS.register(StatementKind.SET_VALUE.value)
async def _set_value(session: NodeSession, statement: Statement) -> Result:
    is_stored = session.state.set_value(statement.name, statement.argument)
    return _DONE if is_stored else _TOO_MANY_NAMES


@HANDLERS.register(StatementKind.PREPARE.value)
async def _prepare(session: NodeSession, statement: Statement) -> Result:
    is_stored = session.state.prepare(statement.name, statement.shape)
    return _DONE if is_stored else _TOO_MANY_NAMES


@HANDLERS.register(StatementKind.CLOSE.value)
async def _close(session: NodeSession, statement: Statement) -> Result:
    session.state.close(statement.name)
    return _DONE


@HANDLERS.register(StatementKind.BEGIN.value)
@HANDLERS.register(StatementKind.BEGIN_READ_ONLY.value)
async def _begin(session: NodeSession, statement: Statement) -> Result:
    if session.phase is not Phase.IDLE:
        return _TRANSACTION_FAILED
    admitted = session.admit(statement.request)
    if isinstance(admitted, Refusal):
        return admitted
    group = session.group_of(admitted)
    if group is None:
        return Refusal(Code.NO_PRIMARY, "no member is listed", 500)
    session.begin_transaction(
        _open_transaction(session, statement, admitted, group),
        admitted.organisation.name,
    )
    return _DONE


def _open_transaction(
    session: NodeSession,
    begin: Statement,
    admitted: Admitted,
    group: GroupClient,
) -> Transaction | ForwardedTransaction:
    services = session.services
    caller = session.caller(admitted)

    def run_locally() -> Transaction:
        group.note_use()
        return Transaction(
            begin,
            caller,
            admitted.route,
            group,
            admitted.sync_replicas,
            services.clock,
        )

    if not services.has_home_elsewhere(admitted):
        return run_locally()
    return ForwardedTransaction(
        begin,
        caller,
        admitted.route,
        admitted.sync_replicas,
        services.forwarder,
        run_locally,
        services.clock,
    )


@HANDLERS.register(StatementKind.COMMIT.value)
async def _commit(session: NodeSession, statement: Statement) -> Result:
    if session.phase is Phase.IDLE:
        return _NO_TRANSACTION
    if session.phase is Phase.FAILED:
        session.end_transaction(Phase.IDLE)
        return Refusal(Code.TRANSACTION_ROLLED_BACK, "it had failed", 50)
    refused = await session.refuse_changed_key(Phase.IDLE)
    if refused is not None:
        return refused
    result = await session.transaction.commit(statement)
    if not session.transaction.is_over:
        await session.transaction.roll_back()
    session.end_transaction(Phase.IDLE)
    return result


@HANDLERS.register(StatementKind.ROLLBACK.value)
async def _roll_back(session: NodeSession, statement: Statement) -> Result:
    if session.transaction is not None:
        await session.transaction.roll_back()
    session.end_transaction(Phase.IDLE)
    return _DONE


@HANDLERS.register(StatementKind.READ.value)
@HANDLERS.register(StatementKind.WRITE.value)
@HANDLERS.register(StatementKind.EXECUTE.value)
async def _run_statement(session: NodeSession, statement: Statement) -> Result:
    if session.phase is Phase.FAILED:
        return _TRANSACTION_FAILED
    if session.state.writes(statement) is None:
        return MemberFailure.unknown_name(statement.name)
    if session.phase is Phase.IN_TRANSACTION:
        return await _run_in_transaction(session, statement)
    return await _run_standalone(session, statement)


async def _run_in_transaction(
    session: NodeSession, statement: Statement
) -> Result:
    refused = await session.refuse_changed_key(Phase.FAILED)
    if refused is not None:
        return refused
    result = await session.transaction.run(statement)
    if not isinstance(result, Answer):
        if not session.transaction.is_over:
            await session.transaction.roll_back()
        session.end_transaction(Phase.FAILED)
        return result
    # What was read is the former holder's.
    return await session.refuse_changed_key(Phase.FAILED) or result


async def _run_standalone(
    session: NodeSession, statement: Statement
) -> Result:
    admitted = session.admit(statement.request)
    if isinstance(admitted, Refusal):
        return admitted
    group = session.group_of(admitted)
    if group is None:
        return Refusal(Code.NO_PRIMARY, "no member is listed", 500)
    services = session.services
    request = ReadRequest(
        statement,
        session.caller(admitted),
        admitted.route,
        services.clock.now(),
    )
    result: Result | None = None
    if services.has_home_elsewhere(admitted):
        task = ForwardedStatement(
            *request[:3], admitted.sync_replicas, request.arrived_at
        )
        result = await services.forwarder.run_alone(task)
    if result is None:
        result = await _run_locally(session, group, request, admitted)
    is_read = not session.state.writes(statement)
    if is_read and isinstance(result, Answer):
        # What was read is the former holder's. A write has run: its answer
        # is handed on.
        if not request.caller.is_entitled():
            result = _PASSED_ON
    if _is_refundable(result, session.state.trace):
        services.admission.refund_operation(admitted.organisation)
        services.metrics.note_given_back(
            admitted.organisation.name, admitted.route.group
        )
    return result


async def _run_locally(
    session: NodeSession,
    group: GroupClient,
    request: ReadRequest,
    admitted: Admitted,
) -> Result:
    services = session.services
    group.note_use()
    if session.state.writes(request.statement):
        return await services.writes.run(
            group, request, admitted.sync_replicas
        )
    return await services.reads.run(group, request)


def _is_refundable(result: Result, trace: StatementTrace) -> bool:
    """Return whether a refused operation used no member's capacity.

    The outcome "not run" only means that nothing was kept. A member may
    still have run a read whose answer wasn't proven.
    """
    if not isinstance(result, Refusal) or trace.may_have_run:
        return False
    return result.code.outcome is Outcome.NOT_RUN
