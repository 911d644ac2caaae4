"""Conversion of forwarded statements and their outcomes to and from bytes."""

from math import inf, isfinite
from typing import Any

from capnp import KjException

from redwingpost.configuration.routes import Consistency, RouteRule
from redwingpost.core.codes import CODES_BY_NUMBER
from redwingpost.core.foreign import UNREADABLE
from redwingpost.core.positions import Position
from redwingpost.core.requests import Refusal
from redwingpost.core.statements import (
    Answer,
    Shape,
    Statement,
    StatementKind,
)
from redwingpost.node.forwarding.messages import (
    Action,
    AskClock,
    Busy,
    Done,
    Load,
    Resume,
    Resumed,
    Work,
)
from redwingpost.observability.trace import RunParts
from redwingpost.ports.database import FailureKind, MemberFailure
from redwingpost.wire.work_schema import SCHEMA

#: Wait (milliseconds) that stands for a home that can't run a statement.
_CANNOT_RUN_MS = 2**32 - 1


class MessageError(Exception):
    """The bytes are no valid message."""


def pack_work(work: Work) -> bytes:
    """Return the bytes of a statement for a home.

    Examples
    --------
    >>> route = RouteRule("d", "g", Consistency.PRIMARY, 1.0, .2, 1, 0.0, True)
    >>> read = Statement("1", StatementKind.EXECUTE, "EXECUTE s a", "s", "a")
    >>> work = Work(
    ...     7, Action.RUN, 2, "o", route, 1, read, Shape(False, "q2"),
    ...     Statement("0", StatementKind.BEGIN, "BEGIN"), {"tone": "b"},
    ...     Position(3, 9), 0.25, withdrawn=6, expires_at=12.5,
    ...     key="k", rules_version=4,
    ... )
    >>> unpack(pack_work(work)) == work
    True
    >>> work = work._replace(route=route._replace(regions=frozenset({"n"})))
    >>> unpack(pack_work(work)).route.regions
    frozenset({'n'})
    """
    message = SCHEMA.Message.new_message()
    body = message.init("work")
    body.number = work.number
    body.action = work.action.value
    body.transaction = work.transaction
    body.organisation = work.organisation
    _fill_route(body.init("route"), work.route)
    body.replicas = work.sync_replicas
    _fill_statement(body.init("statement"), work.statement)
    if work.shape is not None:
        body.statement.hasShape = True
        body.statement.shape = work.shape.text
        body.statement.shapeWrites = work.shape.writes
    if work.begin is not None:
        _fill_statement(body.init("begin"), work.begin)
    body.values = [
        {"name": name, "value": value}
        for name, value in work.values_by_name.items()
    ]
    body.written = work.written._asdict()
    body.waitedMs = int(work.waited_s * 1000)
    body.withdrawn = work.withdrawn
    body.channel = work.channel
    body.expiresAt = work.expires_at
    body.key = work.key
    body.rulesVersion = work.rules_version
    return message.to_bytes()


def pack_done(done: Done) -> bytes:
    """Return the bytes of a statement's outcome.

    Examples
    --------
    >>> parts = RunParts("m1", 1, 0.0, 0.25, True)
    >>> done = Done(7, Answer(("a",), "1.p"), Position(3, 9), False, parts)
    >>> unpack(pack_done(done)) == done
    True
    >>> loaded = done._replace(load=Load("g", 0.25, float("inf")))
    >>> unpack(pack_done(loaded)) == loaded
    True
    """
    message = SCHEMA.Message.new_message()
    body = message.init("done")
    body.number = done.number
    _fill_result(body, done.result)
    body.written = done.written._asdict()
    body.isOver = done.is_over
    parts = done.parts
    body.member = parts.member
    body.tries = parts.tries
    body.waitedS = parts.waited_s
    body.ranS = parts.ran_s
    body.mayHaveRun = parts.may_have_run
    if done.load is not None:
        _fill_load(body.init("load"), done.load)
    body.clockS = done.clock_s
    return message.to_bytes()


def pack_busy(busy: Busy) -> bytes:
    """Return the bytes of the message that a home is still working.

    Examples
    --------
    >>> loads = Load("g", 0.0, 0.125), Load("h", 1.5, float("inf"))
    >>> busy = Busy(2, loads, clock_s=12.5)
    >>> unpack(pack_busy(busy)) == busy
    True
    """
    message = SCHEMA.Message.new_message()
    body = message.init("busy")
    body.statements = busy.statements
    body.clockS = busy.clock_s
    loads = body.init("loads", len(busy.loads))
    for sent, load in zip(loads, busy.loads, strict=True):
        _fill_load(sent, load)
    return message.to_bytes()


def pack_ask_clock() -> bytes:
    """Return the bytes of a request for a reading of the home's clock.

    Examples
    --------
    >>> unpack(pack_ask_clock())
    AskClock()
    """
    message = SCHEMA.Message.new_message()
    message.askClock = None
    return message.to_bytes()


def pack_resume(resume: Resume) -> bytes:
    """Return the bytes of a request to resume a connection.

    Examples
    --------
    >>> resume = Resume(7, (3, 4), confirms=True)
    >>> unpack(pack_resume(resume)) == resume
    True
    """
    message = SCHEMA.Message.new_message()
    body = message.init("resume")
    body.channel = resume.channel
    body.numbers = list(resume.numbers)
    body.confirms = resume.confirms
    return message.to_bytes()


def pack_resumed(resumed: Resumed) -> bytes:
    """Return the bytes of the answer to a request to resume.

    Examples
    --------
    >>> resumed = Resumed(True, 4, (3,))
    >>> unpack(pack_resumed(resumed)) == resumed
    True
    """
    message = SCHEMA.Message.new_message()
    body = message.init("resumed")
    body.isKnown = resumed.is_known
    body.last = resumed.last
    body.numbers = list(resumed.numbers)
    return message.to_bytes()


def unpack(body: bytes) -> Work | Done | Busy | Resume | Resumed | AskClock:
    """Decode a message.

    Raises
    ------
    MessageError
        If the bytes are no valid message.
    """
    try:
        with SCHEMA.Message.from_bytes(body) as message:
            if message.which() == "work":
                return _read_work(message.work)
            if message.which() == "resume":
                body = message.resume
                return Resume(body.channel, tuple(body.numbers), body.confirms)
            if message.which() == "resumed":
                body = message.resumed
                return Resumed(body.isKnown, body.last, tuple(body.numbers))
            if message.which() == "busy":
                body = message.busy
                loads = map(_read_load, body.loads)
                return Busy(body.statements, tuple(loads), body.clockS)
            if message.which() == "askClock":
                return AskClock()
            return _read_done(message.done)
    except (KjException, *UNREADABLE) as error:
        raise MessageError(str(error)) from error


def _fill_route(body: Any, route: RouteRule) -> None:
    body.database = route.database
    body.group = route.group
    body.consistency = route.consistency.value
    body.timeoutS = route.timeout_s
    body.targetLatencyS = route.target_latency_s
    body.priority = route.priority
    body.maxStalenessS = route.max_staleness_s
    body.isPublic = route.is_public
    if route.regions is not None:
        body.isRestricted = True
        body.regions = sorted(route.regions)


def _read_route(body: Any) -> RouteRule:
    return RouteRule(
        body.database,
        body.group,
        Consistency(body.consistency),
        body.timeoutS,
        body.targetLatencyS,
        body.priority,
        body.maxStalenessS,
        body.isPublic,
        frozenset(body.regions) if body.isRestricted else None,
    )


def _fill_statement(body: Any, statement: Statement) -> None:
    body.request = statement.request
    body.kind = statement.kind.value
    body.text = statement.text
    body.name = statement.name
    body.argument = statement.argument


def _read_statement(body: Any) -> Statement:
    return Statement(
        body.request,
        StatementKind(body.kind),
        body.text,
        body.name,
        body.argument,
    )


def _read_work(body: Any) -> Work:
    sent = body.statement
    shape = Shape(sent.shapeWrites, sent.shape) if sent.hasShape else None
    has_begin = bool(body.begin.kind)
    return Work(
        body.number,
        Action(body.action),
        body.transaction,
        body.organisation,
        _read_route(body.route),
        body.replicas,
        _read_statement(sent),
        shape,
        _read_statement(body.begin) if has_begin else None,
        {item.name: item.value for item in body.values},
        Position(body.written.term, body.written.index),
        body.waitedMs / 1000.0,
        body.withdrawn,
        body.channel,
        body.expiresAt,
        body.key,
        body.rulesVersion,
    )


def _fill_load(body: Any, load: Load) -> None:
    body.group = load.group
    body.readWaitMs = _to_wait_ms(load.read_wait_s)
    body.primaryWaitMs = _to_wait_ms(load.primary_wait_s)


def _to_wait_ms(wait_s: float) -> int:
    if not isfinite(wait_s):
        return _CANNOT_RUN_MS
    return min(round(wait_s * 1000), _CANNOT_RUN_MS - 1)


def _to_wait_s(wait_ms: int) -> float:
    return inf if wait_ms == _CANNOT_RUN_MS else wait_ms / 1000.0


def _read_load(body: Any) -> Load:
    return Load(
        body.group,
        _to_wait_s(body.readWaitMs),
        _to_wait_s(body.primaryWaitMs),
    )


def _fill_result(body: Any, result: Answer | MemberFailure | Refusal) -> None:
    if isinstance(result, Answer):
        answer = body.init("answer")
        answer.rows = list(result.rows)
        answer.proof = result.proof
    elif isinstance(result, MemberFailure):
        failure = body.init("failure")
        failure.kind = result.kind.value
        failure.word = result.keyword
        failure.detail = result.detail
    else:
        refusal = body.init("refusal")
        refusal.code = result.code.number
        refusal.detail = result.detail
        refusal.retryAfterMs = result.retry_after_ms


def _read_result(body: Any) -> Answer | MemberFailure | Refusal:
    which = body.which()
    if which == "answer":
        return Answer(tuple(body.answer.rows), body.answer.proof)
    if which == "failure":
        sent = body.failure
        return MemberFailure(FailureKind(sent.kind), sent.word, sent.detail)
    sent = body.refusal
    code = CODES_BY_NUMBER[sent.code]
    return Refusal(code, sent.detail, sent.retryAfterMs)


def _read_done(body: Any) -> Done:
    return Done(
        body.number,
        _read_result(body),
        Position(body.written.term, body.written.index),
        body.isOver,
        RunParts(
            body.member,
            body.tries,
            body.waitedS,
            body.ranS,
            body.mayHaveRun,
        ),
        _read_load(body.load) if body.load.group else None,
        body.clockS,
    )
