"""The log of versions in the platform's store: read, submit, withdraw.

The steps over the ports; what each answer means is decided in
``redwingpost.configuration.acceptance``.
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

#: Times that a transaction is sent before its outcome is left open. The
#: same transaction again is harmless, whatever became of the first.
ATTEMPTS = 4

#: Times that a withdrawal is rebased on a version that came first.
REBASES = 8


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
        """Have a change accepted.

        Returns
        -------
        Result
            What was accepted, or ``Code.CONFIG_CONFLICT``,
            ``Code.CONFIG_INVALID``, ``Code.STORE_UNAVAILABLE`` (nothing
            was taken), or ``Code.STORE_OUTCOME_UNKNOWN``: submit again
            with the same submission id to learn the outcome.
        """
        earlier = await self._standing(change)
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
        """Record withdrawals on top of whatever version stands.

        Parameters
        ----------
        withdrawals : iterable of Withdrawal
            What to record.
        change : Change
            Who and when; its body and base are filled in here.
        """
        wanted = frozenset(withdrawals)
        for attempt in range(REBASES):
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

    async def _standing(
        self, change: Change
    ) -> Result[Accepted, Refusal] | None:
        """Return what became of the submission, if its version stands."""
        key = version_key(change.base + 1)
        standing = await self._tables.read(TABLE, key)
        if standing.is_error():
            return standing
        if standing.ok is None:
            return None
        head = await self.head_row()
        if head.is_error():
            return head
        return resolve(change, standing.ok, head.ok)

    async def _store_body(self, planned: Plan) -> Result[None, Refusal]:
        """Store the body first: a version never names a missing body."""
        key = object_key(planned.version.body_hash)
        for _ in range(ATTEMPTS):
            stored = await self._objects.put(key, planned.version.body)
            if stored.is_ok():
                return stored
            # A lost answer alone would end the submission although the
            # store is well; storing the same body again does no harm.
            if stored.error.code != Code.STORE_OUTCOME_UNKNOWN:
                break
        # Bodies are named by their hash, so that a stored body without
        # a version is as if nothing had happened.
        detail = f"the body was not stored: {stored.error.detail}"
        return Error(Refusal(Code.STORE_UNAVAILABLE, detail))

    async def _commit(
        self, change: Change, planned: Plan
    ) -> Result[Accepted, Refusal]:
        may_stand = False
        refusal = Refusal(Code.STORE_UNAVAILABLE)
        for _ in range(ATTEMPTS):
            sent = await self._tables.transact(
                planned.conditions, planned.writes
            )
            if sent.is_error():
                refusal = sent.error
                lost = refusal.code == Code.STORE_OUTCOME_UNKNOWN
                may_stand = may_stand or lost
                if not may_stand:
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
            standing = await self._standing(change)
            if standing is not None and standing.is_ok():
                return standing
            if standing is not None:
                refusal = standing.error
                if refusal.code == Code.CONFIG_CONFLICT:
                    return standing
        return Error(_unresolved(change, refusal, may_stand))


def _unresolved(change: Change, refusal: Refusal, may_stand: bool) -> Refusal:
    if not may_stand:
        return refusal
    detail = (
        f"submit again with --submission {change.submission} "
        f"to learn the outcome ({refusal.detail})"
    )
    return Refusal(Code.STORE_OUTCOME_UNKNOWN, detail)


def _with_withdrawals(
    body: bytes, withdrawals: frozenset[Withdrawal]
) -> bytes | None:
    """Return the body with withdrawals added; None if it has them."""
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
