"""The load generator: sends a schedule and records the history."""

from asyncio import Task, create_task, gather, sleep
from collections import defaultdict
from random import Random
from time import monotonic
from typing import NamedTuple

from redwingpost.bench.balancer import Balancer
from redwingpost.bench.callers import (
    CONNECT_FAILED,
    RECONNECT_CODES,
    CallerSession,
    Credential,
    Outcome,
    ProxyEndpoint,
    Request,
)
from redwingpost.bench.history import Attempt, AttemptResult, Operation
from redwingpost.bench.schedule import Arrival
from redwingpost.bench.statements import SHARED_DOCUMENTS, StatementValues

#: Probability that a session moves to another proxy before a request.
SWITCH_PROBABILITY = 0.15

#: Maximum attempts of a request with an idempotency key and an unknown
#: outcome.
MAX_KEYED_ATTEMPTS = 3

#: Maximum attempts of a request that was not run and may use another
#: proxy.
MAX_RECONNECT_ATTEMPTS = 4

#: Seconds a caller waits before it retries after an unknown outcome.
RETRY_DELAY_S = 0.3

#: Error numbers of refusals whose outcome is unknown.
_UNKNOWN_OUTCOME_CODES = frozenset({20303, 20304, 20306, 20308})


class ServedAnswer(NamedTuple):
    """The member that answered a read or a long job, and when."""

    group: str
    member: str
    operation: Operation
    received_at: float


class LoadGenerator:
    """Sends requests at their due times through reused sessions.

    Parameters
    ----------
    balancer : Balancer
        Chooses the proxy of each request.
    credentials_by_name : dict of (str, str) to Credential
        Keys by organisation and name.
    client_delay_s : float
        One-way delay between callers and proxies, in seconds.
    seed : int
        Seed of the sessions' random choices.
    """

    def __init__(
        self,
        balancer: Balancer,
        credentials_by_name: dict[tuple[str, str], Credential],
        client_delay_s: float,
        seed: int,
    ) -> None:
        self.attempts: list[Attempt] = []
        self.served: list[ServedAnswer] = []
        self.max_late_s = 0.0
        self.started_at = 0.0
        self._balancer = balancer
        self._credentials_by_name = credentials_by_name
        self._delay_s = client_delay_s
        self._random = Random(seed)
        self._idle_sessions_by_pool: dict[tuple, list[CallerSession]] = (
            defaultdict(list)
        )
        self._sessions: list[CallerSession] = []
        self._revisions_by_shared_document: dict[tuple[str, str, str], int] = (
            defaultdict(int)
        )
        self._running: set[Task] = set()

    async def run(self, arrivals: list[Arrival]) -> None:
        """Send every request when it is due, then wait for all answers."""
        self.started_at = monotonic()
        for arrival in arrivals:
            wait_s = self.started_at + arrival.due_s - monotonic()
            if wait_s > 0.0:
                await sleep(wait_s)
            else:
                self.max_late_s = max(self.max_late_s, -wait_s)
            task = create_task(self._handle_arrival(arrival))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        await gather(*self._running)

    async def close(self) -> None:
        """Close every session's connections."""
        await gather(*(session.close() for session in self._sessions))

    async def _handle_arrival(self, arrival: Arrival) -> None:
        session = self._take_session(arrival)
        request = self._make_request(session, arrival)
        number = 0
        while True:
            number += 1
            proxy = self._balancer.choose(
                self._random, arrival.vms, session.vm, SWITCH_PROBABILITY
            )
            outcome = await self._send_attempt(
                session, proxy, request, arrival, number
            )
            if not _should_retry(request.operation, outcome, number):
                break
            if outcome.code not in RECONNECT_CODES:
                await sleep(RETRY_DELAY_S)
        self._idle_sessions_by_pool[_session_pool_key(arrival)].append(session)

    def _take_session(self, arrival: Arrival) -> CallerSession:
        idle = self._idle_sessions_by_pool[_session_pool_key(arrival)]
        if idle:
            return idle.pop(self._random.randrange(len(idle)))
        session = CallerSession(
            name=f"s{len(self._sessions)}",
            credential=self._credentials_by_name[
                (arrival.organisation, arrival.credential)
            ],
            group=arrival.group,
            client_delay_s=self._delay_s,
        )
        self._sessions.append(session)
        return session

    def _make_request(
        self, session: CallerSession, arrival: Arrival
    ) -> Request:
        operation = arrival.entry.operation
        document, revision = "", 0
        if operation in (Operation.READ_OWN, Operation.EDIT):
            document = f"plan-{session.name}"
        elif operation.reads or operation is Operation.EDIT_SHARED:
            document = f"notice-{self._random.randrange(SHARED_DOCUMENTS)}"
        if operation is Operation.EDIT:
            session.revision += 1
            revision = session.revision
        elif operation is Operation.EDIT_SHARED:
            shared = (arrival.organisation, arrival.group, document)
            self._revisions_by_shared_document[shared] += 1
            revision = self._revisions_by_shared_document[shared]
        values = StatementValues(
            arrival.request, arrival.organisation, document, revision
        )
        return Request(
            operation,
            arrival.entry.kind,
            values,
            arrival.entry.max_staleness_ms,
        )

    async def _send_attempt(
        self,
        session: CallerSession,
        proxy: ProxyEndpoint,
        request: Request,
        arrival: Arrival,
        number: int,
    ) -> Outcome:
        sent_at = monotonic()
        outcome = await session.send(proxy, request)
        received_at = monotonic()
        answer = outcome.answer
        self.attempts.append(
            Attempt(
                request=arrival.request,
                number=number,
                organisation=arrival.organisation,
                credential=session.credential.name,
                session=session.name,
                group=session.group,
                proxy=proxy.vm,
                operation=request.operation,
                kind=request.kind,
                document=request.values.document,
                revision=request.values.revision,
                max_staleness_ms=request.max_staleness_ms,
                due_at=self.started_at + arrival.due_s,
                sent_at=sent_at,
                received_at=received_at,
                verdict=outcome.verdict,
                code=outcome.code,
                seen=answer.seen if answer else None,
                detail=outcome.detail,
            )
        )
        if answer is not None:
            self.served.append(
                ServedAnswer(
                    session.group,
                    answer.member,
                    request.operation,
                    received_at,
                )
            )
        return outcome


def _session_pool_key(arrival: Arrival) -> tuple[str, str, str]:
    return (arrival.organisation, arrival.credential, arrival.group)


def _should_retry(operation: Operation, outcome: Outcome, number: int) -> bool:
    """Return whether a caller retries its request.

    A proxy that refuses connections, or refuses with a code of
    ``RECONNECT_CODES``, has not run the request, so any request may go
    to another proxy. After
    an unknown outcome only a request with an idempotency key is retried.
    """
    if outcome.verdict is AttemptResult.ANSWERED:
        return False
    if outcome.code in RECONNECT_CODES or outcome.code == CONNECT_FAILED:
        return number < MAX_RECONNECT_ATTEMPTS
    unknown = (
        outcome.verdict is AttemptResult.LOST
        or outcome.code in _UNKNOWN_OUTCOME_CODES
    )
    return (
        unknown
        and operation is Operation.KEYED_ORDER
        and number < MAX_KEYED_ATTEMPTS
    )
