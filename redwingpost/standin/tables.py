"""The platform's table service: rows and conditional transactions.

Pure state: the HTTP server in ``platform`` asks it.
"""

from typing import Any, NamedTuple

from sortedcontainers import SortedDict

Key = tuple[str, str]


class StoredRow(NamedTuple):
    """A row as the service keeps it."""

    version: int
    value: dict[str, Any]


class Conflict(NamedTuple):
    """A condition that didn't hold, and the row as it stands."""

    table: str
    key: str
    row: StoredRow | None


class Tables:
    """Rows by (table, key), in key order.

    A row's version grows with each write and goes on growing when the
    row is deleted and made anew, so a version never names two contents.

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
        """Return rows whose key starts with ``prefix``, beyond ``after``."""
        found = []
        start = (table, max(prefix, after))
        for place in self._rows_by_key.irange(start):
            found_table, key = place
            if found_table != table or len(found) >= limit:
                break
            if key == after or not key.startswith(prefix):
                if key > prefix and not key.startswith(prefix):
                    break
                continue
            found.append((key, self._rows_by_key[place]))
        return found

    def transact(
        self,
        conditions: list[tuple[str, str, int]],
        writes: list[tuple[str, str, dict[str, Any] | None]],
    ) -> tuple[list[int], list[Conflict]]:
        """Apply all writes if all conditions hold, else none."""
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
        place = (table, key)
        version = self._last_versions_by_key.get(place, 0) + 1
        self._last_versions_by_key[place] = version
        if value is None:
            self._rows_by_key.pop(place, None)
        else:
            self._rows_by_key[place] = StoredRow(version, value)
        return version

    def dump(self) -> list[dict[str, Any]]:
        """Return every row, for a test's oracle."""
        return [
            {
                "table": table,
                "key": key,
                "version": row.version,
                "value": row.value,
            }
            for (table, key), row in self._rows_by_key.items()
        ]
