"""Acceptance of a new version: one conditional write, exactly once.

Answers two operators who submit at once, and a store that takes a change
and loses the answer. The write is conditional on the head that the
change was based on, so that one of two wins and the other learns which
version to rebase on. It carries a submission id: the same submission
sent again meets its own version and is told so, never accepted twice.
Version, head and audit record stand in the same transaction; without
that an outage between two writes would leave a change nobody can trace.

A lost answer is resolved by sending the same transaction again: either
it commits now, or its condition fails for good, and then the version's
row says whose submission stands there. Merely reading would not do, as
a request that hangs in the network can still take effect afterwards.
"""

from json import loads
from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.configuration.diff import canonical, describe_changes
from redwingpost.configuration.model import (
    NO_CONFIGURATION,
    Versioned,
    hash_body,
)
from redwingpost.configuration.parse import parse_configuration
from redwingpost.core import Code, Refusal
from redwingpost.ports import Condition, Row, Write

TABLE = "configuration"
AUDIT_TABLE = "audit"
HEAD = "head"


class Change(NamedTuple):
    """What an operator submits.

    ``base`` is the version it was written against; ``when`` is ISO 8601,
    for people: nothing is decided by it.
    """

    body: bytes
    base: int
    who: str
    when: str
    submission: str


class Plan(NamedTuple):
    """The transaction that accepts a change."""

    version: Versioned
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    changes: tuple[str, ...]


class Accepted(NamedTuple):
    """An accepted change and what it changed.

    ``again`` is True where an earlier copy of the submission had been
    accepted already.
    """

    version: int
    body_hash: str
    changes: tuple[str, ...]
    again: bool


def version_key(version: int) -> str:
    """Return a version's row key.

    Examples
    --------
    >>> version_key(7)
    'v/000000000007'
    """
    return f"v/{version:012d}"


def object_key(body_hash: str) -> str:
    """Return the object that holds a body; equal bodies share it.

    Examples
    --------
    >>> object_key("e3b0")
    'configuration/e3b0'
    """
    return f"configuration/{body_hash}"


def head_version(head: Row | None) -> int:
    """Return the version that the head's row names; 0 without one."""
    return int(head.value["version"]) if head else 0


def plan(
    change: Change, head: Row | None, parent: Versioned = NO_CONFIGURATION
) -> Result[Plan, Refusal]:
    """Check a change whole and return the transaction that accepts it.

    Parameters
    ----------
    change : Change
        The operator's change.
    head : Row or None
        The head as read; None before the first version.
    parent : Versioned
        The version that the head names, with its body.

    Returns
    -------
    Result
        The plan, or ``Code.CONFIG_CONFLICT`` naming the version to
        rebase on, or ``Code.CONFIG_INVALID``.
    """
    if change.base != head_version(head):
        return Error(conflict(change.base, head_version(head)))
    checked = parse_configuration(change.body)
    if checked.is_error():
        return checked
    body = _keep_withdrawals(change.body, parent.body)
    version = Versioned(change.base + 1, hash_body(body), body)
    changes = describe_changes(parent.body, body)
    conditions = (
        Condition(TABLE, HEAD, head.version if head else 0),
        Condition(TABLE, version_key(version.version), 0),
    )
    writes = _writes(change, version, changes)
    return Ok(Plan(version, conditions, writes, changes))


def conflict(base: int, head: int) -> Refusal:
    """Return the refusal of a change that was written against ``base``.

    Examples
    --------
    >>> conflict(3, 5).detail
    'written against version 3; rebase on version 5'
    """
    detail = f"written against version {base}; rebase on version {head}"
    return Refusal(Code.CONFIG_CONFLICT, detail)


def resolve(
    change: Change, standing: Row | None, head: Row | None
) -> Result[Accepted, Refusal] | None:
    """Say what became of a submission, by the row it would have written.

    Parameters
    ----------
    change : Change
        The operator's change.
    standing : Row or None
        The row of version ``change.base + 1``.
    head : Row or None
        The head, to name the version to rebase on.

    Returns
    -------
    Result or None
        None where the version doesn't stand yet.
    """
    if standing is None:
        return None
    if standing.value.get("submission") != change.submission:
        return Error(conflict(change.base, head_version(head)))
    accepted = Accepted(
        version=int(standing.value["version"]),
        body_hash=str(standing.value["hash"]),
        changes=(),
        again=True,
    )
    return Ok(accepted)


def _keep_withdrawals(body: bytes, parent: bytes) -> bytes:
    """Return the body with its parent's withdrawals kept.

    An operator's file may be older than a withdrawal; dropping it would
    bring a withdrawn key back.
    """
    new = loads(body)
    before = loads(parent).get("withdrawn", []) if parent else []
    kept = {canonical(item): item for item in before}
    kept.update((canonical(i), i) for i in new.get("withdrawn", []))
    if kept:
        new["withdrawn"] = [kept[key] for key in sorted(kept)]
    return canonical(new)


def _writes(
    change: Change, version: Versioned, changes: tuple[str, ...]
) -> tuple[Write, ...]:
    head = {
        "version": version.version,
        "hash": version.body_hash,
        "submission": change.submission,
    }
    row = {
        **head,
        "object": object_key(version.body_hash),
        "parent": change.base,
    }
    audit = {
        "who": change.who,
        "when": change.when,
        "what": list(changes),
        "from_version": change.base,
        "submission": change.submission,
    }
    return (
        Write(TABLE, HEAD, head),
        Write(TABLE, version_key(version.version), row),
        Write(AUDIT_TABLE, f"{version.version:012d}", audit),
    )
