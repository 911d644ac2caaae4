"""The fleet's store: rows that last, and a feed of their changes.

Rows and conditions are those of ``redwingpost.ports.platform``. Values
that can't be read are given as None: what another writer left must not
end the reader.
"""

from typing import NamedTuple, Protocol

from expression import Result

from redwingpost.core.requests import Refusal
from redwingpost.ports.platform import (
    Condition,
    Row,
    TransactResult,
    Write,
)


class Snapshot(NamedTuple):
    """A table at one moment.

    ``now_ms`` is the store's steady clock (milliseconds).
    """

    rows: tuple[Row, ...]
    version: int
    now_ms: int


class RowChange(NamedTuple):
    """A row that was put, or removed."""

    row: Row
    is_removed: bool


class Changes(NamedTuple):
    """What changed since a version, oldest first.

    The order matters: a member that was removed and came back is there.
    ``history_lost``: the store no longer knows; read the whole table.
    """

    changes: tuple[RowChange, ...]
    version: int
    history_lost: bool = False


class FleetStore(Protocol):
    """A store with conditional writes and a feed.

    Errors are ``Code.STORE_UNAVAILABLE`` where nothing took effect, and
    ``Code.STORE_OUTCOME_UNKNOWN`` where an answer was lost.
    """

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return all rows of a table."""

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[Changes, Refusal]:
        """Wait for changes after a version."""

    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Result[TransactResult, Refusal]:
        """Apply all writes if all conditions hold, else none."""
