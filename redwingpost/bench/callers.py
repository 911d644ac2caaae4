"""Caller sessions: connections to proxies, session tokens, moves.

A session represents one user. It sends one request at a time,
keeps connections to the proxies that it used last, and passes its
session token on when it moves to another proxy.
"""

from asyncio import sleep, timeout
from typing import Any, NamedTuple

from asyncmy import connect
from asyncmy.errors import Error as MySQLError

from redwingpost.bench.history import AttemptResult, Operation
from redwingpost.bench.statements import (
    DEADLINE_MS,
    JOB_DEADLINE_MS,
    Answer,
    StatementValues,
    parse_answer,
    render,
    render_marks,
)
from redwingpost.core import Code

#: Timeout of one attempt, in seconds: twice the deadline that the
#: request carries, so that it expires only if the proxy does not answer.
ATTEMPT_TIMEOUT_S = 2.0 * DEADLINE_MS / 1000.0

#: Timeout of one attempt of a long job, in seconds.
JOB_ATTEMPT_TIMEOUT_S = 2.0 * JOB_DEADLINE_MS / 1000.0

#: Timeout for opening a connection to a proxy, in seconds.
CONNECT_TIMEOUT_S = 3.0

#: Connections that a session keeps open to proxies. The driver allocates
#: a quarter of a megabyte for each, and when a system stalls the open
#: loop creates thousands of sessions.
MAX_CONNECTIONS_PER_SESSION = 2

#: Client-side error numbers of MySQL drivers: connection refused, and
#: the range of all client-side errors.
CONNECT_FAILED = 2003
CLIENT_ERRORS = range(2000, 3000)

#: Refusals after which the caller reconnects through another proxy.
RECONNECT_CODES = frozenset({Code.DRAINING.number, Code.STARTING.number})


class ProxyEndpoint(NamedTuple):
    """The address and ports of a VM's proxy."""

    vm: str
    ip: str
    caller_port: int
    http_port: int


class Credential(NamedTuple):
    """An organisation's key and the key's name in the history."""

    organisation: str
    name: str
    key: str


class Outcome(NamedTuple):
    """How one attempt ended."""

    verdict: AttemptResult
    code: int = 0
    answer: Answer | None = None
    detail: str = ""


class Request(NamedTuple):
    """An operation, its statements' values and its marks."""

    operation: Operation
    kind: str
    values: StatementValues
    max_staleness_ms: int = 0


class CallerSession:
    """One caller with its connections and its session token.

    Parameters
    ----------
    name : str
        The session's name in the history.
    credential : Credential
        The key that it authenticates with.
    group : str
        The database group that it uses.
    client_delay_s : float
        One-way network delay to every proxy, in seconds.
    """

    def __init__(
        self,
        name: str,
        credential: Credential,
        group: str,
        client_delay_s: float,
    ) -> None:
        self.name = name
        self.credential = credential
        self.group = group
        self.revision = 0
        self.vm = ""
        self._delay_s = client_delay_s
        self._token = ""
        self._connections_by_vm: dict[str, Any] = {}

    async def send(self, proxy: ProxyEndpoint, request: Request) -> Outcome:
        """Send one request through a proxy and return its outcome."""
        is_job = request.operation is Operation.JOB
        try:
            async with timeout(
                JOB_ATTEMPT_TIMEOUT_S if is_job else ATTEMPT_TIMEOUT_S
            ):
                return await self._send(proxy, request)
        except TimeoutError:
            self._close_connection(proxy.vm)
            return Outcome(AttemptResult.LOST, detail="no answer in time")

    async def _send(self, proxy: ProxyEndpoint, request: Request) -> Outcome:
        if self.vm and self.vm != proxy.vm:
            await self._fetch_token()
        self.vm = proxy.vm
        try:
            connection = await self._get_connection(proxy)
        except MySQLError as error:
            return _connect_failure(error)
        except (OSError, EOFError, TimeoutError) as error:
            return Outcome(
                AttemptResult.REFUSED, CONNECT_FAILED, None, repr(error)
            )
        await sleep(self._delay_s)
        try:
            answer = await self._execute(connection, request)
            outcome = Outcome(AttemptResult.ANSWERED, answer=answer)
        except MySQLError as error:
            outcome = _request_failure(error)
        except (OSError, EOFError) as error:
            outcome = Outcome(AttemptResult.LOST, detail=repr(error))
        await sleep(self._delay_s)
        if outcome.verdict is not AttemptResult.ANSWERED:
            await self._clean_up(proxy.vm, connection, request, outcome)
        return outcome

    async def _execute(
        self, connection: Any, request: Request
    ) -> Answer | None:
        marks = render_marks(
            request.kind,
            request.operation,
            request.values.request,
            request.max_staleness_ms,
            self._token,
        )
        cursor = connection.cursor()
        for statement in render(request.operation, request.values):
            await cursor.execute(marks + statement)
        if not cursor.description:
            return None
        rows = await cursor.fetchall()
        return parse_answer(rows[0])

    async def _get_connection(self, proxy: ProxyEndpoint) -> Any:
        connection = self._connections_by_vm.get(proxy.vm)
        if connection is not None and connection.connected:
            return connection
        async with timeout(CONNECT_TIMEOUT_S):
            connection = await connect(
                host=proxy.ip,
                port=proxy.caller_port,
                user=self.credential.organisation,
                password=self.credential.key,
                db=self.group,
                autocommit=None,
            )
        while len(self._connections_by_vm) >= MAX_CONNECTIONS_PER_SESSION:
            self._close_connection(next(iter(self._connections_by_vm)))
        self._connections_by_vm[proxy.vm] = connection
        return connection

    async def _fetch_token(self) -> None:
        """Fetch the session token from the proxy that the session leaves.

        If that proxy is unreachable, the session moves without a token;
        the next proxy then looks up the group's newest position before
        it answers.
        """
        connection = self._connections_by_vm.get(self.vm)
        self._token = ""
        if connection is None or not connection.connected:
            return
        try:
            cursor = connection.cursor()
            await cursor.execute("SELECT @@redwing_token")
            rows = await cursor.fetchall()
            self._token = rows[0][0] if rows else ""
        except (MySQLError, OSError, EOFError):
            self._close_connection(self.vm)

    async def _clean_up(
        self, vm: str, connection: Any, request: Request, outcome: Outcome
    ) -> None:
        """Reset the connection or session after a failed attempt.

        No transaction may stay open after a failure inside it.
        """
        if outcome.code == Code.POSITION_LOST.number:
            self._discard_session_state()
        elif outcome.verdict is AttemptResult.LOST:
            self._close_connection(vm)
        elif request.operation is Operation.PAIR:
            try:
                await connection.cursor().execute("ROLLBACK")
            except (MySQLError, OSError, EOFError):
                self._close_connection(vm)

    def _discard_session_state(self) -> None:
        """Drop the token and all connections after a lost position."""
        self._token = ""
        for vm in list(self._connections_by_vm):
            self._close_connection(vm)

    def _close_connection(self, vm: str) -> None:
        connection = self._connections_by_vm.pop(vm, None)
        if connection is not None:
            connection.close()

    async def close(self) -> None:
        """Close every connection."""
        for connection in self._connections_by_vm.values():
            connection.close()
        self._connections_by_vm.clear()


def _error_number(error: MySQLError) -> int:
    number = error.args[0] if error.args else 0
    return number if isinstance(number, int) else 0


def _connect_failure(error: MySQLError) -> Outcome:
    number = _error_number(error)
    if number in CLIENT_ERRORS:
        number = CONNECT_FAILED
    return Outcome(AttemptResult.REFUSED, number, None, str(error))


def _request_failure(error: MySQLError) -> Outcome:
    number = _error_number(error)
    if number == 0 or number in CLIENT_ERRORS:
        return Outcome(AttemptResult.LOST, detail=str(error))
    return Outcome(AttemptResult.REFUSED, number, None, str(error))
