"""Apply rows of the configuration and of members to this VM's state."""

from collections.abc import Callable, Iterable

from redwingpost.core.foreign import UNREADABLE
from redwingpost.groups.directory import Directory
from redwingpost.groups.evacuations import Evacuations
from redwingpost.node.fleet.watcher import TableReader
from redwingpost.node.request.admission import Admission
from redwingpost.observability.journal import log_event
from redwingpost.observability.unreadable import note_unreadable
from redwingpost.ports.clock import Clock
from redwingpost.ports.database import MemberEntry
from redwingpost.ports.fleet_store import FleetStore, Snapshot
from redwingpost.ports.platform import Row
from redwingpost.ports.registry import RegistryFormat


class RulesReader:
    """Puts the newest configuration in force."""

    def __init__(
        self,
        admission: Admission,
        format_: RegistryFormat,
        on_change: Callable[[], None],
    ) -> None:
        self.row: Row | None = None
        self._admission = admission
        self._format = format_
        self._on_change = on_change

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the whole table."""
        self.on_rows(snapshot.rows)

    def on_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply rows that changed."""
        for row in rows:
            if row.key == self._format.configuration_key:
                self.apply_if_newer(row)

    def on_removed(self, keys: tuple[str, ...]) -> None:
        """Ignore removals: a configuration stays in force."""

    def apply_if_newer(self, row: Row) -> None:
        """Put a configuration in force if it is newer than the present."""
        try:
            rules = self._format.decode_configuration(row)
        except UNREADABLE as error:
            note_unreadable("configuration-unreadable", row.key, error)
            return
        if self._admission.take_rules(rules):
            self.row = row
            self._on_change()


class EvacuationReader:
    """Keeps the evacuations up to date with the operator's orders.

    ``data_centres`` returns the names of the known data centres; an order
    for another one is applied, too, and logged.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        prefix: str,
        clock: Clock,
        data_centres: Callable[[], frozenset[str]],
        on_change: Callable[[], None],
    ) -> None:
        self._evacuations = evacuations
        self._prefix = prefix
        self._clock = clock
        self._data_centres = data_centres
        self._on_change = on_change

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the whole table."""
        self.replace(self._named_by(row.key for row in snapshot.rows))

    def replace(self, data_centres: Iterable[str]) -> None:
        """Replace all orders by those for ``data_centres``."""
        before = self._evacuations.data_centres
        self._evacuations.replace(data_centres, self._clock.now())
        self._note_changes(before)

    def on_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply new orders."""
        before = self._evacuations.data_centres
        for data_centre in self._named_by(row.key for row in rows):
            self._evacuations.put(data_centre, self._clock.now())
        self._note_changes(before)

    def on_removed(self, keys: tuple[str, ...]) -> None:
        """Apply the withdrawal of orders."""
        before = self._evacuations.data_centres
        for data_centre in self._named_by(keys):
            self._evacuations.withdraw(data_centre)
        self._note_changes(before)

    def _named_by(self, keys: Iterable[str]) -> tuple[str, ...]:
        return tuple(
            key.removeprefix(self._prefix)
            for key in keys
            if key.startswith(self._prefix)
        )

    def _note_changes(self, before: frozenset[str]) -> None:
        after = self._evacuations.data_centres
        if after == before:
            return
        for data_centre in sorted(after - before):
            is_known = data_centre in self._data_centres()
            log_event(
                "evacuation-ordered",
                data_centre=data_centre,
                is_known=is_known,
            )
        for data_centre in sorted(before - after):
            log_event("evacuation-withdrawn", data_centre=data_centre)
        self._on_change()


class CombinedReader:
    """Passes the rows of one table to several readers, in their order."""

    def __init__(self, readers: tuple[TableReader, ...]) -> None:
        self._readers = readers

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the whole table."""
        for reader in self._readers:
            reader.on_snapshot(snapshot)

    def on_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply rows that changed."""
        for reader in self._readers:
            reader.on_rows(rows)

    def on_removed(self, keys: tuple[str, ...]) -> None:
        """Apply the removal of rows."""
        for reader in self._readers:
            reader.on_removed(keys)


class StoredMembers:
    """Reads members' entries from the store, past all copies of them.

    Implements ``redwingpost.ports.registry.MemberRegistry``.
    """

    def __init__(self, store: FleetStore, format_: RegistryFormat) -> None:
        self._store = store
        self._format = format_

    async def members_of(self, group: str) -> tuple[MemberEntry, ...] | None:
        """Return a group's members as listed now, None without an answer."""
        got = await self._store.snapshot(self._format.member_table)
        if got.is_error():
            log_event("members-unknown", detail=got.error.detail)
            return None
        entries = (decode_member(self._format, row) for row in got.ok.rows)
        return tuple(
            entry
            for entry in entries
            if entry is not None and entry.group == group
        )


def decode_member(format_: RegistryFormat, row: Row) -> MemberEntry | None:
    """Return a member's entry; None if it can't be read."""
    try:
        return format_.decode_member(row)
    except UNREADABLE as error:
        note_unreadable("member-unreadable", row.key, error)
        return None


class MemberReader:
    """Keeps the directory up to date with the members' entries.

    ``answers`` returns whether a member answers this VM.
    """

    def __init__(
        self,
        directory: Directory,
        format_: RegistryFormat,
        clock: Clock,
        on_change: Callable[[], None],
        answers: Callable[[str], bool],
    ) -> None:
        self._directory = directory
        self._format = format_
        self._clock = clock
        self._on_change = on_change
        self._answers = answers

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the whole list."""
        entries = (decode_member(self._format, row) for row in snapshot.rows)
        present = tuple(entry for entry in entries if entry is not None)
        now = self._clock.now()
        self._directory.replace(present, now, self._answers)
        self._on_change()

    def on_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply entries that changed."""
        self._apply(rows)
        self._on_change()

    def take_copy(self, rows: tuple[Row, ...]) -> None:
        """Apply another VM's copy of the entries, which may be old."""
        self._apply(rows)
        self._on_change()

    def _apply(self, rows: tuple[Row, ...]) -> None:
        now = self._clock.now()
        for row in rows:
            entry = decode_member(self._format, row)
            if entry is None:
                self._directory.remove(row.key, now)
            else:
                self._directory.put(entry, now)

    def on_removed(self, keys: tuple[str, ...]) -> None:
        """Apply the removal of entries."""
        for key in keys:
            answers = self._answers(key)
            log_event("member-removed", member=key, answers=answers)
            self._directory.remove(key, self._clock.now(), answers)
        self._on_change()
