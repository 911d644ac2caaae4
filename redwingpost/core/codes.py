"""Numbered result codes, one for each kind of refusal and error.

Codes are sent as MySQL error numbers. MySQL's own numbers end below
10,000 and MariaDB's below 5,000, so numbers from 20,000 can't be confused
with a target's own errors. ``docs/RESULT-CODES.md`` is generated from
this module.
"""

from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """Outcome of a statement, as far as the proxy can prove it."""

    NOT_RUN = "not run"
    ROLLED_BACK = "rolled back"
    UNKNOWN = "unknown"
    NOT_APPLICABLE = "not applicable"


class ResultCode(NamedTuple):
    """A numbered result code with its meaning for the caller."""

    number: int
    name: str
    outcome: Outcome
    meaning: str


_NOT_RUN = Outcome.NOT_RUN


class Code:
    """The registered codes by name."""

    WRONG_KEY = ResultCode(
        20101, "wrong-key", _NOT_RUN, "the key is not one we granted"
    )
    KEY_WITHDRAWN = ResultCode(
        20102, "key-withdrawn", _NOT_RUN, "the key was withdrawn"
    )
    UNKNOWN_GROUP = ResultCode(
        20103, "unknown-group", _NOT_RUN, "no such database group"
    )
    GROUP_NOT_ALLOWED = ResultCode(
        20104,
        "group-not-allowed",
        _NOT_RUN,
        "the organisation may not reach this database group",
    )
    TOKEN_INVALID = ResultCode(
        20105, "token-invalid", _NOT_RUN, "the session token is not ours"
    )
    TOKEN_FOREIGN = ResultCode(
        20106,
        "token-foreign",
        _NOT_RUN,
        "the session token belongs to another organisation",
    )
    KEY_UNCONFIRMED = ResultCode(
        20107,
        "key-unconfirmed",
        _NOT_RUN,
        "cut off for longer than keys may go unconfirmed",
    )
    OVER_RATE = ResultCode(
        20201, "over-rate", _NOT_RUN, "the organisation's rate is used up"
    )
    OVER_CAPACITY = ResultCode(
        20202, "over-capacity", _NOT_RUN, "the targets are full"
    )
    DEADLINE_TOO_SHORT = ResultCode(
        20203,
        "deadline-too-short",
        _NOT_RUN,
        "the queue is longer than the deadline",
    )
    DEADLINE_PASSED = ResultCode(
        20204, "deadline-passed", _NOT_RUN, "the deadline passed in the queue"
    )
    SHARE_LAPSED = ResultCode(
        20205,
        "share-lapsed",
        _NOT_RUN,
        "this VM holds no valid share of the rate",
    )
    TARGET_LOST = ResultCode(
        20301, "target-lost", _NOT_RUN, "no member could take the statement"
    )
    NO_PRIMARY = ResultCode(
        20302, "no-primary", _NOT_RUN, "the group has no primary just now"
    )
    OUTCOME_UNKNOWN = ResultCode(
        20303,
        "outcome-unknown",
        Outcome.UNKNOWN,
        "the answer was lost; the statement may have run",
    )
    NOT_CONFIRMED = ResultCode(
        20304,
        "not-confirmed",
        Outcome.UNKNOWN,
        "written, but no second member confirmed it in time",
    )
    TRANSACTION_ROLLED_BACK = ResultCode(
        20305,
        "transaction-rolled-back",
        Outcome.ROLLED_BACK,
        "the transaction was rolled back",
    )
    COMMIT_UNKNOWN = ResultCode(
        20306,
        "commit-unknown",
        Outcome.UNKNOWN,
        "the answer to the commit was lost",
    )
    KEY_REUSED = ResultCode(
        20307,
        "idempotency-key-reused",
        _NOT_RUN,
        "the idempotency key stands for another statement",
    )
    STILL_RUNNING = ResultCode(
        20308,
        "still-running",
        Outcome.UNKNOWN,
        "another copy of this request is running",
    )
    POSITION_LOST = ResultCode(
        20309,
        "position-lost",
        _NOT_RUN,
        "a promotion dropped a write that this session had seen",
    )
    NOT_FRESH = ResultCode(
        20310,
        "not-fresh",
        _NOT_RUN,
        "no member is proven to hold what the read needs",
    )
    TIMED_OUT = ResultCode(
        20311,
        "timed-out",
        Outcome.UNKNOWN,
        "no member answered the read in time",
    )
    EVACUATED = ResultCode(
        20312,
        "evacuated",
        _NOT_RUN,
        "the only member that can run it is in an evacuated data centre",
    )
    NO_MEMBER_IN_REGION = ResultCode(
        20313,
        "no-member-in-region",
        _NOT_RUN,
        "no member in the regions allowed to the caller can run it",
    )
    BAD_MARK = ResultCode(
        20401, "bad-mark", _NOT_RUN, "a request mark can't be read"
    )
    MULTI_STATEMENT = ResultCode(
        20402, "multi-statement", _NOT_RUN, "one statement at a time"
    )
    LOAD_DATA = ResultCode(
        20403, "load-data", _NOT_RUN, "LOAD DATA is not carried"
    )
    UNSUPPORTED = ResultCode(
        20404, "unsupported", _NOT_RUN, "this statement is not carried"
    )
    CONTROL_STATEMENT = ResultCode(
        20405,
        "control-statement",
        _NOT_RUN,
        "control statements are not for callers",
    )
    TOO_LARGE = ResultCode(
        20406, "too-large", _NOT_RUN, "the statement is too large"
    )
    DRAINING = ResultCode(
        20501, "draining", _NOT_RUN, "this VM is stopping; connect again"
    )
    STARTING = ResultCode(
        20502, "starting", _NOT_RUN, "no configuration has arrived yet"
    )
    CONFIG_INVALID = ResultCode(
        20601,
        "config-invalid",
        Outcome.NOT_APPLICABLE,
        "the configuration breaks a rule",
    )
    CONFIG_CONFLICT = ResultCode(
        20602,
        "config-conflict",
        Outcome.NOT_APPLICABLE,
        "another version was accepted first",
    )
    STORE_UNAVAILABLE = ResultCode(
        20603,
        "store-unavailable",
        Outcome.NOT_APPLICABLE,
        "the table service did not take the change",
    )
    STORE_OUTCOME_UNKNOWN = ResultCode(
        20604,
        "store-outcome-unknown",
        Outcome.UNKNOWN,
        "the table service's answer was lost",
    )
    SETTINGS_INVALID = ResultCode(
        20605,
        "settings-invalid",
        Outcome.NOT_APPLICABLE,
        "the settings file breaks a rule",
    )
    PEER_REFUSED = ResultCode(
        20606,
        "peer-refused",
        Outcome.NOT_APPLICABLE,
        "the peer did not answer or is not ours",
    )
    NOT_FOUND = ResultCode(
        20607, "not-found", Outcome.NOT_APPLICABLE, "there is no such entry"
    )


CODES_BY_NAME: dict[str, ResultCode] = {
    code.name: code
    for code in vars(Code).values()
    if isinstance(code, ResultCode)
}
CODES_BY_NUMBER: dict[int, ResultCode] = {
    code.number: code for code in CODES_BY_NAME.values()
}


def render_code_table() -> str:
    """Return the table of ``docs/RESULT-CODES.md`` in Markdown.

    Examples
    --------
    >>> render_code_table().splitlines()[0]
    '| number | name | outcome | meaning |'
    """
    rows = [
        "| number | name | outcome | meaning |",
        "| --- | --- | --- | --- |",
    ]
    rows.extend(
        f"| {code.number} | {code.name} | {code.outcome.value} "
        f"| {code.meaning} |"
        for _, code in sorted(CODES_BY_NUMBER.items())
    )
    return "\n".join(rows) + "\n"
