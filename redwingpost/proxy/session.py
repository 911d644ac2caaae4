"""Check, classify and run the statements of one caller's connection."""

from itertools import count
from typing import Any

from expression import Error, Ok, Result
from loguru import logger

from redwingpost.core import (
    Code,
    MarkedStatement,
    MemberError,
    NO_MARKS,
    Refusal,
    Request,
    StatementKind,
    read_marks,
)
from redwingpost.ports import StatementResult
from redwingpost.promotion import continue_from
from redwingpost.proxy.caller import Caller, CallerSessionState, LastRead
from redwingpost.proxy.classify import classify
from redwingpost.proxy.forwarder import ForwardedCall
from redwingpost.proxy.local_answers import (
    EMPTY_RESULT,
    answer_select,
    apply_set,
    parse_use,
)
from redwingpost.proxy.components import Components
from redwingpost.proxy.transactions import Transaction, ends_transaction
from redwingpost.scheduling.long_jobs import shape_of

Answer = Result[StatementResult, Refusal | MemberError]

#: Deadline of a request whose caller sets none (seconds). A change of
#: primary takes up to 3 s, so a waiting write survives it. After 5 s most
#: callers have disconnected.
DEFAULT_DEADLINE_S = 5.0

_request_numbers = count(1)


class StatementSession:
    """Handles the statements of one connection, one after another.

    Parameters
    ----------
    caller : Caller
        Identity and state of the connection.
    components : Components
        The proxy's shared components.
    """

    def __init__(self, caller: Caller, components: Components) -> None:
        self.caller = caller
        self._components = components
        self._transaction: Transaction | None = None
        self._request: Request | None = None
        self._termination: Refusal | None = None
        self._forwarder = components.make_forwarder()
        self.is_forwarded = False
        self.organisation = caller.organisation
        self.connection_id = caller.connection_id

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open, here or at a home VM."""
        return self._transaction is not None or self._forwarder.in_transaction

    @property
    def busy(self) -> bool:
        """Return whether a planned stop has to wait for this connection."""
        return self._request is not None or self.in_transaction

    @property
    def autocommit(self) -> bool:
        """Return whether each statement commits by itself."""
        return self.caller.autocommit

    @autocommit.setter
    def autocommit(self, value: bool) -> None:
        self.caller.autocommit = value

    @property
    def group(self) -> str:
        """Return the connection's database group."""
        return self.caller.group

    @property
    def last_insert_id(self) -> int:
        """Return the id that the last INSERT generated."""
        return self.caller.last_insert_id

    async def handle(
        self,
        sql: str,
        attributes: dict[str, str],
        spent_s: float = 0.0,
        expires_at: float = float("inf"),
    ) -> Answer:
        """Run one statement.

        Parameters
        ----------
        sql : str
            The statement as received.
        attributes : dict
            Query attributes.
        spent_s : float, optional
            Seconds of its time that the forwarding VM has used.
        expires_at : float, optional
            When it may no longer be sent to a member (seconds): its caller
            is told after that that the outcome is unknown.
        """
        arrived_at = self._components.clock.now() - spent_s
        kind = classify("")
        marked = read_marks(sql, attributes)
        if marked.is_error():
            answer = Error(marked.error)
        else:
            kind = classify(marked.ok.sql)
            answer = await self._handle_marked(
                marked.ok, arrived_at, expires_at
            )
        self._request = None
        if self._termination is not None:
            # The session was terminated while this statement ran. Its
            # transaction would keep its locks until the caller
            # disconnects.
            await self._abandon_transaction()
        self._record_metrics(kind.statement_class, answer, arrived_at)
        return answer

    async def _handle_marked(
        self, marked: MarkedStatement, arrived_at: float, expires_at: float
    ) -> Answer:
        refusal = await self._check_key()
        if refusal is not None:
            return Error(refusal)
        classified = classify(marked.sql)
        if classified.refusal is not None:
            return Error(Refusal(classified.refusal))
        if classified.statement_class is StatementKind.SESSION:
            return await self._run_session(marked.sql)
        if classified.statement_class is StatementKind.READ:
            local = self._answer_locally(marked)
            if local is not None:
                return local
        self.caller.current_session = marked.marks.session
        token = self._apply_token(marked)
        if token is not None:
            return Error(token)
        request = self._make_request(
            marked, classified.statement_class, arrived_at
        )
        deadline_at = min(request.deadline_at, expires_at)
        request = request._replace(deadline_at=deadline_at)
        refusal = self._check_group(request)
        if refusal is None:
            refusal = await self._refuse_if_stopping(request)
        if refusal is None and self.is_forwarded:
            refusal = await self._refuse_if_late(request)
        if refusal is not None:
            return Error(refusal)
        self._request = request
        is_long = self._is_long(request, marked.sql)
        if self._must_forward(request, is_long):
            return await self._forward(marked, request, is_long)
        return await self._dispatch(request, marked.sql)

    def _is_long(self, request: Request, sql: str) -> bool:
        if self.in_transaction:
            return False
        is_read = request.statement_class is StatementKind.READ
        shape = shape_of(sql) if is_read else ""
        return self._components.pool.is_long(request, shape)

    def _must_forward(self, request: Request, is_long: bool) -> bool:
        if self.is_forwarded or self._transaction is not None:
            return False
        if self._forwarder.in_transaction:
            return True
        homes = self._components.homes
        if is_long:
            return not homes.runs_long_jobs(request.group)
        return not homes.is_home(request.group)

    async def _forward(
        self, marked: MarkedStatement, request: Request, is_long: bool
    ) -> Answer:
        state = self._state(request)
        call = ForwardedCall(
            marked=marked,
            statement_class=request.statement_class,
            autocommit=self.caller.autocommit,
            positions_by_group=dict(state.positions.by_group),
            whole=state.positions.whole,
            arrived_at=request.arrived_at,
            deadline_at=request.deadline_at,
            is_long=is_long,
        )
        opening = {
            "organisation": request.organisation,
            "keyHash": self.caller.key_hash,
            "group": request.group,
            "connection": self.caller.connection_id,
        }
        outcome = await self._forwarder.run(call, opening)
        state.positions.merge(outcome.positions_by_group, outcome.whole)
        answer = outcome.answer
        if answer.is_ok() and answer.ok.last_insert_id:
            self.caller.last_insert_id = answer.ok.last_insert_id
        return answer

    async def _check_key(self) -> Refusal | None:
        """Check the key at each request, not only at the handshake.

        Otherwise a withdrawn key would stay valid on open connections
        until they are closed.
        """
        refusal = self._termination or self._components.keys.check(
            self.caller.organisation,
            self.caller.key_hash,
            self._components.clock.now(),
        )
        if refusal is not None:
            await self._abandon_transaction()
        return refusal

    async def _refuse_if_stopping(self, request: Request) -> Refusal | None:
        """Refuse what would still run when a stop closes connections."""
        is_rollback = request.statement_class is StatementKind.ROLLBACK
        if is_rollback or self._components.takes(request.deadline_at):
            return None
        if not self.in_transaction:
            return Refusal(Code.DRAINING)
        await self._abandon_transaction()
        return Refusal(Code.TRANSACTION_ROLLED_BACK, "this VM is stopping")

    async def _refuse_if_late(self, request: Request) -> Refusal | None:
        """Refuse what has lain on its way here until its time ended."""
        is_rollback = request.statement_class is StatementKind.ROLLBACK
        is_late = self._components.clock.now() >= request.deadline_at
        if is_rollback or not is_late:
            return None
        if not self.in_transaction:
            return Refusal(Code.DEADLINE_PASSED)
        await self._abandon_transaction()
        return Refusal(Code.TRANSACTION_ROLLED_BACK, "its time had ended")

    def _answer_locally(self, marked: MarkedStatement) -> Answer | None:
        # Without a mark, a query about the session, mainly for its token,
        # means the session of the last statement.
        if marked.marks.session:
            self.caller.current_session = marked.marks.session
        return answer_select(marked.sql, self)

    def _apply_token(self, marked: MarkedStatement) -> Refusal | None:
        if not marked.marks.token:
            return None
        read = self._components.tokens.read(
            marked.marks.token, self.caller.organisation
        )
        if read.is_error():
            return read.error
        token = read.ok
        if marked.marks.session and token.session != marked.marks.session:
            return Refusal(Code.TOKEN_INVALID, "of another session")
        self.caller.current_session = token.session
        state = self.caller.state(token.session)
        state.positions.merge(token.positions_by_group, token.whole)
        return None

    def _check_group(self, request: Request) -> Refusal | None:
        configuration = self._components.directory.configuration
        if not request.group:
            return Refusal(Code.UNKNOWN_GROUP, "no database selected")
        if request.group not in configuration.groups_by_name:
            return Refusal(Code.UNKNOWN_GROUP, f"no group {request.group!r}")
        organisation = configuration.organisations_by_name[
            request.organisation
        ]
        if request.group not in organisation.groups:
            return Refusal(Code.GROUP_NOT_ALLOWED)
        return None

    def _make_request(
        self,
        marked: MarkedStatement,
        statement_class: StatementKind,
        arrived_at: float,
    ) -> Request:
        marks = marked.marks
        limit_s = marks.deadline_ms / 1000 or DEFAULT_DEADLINE_S
        kind = self._components.directory.configuration.kind(marks.kind)
        return Request(
            request=next(_request_numbers),
            organisation=self.caller.organisation,
            group=self.caller.group,
            session=self.caller.current_session,
            statement_class=statement_class,
            marks=marks,
            arrived_at=arrived_at,
            deadline_at=arrived_at + limit_s,
            after=self._required_position(marked),
            cost=kind.cost,
            in_transaction=self.in_transaction,
            key_hash=self.caller.key_hash,
        )

    def _required_position(self, marked: MarkedStatement) -> Any:
        # A named session may write through other proxies at any time.
        # Without its token this proxy has no position that covers them.
        if marked.marks.session and not marked.marks.token:
            return None
        state = self.caller.state(self.caller.current_session)
        self._advance_past_reads(state)
        return state.positions.after(self.caller.group)

    async def _dispatch(self, request: Request, sql: str) -> Answer:
        handlers = {
            StatementKind.BEGIN: self._begin,
            StatementKind.COMMIT: self._commit,
            StatementKind.ROLLBACK: self._rollback,
        }
        if request.statement_class in handlers:
            return await handlers[request.statement_class](request, sql)
        entered = await self._components.gate.enter(request)
        if entered.is_error():
            return entered
        try:
            return await self._run(request, sql)
        finally:
            self._components.gate.leave(entered.ok)

    async def _run(self, request: Request, sql: str) -> Answer:
        if self._transaction is not None:
            return await self._run_in_transaction(request, sql)
        if request.statement_class is StatementKind.READ:
            return await self._read(request, sql)
        if not self.caller.autocommit:
            begun = await self._begin(request, "BEGIN")
            if begun.is_error():
                return begun
            return await self._run_in_transaction(request, sql)
        return await self._write(request, sql)

    async def _read(self, request: Request, sql: str) -> Answer:
        last_read = self._state(request).last_read_by_group.get(request.group)
        sticky_member = last_read.member if last_read else ""
        answer = await self._components.reader.read(
            request, sql, sticky_member
        )
        if answer.is_error():
            self._skip_lost_position(request, answer.error)
            return answer
        read = answer.ok
        state = self._state(request)
        state.advance(request.group, read.follows)
        state.last_read_by_group[request.group] = LastRead(
            read.member, read.until
        )
        return Ok(read.result)

    def _skip_lost_position(
        self, request: Request, error: Refusal | MemberError
    ) -> None:
        """Let a session continue after its position was dropped.

        A promotion dropped the position, and the caller has got the error.
        The session continues at the first position of the term that
        replaced it.
        """
        lost = isinstance(error, Refusal) and error.code is Code.POSITION_LOST
        view = self._components.directory.view(request.group)
        if lost and view is not None:
            onward = continue_from(request.after, view.history)
            self._state(request).advance(request.group, onward.position)

    async def _write(self, request: Request, sql: str) -> Answer:
        answer = await self._components.writer.write(request, sql)
        if answer.is_error():
            return answer
        self._record_write(request, answer.ok.result, answer.ok.position)
        return Ok(answer.ok.result)

    def _record_write(
        self, request: Request, result: StatementResult, position: Any
    ) -> None:
        self._state(request).advance(request.group, position)
        if result.last_insert_id:
            self.caller.last_insert_id = result.last_insert_id

    def _state(self, request: Request) -> CallerSessionState:
        return self.caller.state(request.session)

    async def _begin(self, request: Request, sql: str) -> Answer:
        if self._transaction is not None:
            # In MySQL a second BEGIN commits the open transaction.
            committed = await self._commit(request, "COMMIT")
            if committed.is_error():
                return committed
        begun = await self._components.transactions.begin(request, sql)
        if begun.is_error():
            return begun
        self._transaction = begun.ok
        return Ok(EMPTY_RESULT)

    async def _run_in_transaction(self, request: Request, sql: str) -> Answer:
        answer = await self._components.transactions.execute(
            self._transaction, request, sql
        )
        if answer.is_error() and ends_transaction(answer.error):
            self._transaction = None
        elif answer.is_ok() and answer.ok.last_insert_id:
            self.caller.last_insert_id = answer.ok.last_insert_id
        return answer

    async def _commit(self, request: Request, _sql: str) -> Answer:
        if self._transaction is None:
            return Ok(EMPTY_RESULT)
        transaction, self._transaction = self._transaction, None
        answer = await self._components.transactions.commit(
            transaction, request
        )
        if answer.is_error():
            return answer
        self._record_write(request, answer.ok.result, answer.ok.position)
        return Ok(answer.ok.result)

    async def _rollback(self, _request: Request, sql: str) -> Answer:
        if " TO " in sql.upper() and self._transaction is not None:
            return await self._run_in_transaction(_request, sql)
        await self._abandon_transaction()
        return Ok(EMPTY_RESULT)

    async def _abandon_transaction(self) -> None:
        if self._transaction is not None:
            transaction, self._transaction = self._transaction, None
            await self._components.transactions.rollback(transaction)
        if self._forwarder.in_transaction:
            await self._forwarder.close()

    async def _run_session(self, sql: str) -> Answer:
        group = parse_use(sql)
        if group is not None:
            used = await self.use(group)
            return used if used.is_error() else Ok(EMPTY_RESULT)
        was_autocommit = self.caller.autocommit
        answer = apply_set(sql, self)
        turned_on = self.caller.autocommit and not was_autocommit
        if turned_on and self.in_transaction:
            # In MySQL turning on autocommit commits the open transaction.
            return await self._commit_open()
        return answer

    async def _commit_open(self) -> Answer:
        marked = MarkedStatement("COMMIT", NO_MARKS)
        request = self._make_request(
            marked, StatementKind.COMMIT, self._components.clock.now()
        )
        if self._must_forward(request, is_long=False):
            return await self._forward(marked, request, is_long=False)
        return await self._commit(request, "COMMIT")

    async def use(self, group: str) -> Result[None, Refusal]:
        """Change the connection's database group."""
        if self.in_transaction:
            detail = "USE inside a transaction is not carried"
            return Error(Refusal(Code.UNSUPPORTED, detail))
        self.caller.group = group
        return Ok(None)

    def make_token(self) -> str:
        """Return the current session's token."""
        state = self.caller.state(self.caller.current_session)
        self._advance_past_reads(state)
        return self._components.tokens.mint(
            self.caller.organisation,
            self.caller.current_session,
            state.positions.by_group,
            state.positions.whole,
        )

    def _advance_past_reads(self, state: CallerSessionState) -> None:
        """Advance the positions over what the session's last reads saw."""
        for group, last_read in tuple(state.last_read_by_group.items()):
            status_poller = self._components.status_poller
            position = status_poller.applied_since(
                last_read.member, last_read.until
            )
            if position is not None:
                state.advance(group, position)
                del state.last_read_by_group[group]

    async def terminate(self, refusal: Refusal) -> None:
        """Refuse all further statements; roll back an open transaction."""
        self._termination = refusal
        if self._request is None:
            await self._abandon_transaction()

    async def reset(self) -> None:
        """Roll back an open transaction and reset the connection's state."""
        await self._abandon_transaction()
        self.caller.clear_state()

    async def close(self) -> None:
        """Roll back an open transaction: the client has disconnected."""
        await self._abandon_transaction()
        await self._forwarder.close()
        self._components.sessions.discard(self)

    def _record_metrics(
        self,
        statement_class: StatementKind,
        answer: Answer,
        arrived_at: float,
    ) -> None:
        name = statement_class.value
        metrics = self._components.metrics
        code = "0"
        if answer.is_error():
            code = _code_label(answer.error)
            logger.bind(
                organisation=self.caller.organisation,
                connection=self.caller.connection_id,
                session=self.caller.current_session,
            ).debug("statement failed with code {}", code)
        metrics.requests.labels(name, code).inc()
        elapsed = self._components.clock.now() - arrived_at
        metrics.duration.labels(name).observe(elapsed)


def _code_label(error: Refusal | MemberError) -> str:
    if isinstance(error, Refusal):
        return str(error.code.number)
    # Members have many error numbers; one label keeps the set bounded.
    return "member"
