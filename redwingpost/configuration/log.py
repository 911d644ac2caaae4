"""The log of versions in the platform's store: read, submit, withdraw.

This module makes the calls to the store;
``redwingpost.configuration.acceptance`` interprets the answers.
"""

from collections.abc import Iterable
from json import loads
from typing import NamedTuple

from expression import Error, Ok, Result

from redwingpost.configuration.acceptance import (
    AUDIT_TABLE,
    HEAD,
    TABLE,
    Accepted,
    Change,
    Plan,
    head_version,
    object_key,
    plan,
    resolve,
    version_key,
)
from redwingpost.configuration.diff import canonical
from redwingpost.configuration.model import (
    NO_CONFIGURATION,
    Versioned,
    Withdrawal,
)
from redwingpost.core import Code, Refusal
from redwingpost.ports import ObjectStore, Row, TableService

#: How often a transaction is sent before its outcome is reported as
#: unknown. Sending the same transaction again is safe whether or not the
#: first one was committed.
MAX_ATTEMPTS = 4

#: How often a withdrawal is rebased when another version is accepted
#: first.
MAX_REBASES = 8


class Head(NamedTuple):
    """The head's row and the version that it names."""

    row: Row | None
    version: Versioned


class ConfigurationLog:
    """Versions in the table service, bodies in the object store.

    Parameters
    ----------
    tables : TableService
        The table service.
    objects : ObjectStore
        The object store.
    """

    def __init__(self, tables: TableService, objects: ObjectStore) -> None:
        self._tables = tables
        self._objects = objects

    async def head_row(self) -> Result[Row | None, Refusal]:
        """Return the head's row; None before the first version."""
        return await self._tables.read(TABLE, HEAD)

    async def head(self) -> Result[Head, Refusal]:
        """Return the head with its body."""
        row = await self.head_row()
        if row.is_error():
            return row
        if row.ok is None:
            return Ok(Head(None, NO_CONFIGURATION))
        version = await self.fetch(row.ok)
        if version.is_error():
            return version
        return Ok(Head(row.ok, version.ok))

    async def version(self, number: int) -> Result[Versioned, Refusal]:
        """Return one version with its body."""
        row = await self._tables.read(TABLE, version_key(number))
        if row.is_error():
            return row
        if row.ok is None:
            detail = f"there is no version {number}"
            return Error(Refusal(Code.NOT_FOUND, detail))
        return await self.fetch(row.ok)

    async def fetch(self, row: Row) -> Result[Versioned, Refusal]:
        """Return the body that a head's or version's row names."""
        body_hash = str(row.value["hash"])
        body = await self._objects.get(object_key(body_hash))
        if body.is_error():
            return body
        version = Versioned(head_version(row), body_hash, body.ok or b"")
        if not version.is_intact():
            detail = f"the body of version {version.version} is missing"
            return Error(Refusal(Code.STORE_UNAVAILABLE, detail))
        return Ok(version)

    async def audit(self, after: int = 0) -> Result[tuple[Row, ...], Refusal]:
        """Return the audit records of the versions above ``after``."""
        return await self._tables.scan(AUDIT_TABLE, after=f"{after:012d}")

    async def submit(self, change: Change) -> Result[Accepted, Refusal]:
        """Submit a change for acceptance.

        Returns
        -------
        Result
            The accepted change, or ``Code.CONFIG_CONFLICT``,
            ``Code.CONFIG_INVALID``, ``Code.STORE_UNAVAILABLE`` (nothing
            was accepted), or ``Code.STORE_OUTCOME_UNKNOWN``: submit
            again with the same submission id to learn the outcome.
        """
        earlier = await self._find_outcome(change)
        if earlier is not None:
            return earlier
        head = await self.head()
        if head.is_error():
            return head
        planned = plan(change, head.ok.row, head.ok.version)
        if planned.is_error():
            return planned
        stored = await self._store_body(planned.ok)
        if stored.is_error():
            return stored
        return await self._commit(change, planned.ok)

    async def withdraw(
        self, withdrawals: Iterable[Withdrawal], change: Change
    ) -> Result[Accepted, Refusal]:
        """Record withdrawals in a new version based on the newest one.

        Parameters
        ----------
        withdrawals : iterable of Withdrawal
            The withdrawals to record.
        change : Change
            Who and when; its body and base are filled in here.
        """
        wanted = frozenset(withdrawals)
        for attempt in range(MAX_REBASES):
            head = await self.head()
            if head.is_error():
                return head
            if head.ok.row is None:
                return Error(Refusal(Code.NOT_FOUND, "no version stands"))
            version = head.ok.version
            body = _with_withdrawals(version.body, wanted)
            if body is None:
                return Ok(
                    Accepted(version.version, version.body_hash, (), True)
                )
            based = change._replace(
                body=body,
                base=version.version,
                submission=f"{change.submission}-{attempt}",
            )
            result = await self.submit(based)
            if result.is_ok() or result.error.code != Code.CONFIG_CONFLICT:
                return result
        return result

    async def _find_outcome(
        self, change: Change
    ) -> Result[Accepted, Refusal] | None:
        """Return the submission's outcome; None if not yet decided."""
        key = version_key(change.base + 1)
        version_row = await self._tables.read(TABLE, key)
        if version_row.is_error():
            return version_row
        if version_row.ok is None:
            return None
        head = await self.head_row()
        if head.is_error():
            return head
        return resolve(change, version_row.ok, head.ok)

    async def _store_body(self, planned: Plan) -> Result[None, Refusal]:
        """Store the body before the version that refers to it."""
        key = object_key(planned.version.body_hash)
        for _ in range(MAX_ATTEMPTS):
            stored = await self._objects.put(key, planned.version.body)
            if stored.is_ok():
                return stored
            # Without a retry, one lost answer would fail the submission
            # although the store is available. Storing the same body
            # again is safe.
            if stored.error.code != Code.STORE_OUTCOME_UNKNOWN:
                break
        # Bodies are named by their hash, so a stored body that no
        # version refers to has no effect.
        detail = f"the body was not stored: {stored.error.detail}"
        return Error(Refusal(Code.STORE_UNAVAILABLE, detail))

    async def _commit(
        self, change: Change, planned: Plan
    ) -> Result[Accepted, Refusal]:
        may_be_committed = False
        refusal = Refusal(Code.STORE_UNAVAILABLE)
        for _ in range(MAX_ATTEMPTS):
            sent = await self._tables.transact(
                planned.conditions, planned.writes
            )
            if sent.is_error():
                refusal = sent.error
                lost = refusal.code == Code.STORE_OUTCOME_UNKNOWN
                may_be_committed = may_be_committed or lost
                if not may_be_committed:
                    return sent
                continue
            if sent.ok.committed:
                version = planned.version
                return Ok(
                    Accepted(
                        version.version,
                        version.body_hash,
                        planned.changes,
                        False,
                    )
                )
            outcome = await self._find_outcome(change)
            if outcome is not None and outcome.is_ok():
                return outcome
            if outcome is not None:
                refusal = outcome.error
                if refusal.code == Code.CONFIG_CONFLICT:
                    return outcome
        return Error(_unresolved(change, refusal, may_be_committed))


def _unresolved(
    change: Change, refusal: Refusal, may_be_committed: bool
) -> Refusal:
    if not may_be_committed:
        return refusal
    detail = (
        f"submit again with --submission {change.submission} "
        f"to learn the outcome ({refusal.detail})"
    )
    return Refusal(Code.STORE_OUTCOME_UNKNOWN, detail)


def _with_withdrawals(
    body: bytes, withdrawals: frozenset[Withdrawal]
) -> bytes | None:
    """Return the body with withdrawals added; None if it has them all."""
    new = loads(body)
    recorded = {
        Withdrawal(item["organisation"], item["hash"])
        for item in new.get("withdrawn", [])
    }
    missing = withdrawals - recorded
    if not missing:
        return None
    new["withdrawn"] = [
        {"organisation": item.organisation, "hash": item.key_hash}
        for item in sorted(recorded | missing)
    ]
    return canonical(new)
