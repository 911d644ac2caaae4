"""The platform port: table service, object store, list of VMs.

The adapter is HTTP/JSON (``redwingpost.adapters.platform_http``); the
routes are listed in ``docs/design/platform-port.md``.
"""

from typing import Any, NamedTuple, Protocol

from expression import Result

from redwingpost.core import Refusal


class Row(NamedTuple):
    """A row of the table service; versions start at 1 and only increase."""

    table: str
    key: str
    version: int
    value: dict[str, Any]


class Condition(NamedTuple):
    """The version that a row must have in a transaction; 0 means absent."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """A row to set, or to delete if ``value`` is None."""

    table: str
    key: str
    value: dict[str, Any] | None


class TransactResult(NamedTuple):
    """Outcome of a transaction that the service answered.

    ``committed`` is False if a condition failed; ``conflicts`` then holds
    the current rows (version 0 for an absent one).
    """

    committed: bool
    versions: tuple[int, ...]
    conflicts: tuple[Row, ...]


class TableService(Protocol):
    """Rows and conditional transactions over several of them.

    Errors are ``Code.STORE_UNAVAILABLE`` if nothing took effect, and
    ``Code.STORE_OUTCOME_UNKNOWN`` if an answer was lost.
    """

    async def read(self, table: str, key: str) -> Result[Row | None, Refusal]:
        """Return one row, or None."""

    async def scan(
        self, table: str, prefix: str = "", after: str = ""
    ) -> Result[tuple[Row, ...], Refusal]:
        """Return the rows whose key starts with prefix and is above after."""

    async def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> Result[TransactResult, Refusal]:
        """Apply all writes if all conditions hold, else none."""


class ObjectStore(Protocol):
    """Immutable objects by key, for bodies too large for a row."""

    async def put(self, key: str, body: bytes) -> Result[None, Refusal]:
        """Store a body."""

    async def get(self, key: str) -> Result[bytes | None, Refusal]:
        """Return a body, or None."""


class VmEntry(NamedTuple):
    """A VM in the platform's list; ``state`` is live or leaving."""

    vm: str
    data_centre: str
    ip: str
    agent_port: int
    proxy_port: int
    state: str


class VmList(Protocol):
    """The platform's list of VMs, which may be some seconds old."""

    async def vms(self) -> Result[tuple[VmEntry, ...], Refusal]:
        """Return the VMs in the platform's list."""
