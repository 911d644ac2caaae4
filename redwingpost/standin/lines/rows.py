"""The rows of the platform's store: versions, conditions, history."""

from collections import deque
from typing import Any, NamedTuple

#: Changes that the feed remembers.
HISTORY = 1000


class StoredRow(NamedTuple):
    """A row; ``value`` is base64 as it came."""

    table: str
    part: str
    key: str
    value: str
    ver: int


class Change(NamedTuple):
    """A row that was put, or removed."""

    row: StoredRow
    removed: bool


class Rows:
    """All rows, with a counter that grows with each transaction.

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
        self._row_by_place: dict[tuple[str, str, str], StoredRow] = {}
        self._history: deque[Change] = deque(maxlen=HISTORY)
        self._forgotten_ver = 0

    def mismatches(
        self, expected: list[tuple[str, str, str, int]]
    ) -> list[StoredRow]:
        """Return the rows whose version isn't the expected one."""
        wrong = []
        for table, part, key, ver in expected:
            row = self._row_by_place.get((table, part, key))
            if (row.ver if row else 0) != ver:
                wrong.append(row or StoredRow(table, part, key, "", 0))
        return wrong

    def apply(
        self,
        expected: list[tuple[str, str, str, int]],
        puts: list[tuple[str, str, str, str]],
        deletes: list[tuple[str, str, str]],
    ) -> int | None:
        """Apply a transaction; None where a condition fails."""
        if self.mismatches(expected):
            return None
        self.ver += 1
        for table, part, key, value in puts:
            row = StoredRow(table, part, key, value, self.ver)
            self._row_by_place[(table, part, key)] = row
            self._history.append(Change(row, removed=False))
        for place in deletes:
            if self._row_by_place.pop(place, None) is not None:
                row = StoredRow(*place, "", self.ver)
                self._history.append(Change(row, removed=True))
        return self.ver

    def of_table(self, table: str) -> list[StoredRow]:
        """Return a table's rows by key."""
        found = [r for r in self._row_by_place.values() if r.table == table]
        return sorted(found, key=lambda row: row.key)

    def since(self, table: str, ver: int) -> list[Change] | None:
        """Return what changed after a version; None if forgotten."""
        if ver < self._forgotten_ver:
            return None
        return [
            change
            for change in self._history
            if change.row.table == table and change.row.ver > ver
        ]

    def forget_history(self) -> None:
        """Forget what changed until now."""
        self._history.clear()
        self._forgotten_ver = self.ver


def place_of(item: dict[str, Any]) -> tuple[str, str, str]:
    """Return where a row of a request is."""
    return item["table"], item.get("part", ""), item["key"]
