"""Apply rows of the configuration and of members to this VM's state."""

from collections.abc import Callable

from redwingpost.groups.directory import Directory
from redwingpost.node.request.admission import Admission
from redwingpost.observability.journal import log_event
from redwingpost.ports.clock import Clock
from redwingpost.ports.fleet_store import Snapshot
from redwingpost.ports.platform import Row
from redwingpost.ports.registry import EntryError, RegistryFormat


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
        except (EntryError, AttributeError, TypeError) as error:
            log_event("configuration-unreadable", detail=str(error))
            return
        if self._admission.take_rules(rules):
            self.row = row
            self._on_change()


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
        entries = (self._decode(row) for row in snapshot.rows)
        present = tuple(entry for entry in entries if entry is not None)
        self._directory.replace(present, self._clock.now(), self._answers)
        self._on_change()

    def on_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply entries that changed."""
        now = self._clock.now()
        for row in rows:
            entry = self._decode(row)
            if entry is None:
                self._directory.remove(row.key, now)
            else:
                self._directory.put(entry, now)
        self._on_change()

    def on_removed(self, keys: tuple[str, ...]) -> None:
        """Apply the removal of entries."""
        for key in keys:
            answers = self._answers(key)
            log_event("member-removed", member=key, answers=answers)
            self._directory.remove(key, self._clock.now(), answers)
        self._on_change()

    def _decode(self, row: Row):
        """Return a member's entry; None if it can't be read."""
        try:
            return self._format.decode_member(row)
        except EntryError as error:
            log_event("member-unreadable", member=row.key, detail=str(error))
            return None
