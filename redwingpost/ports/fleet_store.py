"""The fleet store port: durable rows and a feed of their changes.

Rows and conditions are those of ``redwingpost.ports.platform``. A value
that can't be decoded is returned as None, so that a row of another writer
doesn't stop the reader.

A store that was restored from an older copy gives out numbers again that it
gave to other rows before. Each restore begins a new *era*. A version here
holds the era and the store's number in one integer, so that all versions of
an era are above those of the eras before it, and equal versions mean equal
rows. A row's version 0 means in every era that there is no such row.
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

#: Bits of a version that hold the store's number.
_NUMBER_BITS = 48


def make_version(era: int, number: int) -> int:
    """Return the version for a number that the store gave out in an era.

    Examples
    --------
    >>> make_version(0, 5)
    5
    >>> make_version(2, 1) > make_version(1, 900)
    True
    """
    return (era << _NUMBER_BITS) + number


def era_of(version: int) -> int:
    """Return the era of a version.

    Examples
    --------
    >>> era_of(make_version(3, 7)), era_of(7)
    (3, 0)
    """
    return version >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Return the store's number of a version.

    Examples
    --------
    >>> number_of(make_version(3, 7))
    7
    """
    return version & ((1 << _NUMBER_BITS) - 1)


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
    that version, or has begun a new era; the table must be read again.
    ``age_s`` is the time (seconds) since the sender was known to have all
    changes; 0 for the store itself.
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
