"""Rows of the platform's store, with versions and a change history."""

from collections import deque
from typing import Any, NamedTuple

#: Number of changes that the feed can return.
MAX_HISTORY_CHANGES = 1000


class StoredRow(NamedTuple):
    """A row; ``value`` is the base64 text that was received."""

    table: str
    part: str
    key: str
    value: str
    ver: int


class Change(NamedTuple):
    """A row that was put or removed."""

    row: StoredRow
    removed: bool


class Rows:
    """All rows and a version counter, increased by each transaction.

    A row is identified by its table, part and key.

    Examples
    --------
    >>> rows = Rows()
    >>> rows.apply([], [("t", "", "a", "MQ==")], [])
    1
    >>> rows.mismatches([("t", "", "a", 0)])[0].ver
    1
    >>> [change.row.key for change in rows.since("t", 0)]
    ['a']
    """

    def __init__(self) -> None:
        self.ver = 0
        self._rows_by_id: dict[tuple[str, str, str], StoredRow] = {}
        self._history: deque[Change] = deque(maxlen=MAX_HISTORY_CHANGES)
        self._cleared_ver = 0

    def mismatches(
        self, expected: list[tuple[str, str, str, int]]
    ) -> list[StoredRow]:
        """Return the rows whose version differs from the expected one.

        A missing row has version 0.
        """
        mismatching = []
        for table, part, key, ver in expected:
            row = self._rows_by_id.get((table, part, key))
            if (row.ver if row else 0) != ver:
                mismatching.append(row or StoredRow(table, part, key, "", 0))
        return mismatching

    def apply(
        self,
        expected: list[tuple[str, str, str, int]],
        puts: list[tuple[str, str, str, str]],
        deletes: list[tuple[str, str, str]],
    ) -> int | None:
        """Apply a transaction and return its version.

        Returns None and changes nothing if a row's version differs from
        the expected one.
        """
        if self.mismatches(expected):
            return None
        self.ver += 1
        for table, part, key, value in puts:
            row = StoredRow(table, part, key, value, self.ver)
            self._rows_by_id[(table, part, key)] = row
            self._history.append(Change(row, removed=False))
        for row_id in deletes:
            if self._rows_by_id.pop(row_id, None) is not None:
                row = StoredRow(*row_id, "", self.ver)
                self._history.append(Change(row, removed=True))
        return self.ver

    def of_table(self, table: str) -> list[StoredRow]:
        """Return a table's rows in key order."""
        found = [r for r in self._rows_by_id.values() if r.table == table]
        return sorted(found, key=lambda row: row.key)

    def since(self, table: str, ver: int) -> list[Change] | None:
        """Return a table's changes after a version.

        Returns None if the history was cleared after that version, or if
        the version has not been given out.
        """
        if not self._cleared_ver <= ver <= self.ver:
            return None
        return [
            change
            for change in self._history
            if change.row.table == table and change.row.ver > ver
        ]

    def copy(self) -> "Rows":
        """Return a copy with the same rows, version and history."""
        copied = Rows()
        copied.ver = self.ver
        copied._rows_by_id = dict(self._rows_by_id)
        copied._history = self._history.copy()
        copied._cleared_ver = self._cleared_ver
        return copied

    def clear_history(self) -> None:
        """Discard all changes up to the current version."""
        self._history.clear()
        self._cleared_ver = self.ver


def row_id_of(item: dict[str, Any]) -> tuple[str, str, str]:
    """Return the table, part and key of a row in a request."""
    return item["table"], item.get("part", ""), item["key"]
