"""Retry rules as a table of request class and failure.

Load pattern: the loss of a primary makes all statements in flight fail
at once, in different ways. A write that ran and is sent again is a
duplicate order. A write that ran and is answered "not run" is repeated
by the caller, with the same result. Each pair of request class and
failure therefore has one row here, and nothing else decides about
retries except two conditions:

- ``earlier_may_have_run``: the answer of an earlier attempt was lost, so
  "not run" is no longer a correct answer, however the last one failed.
- ``can_retry``: there is time left before the deadline and the retry
  budget allows another attempt.
"""

from enum import Enum
from typing import NamedTuple

from redwingpost.core import Code, ResultCode


class RequestClass(Enum):
    """Class of a request, by how it may be repeated and answered."""

    READ = "read"
    KEYED_WRITE = "keyed write"
    UNKEYED_WRITE = "unkeyed write"
    IN_TRANSACTION = "statement in a transaction"
    COMMIT = "commit"


class Failure(Enum):
    """How an attempt failed, as far as the proxy can determine."""

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
    """Next action of the proxy."""

    RETRY = "send it again, to a member that is now suitable"
    RETRY_WITH_KEY = "send it again with its key; the record answers"
    ANSWER = "answer with the rule's code"
    PASS_ERROR = "pass the target's error on"


class Rule(NamedTuple):
    """One row of the table.

    ``action`` is taken if possible; otherwise ``code`` is the answer.
    None means the target's own error.
    """

    action: Action
    code: ResultCode | None


class NextStep(NamedTuple):
    """Action after a failed attempt, with the code of an answer."""

    action: Action
    code: ResultCode | None


_RETRY = Action.RETRY
_RETRY_WITH_KEY = Action.RETRY_WITH_KEY
_ANSWER = Action.ANSWER
_PASS = Rule(Action.PASS_ERROR, None)
_UNKNOWN = Code.OUTCOME_UNKNOWN
_ROLLED_BACK = Rule(_ANSWER, Code.TRANSACTION_ROLLED_BACK)
_COMMIT_UNKNOWN = Rule(_ANSWER, Code.COMMIT_UNKNOWN)

_READ = {
    # A read changes nothing, so it may be repeated any number of times.
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
    # The record in the target makes a repetition safe. The write runs in a
    # transaction: if COMMIT wasn't sent, a lost answer changed nothing.
    Failure.NOT_SENT: Rule(_RETRY, Code.TARGET_LOST),
    Failure.COMMIT_NOT_SENT: Rule(_RETRY, Code.TARGET_LOST),
    Failure.NO_ANSWER: Rule(_RETRY_WITH_KEY, _UNKNOWN),
    Failure.READ_ONLY: Rule(_RETRY, Code.NO_PRIMARY),
    Failure.LOCK_WAIT: Rule(_RETRY, None),
    Failure.DEADLOCK: Rule(_RETRY, None),
    Failure.SHUTTING_DOWN: Rule(_RETRY, Code.TARGET_LOST),
    Failure.TOO_MANY_CONNECTIONS: Rule(_RETRY, Code.TARGET_LOST),
    Failure.OTHER_ERROR: _PASS,
    # The record at the next primary shows whether the write was kept.
    Failure.NOT_CONFIRMED: Rule(_RETRY_WITH_KEY, Code.NOT_CONFIRMED),
    Failure.DROPPED: Rule(_RETRY, Code.TRANSACTION_ROLLED_BACK),
    Failure.DEADLINE: Rule(_ANSWER, _UNKNOWN),
}

_UNKEYED_WRITE = {
    # Sent again only if the target can't have run it.
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
    # Without its COMMIT the transaction can't be committed: a lost
    # connection rolls it back, and its earlier reads can't be repeated.
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

#: Failures after which the target's log may contain the statement.
_MAY_HAVE_RUN = {
    Failure.NO_ANSWER,
    Failure.NOT_CONFIRMED,
    Failure.DEADLINE,
}


def failure_of_error(number: int) -> Failure:
    """Return the failure of a MySQL error number.

    Examples
    --------
    >>> failure_of_error(1290).name, failure_of_error(1064).name
    ('READ_ONLY', 'OTHER_ERROR')
    """
    return _FAILURES_BY_NUMBER.get(number, Failure.OTHER_ERROR)


def may_have_run(failure: Failure) -> bool:
    """Return whether the statement may have taken effect nevertheless."""
    return failure in _MAY_HAVE_RUN


def next_step(
    request_class: RequestClass,
    failure: Failure,
    can_retry: bool,
    earlier_may_have_run: bool = False,
) -> NextStep:
    """Return the next step after a failed attempt.

    Parameters
    ----------
    request_class : RequestClass
        Class of the failed request.
    failure : Failure
        How its last attempt failed.
    can_retry : bool
        Whether the deadline and the budget allow another attempt.
    earlier_may_have_run : bool, optional
        Whether an earlier attempt of this request may have taken
        effect. The final answer is then never "not run".

    Returns
    -------
    NextStep
        ``code`` is set for ``Action.ANSWER`` only.

    Examples
    --------
    >>> next_step(RequestClass.KEYED_WRITE, Failure.NO_ANSWER, True)
    NextStep(action=<Action.RETRY_WITH_KEY: 'send it again with its key; \
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
