"""The retry rule as a table: request class by how it failed.

Load pattern: a lost primary makes every statement in flight fail at
once, each in its own way. A write that is sent again although it ran is
a doubled order; a write answered "not run" although it ran is ordered
again by the caller, which is the same. So each pair of request class and
failure has one row here, and nothing else decides about retries.

Two facts besides the row matter. ``may_have_run``: an earlier attempt's
answer was lost, so "not run" can't be said any more whatever the last
attempt met. ``can_retry``: time is left before the deadline and the
retry budget allows it.
"""

from enum import Enum
from typing import NamedTuple

from redwingpost.core import Code, ResultCode


class RequestClass(Enum):
    """What a failed request may be told and how it may be repeated."""

    READ = "read"
    KEYED_WRITE = "keyed write"
    UNKEYED_WRITE = "unkeyed write"
    IN_TRANSACTION = "statement in a transaction"
    COMMIT = "commit"


class Failure(Enum):
    """How an attempt failed, as far as the proxy can tell."""

    NOT_SENT = "nothing was sent"
    COMMIT_NOT_SENT = "no answer, but its commit was not sent yet"
    NO_ANSWER = "sent, no answer"
    READ_ONLY = "error 1290: not the primary"
    LOCK_WAIT = "error 1205: lock wait timeout"
    DEADLOCK = "error 1213: deadlock, rolled back"
    SHUTTING_DOWN = "error 1053: shutting down"
    TOO_MANY_CONNECTIONS = "error 1040: no connection to be had"
    OTHER_ERROR = "another error of the target"
    NOT_CONFIRMED = "committed, not confirmed"
    DROPPED = "committed, then dropped by a promotion for certain"
    DEADLINE = "deadline passed after sending"


class Action(Enum):
    """What the proxy does next."""

    RETRY = "send it again, to whoever is right now"
    ASK_RECORD = "send it again with its key; the record answers"
    ANSWER = "answer with the rule's code"
    PASS_ERROR = "pass the target's error on"


class Rule(NamedTuple):
    """One row: what to do while retrying is possible, and else.

    ``code`` answers where ``action`` can't be taken. None stands for the
    target's own error.
    """

    action: Action
    code: ResultCode | None


class NextStep(NamedTuple):
    """What to do about a failed attempt."""

    action: Action
    code: ResultCode | None


_RETRY = Action.RETRY
_ASK = Action.ASK_RECORD
_ANSWER = Action.ANSWER
_PASS = Rule(Action.PASS_ERROR, None)
_UNKNOWN = Code.OUTCOME_UNKNOWN
_ROLLED_BACK = Rule(_ANSWER, Code.TRANSACTION_ROLLED_BACK)
_COMMIT_UNKNOWN = Rule(_ANSWER, Code.COMMIT_UNKNOWN)

_READ = {
    # A read changes nothing, so it may run as often as it takes.
    Failure.NOT_SENT: Rule(_RETRY, Code.TARGET_LOST),
    Failure.COMMIT_NOT_SENT: Rule(_RETRY, Code.TARGET_LOST),
    Failure.NO_ANSWER: Rule(_RETRY, _UNKNOWN),
    Failure.READ_ONLY: Rule(_RETRY, Code.TARGET_LOST),
    Failure.LOCK_WAIT: Rule(_RETRY, None),
    Failure.DEADLOCK: Rule(_RETRY, None),
    Failure.SHUTTING_DOWN: Rule(_RETRY, Code.TARGET_LOST),
    Failure.TOO_MANY_CONNECTIONS: Rule(_RETRY, Code.TARGET_LOST),
    Failure.OTHER_ERROR: _PASS,
    Failure.NOT_CONFIRMED: Rule(_RETRY, Code.NOT_FRESH),
    Failure.DROPPED: Rule(_RETRY, Code.TARGET_LOST),
    Failure.DEADLINE: Rule(_ANSWER, _UNKNOWN),
}

_KEYED_WRITE = {
    # The record in the target makes a second sending harmless. It runs
    # as a transaction: without COMMIT, a lost answer changed nothing.
    Failure.NOT_SENT: Rule(_RETRY, Code.TARGET_LOST),
    Failure.COMMIT_NOT_SENT: Rule(_RETRY, Code.TARGET_LOST),
    Failure.NO_ANSWER: Rule(_ASK, _UNKNOWN),
    Failure.READ_ONLY: Rule(_RETRY, Code.NO_PRIMARY),
    Failure.LOCK_WAIT: Rule(_RETRY, None),
    Failure.DEADLOCK: Rule(_RETRY, None),
    Failure.SHUTTING_DOWN: Rule(_RETRY, Code.TARGET_LOST),
    Failure.TOO_MANY_CONNECTIONS: Rule(_RETRY, Code.TARGET_LOST),
    Failure.OTHER_ERROR: _PASS,
    # The record tells at the next primary whether the write survived.
    Failure.NOT_CONFIRMED: Rule(_ASK, Code.NOT_CONFIRMED),
    Failure.DROPPED: Rule(_RETRY, Code.TRANSACTION_ROLLED_BACK),
    Failure.DEADLINE: Rule(_ANSWER, _UNKNOWN),
}

_UNKEYED_WRITE = {
    # Sent once; again only where the target can't have run it.
    Failure.NOT_SENT: Rule(_RETRY, Code.TARGET_LOST),
    Failure.COMMIT_NOT_SENT: Rule(_RETRY, Code.TARGET_LOST),
    Failure.NO_ANSWER: Rule(_ANSWER, _UNKNOWN),
    Failure.READ_ONLY: Rule(_RETRY, Code.NO_PRIMARY),
    Failure.LOCK_WAIT: _PASS,
    Failure.DEADLOCK: _PASS,
    Failure.SHUTTING_DOWN: Rule(_RETRY, Code.TARGET_LOST),
    Failure.TOO_MANY_CONNECTIONS: Rule(_RETRY, Code.TARGET_LOST),
    Failure.OTHER_ERROR: _PASS,
    Failure.NOT_CONFIRMED: Rule(_ANSWER, Code.NOT_CONFIRMED),
    Failure.DROPPED: Rule(_RETRY, Code.TRANSACTION_ROLLED_BACK),
    Failure.DEADLINE: Rule(_ANSWER, _UNKNOWN),
}

_IN_TRANSACTION = {
    # Without its COMMIT nobody can commit it: losing the connection
    # rolls it back, and what it read before can't be read again.
    Failure.NOT_SENT: _ROLLED_BACK,
    Failure.COMMIT_NOT_SENT: _ROLLED_BACK,
    Failure.NO_ANSWER: _ROLLED_BACK,
    Failure.READ_ONLY: _ROLLED_BACK,
    Failure.LOCK_WAIT: _PASS,
    Failure.DEADLOCK: _PASS,
    Failure.SHUTTING_DOWN: _ROLLED_BACK,
    Failure.TOO_MANY_CONNECTIONS: _ROLLED_BACK,
    Failure.OTHER_ERROR: _PASS,
    Failure.NOT_CONFIRMED: _ROLLED_BACK,
    Failure.DROPPED: _ROLLED_BACK,
    Failure.DEADLINE: _ROLLED_BACK,
}

_COMMIT = {
    Failure.NOT_SENT: _ROLLED_BACK,
    Failure.COMMIT_NOT_SENT: _ROLLED_BACK,
    Failure.NO_ANSWER: _COMMIT_UNKNOWN,
    Failure.READ_ONLY: _ROLLED_BACK,
    Failure.LOCK_WAIT: _ROLLED_BACK,
    Failure.DEADLOCK: _PASS,
    Failure.SHUTTING_DOWN: _ROLLED_BACK,
    Failure.TOO_MANY_CONNECTIONS: _ROLLED_BACK,
    Failure.OTHER_ERROR: _PASS,
    Failure.NOT_CONFIRMED: Rule(_ANSWER, Code.NOT_CONFIRMED),
    Failure.DROPPED: _ROLLED_BACK,
    Failure.DEADLINE: _COMMIT_UNKNOWN,
}

RULES_BY_CLASS: dict[RequestClass, dict[Failure, Rule]] = {
    RequestClass.READ: _READ,
    RequestClass.KEYED_WRITE: _KEYED_WRITE,
    RequestClass.UNKEYED_WRITE: _UNKEYED_WRITE,
    RequestClass.IN_TRANSACTION: _IN_TRANSACTION,
    RequestClass.COMMIT: _COMMIT,
}

_FAILURES_BY_NUMBER = {
    1040: Failure.TOO_MANY_CONNECTIONS,
    1053: Failure.SHUTTING_DOWN,
    1205: Failure.LOCK_WAIT,
    1213: Failure.DEADLOCK,
    1290: Failure.READ_ONLY,
}

#: Failures after which the statement may stand in the target's log.
_MAY_HAVE_RUN = {
    Failure.NO_ANSWER,
    Failure.NOT_CONFIRMED,
    Failure.DEADLINE,
}


def failure_of_error(number: int) -> Failure:
    """Return the failure that a MySQL error number stands for.

    Examples
    --------
    >>> failure_of_error(1290).name, failure_of_error(1064).name
    ('READ_ONLY', 'OTHER_ERROR')
    """
    return _FAILURES_BY_NUMBER.get(number, Failure.OTHER_ERROR)


def may_have_run(failure: Failure) -> bool:
    """Say whether the statement may have taken effect nevertheless."""
    return failure in _MAY_HAVE_RUN


def next_step(
    request_class: RequestClass,
    failure: Failure,
    can_retry: bool,
    earlier_may_have_run: bool = False,
) -> NextStep:
    """Look the failure up and return what to do about it.

    Parameters
    ----------
    request_class : RequestClass
        What kind of request failed.
    failure : Failure
        How its last attempt failed.
    can_retry : bool
        Whether deadline and budget leave room for another attempt.
    earlier_may_have_run : bool, optional
        Whether an earlier attempt of this request may have taken
        effect. Its final answer is then never "not run".

    Returns
    -------
    NextStep
        ``code`` is set for ``Action.ANSWER`` only.

    Examples
    --------
    >>> next_step(RequestClass.KEYED_WRITE, Failure.NO_ANSWER, True)
    NextStep(action=<Action.ASK_RECORD: 'send it again with its key; \
the record answers'>, code=None)
    >>> step = next_step(
    ...     RequestClass.KEYED_WRITE, Failure.NOT_SENT, False, True
    ... )
    >>> step.code.name
    'outcome-unknown'
    """
    rule = RULES_BY_CLASS[request_class][failure]
    if rule.action is Action.PASS_ERROR:
        return NextStep(Action.PASS_ERROR, None)
    if rule.action is not Action.ANSWER and can_retry:
        return NextStep(rule.action, None)
    if earlier_may_have_run:
        return NextStep(Action.ANSWER, Code.OUTCOME_UNKNOWN)
    if rule.code is None:
        return NextStep(Action.PASS_ERROR, None)
    return NextStep(Action.ANSWER, rule.code)
