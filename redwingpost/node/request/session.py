"""One caller's session: each statement to whoever answers it."""

from asyncio import TimerHandle, create_task, get_running_loop
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from redwingpost.core.codes import Code, Outcome
from redwingpost.core.positions import Position
from redwingpost.core.registry import Registry
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import Answer, Statement, StatementKind
from redwingpost.node.forwarding.forwarder import Forwarder, ForwardedStatement
from redwingpost.node.forwarding.transaction import ForwardedTransaction
from redwingpost.node.group import GroupClient
from redwingpost.node.metrics import GRANTED, NodeMetrics
from redwingpost.node.request.admission import Admission, Admitted
from redwingpost.node.request.attempt import Caller
from redwingpost.node.request.reads import ReadRequest, ReadRunner, Result
from redwingpost.node.request.transaction import Transaction
from redwingpost.node.request.writes import WriteRunner
from redwingpost.observability.journal import log_event
from redwingpost.observability.trace import StatementTrace
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import MemberFailure
from redwingpost.statements.session import Phase, SessionState

#: Seconds for one statement that are worth a line in the log: the least
#: target of today.
LATE_S = 0.2

Handler = Callable[["NodeSession", Statement], Awaitable[Result]]

#: What answers a kind of statement, by the kind's value.
HANDLERS: Registry[Handler] = Registry("statement kind")

_DONE = Answer()
_TOO_MANY = Refusal(Code.UNSUPPORTED, "too many session values or names")
_NOT_OPEN = Refusal(Code.UNSUPPORTED, "no transaction is open")
_FAILED = Refusal(Code.UNSUPPORTED, "the transaction failed; roll it back")


class Services(NamedTuple):
    """What all sessions of a node share."""

    admission: Admission
    group_by_name: dict[str, GroupClient]
    reads: ReadRunner
    writes: WriteRunner
    metrics: NodeMetrics
    clock: Clock
    forwarder: Forwarder | None = None

    def has_home_elsewhere(self, admitted: Admitted) -> bool:
        """Say whether another VM should run an operation."""
        return self.forwarder is not None and (
            self.forwarder.has_home_elsewhere(
                admitted.route.group, admitted.organisation.name
            )
        )


class NodeSession:
    """Implements the session of the caller server."""

    def __init__(self, services: Services, database: str, key: str) -> None:
        self.state = SessionState()
        self.position: Position | None = None
        self.services = services
        self.transaction: Transaction | ForwardedTransaction | None = None
        self._database = database
        self._key = key
        self._idle_timer: TimerHandle | None = None

    @property
    def phase(self) -> Phase:
        """Where the session stands."""
        return self.state.phase

    async def run(self, statement: Statement) -> Result:
        """Run one statement and return what to answer."""
        self._stop_idle_timer()
        self.state.trace = StatementTrace()
        started_at = self.services.clock.now()
        handler = HANDLERS.get(statement.kind.value)
        result = await handler(self, statement)
        seconds = self.services.clock.now() - started_at
        self._note(statement, result, seconds)
        if self.transaction is not None:
            self._start_idle_timer()
        return result

    async def close(self) -> None:
        """Roll back what is open."""
        self._stop_idle_timer()
        if self.transaction is not None:
            await self.transaction.roll_back()
            self.transaction = None

    def check(self) -> Admitted | Refusal:
        """Check key and route by the rules in force."""
        return self.services.admission.check(self._database, self._key)

    def admit(self, request: str) -> Admitted | Refusal:
        """Check one operation and take it from the rate."""
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
        """Return whose statement it is and how urgent."""
        name = admitted.organisation.name
        return Caller(name, self.state, admitted.route.priority)

    def end_transaction(self, phase: Phase) -> None:
        """Leave the transaction, into ``phase``."""
        self.transaction = None
        self.state.phase = phase

    def _note(
        self, statement: Statement, result: Result, seconds: float
    ) -> None:
        if isinstance(result, Answer):
            self.services.metrics.note(statement.kind.value, "ok", seconds)
            if seconds > LATE_S:
                self._log("statement-late", statement, "ok", "", seconds)
            return
        is_own = isinstance(result, Refusal)
        word = result.code.name if is_own else result.word
        self.services.metrics.note(statement.kind.value, word, seconds)
        if word != Code.OVER_RATE.name:
            # Admission has written that decision with its inputs.
            detail = result.detail
            self._log("statement-refused", statement, word, detail, seconds)

    def _log(
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
        self._idle_timer = loop.call_later(idle_s, self._end_idle)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _end_idle(self) -> None:
        """Roll an idle transaction back: it holds a connection."""
        if self.transaction is None:
            return
        log_event("transaction-idle", database=self._database)
        create_task(self.transaction.roll_back())
        self.end_transaction(Phase.FAILED)


@HANDLERS.register(StatementKind.SET_VALUE.value)
async def _set_value(session: NodeSession, statement: Statement) -> Result:
    kept = session.state.set_value(statement.name, statement.argument)
    return _DONE if kept else _TOO_MANY


@HANDLERS.register(StatementKind.PREPARE.value)
async def _prepare(session: NodeSession, statement: Statement) -> Result:
    kept = session.state.prepare(statement.name, statement.shape)
    return _DONE if kept else _TOO_MANY


@HANDLERS.register(StatementKind.CLOSE.value)
async def _close(session: NodeSession, statement: Statement) -> Result:
    session.state.close(statement.name)
    return _DONE


@HANDLERS.register(StatementKind.BEGIN.value)
@HANDLERS.register(StatementKind.BEGIN_READ_ONLY.value)
async def _begin(session: NodeSession, statement: Statement) -> Result:
    if session.phase is not Phase.IDLE:
        return _FAILED
    admitted = session.admit(statement.request)
    if isinstance(admitted, Refusal):
        return admitted
    group = session.group_of(admitted)
    if group is None:
        return Refusal(Code.NO_PRIMARY, "no member is listed", 500)
    session.transaction = _open_transaction(
        session, statement, admitted, group
    )
    session.state.phase = Phase.IN_TRANSACTION
    return _DONE


def _open_transaction(
    session: NodeSession,
    begin: Statement,
    admitted: Admitted,
    group: GroupClient,
) -> Transaction | ForwardedTransaction:
    services = session.services
    caller = session.caller(admitted)

    def run_here() -> Transaction:
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
        return run_here()
    return ForwardedTransaction(
        begin,
        caller,
        admitted.route,
        admitted.sync_replicas,
        services.forwarder,
        run_here,
        services.clock,
    )


@HANDLERS.register(StatementKind.COMMIT.value)
async def _commit(session: NodeSession, statement: Statement) -> Result:
    if session.phase is Phase.IDLE:
        return _NOT_OPEN
    if session.phase is Phase.FAILED:
        session.end_transaction(Phase.IDLE)
        return Refusal(Code.TRANSACTION_ROLLED_BACK, "it had failed", 50)
    refused = await _refuse_withdrawn(session, Phase.IDLE)
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
async def _work(session: NodeSession, statement: Statement) -> Result:
    if session.phase is Phase.FAILED:
        return _FAILED
    if session.state.writes(statement) is None:
        return MemberFailure.unknown_name(statement.name)
    if session.phase is Phase.IN_TRANSACTION:
        return await _work_in_transaction(session, statement)
    return await _work_alone(session, statement)


async def _work_in_transaction(
    session: NodeSession, statement: Statement
) -> Result:
    refused = await _refuse_withdrawn(session, Phase.FAILED)
    if refused is not None:
        return refused
    result = await session.transaction.run(statement)
    if not isinstance(result, Answer):
        if not session.transaction.is_over:
            await session.transaction.roll_back()
        session.end_transaction(Phase.FAILED)
    return result


async def _work_alone(session: NodeSession, statement: Statement) -> Result:
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
        result = await _run_here(session, group, request, admitted)
    if _costs_nothing(result, session.state.trace):
        services.admission.give_back(admitted.organisation)
        services.metrics.note_given_back(
            admitted.organisation.name, admitted.route.group
        )
    return result


async def _run_here(
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


def _costs_nothing(result: Result, trace: StatementTrace) -> bool:
    """Say whether a refused operation has cost no member anything.

    "Not run" tells the caller that nothing is kept. A member may have run
    a read all the same, whose answer nothing proved.
    """
    if not isinstance(result, Refusal) or trace.may_have_run:
        return False
    return result.code.outcome is Outcome.NOT_RUN


async def _refuse_withdrawn(
    session: NodeSession, phase: Phase
) -> Refusal | None:
    """End a transaction whose caller's key was withdrawn meanwhile."""
    checked = session.check()
    if not isinstance(checked, Refusal):
        return None
    if checked.code.name != Code.WRONG_KEY.name:
        # A route that changed counts from the next transaction on.
        return None
    await session.transaction.roll_back()
    session.end_transaction(phase)
    return checked
