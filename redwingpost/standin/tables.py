"""The platform's table service: rows and conditional transactions.

The state is kept without I/O; ``platform`` serves it over HTTP.
"""

from typing import Any, NamedTuple

from sortedcontainers import SortedDict

Key = tuple[str, str]


class StoredRow(NamedTuple):
    """A stored row: its version and value."""

    version: int
    value: dict[str, Any]


class Conflict(NamedTuple):
    """A failed condition and the current row, None if absent."""

    table: str
    key: str
    row: StoredRow | None


class Tables:
    """Rows by (table, key), in key order.

    A row's version grows with each write, also across a deletion and a
    new creation, so that no two contents of a key have the same version.

    Examples
    --------
    >>> tables = Tables()
    >>> tables.transact([("t", "a", 0)], [("t", "a", {"x": 1})])
    ([1], [])
    >>> tables.transact([("t", "a", 0)], [("t", "a", {"x": 2})])[1][0].row
    StoredRow(version=1, value={'x': 1})
    """

    def __init__(self) -> None:
        self._rows_by_key: SortedDict = SortedDict()
        self._last_versions_by_key: dict[Key, int] = {}

    def read(self, table: str, key: str) -> StoredRow | None:
        """Return a row, or None."""
        return self._rows_by_key.get((table, key))

    def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> list[tuple[str, StoredRow]]:
        """Return rows whose key starts with ``prefix`` and is > ``after``."""
        found = []
        start = (table, max(prefix, after))
        for row_key in self._rows_by_key.irange(start):
            found_table, key = row_key
            if found_table != table or len(found) >= limit:
                break
            if key == after or not key.startswith(prefix):
                if key > prefix and not key.startswith(prefix):
                    break
                continue
            found.append((key, self._rows_by_key[row_key]))
        return found

    def transact(
        self,
        conditions: list[tuple[str, str, int]],
        writes: list[tuple[str, str, dict[str, Any] | None]],
    ) -> tuple[list[int], list[Conflict]]:
        """Apply all writes if all conditions hold, else none.

        Returns the new versions and the conflicts; one of them is empty.
        """
        conflicts = []
        for table, key, version in conditions:
            row = self.read(table, key)
            if (row.version if row else 0) != version:
                conflicts.append(Conflict(table, key, row))
        if conflicts:
            return [], conflicts
        return [self._write(*write) for write in writes], []

    def _write(
        self, table: str, key: str, value: dict[str, Any] | None
    ) -> int:
        row_key = (table, key)
        version = self._last_versions_by_key.get(row_key, 0) + 1
        self._last_versions_by_key[row_key] = version
        if value is None:
            self._rows_by_key.pop(row_key, None)
        else:
            self._rows_by_key[row_key] = StoredRow(version, value)
        return version

    def dump(self) -> list[dict[str, Any]]:
        """Return every row, for a test oracle."""
        return [
            {
                "table": table,
                "key": key,
                "version": row.version,
                "value": row.value,
            }
            for (table, key), row in self._rows_by_key.items()
        ]
