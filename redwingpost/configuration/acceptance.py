"""Acceptance of a new version by a conditional write, exactly once.

The write is conditional on the head that the change was based on: if two
operators submit at the same time, one change is accepted and the refusal
of the other names the version to rebase on. Each change carries a
submission id, so that a repeated submission finds its own version and is
never accepted twice. Version, head and audit record are written in one
transaction; with separate writes, an outage between them would leave a
change without an audit record.

If the answer to the write is lost, the same transaction is sent again:
either it commits now, or its condition fails permanently, and then the
version's row names the submission that was accepted. Reading the row is
not enough, as a request that is delayed in the network can still take
effect after the read.
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
    """A change that an operator submits.

    ``base`` is the version that the change was written against.
    ``when`` is ISO 8601 and informational only.
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
    """An accepted change and the differences that it made.

    ``again`` is True if the same submission had been accepted before.
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
    """Return the key of the object that holds a body.

    Equal bodies share one object.

    Examples
    --------
    >>> object_key("e3b0")
    'configuration/e3b0'
    """
    return f"configuration/{body_hash}"


def head_version(head: Row | None) -> int:
    """Return the version that the head's row names; 0 without a row."""
    return int(head.value["version"]) if head else 0


def plan(
    change: Change, head: Row | None, parent: Versioned = NO_CONFIGURATION
) -> Result[Plan, Refusal]:
    """Validate a change and return the transaction that accepts it.

    Parameters
    ----------
    change : Change
        The operator's change.
    head : Row or None
        The head's row; None before the first version.
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
    change: Change, version_row: Row | None, head: Row | None
) -> Result[Accepted, Refusal] | None:
    """Return the outcome of a submission from its version's row.

    Parameters
    ----------
    change : Change
        The operator's change.
    version_row : Row or None
        The row of version ``change.base + 1``.
    head : Row or None
        The head's row, which names the version to rebase on.

    Returns
    -------
    Result or None
        None if version ``change.base + 1`` doesn't exist yet.
    """
    if version_row is None:
        return None
    if version_row.value.get("submission") != change.submission:
        return Error(conflict(change.base, head_version(head)))
    accepted = Accepted(
        version=int(version_row.value["version"]),
        body_hash=str(version_row.value["hash"]),
        changes=(),
        again=True,
    )
    return Ok(accepted)


def _keep_withdrawals(body: bytes, parent: bytes) -> bytes:
    """Return the body with its parent's withdrawals added.

    An operator's file may be older than a withdrawal. Without the
    parent's withdrawals the withdrawn key would be valid again.
    """
    new = loads(body)
    earlier = loads(parent).get("withdrawn", []) if parent else []
    kept = {canonical(item): item for item in earlier}
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
