"""Sessions of callers: connections to proxies, tokens, roaming.

A session is one catechist's or secretary's stay. It sends one request
at a time, keeps a connection to every proxy it has used, and carries
its token along when it moves to another proxy.
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

#: Seconds after which a caller gives an attempt up; twice the deadline
#: mark, so that it only strikes where a proxy says nothing.
GIVE_UP_S = 2.0 * DEADLINE_MS / 1000.0

#: The same for a long job.
JOB_GIVE_UP_S = 2.0 * JOB_DEADLINE_MS / 1000.0

#: Seconds for opening a connection to a proxy.
CONNECT_LIMIT_S = 3.0

#: Connections that a session keeps to proxies it has left. The driver
#: holds a quarter of a megabyte for each, and when a system stalls the
#: open loop makes thousands of sessions.
KEPT_CONNECTIONS = 2

#: Client-side numbers of MySQL drivers: connection refused, gone, lost.
CONNECT_FAILED = 2003
CLIENT_ERRORS = range(2000, 3000)

#: Refusals that ask the caller to connect again, elsewhere.
GO_ELSEWHERE = frozenset({Code.DRAINING.number, Code.STARTING.number})


class ProxyEndpoint(NamedTuple):
    """Where a VM's proxy serves callers and health checks."""

    vm: str
    ip: str
    caller_port: int
    http_port: int


class Credential(NamedTuple):
    """An organisation's key and the name it has in the history."""

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
    """What a session is to send."""

    operation: Operation
    kind: str
    target: StatementValues
    max_staleness_ms: int = 0


class CallerSession:
    """One caller, its connections and its token.

    Parameters
    ----------
    name : str
        Its name in the history.
    credential : Credential
        The key it presents.
    group : str
        The database group it works on.
    client_delay_s : float
        One way, in seconds, to every proxy.
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
        """Send one request through a proxy and wait for its end."""
        job = request.operation is Operation.JOB
        try:
            async with timeout(JOB_GIVE_UP_S if job else GIVE_UP_S):
                return await self._send(proxy, request)
        except TimeoutError:
            self._drop(proxy.vm)
            return Outcome(AttemptResult.LOST, detail="no answer in time")

    async def _send(self, proxy: ProxyEndpoint, request: Request) -> Outcome:
        if self.vm and self.vm != proxy.vm:
            await self._take_token()
        self.vm = proxy.vm
        try:
            connection = await self._connection(proxy)
        except MySQLError as error:
            return _not_connected(error)
        except (OSError, EOFError, TimeoutError) as error:
            return Outcome(
                AttemptResult.REFUSED, CONNECT_FAILED, None, repr(error)
            )
        await sleep(self._delay_s)
        try:
            answer = await self._run(connection, request)
            outcome = Outcome(AttemptResult.ANSWERED, answer=answer)
        except MySQLError as error:
            outcome = _failed(error)
        except (OSError, EOFError) as error:
            outcome = Outcome(AttemptResult.LOST, detail=repr(error))
        await sleep(self._delay_s)
        if outcome.verdict is not AttemptResult.ANSWERED:
            await self._clean_up(proxy.vm, connection, request, outcome)
        return outcome

    async def _run(self, connection: Any, request: Request) -> Answer | None:
        marks = render_marks(
            request.kind,
            request.operation,
            request.target.request,
            request.max_staleness_ms,
            self._token,
        )
        cursor = connection.cursor()
        for statement in render(request.operation, request.target):
            await cursor.execute(marks + statement)
        if not cursor.description:
            return None
        rows = await cursor.fetchall()
        return parse_answer(rows[0])

    async def _connection(self, proxy: ProxyEndpoint) -> Any:
        connection = self._connections_by_vm.get(proxy.vm)
        if connection is not None and connection.connected:
            return connection
        async with timeout(CONNECT_LIMIT_S):
            connection = await connect(
                host=proxy.ip,
                port=proxy.caller_port,
                user=self.credential.organisation,
                password=self.credential.key,
                db=self.group,
                autocommit=None,
            )
        while len(self._connections_by_vm) >= KEPT_CONNECTIONS:
            self._drop(next(iter(self._connections_by_vm)))
        self._connections_by_vm[proxy.vm] = connection
        return connection

    async def _take_token(self) -> None:
        """Ask the proxy that the session leaves for its token.

        A session whose proxy is gone moves without one: the next proxy
        then learns the group's head before it answers.
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
            self._drop(self.vm)

    async def _clean_up(
        self, vm: str, connection: Any, request: Request, outcome: Outcome
    ) -> None:
        """Leave no transaction open after a failure inside one."""
        if outcome.code == Code.POSITION_LOST.number:
            self._start_afresh()
        elif outcome.verdict is AttemptResult.LOST:
            self._drop(vm)
        elif request.operation is Operation.PAIR:
            try:
                await connection.cursor().execute("ROLLBACK")
            except (MySQLError, OSError, EOFError):
                self._drop(vm)

    def _start_afresh(self) -> None:
        """Give up what the session had seen, as it was told to."""
        self._token = ""
        for vm in list(self._connections_by_vm):
            self._drop(vm)

    def _drop(self, vm: str) -> None:
        connection = self._connections_by_vm.pop(vm, None)
        if connection is not None:
            connection.close()

    async def close(self) -> None:
        """Close every connection."""
        for connection in self._connections_by_vm.values():
            connection.close()
        self._connections_by_vm.clear()


def _number(error: MySQLError) -> int:
    number = error.args[0] if error.args else 0
    return number if isinstance(number, int) else 0


def _not_connected(error: MySQLError) -> Outcome:
    number = _number(error)
    if number in CLIENT_ERRORS:
        number = CONNECT_FAILED
    return Outcome(AttemptResult.REFUSED, number, None, str(error))


def _failed(error: MySQLError) -> Outcome:
    number = _number(error)
    if number == 0 or number in CLIENT_ERRORS:
        return Outcome(AttemptResult.LOST, detail=str(error))
    return Outcome(AttemptResult.REFUSED, number, None, str(error))
