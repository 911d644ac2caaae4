"""The fleet store port: durable rows and a feed of their changes.

Rows and conditions are those of ``redwingpost.ports.platform``. A value
that can't be decoded is returned as None, so that a row of another writer
doesn't stop the reader.
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
    """The rows of a table at one version.

    ``now_ms`` is the store's monotonic clock (milliseconds).
    """

    rows: tuple[Row, ...]
    version: int
    now_ms: int


class RowChange(NamedTuple):
    """A row that was written or removed."""

    row: Row
    is_removed: bool


class Changes(NamedTuple):
    """The changes since a version, oldest first.

    The order matters: a member that was removed and then written again
    exists. ``history_lost``: the store no longer has all changes since
    that version, and the whole table must be read again. ``age_s`` is the
    time (seconds) since the sender was known to have all changes; 0 for the
    store itself.
    """

    changes: tuple[RowChange, ...]
    version: int
    history_lost: bool = False
    age_s: float = 0.0


class FleetStore(Protocol):
    """A store with conditional writes and a feed.

    Errors are ``Code.STORE_UNAVAILABLE`` if nothing took effect, and
    ``Code.STORE_OUTCOME_UNKNOWN`` if an answer was lost.
    """

    async def snapshot(self, table: str) -> Result[Snapshot, Refusal]:
        """Return all rows of a table."""

    async def changes(
        self, table: str, after: int, wait_s: float, timeout_s: float
    ) -> Result[Changes, Refusal]:
        """Wait up to ``wait_s`` seconds for changes after a version.

        A request without an answer fails after ``timeout_s`` seconds.
        """

    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Result[TransactResult, Refusal]:
        """Apply all writes if all conditions hold, else none."""
