"""The platform port: table service, object store, list of VMs.

The adapter is HTTP/JSON (``redwingpost.adapters.platform_http``); the
routes are listed in ``docs/design/platform-port.md``.
"""

from typing import Any, NamedTuple, Protocol

from expression import Result

from redwingpost.core import Refusal


class Row(NamedTuple):
    """A row of the table service. Versions start at 1 and only grow."""

    table: str
    key: str
    version: int
    value: dict[str, Any]


class Condition(NamedTuple):
    """A row's version that a transaction relies on; 0 means absent."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """A row to set, or to delete where ``value`` is None."""

    table: str
    key: str
    value: dict[str, Any] | None


class TransactResult(NamedTuple):
    """Outcome of a transaction the service answered.

    ``committed`` is False where a condition failed; ``conflicts`` then
    holds the rows as they stand (version 0 for an absent one).
    """

    committed: bool
    versions: tuple[int, ...]
    conflicts: tuple[Row, ...]


class TableService(Protocol):
    """Rows with conditional transactions over several of them.

    Errors are ``Code.STORE_UNAVAILABLE`` where nothing took effect, and
    ``Code.STORE_OUTCOME_UNKNOWN`` where an answer was lost.
    """

    async def read(self, table: str, key: str) -> Result[Row | None, Refusal]:
        """Return one row, or None."""

    async def scan(
        self, table: str, prefix: str = "", after: str = ""
    ) -> Result[tuple[Row, ...], Refusal]:
        """Return the rows whose key starts with prefix, beyond after."""

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
    """One VM of the platform's list; ``state`` is live or leaving."""

    vm: str
    data_centre: str
    ip: str
    agent_port: int
    proxy_port: int
    state: str


class VmList(Protocol):
    """The platform's list of VMs, some seconds behind the truth."""

    async def vms(self) -> Result[tuple[VmEntry, ...], Refusal]:
        """Return the VMs that the platform knows."""
