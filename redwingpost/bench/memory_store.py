"""A table and object store in memory with injectable faults."""

from collections import deque

from expression import Error, Ok, Result

from redwingpost.core import Code, Refusal
from redwingpost.ports import Condition, Row, TransactResult, Write

#: Faults that a transaction can meet.
REFUSE, LOSE_REQUEST, LOSE_ANSWER = "refuse", "lose request", "lose answer"


class MemoryStore:
    """A store with both ports; ``faults`` apply to the next transactions."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.bodies: dict[str, bytes] = {}
        self.faults: deque[str] = deque()
        self.unavailable = False
        self._last_version = 0

    async def read(self, table: str, key: str) -> Result[Row | None, Refusal]:
        """Return one row."""
        if self.unavailable:
            return Error(Refusal(Code.STORE_UNAVAILABLE))
        return Ok(self.rows.get((table, key)))

    async def scan(self, table: str, prefix: str = "", after: str = ""):
        """Return rows whose key has a prefix, in key order."""
        return Ok(
            tuple(
                row
                for (name, key), row in sorted(self.rows.items())
                if name == table and key.startswith(prefix) and key > after
            )
        )

    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Result[TransactResult, Refusal]:
        """Apply the writes, subject to the next queued fault."""
        fault = self.faults.popleft() if self.faults else ""
        if fault == REFUSE or self.unavailable:
            return Error(Refusal(Code.STORE_UNAVAILABLE))
        if fault == LOSE_REQUEST:
            return Error(Refusal(Code.STORE_OUTCOME_UNKNOWN))
        result = self._apply(conditions, writes)
        if fault == LOSE_ANSWER:
            return Error(Refusal(Code.STORE_OUTCOME_UNKNOWN))
        return Ok(result)

    async def put(self, key: str, body: bytes) -> Result[None, Refusal]:
        """Store a body."""
        if self.unavailable:
            return Error(Refusal(Code.STORE_UNAVAILABLE))
        self.bodies[key] = body
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, Refusal]:
        """Return a body."""
        if self.unavailable:
            return Error(Refusal(Code.STORE_UNAVAILABLE))
        return Ok(self.bodies.get(key))

    def _apply(self, conditions, writes) -> TransactResult:
        conflicts = tuple(
            self.rows.get((c.table, c.key), Row(c.table, c.key, 0, {}))
            for c in conditions
            if self._version_of(c) != c.version
        )
        if conflicts:
            return TransactResult(False, (), conflicts)
        versions = []
        for write in writes:
            self._last_version += 1
            row = Row(write.table, write.key, self._last_version, write.value)
            self.rows[write.table, write.key] = row
            versions.append(self._last_version)
        return TransactResult(True, tuple(versions), ())

    def _version_of(self, condition: Condition) -> int:
        row = self.rows.get((condition.table, condition.key))
        return row.version if row else 0
