"""A member's data: one SQLite file in WAL mode.

Each MySQL connection has its own SQLite connection, so that its reads see
a snapshot while another transaction writes.
"""

from pathlib import Path
from sqlite3 import Connection, Error, connect
from typing import Any

from redwingpost.standin.columns import Declared, parse_declared
from redwingpost.standin.functions import install_functions
from redwingpost.standin.replication_log import LogEntry

#: Bytes 18 and 19 of an SQLite file hold its journal mode. A database in
#: memory can't use WAL mode: an image in that mode could not be opened.
_JOURNAL_BYTES = slice(18, 20)


class Store:
    """The SQLite file of one member.

    Parameters
    ----------
    path : Path
        The database file; created if it is missing.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._types_by_shape: dict[str, tuple[Declared | None, ...]] = {}
        self._auto_increment_by_table: dict[str, bool] = {}
        self._writer = self.connect()
        self._catalogue = self.connect()

    def connect(self) -> Connection:
        """Open a connection to the file."""
        connection = connect(
            self.path,
            timeout=0,
            isolation_level=None,
            check_same_thread=False,
            cached_statements=512,
        )
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=OFF")
        install_functions(connection)
        return connection

    def apply(self, entry: LogEntry) -> None:
        """Apply a transaction of the replication log."""
        writer = self._writer
        writer.execute("BEGIN IMMEDIATE")
        for statement in entry.statements:
            writer.execute(statement.sql, statement.parameters)
            self.invalidate_on_definition(statement.sql)
        writer.execute("COMMIT")

    def invalidate_on_definition(self, sql: str) -> None:
        """Clear the cached column types if ``sql`` changes a table."""
        if sql[:5].upper() in ("CREAT", "DROP ", "ALTER"):
            self._clear_caches()

    def declared_types(self, shape: str) -> tuple[Declared | None, ...]:
        """Return the declared type of each column of a SELECT's result.

        The types are read from a temporary view over the SELECT. The type
        of an expression is None.
        """
        if shape in self._types_by_shape:
            return self._types_by_shape[shape]
        types = self._view_types(shape)
        if len(self._types_by_shape) > 4096:
            self._types_by_shape.clear()
        self._types_by_shape[shape] = types
        return types

    def _view_types(self, shape: str) -> tuple[Declared | None, ...]:
        catalogue = self._catalogue
        select = shape.replace("?", "NULL")
        try:
            catalogue.execute(f"CREATE TEMP VIEW shape_view AS {select}")
        except Error:
            return ()
        try:
            rows = catalogue.execute("PRAGMA table_info(shape_view)")
            return tuple(
                parse_declared(row[2]) if row[2] else None for row in rows
            )
        except Error:
            return ()
        finally:
            catalogue.execute("DROP VIEW shape_view")

    def has_auto_increment(self, table: str, connection: Connection) -> bool:
        """Return whether a table has an AUTO_INCREMENT column."""
        if table not in self._auto_increment_by_table:
            row = connection.execute(
                "SELECT sql FROM sqlite_master WHERE name = ?", (table,)
            ).fetchone()
            found = row is not None and "AUTOINCREMENT" in row[0]
            self._auto_increment_by_table[table] = found
        return self._auto_increment_by_table[table]

    def _clear_caches(self) -> None:
        self._types_by_shape.clear()
        self._auto_increment_by_table.clear()

    def snapshot(self) -> bytes:
        """Return the committed data as an SQLite database image."""
        image = bytearray(self._catalogue.serialize())
        image[_JOURNAL_BYTES] = b"\x01\x01"
        return bytes(image)

    def restore(self, image: bytes) -> None:
        """Replace the data by those of an image, in one transaction."""
        source = connect(":memory:")
        try:
            source.deserialize(image)
            source.backup(self._writer)
        finally:
            source.close()
        self._clear_caches()

    def dump(self) -> dict[str, dict[str, Any]]:
        """Return every table's columns and rows, for a test oracle."""
        names = [
            row[0]
            for row in self._catalogue.execute(
                "SELECT name FROM sqlite_master WHERE type = 'table'"
                " AND name NOT LIKE 'sqlite_%' ORDER BY name"
            )
        ]
        tables_by_name = {}
        for name in names:
            cursor = self._catalogue.execute(f"SELECT * FROM `{name}`")
            columns = [column[0] for column in cursor.description]
            rows = [list(row) for row in cursor]
            tables_by_name[name] = {"columns": columns, "rows": rows}
        return tables_by_name

    def close(self) -> None:
        """Close the store's own connections."""
        self._writer.close()
        self._catalogue.close()
